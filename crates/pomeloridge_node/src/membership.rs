//! Known nodes and their liveness.
//!
//! Nodes are learned from the platform's list, which lags, and from other nodes.
//! A node is heard directly by its heartbeats, or through gossip when its
//! heartbeat counter in it grows. A silent node becomes suspect, then down.
//! A suspect or down state reported by others is adopted only with a counter at
//! least as high as the known one, so the next heartbeat of a node that is still
//! heard by anyone clears it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pomeloridge_base::clock::SharedClock;
use pomeloridge_base::id::Name;

use crate::member::{LinkOptions, ListedNode, Member, MemberState};
use crate::record::{Record, unheard_member};
use crate::timeline::Timeline;

/// Silence after which a node that the platform does not list is removed.
const FORGET_TIMEOUT: Duration = Duration::from_mins(1);
/// Maximum number of members in one heartbeat.
pub(crate) const MAX_GOSSIP_MEMBERS: usize = 128;
/// Age up to which a change of state takes precedence in gossip.
const RECENT_CHANGE: Duration = Duration::from_secs(5);

/// Nodes known to this node.
pub struct Membership {
    pub(crate) own: Member,
    pub(crate) options: LinkOptions,
    pub(crate) timeline: Timeline,
    pub(crate) records: BTreeMap<Name, Record>,
    /// Whether the platform lists this node's VM as leaving.
    pub(crate) own_vm_leaving: bool,
    /// When a relay's heartbeat or a push last confirmed or updated the configuration.
    pub(crate) last_config_news: Instant,
    /// Relays of this node's data centre at the last check.
    pub(crate) last_relays: Vec<Name>,
    /// Name at which the next heartbeat resumes the rotation through the members.
    cursor: Option<Name>,
}

impl Membership {
    /// Creates the membership of a node that knows only itself.
    pub fn new(own: Member, options: LinkOptions, clock: SharedClock) -> Self {
        let timeline = Timeline::new(clock);
        Self {
            own,
            options,
            own_vm_leaving: false,
            last_config_news: timeline.now(),
            last_relays: Vec::new(),
            timeline,
            records: BTreeMap::new(),
            cursor: None,
        }
    }

    /// Returns the node itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Increments the heartbeat counter and returns the node itself.
    pub fn begin_heartbeat(&mut self, reaches_platform: bool) -> Member {
        self.own.counter += 1;
        self.own.reaches_platform = reaches_platform;
        self.own.clone()
    }

