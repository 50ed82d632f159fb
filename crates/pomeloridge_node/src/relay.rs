//! Selection of relays: the nodes that watch the object service.
//!
//! The platform counts every call, pending watches included. Two nodes of each data
//! centre watch the service and push changes to the others, which read it
//! themselves only when no relay has been heard for some seconds.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;

use crate::member::MemberState;
use crate::membership::Membership;
use crate::rendezvous::weight;

/// Number of nodes per data centre that watch the object service.
const RELAYS_PER_DATA_CENTRE: usize = 2;
/// Silence of all relays after which a node reads the service itself.
const CONFIG_SILENCE_LIMIT: Duration = Duration::from_secs(3);

impl Membership {
    /// Returns the relays of a data centre: chosen by rendezvous hash among its live
    /// nodes, those that reach the platform first.
    pub fn relays(&self, data_centre: &Name) -> Vec<Name> {
        let own = (!self.own_vm_leaving).then(|| self.own.clone());
        let mut live: Vec<_> = (self.members().chain(own))
            .filter(|member| member.state == MemberState::Live)
            .filter(|member| member.data_centre == *data_centre)
            .map(|member| {
                let weight = weight(data_centre.as_bytes(), member.name.as_bytes());
                (member.reaches_platform, weight, member.name)
            })
            .collect();
        live.sort_by(|a, b| b.cmp(a));
        live.truncate(RELAYS_PER_DATA_CENTRE);
        live.into_iter().map(|(_, _, name)| name).collect()
    }

    /// Returns whether this node is one of the `count` live nodes, by rendezvous
    /// hash, that try to acquire a duty's lease.
    pub fn is_candidate(&self, duty: &Name, count: usize) -> bool {
        if self.own.state != MemberState::Live {
            return false;
        }
        let own = weight(duty.as_bytes(), self.own.name.as_bytes());
        let ahead = self.members().filter(|member| {
            let rank = weight(duty.as_bytes(), member.name.as_bytes());
            member.state == MemberState::Live && (rank, &member.name) > (own, &self.own.name)
        });
        ahead.count() < count
    }

    /// Returns whether this node is a relay of its data centre.
    pub fn is_relay(&self) -> bool {
        self.relays(&self.own.data_centre).contains(&self.own.name)
    }

    /// Returns whether this node must read the configuration from the service itself
    /// because no relay has been heard for some seconds.
    pub fn must_read_directly(&self) -> bool {
        let silence = (self.timeline.now()).saturating_duration_since(self.last_config_news);
        silence > CONFIG_SILENCE_LIMIT && !self.is_relay()
    }

    /// Records that configuration was pushed to this node.
    pub fn record_push(&mut self) {
        self.last_config_news = self.timeline.now();
    }

    /// Updates the relays and logs a change. A relay that reaches the platform counts as
    /// news of the configuration: its digests show whether anything changed.
    pub(crate) fn track_relays(&mut self, now: Instant) {
        let relays = self.relays(&self.own.data_centre);
        let mut others = relays.iter().filter_map(|name| self.records.get(name));
        if others.any(|record| record.member.reaches_platform) {
            self.last_config_news = now;
        }
        if relays != self.last_relays {
            let names: Vec<_> = relays.iter().map(Name::as_str).collect();
            let (names, centre) = (names.join(","), &self.own.data_centre);
            log::info!("relays={names} data_centre={centre} reason=rendezvous_of_live");
            self.last_relays = relays;
        }
    }
}
