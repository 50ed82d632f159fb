//! Rate at which the tokens of a stream arrive.

use std::time::{Duration, Instant};

/// Counts the tokens of one stream from one server, with their times of arrival.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenRate {
    /// Times of the first and the latest chunk.
    times: Option<(Instant, Instant)>,
    tokens: u64,
    /// Tokens of the first chunk, whose time includes the prefill.
    first_chunk_tokens: u64,
}

impl TokenRate {
    /// Records the tokens of a chunk.
    pub(crate) fn record(&mut self, tokens: u64, now: Instant) {
        if tokens == 0 {
            return;
        }
        if let Some((_, last)) = &mut self.times {
            *last = now;
        } else {
            self.times = Some((now, now));
            self.first_chunk_tokens = tokens;
        }
        self.tokens += tokens;
    }

    /// Returns the number of all tokens.
    pub(crate) fn total_tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the number of tokens after the first chunk and the time that they took.
    pub(crate) fn after_first_chunk(&self) -> Option<(u64, Duration)> {
        let (first, last) = self.times?;
        let tokens = self.tokens - self.first_chunk_tokens;
        (tokens > 0).then(|| (tokens, last.saturating_duration_since(first)))
    }
}
