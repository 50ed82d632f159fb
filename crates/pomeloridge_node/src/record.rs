//! What is kept of another node, and how silence makes its state.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Incarnation;

use crate::member::{ListedNode, Member, MemberState};

/// Suspect times of silence after which a node is held to be down.
const DOWN_FACTOR: u32 = 3;

/// What is kept of another node.
pub(crate) struct Record {
    pub(crate) member: Member,
    /// When its counter was last seen to grow, directly or through others.
    pub(crate) last_heard: Option<Instant>,
    /// When it last spoke to this node itself.
    pub(crate) last_direct: Option<Instant>,
    /// The newest heartbeat that it gave this node itself.
    pub(crate) newest_direct: Option<(Incarnation, u64)>,
    /// When this incarnation became known.
    pub(crate) known_since: Instant,
    pub(crate) listed: bool,
    pub(crate) vm_leaving: bool,
    /// The worst state that others told of it since it was last heard.
    pub(crate) reported_state: Option<MemberState>,
    /// The state at the last look, and when it became so.
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

    /// Whether others said that they don't hear it, and it has not been heard since.
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

    /// The member as it is told to others: the platform's mark is left out,
    /// because every node has it from the platform, and it may be taken back.
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
    /// Orders what is told of one node by age.
    pub(crate) fn version(&self) -> (Incarnation, u64) {
        (self.incarnation, self.counter)
    }
}

/// A listed node that has not spoken yet: any word of its own is newer.
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
