//! Authority: the time for which a lease entitles its holder to act.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::clock::{SharedClock, Stamp};
use pomeloridge_base::id::Epoch;

/// Time that is left of a term after `elapsed`.
pub fn time_left(elapsed: Duration, term: Duration) -> Duration {
    term.saturating_sub(elapsed)
}

/// Time that a new holder has yet to wait before it orders a server that does
/// not check fencing numbers.
///
/// Such a server takes any order that still arrives, so the last order of the
/// former holder must have arrived and ended: the former lease's term and the
/// longest order, counted from the taking.
pub fn unfenced_wait(
    old_term: Duration,
    longest_order: Duration,
    since_taken: Duration,
) -> Duration {
    old_term
        .saturating_add(longest_order)
        .saturating_sub(since_taken)
}

/// One holding of a lease.
#[derive(Clone, Copy, Debug)]
struct Grant {
    epoch: Epoch,
    /// Taken before the last confirmed call was sent; `None` once the term ran out.
    stamp: Option<Stamp>,
    term: Duration,
    old_term: Duration,
    taken: Instant,
}

/// The authority of one duty on this node; clones see the same.
#[derive(Clone)]
pub struct Authority {
    clock: SharedClock,
    grant: Rc<Cell<Option<Grant>>>,
}

impl Authority {
    /// Authority that has not been granted.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            grant: Rc::default(),
        }
    }

    /// Whether this node may act now.
    pub fn holds(&self) -> bool {
        self.left() > Duration::ZERO
    }

    /// Time for which this node may act; zero without authority.
    pub fn left(&self) -> Duration {
        let Some(grant) = self.grant.get() else {
            return Duration::ZERO;
        };
        let Some(stamp) = grant.stamp else {
            return Duration::ZERO;
        };
        let left = time_left(self.clock.elapsed(stamp), grant.term);
        if left.is_zero() {
            // Once over, a holding stays over whatever the clocks say.
            self.grant.set(Some(Grant {
                stamp: None,
                ..grant
            }));
        }
        left
    }

    /// Fencing number of the last holding; 0 before the first.
    pub fn epoch(&self) -> Epoch {
        self.grant
            .get()
            .map(|grant| grant.epoch)
            .unwrap_or_default()
    }

    /// A permit to act in the present holding; `None` without authority.
    pub fn permit(&self) -> Option<Permit> {
        self.holds().then(|| Permit {
            epoch: self.epoch(),
            authority: self.clone(),
        })
    }

    /// Time to wait before the first order to a server that does not check fencing numbers.
    pub fn unfenced_wait(&self, longest_order: Duration) -> Duration {
        let Some(grant) = self.grant.get() else {
            return Duration::MAX;
        };
        // Only the monotonic clock counts here: a jump of the wall clock must
        // not shorten the wait.
        let since_taken = self.clock.now().saturating_duration_since(grant.taken);
        unfenced_wait(grant.old_term, longest_order, since_taken)
    }

    /// Grants or renews authority for `term` from `stamp`.
    ///
    /// `stamp` must have been taken before the call was sent that renewed the lease.
    pub(crate) fn grant(&self, epoch: Epoch, stamp: Stamp, term: Duration, old_term: Duration) {
        let same = self.grant.get().filter(|grant| grant.epoch == epoch);
        let first = Grant {
            epoch,
            stamp: None,
            term,
            old_term,
            taken: self.clock.now(),
        };
        self.grant.set(Some(Grant {
            stamp: Some(stamp),
            term,
            ..same.unwrap_or(first)
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

/// Leave to act in one holding of a lease; void once that holding ends.
#[derive(Clone)]
pub struct Permit {
    epoch: Epoch,
    authority: Authority,
}

impl Permit {
    /// Fencing number of the holding.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether the holding still goes on; to be checked directly before a write.
    ///
    /// A lease that was lost and taken again has another epoch, so an order
    /// that was prepared in the earlier holding is not sent.
    pub fn allowed(&self) -> bool {
        self.left() > Duration::ZERO
    }

    /// Time for which the holding goes on.
    pub fn left(&self) -> Duration {
        if self.authority.epoch() == self.epoch {
            self.authority.left()
        } else {
            Duration::ZERO
        }
    }
}