    /// Marks the node as leaving in all further heartbeats.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving;
    }

    /// Returns whether the node is leaving.
    pub fn is_leaving(&self) -> bool {
        self.own.state == MemberState::Leaving
    }

    /// Applies the platform's list of VMs.
    pub fn update_listed(&mut self, vms: &[ListedNode]) {
        let now = self.timeline.now();
        let is_own = |vm: &&ListedNode| vm.name == self.own.name;
        self.own_vm_leaving = vms.iter().find(is_own).is_some_and(|vm| vm.leaving);
        for record in self.records.values_mut() {
            record.listed = false;
            record.vm_leaving = false;
        }
        for vm in vms.iter().filter(|vm| vm.name != self.own.name) {
            let is_heard = self.is_heard(&vm.name);
            let record = self
                .records
                .entry(vm.name.clone())
                .or_insert_with(|| Record::new(unheard_member(vm), now));
            record.listed = true;
            record.vm_leaving = vm.leaving;
            // The list lags, so a heard node's own data takes precedence.
            if !is_heard {
                record.member.address = vm.address;
                record.member.data_centre = vm.data_centre.clone();
            }
        }
    }

    /// Records a node's own heartbeat. Returns false if it is from an older incarnation.
    pub fn record_heartbeat(&mut self, from: &Member) -> bool {
        let now = self.timeline.now();
        if from.name == self.own.name || !self.merge_member(from, now) {
            return false;
        }
        if let Some(record) = self.records.get_mut(&from.name) {
            record.last_direct = Some(now);
            record.last_heard = Some(now);
            record.reported_state = None;
        }
        true
    }

    /// Records a direct heartbeat's version. Returns whether it is the newest of the node.
    ///
    /// Two exchanges with a node may overtake each other; the payload of the older one
    /// must not replace that of the newer.
    pub fn record_newest(&mut self, from: &Member) -> bool {
        let Some(record) = self.records.get_mut(&from.name) else {
            return false;
        };
        let version = from.version();
        let newest = record.newest_direct.is_none_or(|last| version > last);
        if newest {
            record.newest_direct = Some(version);
        }
        newest
    }

    /// Merges the members of a node's heartbeat.
    pub fn merge_gossip(&mut self, members: &[Member]) {
        let now = self.timeline.now();
        let own = self.own.name.clone();
        for member in members.iter().filter(|member| member.name != own) {
            let newer = match self.records.get(&member.name) {
                Some(record) => member.version() > record.member.version(),
                None => true,
            };
            if member.state.is_heard() {
                if newer
                    && self.merge_member(member, now)
                    && let Some(record) = self.records.get_mut(&member.name)
                {
                    record.last_heard = Some(now);
                    record.reported_state = None;
                }
            } else if let Some(record) = self.records.get_mut(&member.name)
                && member.version() >= record.member.version()
            {
                record.reported_state = record.reported_state.max(Some(member.state));
            }
        }
    }

    /// Removes nodes that are not listed and have been silent for `FORGET_TIMEOUT`.
    pub fn remove_silent(&mut self) {
        let now = self.timeline.now();
        self.records.retain(|name, record| {
            let retained = record.listed || record.silence(now) < FORGET_TIMEOUT;
            if !retained {
                log::info!("member={name} state=forgotten reason=silent_and_unlisted");
            }
            retained
        });
    }

    /// Records and logs changes of members' states and of relays; called once per
    /// heartbeat interval.
    pub fn track_changes(&mut self) {
        let now = self.timeline.now();
        let limit = self.silence_limit();
        for (name, record) in &mut self.records {
            let state = record.state(now, limit);
            if state != record.tracked_state.0 {
                let silence = record.silence(now).as_millis();
                log::info!("member={name} state={state} silence_ms={silence}");
                record.tracked_state = (state, now);
            }
        }
        self.track_relays(now);
    }

    /// Returns every other node with its current state.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        let now = self.timeline.now();
        let limit = self.silence_limit();
        self.records.values().map(move |record| Member {
            state: record.state(now, limit),
            ..record.member.clone()
        })
    }

    /// Returns the state of a node, or `None` if it is unknown.
    pub fn state(&self, name: &Name) -> Option<MemberState> {
        if *name == self.own.name {
            return Some(self.own.state);
        }
        let record = self.records.get(name)?;
        Some(record.state(self.timeline.now(), self.silence_limit()))
    }

    /// Returns one other node with its current state.
    pub fn member(&self, name: &Name) -> Option<Member> {
        let record = self.records.get(name)?;
        let state = record.state(self.timeline.now(), self.silence_limit());
        Some(Member {
            state,
            ..record.member.clone()
        })
    }

    /// Returns the members for the next heartbeat, at most `MAX_GOSSIP_MEMBERS`:
    /// recent changes of state first, then the others in turn.
    pub fn next_gossip(&mut self) -> Vec<Member> {
        let now = self.timeline.now();
        let limit = self.silence_limit();
        let mut changed: Vec<_> = (self.records.iter())
            .filter(|(_, record)| now.duration_since(record.tracked_state.1) < RECENT_CHANGE)
            .map(|(name, record)| (record.tracked_state.1, name.clone()))
            .collect();
        changed.sort_by(|a, b| b.cmp(a));
        // Half of the places stay for the others, so that every counter is still spread.
        changed.truncate(MAX_GOSSIP_MEMBERS / 2);
        let mut names: Vec<_> = changed.into_iter().map(|(_, name)| name).collect();
        let start = self.cursor.take().unwrap_or_default();
        let rotation = (self.records.range(start.clone()..)).chain(self.records.range(..start));
        for name in rotation.map(|(name, _)| name) {
            if names.len() >= MAX_GOSSIP_MEMBERS {
                self.cursor = Some(name.clone());
                break;
            }
            if !names.contains(name) {
                names.push(name.clone());
            }
        }
        let records = names.iter().filter_map(|name| self.records.get(name));
        records
            .map(|record| record.gossip_entry(now, limit))
            .collect()
    }

    /// Returns the silence after which a node is suspected: longer in a fleet so large
    /// that it takes several heartbeats to send all counters.
    pub(crate) fn silence_limit(&self) -> Duration {
        let rounds = self.records.len() / MAX_GOSSIP_MEMBERS;
        self.options.suspect * (1 + 2 * rounds as u32)
    }

    fn is_heard(&self, name: &Name) -> bool {
        self.state(name).is_some_and(MemberState::is_heard)
    }

    /// Merges a heard member. Returns false if it is from an older incarnation.
    fn merge_member(&mut self, member: &Member, now: Instant) -> bool {
        let Some(record) = self.records.get_mut(&member.name) else {
            log::info!(
                "member={} state={} reason=first_heard",
                member.name,
                member.state
            );
            let mut record = Record::new(member.clone(), now);
            record.tracked_state = (member.state, now);
            self.records.insert(member.name.clone(), record);
            return true;
        };
        if member.incarnation < record.member.incarnation {
            return false;
        }
        if member.incarnation > record.member.incarnation {
            record.known_since = now;
            record.last_direct = None;
            record.member = member.clone();
            return true;
        }
        // Leaving is final within an incarnation; a late message must not revert it.
        let leaving = [member.state, record.member.state].contains(&MemberState::Leaving);
        if member.counter >= record.member.counter {
            record.member = member.clone();
        }
        if leaving {
            record.member.state = MemberState::Leaving;
        }
        true
    }
}
