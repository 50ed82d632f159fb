//! Authority: the right of a lease's holder to act, which ends with the term.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::clock::{SharedClock, Stamp};
use pomeloridge_base::id::Epoch;

/// Returns the time left of a term after `elapsed`.
pub fn time_left(elapsed: Duration, term: Duration) -> Duration {
    term.saturating_sub(elapsed)
}

/// Returns the time that a new holder has yet to wait before it sends orders to a
/// server that does not check fencing tokens.
///
/// Such a server accepts a late order of the former holder. That order must have
/// arrived and finished first, which takes at most the former term plus the duration
/// of the longest order, counted from the takeover.
pub fn unfenced_wait(
    old_term: Duration,
    longest_order: Duration,
    since_taken: Duration,
) -> Duration {
    old_term
        .saturating_add(longest_order)
        .saturating_sub(since_taken)
}

/// One tenure of a lease.
#[derive(Clone, Copy, Debug)]
struct Grant {
    epoch: Epoch,
    /// Taken before the last confirmed call was sent; `None` once authority has ended.
    stamp: Option<Stamp>,
    term: Duration,
    /// Term of the lease before this tenure.
    old_term: Duration,
    /// When this tenure began.
    taken_at: Instant,
    /// Since when this node has had authority, in this tenure and those directly before.
    held_since: Instant,
}

/// This node's authority over one duty; clones share it.
#[derive(Clone)]
pub struct Authority {
    clock: SharedClock,
    grant: Rc<Cell<Option<Grant>>>,
}

impl Authority {
    /// Returns an authority that has not been granted yet.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            grant: Rc::default(),
        }
    }

    /// Returns whether this node may act now.
    pub fn holds(&self) -> bool {
        self.left() > Duration::ZERO
    }

    /// Returns how long this node may still act; zero without authority.
    pub fn left(&self) -> Duration {
        let Some(grant) = self.grant.get() else {
            return Duration::ZERO;
        };
        let Some(stamp) = grant.stamp else {
            return Duration::ZERO;
        };
        let left = time_left(self.clock.elapsed(stamp), grant.term);
        if left.is_zero() {
            // A tenure that has ended stays ended, whatever the clocks read later.
            self.grant.set(Some(Grant {
                stamp: None,
                ..grant
            }));
        }
        left
    }

    /// Returns the epoch (fencing token) of the last tenure; 0 before the first.
    pub fn epoch(&self) -> Epoch {
        self.grant
            .get()
            .map(|grant| grant.epoch)
            .unwrap_or_default()
    }

    /// Returns since when this node has had authority without a break; `None` without authority.
    pub fn held_since(&self) -> Option<Instant> {
        let grant = self.grant.get().filter(|_| self.holds())?;
        Some(grant.held_since)
    }

    /// Returns a permit to act in the current tenure; `None` without authority.
    pub fn permit(&self) -> Option<Permit> {
        self.holds().then(|| Permit {
            epoch: self.epoch(),
            authority: self.clone(),
        })
    }

    /// Returns the time to wait before the first order to a server that does not check
    /// fencing tokens; see [`unfenced_wait`].
    pub fn unfenced_wait(&self, longest_order: Duration) -> Duration {
        let Some(grant) = self.grant.get() else {
            return Duration::MAX;
        };
        // Uses the monotonic clock: a jump of the wall clock must not shorten the wait.
        let since_taken = self.clock.now().saturating_duration_since(grant.taken_at);
        unfenced_wait(grant.old_term, longest_order, since_taken)
    }

    /// Grants or renews authority for `term` from `stamp`.
    ///
    /// `stamp` must have been taken before the call that renewed the lease was sent.
    pub(crate) fn grant(&self, epoch: Epoch, stamp: Stamp, term: Duration, old_term: Duration) {
        let current = self.grant.get().filter(|grant| grant.epoch == epoch);
        let now = self.clock.now();
        let initial = Grant {
            epoch,
            stamp: None,
            term,
            old_term,
            taken_at: now,
            held_since: self.held_since().unwrap_or(now),
        };
        let held_since = initial.held_since;
        self.grant.set(Some(Grant {
            stamp: Some(stamp),
            term,
            held_since,
            ..current.unwrap_or(initial)
        }));
    }

    /// Ends authority at once.
    pub(crate) fn end(&self) {
        let ended = self.grant.get().map(|grant| Grant {
            stamp: None,
            ..grant
        });
        self.grant.set(ended);
    }
}

/// Permission to act in one tenure of a lease; invalid once that tenure ends.
#[derive(Clone)]
pub struct Permit {
    epoch: Epoch,
    authority: Authority,
}

impl Permit {
    /// Returns the tenure's epoch (fencing token).
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns whether the tenure is still valid; to be checked directly before a write.
    ///
    /// A lease that was lost and acquired again has another epoch, so an order
    /// prepared in the earlier tenure is not sent.
    pub fn allowed(&self) -> bool {
        self.left() > Duration::ZERO
    }

    /// Returns the time left of the tenure; zero once it has ended.
    pub fn left(&self) -> Duration {
        if self.authority.epoch() == self.epoch {
            self.authority.left()
        } else {
            Duration::ZERO
        }
    }
}
