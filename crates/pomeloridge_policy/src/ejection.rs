//! Ejection of backend servers that this node can't reach, and detection of data centres
//! where several servers failed at once, whose preemptible servers are then used last.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::server::ServerKey;

/// Delay before the first probe of an ejected server.
pub const FIRST_PROBE_DELAY: Duration = Duration::from_secs(1);
/// Maximum delay between two probes.
pub const MAX_PROBE_DELAY: Duration = Duration::from_secs(30);
/// Window in which failures of several servers make a data centre suspect.
pub const FAILURE_WINDOW: Duration = Duration::from_secs(1);
/// Number of servers that must fail within the window.
pub const SUSPECT_FAILED_SERVERS: usize = 2;

/// Ejection state of a server, with the schedule of its probes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    state: Option<Ejected>,
}

#[derive(Clone, Copy, Debug)]
struct Ejected {
    since: Instant,
    probe_at: Instant,
    delay: Duration,
}

impl Ejection {
    /// Ejects the server, with its first probe after `delay`; returns whether it was not ejected
    /// before.
    pub fn eject(&mut self, delay: Duration, now: Instant) -> bool {
        if self.state.is_some() {
            return false;
        }
        self.state = Some(Ejected {
            since: now,
            probe_at: now + delay,
            delay,
        });
        true
    }

    /// Returns whether a probe of the server is due; if so, schedules the next one after twice
    /// the delay.
    pub fn take_due_probe(&mut self, now: Instant) -> bool {
        let Some(ejected) = &mut self.state else {
            return false;
        };
        if now < ejected.probe_at {
            return false;
        }
        ejected.delay = (ejected.delay * 2).min(MAX_PROBE_DELAY);
        ejected.probe_at = now + ejected.delay;
        true
    }

    /// Returns whether a request may go to the server: it is not ejected, or a probe is due.
    pub fn may_try(&self, now: Instant) -> bool {
        self.state.is_none_or(|ejected| now >= ejected.probe_at)
    }

    /// Ends the ejection; returns whether the server was ejected.
    pub fn clear(&mut self) -> bool {
        self.state.take().is_some()
    }

    /// Returns whether the server is ejected.
    pub fn is_ejected(&self) -> bool {
        self.state.is_some()
    }

    /// Returns when the server was ejected.
    pub fn since(&self) -> Option<Instant> {
        self.state.map(|ejected| ejected.since)
    }
}

/// The recent server failures in one data centre.
#[derive(Clone, Debug, Default)]
pub struct DataCentreFailures {
    recent: VecDeque<(ServerKey, Instant)>,
    suspect: bool,
}

impl DataCentreFailures {
    /// Records a failure; returns whether it made the data centre suspect.
    pub fn record_failure(&mut self, server: ServerKey, now: Instant) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) > FAILURE_WINDOW;
        self.recent
            .retain(|(key, at)| *key != server && !is_old(*at));
        self.recent.push_back((server, now));
        let became_suspect = !self.suspect && self.recent.len() >= SUSPECT_FAILED_SERVERS;
        self.suspect |= became_suspect;
        became_suspect
    }

    /// Ends the suspicion after a server was reached again.
    pub fn clear(&mut self) {
        self.suspect = false;
        self.recent.clear();
    }

    /// Returns whether the data centre is suspect, so that its preemptible servers are used
    /// last.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }
}
