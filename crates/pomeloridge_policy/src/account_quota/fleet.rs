//! Which nodes hold an account's allotment, and whether this node may grant.

use std::time::{Duration, Instant};

use derive_more::Display;

use super::{AccountId, AccountLimit, HOLD_TIME, NodeId, Part, QuotaTerms, REPLACE_TIME};
use crate::hash::splitmix64;

/// A node that another one knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownNode {
    /// Node.
    pub id: NodeId,
    /// Whether it is in the same data centre.
    pub is_local: bool,
    /// Time since it was heard, or was listed if it never was.
    pub silence: Duration,
}

/// The nodes as one of them knows them.
#[derive(Debug)]
pub struct FleetView {
    own: NodeId,
    /// This node and the others, sorted.
    nodes: Vec<KnownNode>,
}

/// What a node knows of its contact to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetFacts {
    /// Whether it has learned which nodes exist.
    pub knows_nodes: bool,
    /// Whether the others have known it before it started.
    pub is_restarted: bool,
    /// Whether it hears the majority of the nodes.
    pub hears_majority: bool,
}

impl FleetView {
    /// Creates the view of a node from the other nodes that it knows.
    pub fn new(own: NodeId, mut nodes: Vec<KnownNode>) -> Self {
        nodes.retain(|node| node.id != own);
        nodes.push(KnownNode {
            id: own,
            is_local: true,
            silence: Duration::ZERO,
        });
        nodes.sort_unstable_by_key(|node| node.id);
        Self { own, nodes }
    }

    /// Returns the number of nodes.
    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the nodes among which holders are chosen to be asked.
    pub(super) fn asked(&self) -> Vec<NodeId> {
        self.silent_for_less_than(REPLACE_TIME).collect()
    }

    /// Returns the nodes whose places this node does not take. A silent one may grant for as long
    /// as the others still count it, and what it granted counts for one window.
    pub(super) fn blockers(&self, window: Duration) -> Vec<NodeId> {
        self.silent_for_less_than(REPLACE_TIME + window).collect()
    }

    /// Returns whether one of the former view's nodes is no longer among the blockers.
    pub(super) fn lacks_blocker_of(&self, former: &Self, window: Duration) -> bool {
        let current = self.blockers(window);
        let former = former.blockers(window);
        let mut former = former.iter();
        former.any(|node| current.binary_search(node).is_err())
    }

    fn silent_for_less_than(&self, time: Duration) -> impl Iterator<Item = NodeId> {
        let nodes = self.nodes.iter();
        let nodes = nodes.filter(move |node| node.silence < time);
        nodes.map(|node| node.id)
    }

    /// Returns an account's holders, in the order in which this node prefers to ask them: itself,
    /// those in its data centre, the others.
    pub(super) fn holders(
        &self,
        account: AccountId,
        limit: AccountLimit,
        terms: QuotaTerms,
    ) -> Vec<NodeId> {
        let asked = self.nodes.iter();
        let asked = asked.filter(|node| node.silence < REPLACE_TIME);
        let mut ranked: Vec<&KnownNode> = asked.collect();
        ranked.sort_unstable_by_key(|node| std::cmp::Reverse(score(account, node.id)));
        ranked.truncate(limit.holders(terms, ranked.len()));
        // Nodes prefer different ones, so that the holders are asked equally often.
        ranked.sort_unstable_by_key(|node| {
            let distance = splitmix64(self.own.0 ^ node.id.0);
            (node.id != self.own, !node.is_local, distance)
        });
        ranked.into_iter().map(|node| node.id).collect()
    }

    /// Returns this node's part of an account's limit, if it is a holder.
    pub(super) fn own_part(
        &self,
        account: AccountId,
        limit: AccountLimit,
        terms: QuotaTerms,
    ) -> Option<Part> {
        let own = score(account, self.own);
        let (mut nodes, mut rank) = (0, 0);
        for node in self.silent_for_less_than(REPLACE_TIME + terms.window) {
            nodes += 1;
            rank += usize::from(score(account, node) > own);
        }
        (rank < limit.holders(terms, nodes)).then(|| limit.part(terms, nodes))
    }
}

/// Returns a node's score in the ranking of an account's holders.
fn score(account: AccountId, node: NodeId) -> (u64, NodeId) {
    (splitmix64(splitmix64(account.0) ^ node.0), node)
}

/// Whether a node begins or ceases to grant.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StandingChange {
    /// It begins to.
    #[display("grant")]
    Granting,
    /// It has not heard the majority for too long.
    #[display("hold")]
    Holding,
}

/// The outcome of an update of a node's standing.
pub(super) struct StandingUpdate {
    pub(super) change: Option<StandingChange>,
    /// Whether other nodes may have taken this node's places meanwhile.
    pub(super) is_lost: bool,
}

/// Whether a node may grant what it holds.
#[derive(Debug, Default)]
pub(super) struct Standing {
    /// From when on the nodes whose places it takes know of it.
    settled_at: Option<Instant>,
    /// When it last heard the majority.
    assured_at: Option<Instant>,
    /// Whether it has lost its places since it started.
    has_lost: bool,
    /// When it last took the places of a silent node.
    departed_at: Option<Instant>,
    is_granting: bool,
}

impl Standing {
    pub(super) fn record_departure(&mut self, now: Instant) {
        self.departed_at = Some(now);
    }

    pub(super) fn record_known(&mut self, window: Duration, now: Instant) {
        self.settled_at.get_or_insert(now + window);
    }

    /// Returns the time from which what this node may grant fills; `None` if it may not grant.
    pub(super) fn granting_from(&self, now: Instant) -> Option<Instant> {
        let settled_at = self.settled_at.filter(|at| *at <= now)?;
        let heard_lately = |at| now.saturating_duration_since(at) < HOLD_TIME;
        if !self.assured_at.is_some_and(heard_lately) {
            return None;
        }
        Some(settled_at.max(self.departed_at.unwrap_or(settled_at)))
    }

    pub(super) fn update(
        &mut self,
        facts: FleetFacts,
        window: Duration,
        now: Instant,
    ) -> StandingUpdate {
        let mut is_lost = false;
        if facts.knows_nodes {
            let settled_at = self.settled_at.get_or_insert(now + window);
            if facts.is_restarted && !self.has_lost {
                *settled_at = (*settled_at).min(now);
            }
        }
        if facts.knows_nodes && facts.hears_majority {
            is_lost = self
                .assured_at
                .is_some_and(|at| now.saturating_duration_since(at) >= HOLD_TIME);
            if is_lost {
                self.has_lost = true;
                self.settled_at = Some(now + window);
            }
            self.assured_at = Some(now);
        }
        let is_granting = self.granting_from(now).is_some();
        let change = if is_granting {
            StandingChange::Granting
        } else {
            StandingChange::Holding
        };
        let was_granting = std::mem::replace(&mut self.is_granting, is_granting);
        StandingUpdate {
            change: (was_granting != is_granting).then_some(change),
            is_lost,
        }
    }
}
