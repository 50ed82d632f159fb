//! Detection of nodes that are cut off from the fleet.
//!
//! A node that reaches neither the object service nor more than half of the
//! known nodes can't learn of withdrawn keys and must refuse new work. A node that
//! hears more than half of them is on the majority side of a partition: it
//! receives what the others learn. If none of them reaches the service either,
//! this is an outage, during which serving continues.

use std::time::Duration;

use derive_more::Display;

use crate::membership::Membership;

/// Numbers of known and heard nodes, both including the node itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    /// Nodes heard within the cut-off time.
    pub heard: usize,
    /// Known nodes.
    pub known: usize,
    /// Heard nodes, without the node itself, that report reaching the platform.
    pub reaching_platform: usize,
}

impl Reach {
    /// Returns whether more than half of the known nodes are heard.
    pub fn is_majority(self) -> bool {
        self.heard * 2 > self.known
    }
}

/// Connection of a node to the platform and to the fleet.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Connectivity {
    /// Reaches the platform.
    #[display("connected")]
    Connected,
    /// Reaches more than half of the nodes, at least one of which reaches the platform.
    #[display("through_peers")]
    ThroughPeers,
    /// Reaches more than half of the nodes, none of which reaches the platform.
    #[display("outage")]
    Outage,
    /// Reaches neither the platform nor more than half of the nodes.
    #[display("cut_off")]
    CutOff,
}

impl Membership {
    /// Counts the known and the heard nodes.
    pub fn reach(&self) -> Reach {
        let now = self.timeline.now();
        let cut_off = self.options.cut_off;
        let window = if self.is_full_mesh() {
            cut_off
        } else {
            self.silence_limit().max(cut_off)
        };
        let is_fresh =
            |at: Option<_>, time| at.is_some_and(|at| now.saturating_duration_since(at) <= time);
        let known = self.records.len() + 1;
        // Without a recent direct heartbeat, all gossip is outdated too.
        let heard_directly =
            (self.records.values()).any(|record| is_fresh(record.last_direct, cut_off));
        let heard = (self.records.values()).filter(|record| {
            heard_directly && !record.is_reported_silent() && is_fresh(record.last_heard, window)
        });
        let (heard, reaching_platform) = heard.fold((1, 0), |(heard, reaching), record| {
            (
                heard + 1,
                reaching + usize::from(record.member.reaches_platform),
            )
        });
        Reach {
            heard,
            known,
            reaching_platform,
        }
    }

    /// Returns the connectivity, `platform_silence` after the object service was last
    /// reached.
    pub fn connectivity(&self, platform_silence: Duration) -> Connectivity {
        if platform_silence < self.options.cut_off {
            return Connectivity::Connected;
        }
        let reach = self.reach();
        match (reach.is_majority(), reach.reaching_platform) {
            (true, 0) => Connectivity::Outage,
            (true, _) => Connectivity::ThroughPeers,
            (false, _) => Connectivity::CutOff,
        }
    }

    /// Returns whether new work must be refused, `platform_silence` after the object
    /// service was last reached.
    pub fn is_cut_off(&self, platform_silence: Duration) -> bool {
        self.connectivity(platform_silence) == Connectivity::CutOff
    }
}
