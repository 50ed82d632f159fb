//! Record of another node, and its state as a function of its silence.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Incarnation;

use crate::member::{ListedNode, Member, MemberState};

/// Number of suspect times of silence after which a node is down.
const DOWN_FACTOR: u32 = 3;

/// Data on another node.
pub(crate) struct Record {
    pub(crate) member: Member,
    /// When its counter last grew, directly or through gossip.
    pub(crate) last_heard: Option<Instant>,
    /// When its last direct heartbeat arrived.
    pub(crate) last_direct: Option<Instant>,
    /// Version of its newest direct heartbeat.
    pub(crate) newest_direct: Option<(Incarnation, u64)>,
    /// When this incarnation became known.
    pub(crate) known_since: Instant,
    /// Whether the platform's last list contained it.
    pub(crate) listed: bool,
    /// Whether the platform's last list had its VM as leaving.
    pub(crate) vm_leaving: bool,
    /// Worst state that others reported since it was last heard.
    pub(crate) reported_state: Option<MemberState>,
    /// State at the last check, and when it changed.
    pub(crate) tracked_state: (MemberState, Instant),
}

impl Record {
    pub(crate) fn new(member: Member, now: Instant) -> Self {
        Self {
            member,
            last_heard: None,
            last_direct: None,
            newest_direct: None,
            known_since: now,
            listed: false,
            vm_leaving: false,
            reported_state: None,
            tracked_state: (MemberState::Suspect, now),
        }
    }

    /// Returns whether others reported it silent and it has not been heard since.
    pub(crate) fn is_reported_silent(&self) -> bool {
        self.reported_state.is_some()
    }

    pub(crate) fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_heard.unwrap_or(self.known_since))
    }

    pub(crate) fn state(&self, now: Instant, limit: Duration) -> MemberState {
        let silence = self.silence(now);
        let own = if silence > limit * DOWN_FACTOR {
            MemberState::Down
        } else if self.last_heard.is_none() || silence > limit {
            MemberState::Suspect
        } else if self.vm_leaving || self.member.state == MemberState::Leaving {
            MemberState::Leaving
        } else {
            MemberState::Live
        };
        self.reported_state.map_or(own, |other| other.max(own))
    }

    /// Returns the member as it is gossiped. The platform's leaving mark is left out:
    /// every node reads it from the platform, and it may be revoked.
    pub(crate) fn gossip_entry(&self, now: Instant, limit: Duration) -> Member {
        let state = self.state(now, limit);
        let mut member = self.member.clone();
        if !state.is_heard() {
            member.state = state;
        }
        member
    }
}

impl Member {
    /// Returns the key that orders messages about one node by age.
    pub(crate) fn version(&self) -> (Incarnation, u64) {
        (self.incarnation, self.counter)
    }
}

/// Returns a listed node that has not been heard; any heartbeat of its own is newer.
pub(crate) fn unheard_member(vm: &ListedNode) -> Member {
    Member {
        name: vm.name.clone(),
        address: vm.address,
        data_centre: vm.data_centre.clone(),
        incarnation: Incarnation::default(),
        state: MemberState::Live,
        counter: 0,
        reaches_platform: false,
    }
}
