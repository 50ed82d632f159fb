//! Leases: one object for each duty, and the decisions about it.
//!
//! No clock is compared between VMs. A holder counts its own term; another
//! node takes the lease over after it has seen the same version of the object,
//! unchanged, for the term and a margin on its own clock.

use std::time::Duration;

use pomeloridge_base::clock::Stamp;
use pomeloridge_base::id::{Epoch, Incarnation, Name};

/// A lease renews once this part of its term has passed.
const RENEWALS_PER_TERM: u32 = 3;

/// The content of a lease object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Node that holds the lease; empty if it was given up.
    pub holder: Name,
    /// Start of that node.
    pub incarnation: Incarnation,
    /// Count of the takings so far.
    pub epoch: Epoch,
    /// Time that each renewal lasts.
    pub term: Duration,
    /// Tells this write from every other.
    pub nonce: String,
}

/// What a node brings to a duty.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// Name of the duty.
    pub duty: Name,
    /// Name of this node.
    pub holder: Name,
    /// Start of this node.
    pub incarnation: Incarnation,
    /// Time that a renewal lasts.
    pub term: Duration,
    /// Time that is waited on top of another holder's term.
    pub margin: Duration,
    /// What it means that there is no lease object.
    pub when_missing: MissingLease,
}

/// What it means that there is no lease object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MissingLease {
    /// It may have been deleted under its holder, so that a term is waited for.
    #[default]
    Deleted,
    /// The object service loses nothing and nobody deletes leases: there was none.
    NeverHeld,
}

impl LeaseConfig {
    /// Key of the lease object.
    pub fn key(&self) -> String {
        format!("lease/{}", self.duty)
    }

    pub(crate) fn lease(&self, epoch: Epoch, nonce: String) -> Lease {
        Lease {
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            epoch,
            term: self.term,
            nonce,
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

/// Whose a lease object is.
#[derive(Clone, Debug)]
pub enum Ownership {
    /// This node's, by the write that is given if it is still known.
    Own(Option<SentWrite>),
    /// Nobody's, or another node's.
    Other,
}

/// Decides whose a lease is that was read.
///
/// An earlier start of the same node counts as another node: it may still run.
pub fn ownership(lease: &Lease, config: &LeaseConfig, sent: &[SentWrite]) -> Ownership {
    if lease.holder != config.holder || lease.incarnation != config.incarnation {
        return Ownership::Other;
    }
    let known = sent.iter().find(|sent| sent.nonce == lease.nonce);
    Ownership::Own(known.cloned())
}

/// Decides whether a lease may be taken over that has been seen unchanged for `unchanged_for`.
///
/// A lease that was given up is free at once. For one without an object, this node's
/// own term is waited for if it may have been deleted under its holder.
pub fn may_take(lease: Option<&Lease>, config: &LeaseConfig, unchanged_for: Duration) -> bool {
    let term = lease.map_or(config.term, |lease| lease.term);
    let given_up = match lease {
        Some(lease) => lease.holder.is_empty(),
        None => config.when_missing == MissingLease::NeverHeld,
    };
    given_up || unchanged_for >= term.saturating_add(config.margin)
}

/// Decides whether a lease must be renewed that was renewed `elapsed` ago.
pub fn is_renewal_due(elapsed: Duration, term: Duration) -> bool {
    elapsed >= term / RENEWALS_PER_TERM
}

/// The epoch of the next taking, given the highest that this node has seen.
pub fn next_epoch(highest: Epoch) -> Epoch {
    Epoch(highest.0 + 1)
}
