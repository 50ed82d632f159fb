//! Whether a node is cut off from the fleet.
//!
//! A node that reaches neither the object service nor more than half of the
//! known nodes can't know of withdrawn keys and must refuse new work. When it
//! hears more than half of the nodes it is on the larger side: what the others
//! learn comes to it, and if none of them reaches the service either, that is
//! an outage during which serving goes on.

use std::time::Duration;

use derive_more::Display;

use crate::membership::Membership;

/// How many nodes there are and how many are heard, the node itself included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    /// Nodes heard within the cut-off time.
    pub heard: usize,
    /// Nodes known.
    pub known: usize,
    /// Heard nodes, without the node itself, that say that they reach the platform.
    pub reaching_platform: usize,
}

impl Reach {
    /// Whether more than half of the known nodes are heard.
    pub fn is_majority(self) -> bool {
        self.heard * 2 > self.known
    }
}

/// How a node stands to the platform and the fleet.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Connectivity {
    /// It reaches the platform.
    #[display("connected")]
    Connected,
    /// It reaches more than half of the nodes, and some of them the platform.
    #[display("through_peers")]
    ThroughPeers,
    /// It reaches more than half of the nodes, and none reaches the platform.
    #[display("outage")]
    Outage,
    /// It reaches neither the platform nor more than half of the nodes.
    #[display("cut_off")]
    CutOff,
}

impl Membership {
    /// How many nodes are heard and known.
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
        // Without a word from any node itself, what others told of it is old.
        let spoken = (self.records.values()).any(|record| is_fresh(record.last_direct, cut_off));
        let heard = (self.records.values()).filter(|record| {
            spoken && !record.is_reported_silent() && is_fresh(record.last_heard, window)
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

    /// How the node stands, `platform_silence` after it last reached the object service.
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

    /// Whether new work must be refused, `platform_silence` after the object
    /// service was last reached.
    pub fn is_cut_off(&self, platform_silence: Duration) -> bool {
        self.connectivity(platform_silence) == Connectivity::CutOff
    }
}
