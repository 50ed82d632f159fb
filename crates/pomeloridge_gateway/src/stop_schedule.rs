//! When a gateway that was asked to stop refuses requests, and by when they must end.

use std::time::{Duration, Instant};

/// Part of the grace time that remains after the latest deadline of a request.
const REMAINING_GRACE: f64 = 0.1;

/// Maximum part of the grace time in which requests are taken that may outlast it.
const MAX_DRAINING: f64 = 0.5;

/// When the signal to stop may have been sent.
///
/// A process notices a signal late: at its next look, after the turn of another task, or once it
/// runs again after a pause. It has not been sent before the last look that found none.
#[derive(Clone, Copy, Debug)]
pub struct SignalTime {
    clear_at: Instant,
}

impl SignalTime {
    /// Creates the state of a process that begins to watch for the signal at `now`.
    pub fn new(now: Instant) -> Self {
        Self { clear_at: now }
    }

    /// Looks for the signal, and returns the earliest time at which it may have been sent, if it
    /// has been received.
    pub fn look(&mut self, is_received: impl FnOnce() -> bool, now: Instant) -> Option<Instant> {
        if is_received() {
            return Some(self.clear_at);
        }
        self.clear_at = now;
        None
    }
}

/// The times of a planned stop, counted from when its signal was sent at the earliest, as the
/// process is killed one grace time after that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// From when requests are refused that may not end in time.
    pub closing_at: Instant,
    /// Latest deadline of a request.
    pub latest_deadline: Instant,
}

impl StopSchedule {
    /// Returns the schedule of a stop whose signal was sent at `signalled_at` or later. The load
    /// balancer needs `unready_time` until it sends no more requests; the process is killed after
    /// `grace_time`.
    pub fn new(signalled_at: Instant, unready_time: Duration, grace_time: Duration) -> Self {
        let draining_time = unready_time.min(grace_time.mul_f64(MAX_DRAINING));
        Self {
            closing_at: signalled_at + draining_time,
            latest_deadline: signalled_at + serving_time(grace_time),
        }
    }

    /// Returns the deadline of a request that arrives at `now` and whose caller waits until
    /// `deadline`, or `None` if the request is to be refused.
    ///
    /// At first the deadline is moved to before the process is killed. Later a request that may
    /// last longer is refused instead, as its caller then reaches another gateway.
    pub fn admit(&self, deadline: Instant, now: Instant) -> Option<Instant> {
        let latest = self.latest_deadline;
        let is_admitted = now < latest && (deadline <= latest || now < self.closing_at);
        is_admitted.then(|| deadline.min(latest))
    }
}

/// Returns the time from the signal to stop until the latest deadline of a request.
pub fn serving_time(grace_time: Duration) -> Duration {
    grace_time.mul_f64(1.0 - REMAINING_GRACE)
}
