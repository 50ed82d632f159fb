//! Leases: one object for each duty, and the decisions about it.
//!
//! Clocks are not compared between VMs. A holder measures its term on its own clock.
//! Another node takes the lease over once the object has stayed at the same version for
//! the term plus a margin, on that node's own clock. The node counts from when it first read the
//! version, or from when the holder told of it.
//!
//! A service that is restored from an older copy may have lost any write of a lease, so what it
//! holds says nothing about who held the lease last. That holder's authority counts from a write
//! before the restore. Another node therefore waits for a term and a margin from when it first
//! sees the new era, and writes an epoch of that era, higher than all before. The holder itself
//! need not wait while it has authority, as no other node can have taken the lease meanwhile.
//!
//! The first era of a service is 0 or 1, so era 1 alone does not tell whether the service was
//! restored. Each lease therefore names the lowest era in which it was held. A node that finds a
//! lower one than the present era knows that the service may have lost changes.

use std::time::Duration;

use pomeloridge_base::clock::Stamp;
use pomeloridge_base::id::{Epoch, Era, Incarnation, Name, Revision};

/// A lease is renewed once 1/N of its term has passed.
const RENEWALS_PER_TERM: u32 = 3;

/// The content of a lease object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Node that holds the lease; empty if it was released.
    pub holder: Name,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Rises with each acquisition; also the fencing token of the holder's writes.
    pub epoch: Epoch,
    /// Time for which a renewal is valid.
    pub term: Duration,
    /// Identifies this write.
    pub nonce: String,
    /// Lowest era of the object service in which the lease was held.
    pub first_era: Era,
}

/// Configuration of a node's lease on one duty.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// Name of the duty.
    pub duty: Name,
    /// Name of this node.
    pub holder: Name,
    /// Incarnation of this node.
    pub incarnation: Incarnation,
    /// Time for which a renewal is valid.
    pub term: Duration,
    /// Time to wait in addition to another holder's term.
    pub margin: Duration,
    /// Meaning of a missing lease object.
    pub when_missing: MissingLease,
}

/// Meaning of a missing lease object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MissingLease {
    /// It may have been deleted while the lease was held, so a term must be waited for.
    #[default]
    Deleted,
    /// The lease was never held, unless a restored service has lost it: nobody deletes leases.
    NeverHeld,
}

impl LeaseConfig {
    /// Returns the key of the lease object.
    pub fn key(&self) -> String {
        format!("lease/{}", self.duty)
    }

    pub(crate) fn lease(&self, epoch: Epoch, nonce: String, first_era: Era) -> Lease {
        Lease {
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            epoch,
            term: self.term,
            nonce,
            first_era: first_era.min(epoch.era()),
        }
    }
}

/// A write of a lease whose outcome may be unknown.
#[derive(Clone, Debug)]
pub struct SentWrite {
    /// Nonce of the write.
    pub nonce: String,
    /// Taken before the write was sent.
    pub stamp: Stamp,
    /// Term of the lease before the write.
    pub old_term: Duration,
}

/// Owner of a lease object.
#[derive(Clone, Debug)]
pub enum Ownership {
    /// This node, with the write that stored this version if it is still known.
    Own(Option<SentWrite>),
    /// No node or another one.
    Other,
}

/// Determines the owner of a lease that was read.
///
/// An earlier incarnation of this node counts as another node, as it may still be running.
pub fn ownership(lease: &Lease, config: &LeaseConfig, sent: &[SentWrite]) -> Ownership {
    if lease.holder != config.holder || lease.incarnation != config.incarnation {
        return Ownership::Other;
    }
    let known = sent.iter().find(|sent| sent.nonce == lease.nonce);
    Ownership::Own(known.cloned())
}

/// Returns whether a lease that has stayed unchanged for `unchanged_for` may be taken over.
///
/// A released lease is free at once. If the object is missing and may have been deleted
/// while the lease was held, this node's own term applies.
pub fn may_take(lease: Option<&Lease>, config: &LeaseConfig, unchanged_for: Duration) -> bool {
    let term = lease.map_or(config.term, |lease| lease.term);
    let is_free = match lease {
        Some(lease) => lease.holder.is_empty(),
        None => config.when_missing == MissingLease::NeverHeld,
    };
    is_free || unchanged_for >= term.saturating_add(config.margin)
}

/// Returns whether a lease that was read is not the last one, as the service was restored since
/// it was acquired.
pub fn is_outdated(lease: &Lease, version: Revision) -> bool {
    lease.epoch.era() != version.era()
}

/// Returns whether the service was restored since the lease was first held.
pub fn shows_restore(lease: &Lease, version: Revision) -> bool {
    lease.first_era < version.era()
}

/// Returns whether a lease that a restored service has lost or holds as it was may be taken over,
/// once the service has been seen in its era for `seen_for`.
pub fn may_take_lost(lease: Option<&Lease>, config: &LeaseConfig, seen_for: Duration) -> bool {
    let term = lease.map_or(config.term, |lease| lease.term.max(config.term));
    seen_for >= term.saturating_add(config.margin)
}

/// Returns whether a lease last renewed `elapsed` ago must be renewed.
pub fn is_renewal_due(elapsed: Duration, term: Duration) -> bool {
    elapsed >= term / RENEWALS_PER_TERM
}

/// Returns the epoch of the next acquisition, given the highest epoch that this node has seen and
/// the version of the lease that it replaces.
///
/// In a service with eras it follows from that version, which only one write can replace.
pub fn next_epoch(highest: Epoch, replaced: Revision) -> Epoch {
    let next = highest.0 + 1;
    match replaced.era() {
        Era(0) => Epoch(next),
        _ => Epoch(next.max(replaced.0 + 1)),
    }
}
