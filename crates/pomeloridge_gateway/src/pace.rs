//! How fast the pieces of a stream come.

use std::time::{Duration, Instant};

/// The tokens of one stream from one server, and when they came.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    times: Option<(Instant, Instant)>,
    tokens: u64,
    /// Tokens of the first piece, before which the prompt was read.
    first: u64,
}

impl Pace {
    /// Counts a piece.
    pub(crate) fn piece(&mut self, tokens: u64, now: Instant) {
        if tokens == 0 {
            return;
        }
        if let Some((_, last)) = &mut self.times {
            *last = now;
        } else {
            self.times = Some((now, now));
            self.first = tokens;
        }
        self.tokens += tokens;
    }

    /// All tokens.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// The tokens after the first piece, and the time that they took.
    pub(crate) fn after_first(&self) -> Option<(u64, Duration)> {
        let (first, last) = self.times?;
        let tokens = self.tokens - self.first;
        (tokens > 0).then(|| (tokens, last.saturating_duration_since(first)))
    }
}
