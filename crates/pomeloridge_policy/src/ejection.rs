//! Local ejection of backend servers that can't be reached, and caution with
//! the cheap servers of a data centre where several failed at once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::server::ServerKey;

/// Pause before the first probe of an ejected server.
pub const FIRST_PROBE_DELAY: Duration = Duration::from_secs(1);
/// Longest pause between two probes.
pub const MAX_PROBE_DELAY: Duration = Duration::from_secs(30);
/// Time within which failures of several servers make a data centre suspect.
pub const FAILURE_WINDOW: Duration = Duration::from_secs(1);
/// Servers that must fail within the span.
pub const SUSPECT_FAILED_SERVERS: usize = 2;

/// Whether a server is ejected, and when it is probed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    state: Option<Ejected>,
}

#[derive(Clone, Copy, Debug)]
struct Ejected {
    since: Instant,
    probe_at: Instant,
    pause: Duration,
}

impl Ejection {
    /// Ejects the server; says whether it was not ejected before.
    pub fn eject(&mut self, pause: Duration, now: Instant) -> bool {
        if self.state.is_some() {
            return false;
        }
        self.state = Some(Ejected {
            since: now,
            probe_at: now + pause,
            pause,
        });
        true
    }

    /// Whether to probe the server now; if so, the pause until the next probe
    /// is doubled.
    pub fn take_due_probe(&mut self, now: Instant) -> bool {
        let Some(ejected) = &mut self.state else {
            return false;
        };
        if now < ejected.probe_at {
            return false;
        }
        ejected.pause = (ejected.pause * 2).min(MAX_PROBE_DELAY);
        ejected.probe_at = now + ejected.pause;
        true
    }

    /// Whether a request may go to the server: it is not ejected, or a probe is due.
    pub fn may_try(&self, now: Instant) -> bool {
        self.state.is_none_or(|ejected| now >= ejected.probe_at)
    }

    /// Takes the server back; says whether it was ejected.
    pub fn clear(&mut self) -> bool {
        self.state.take().is_some()
    }

    /// Whether the server is ejected.
    pub fn is_ejected(&self) -> bool {
        self.state.is_some()
    }

    /// Since when the server is ejected.
    pub fn since(&self) -> Option<Instant> {
        self.state.map(|ejected| ejected.since)
    }
}

/// The recent failures in one data centre.
#[derive(Clone, Debug, Default)]
pub struct DataCentreFailures {
    recent: VecDeque<(ServerKey, Instant)>,
    suspect: bool,
}

impl DataCentreFailures {
    /// Notes a failure; says whether the data centre became suspect by it.
    pub fn record_failure(&mut self, server: ServerKey, now: Instant) -> bool {
        let old = |at: Instant| now.saturating_duration_since(at) > FAILURE_WINDOW;
        self.recent.retain(|(key, at)| *key != server && !old(*at));
        self.recent.push_back((server, now));
        let became = !self.suspect && self.recent.len() >= SUSPECT_FAILED_SERVERS;
        self.suspect |= became;
        became
    }

    /// Ends the caution after a server was reached again.
    pub fn clear(&mut self) {
        self.suspect = false;
        self.recent.clear();
    }

    /// Whether the data centre's cheap servers are put last.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }
}
