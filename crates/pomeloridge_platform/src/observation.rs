//! How long a version of an object has been seen unchanged, on this node's own clock.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Revision;

/// The version that was read last, and when it was first seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observation(Option<(Revision, Instant)>);

impl Observation {
    /// Notes a version that was read.
    ///
    /// `now` is monotonic time from after the answer: a write that took effect
    /// while the read was under way must not look older than it is. A wall
    /// clock that jumps would make it look older too.
    pub fn record(&mut self, version: Revision, now: Instant) {
        if self.0.is_none_or(|(seen, _)| seen != version) {
            self.0 = Some((version, now));
        }
    }

    /// Time since the version was first seen; zero if there is none.
    pub fn unchanged_for(&self, now: Instant) -> Duration {
        self.0
            .map(|(_, at)| now.saturating_duration_since(at))
            .unwrap_or_default()
    }
}
