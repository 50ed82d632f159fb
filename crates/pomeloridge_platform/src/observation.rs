//! Measures how long an object has stayed at one version, on this node's own clock.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Revision;

/// The version last read and the time at which it was first seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observation(Option<(Revision, Instant)>);

impl Observation {
    /// Records a version that was read.
    ///
    /// `now` must be monotonic time taken after the response: a write that took
    /// effect during the read must not appear older than it is. A jump of the wall
    /// clock would make it appear older too.
    pub fn record(&mut self, version: Revision, now: Instant) {
        if self.0.is_none_or(|(seen, _)| seen != version) {
            self.0 = Some((version, now));
        }
    }

    /// Records a version that the node which wrote it has told of; `now` must be monotonic time
    /// taken after the message was received. Messages may be late: older versions are ignored, and
    /// so is what was received before the latest change was seen.
    pub fn record_told(&mut self, version: Revision, now: Instant) {
        if self.0.is_none_or(|(seen, at)| seen < version && at < now) {
            self.0 = Some((version, now));
        }
    }

    /// Returns the time since the version was first seen; zero if none was recorded.
    pub fn unchanged_for(&self, now: Instant) -> Duration {
        self.0
            .map(|(_, at)| now.saturating_duration_since(at))
            .unwrap_or_default()
    }
}
