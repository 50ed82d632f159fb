//! A time of day that the nodes of a fleet agree on, even if some wall clocks jump.
//!
//! Each node estimates the time of day as an offset to its monotonic clock. The estimate starts
//! from the wall clock and is corrected to the median of the estimates of all nodes, so that a
//! few wrong clocks have no effect.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;

/// Age after which a peer's estimate is ignored.
const PEER_TTL: Duration = Duration::from_secs(3);
/// Largest difference that is not corrected; network latency alone may cause as much.
const TOLERANCE_MS: i64 = 20;

/// The estimated time of day.
#[derive(Debug)]
pub struct FleetClock {
    start: Instant,
    /// Milliseconds since the Unix epoch at `start`.
    offset_ms: i64,
    /// Offsets of the peers in milliseconds, and when they were received.
    peers: HashMap<Name, (i64, Instant)>,
}

impl FleetClock {
    /// Creates a clock that starts from the wall clock.
    pub fn new(now: Instant, wall_ms: u64) -> Self {
        Self {
            start: now,
            offset_ms: signed(wall_ms),
            peers: HashMap::new(),
        }
    }

    /// Returns the estimated time in milliseconds since the Unix epoch.
    pub fn unix_ms(&self, now: Instant) -> u64 {
        let elapsed_ms = now.saturating_duration_since(self.start).as_millis() as i64;
        let unix_ms = self.offset_ms.saturating_add(elapsed_ms);
        unix_ms.max(0).cast_unsigned()
    }

    /// Records a peer's estimate. Returns the resulting correction of this clock in
    /// milliseconds, if any.
    pub fn observe(&mut self, peer: &Name, unix_ms: u64, now: Instant) -> Option<i64> {
        let elapsed_ms = now.saturating_duration_since(self.start).as_millis() as i64;
        let offset = signed(unix_ms).saturating_sub(elapsed_ms);
        self.peers.insert(peer.clone(), (offset, now));
        self.peers
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < PEER_TTL);
        let mut offsets: Vec<i64> = self.peers.values().map(|(offset, _)| *offset).collect();
        offsets.push(self.offset_ms);
        offsets.sort_unstable();
        let median = offsets[offsets.len() / 2];
        // Two estimates have no majority.
        let correction = median.saturating_sub(self.offset_ms);
        if offsets.len() < 3 || correction.saturating_abs() <= TOLERANCE_MS {
            return None;
        }
        self.offset_ms = median;
        Some(correction)
    }
}

/// Converts milliseconds, at most to the highest signed number.
fn signed(millis: u64) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}
