//! The time of day that nodes agree on, though single wall clocks jump.
//!
//! Each node keeps a steady clock and believes that the time of day runs with it.
//! The belief starts from the wall clock and is corrected to the median of the
//! beliefs that peers tell, so that a few wrong clocks count for nothing.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;

/// Age after which a peer's belief no longer counts.
const BELIEF_TTL: Duration = Duration::from_secs(3);
/// Difference below which beliefs are left as they are; links add as much.
const TOLERANCE_MS: i64 = 20;

/// The believed time of day.
#[derive(Debug)]
pub struct FleetClock {
    start: Instant,
    /// Milliseconds since the Unix epoch at `start`.
    offset: i64,
    peers: HashMap<Name, (i64, Instant)>,
}

impl FleetClock {
    /// Starts from the wall clock.
    pub fn new(now: Instant, wall_ms: u64) -> Self {
        Self {
            start: now,
            offset: wall_ms.cast_signed(),
            peers: HashMap::new(),
        }
    }

    /// Milliseconds since the Unix epoch.
    pub fn unix_ms(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.start).as_millis() as i64;
        (self.offset + passed).max(0).cast_unsigned()
    }

    /// Takes what a peer believes; gives the correction in milliseconds, if there is one.
    pub fn observe(&mut self, peer: &Name, unix_ms: u64, now: Instant) -> Option<i64> {
        let passed = now.saturating_duration_since(self.start).as_millis() as i64;
        self.peers
            .insert(peer.clone(), (unix_ms.cast_signed() - passed, now));
        self.peers
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < BELIEF_TTL);
        let mut beliefs: Vec<i64> = self.peers.values().map(|(offset, _)| *offset).collect();
        beliefs.push(self.offset);
        beliefs.sort_unstable();
        let median = beliefs[beliefs.len() / 2];
        // Two beliefs have no majority.
        let correction = median - self.offset;
        if beliefs.len() < 3 || correction.abs() <= TOLERANCE_MS {
            return None;
        }
        self.offset = median;
        Some(correction)
    }
}
