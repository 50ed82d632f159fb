//! Which nodes there are and which of them are heard.
//!
//! Names come from the platform's list, which lags, and from other nodes.
//! A node is heard directly by its heartbeats, or through others when the
//! heartbeat counter that they tell of it grows. Silence makes it suspected and
//! then down. States told by others are taken over only together with a counter
//! at least as high as the own one, so that a node which still is heard by
//! anyone clears itself with its next heartbeat.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pomeloridge_base::clock::SharedClock;
use pomeloridge_base::id::Name;

use crate::member::{LinkOptions, ListedNode, Member, MemberState};
use crate::record::{Record, unheard_member};
use crate::timeline::Timeline;

/// Silence after which a node that the platform does not list is forgotten.
const FORGET_TIMEOUT: Duration = Duration::from_mins(1);
/// Members told in one heartbeat at most.
pub(crate) const MAX_GOSSIP_MEMBERS: usize = 128;
/// Time for which a change of state is told before anything else.
const RECENT_CHANGE: Duration = Duration::from_secs(5);

/// The nodes that a node knows of.
pub struct Membership {
    pub(crate) own: Member,
    pub(crate) options: LinkOptions,
    pub(crate) timeline: Timeline,
    pub(crate) records: BTreeMap<Name, Record>,
    /// Whether the platform says that the own VM will be taken away.
    pub(crate) own_vm_leaving: bool,
    /// When a relay or a push last brought news of the configuration.
    pub(crate) last_config_news: Instant,
    /// The relays of the own data centre at the last look.
    pub(crate) last_relays: Vec<Name>,
    /// The name after which the next heartbeat goes on telling members.
    cursor: Option<Name>,
}

impl Membership {
    /// A node that knows only itself.
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

    /// The node itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Begins a heartbeat: the node itself with its next counter.
    pub fn begin_heartbeat(&mut self, reaches_platform: bool) -> Member {
        self.own.counter += 1;
        self.own.reaches_platform = reaches_platform;
        self.own.clone()
    }

    /// Tells others from now on that the node is leaving.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving;
    }

    /// Whether the node is leaving.
    pub fn is_leaving(&self) -> bool {
        self.own.state == MemberState::Leaving
    }

    /// Takes over the platform's list.
    pub fn update_listed(&mut self, vms: &[ListedNode]) {
        let now = self.timeline.now();
        let is_own = |vm: &&ListedNode| vm.name == self.own.name;
        self.own_vm_leaving = vms.iter().find(is_own).is_some_and(|vm| vm.leaving);
        for record in self.records.values_mut() {
            record.listed = false;
            record.vm_leaving = false;
        }
        for vm in vms.iter().filter(|vm| vm.name != self.own.name) {
            let heard = self.is_heard(&vm.name);
            let record = self
                .records
                .entry(vm.name.clone())
                .or_insert_with(|| Record::new(unheard_member(vm), now));
            record.listed = true;
            record.vm_leaving = vm.leaving;
            // The list lags: it counts only for nodes that don't speak for themselves.
            if !heard {
                record.member.address = vm.address;
                record.member.data_centre = vm.data_centre.clone();
            }
        }
    }

    /// Takes in what a node says of itself; false if an older start of it spoke.
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

    /// Whether a heartbeat is the newest that a heard node gave this node itself.
    ///
    /// Two exchanges with a node may overtake each other; what the older one says of
    /// the node's work must not take the place of the newer.
    pub fn record_newest(&mut self, from: &Member) -> bool {
        let Some(record) = self.records.get_mut(&from.name) else {
            return false;
        };
        let version = from.version();
        let newest = record.newest_direct.is_none_or(|told| version > told);
        if newest {
            record.newest_direct = Some(version);
        }
        newest
    }

    /// Takes in what a node tells of others.
    pub fn merge_gossip(&mut self, members: &[Member]) {
        let now = self.timeline.now();
        let own = self.own.name.clone();
        for told in members.iter().filter(|told| told.name != own) {
            let newer = match self.records.get(&told.name) {
                Some(record) => told.version() > record.member.version(),
                None => true,
            };
            if told.state.is_heard() {
                if newer
                    && self.merge_member(told, now)
                    && let Some(record) = self.records.get_mut(&told.name)
                {
                    record.last_heard = Some(now);
                    record.reported_state = None;
                }
            } else if let Some(record) = self.records.get_mut(&told.name)
                && told.version() >= record.member.version()
            {
                record.reported_state = record.reported_state.max(Some(told.state));
            }
        }
    }

    /// Forgets nodes that are neither listed nor heard for a time.
    pub fn remove_silent(&mut self) {
        let now = self.timeline.now();
        self.records.retain(|name, record| {
            let keep = record.listed || record.silence(now) < FORGET_TIMEOUT;
            if !keep {
                log::info!("member={name} state=forgotten reason=silent_and_unlisted");
            }
            keep
        });
    }

    /// Logs changes of state and relays and notes when they were seen; to be
    /// called with each heartbeat.
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

    /// Every other node, with the state it is in.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        let now = self.timeline.now();
        let limit = self.silence_limit();
        self.records.values().map(move |record| Member {
            state: record.state(now, limit),
            ..record.member.clone()
        })
    }

    /// The state of a node; `None` if it is not known.
    pub fn state(&self, name: &Name) -> Option<MemberState> {
        if *name == self.own.name {
            return Some(self.own.state);
        }
        let record = self.records.get(name)?;
        Some(record.state(self.timeline.now(), self.silence_limit()))
    }

    /// One other node, with the state it is in.
    pub fn member(&self, name: &Name) -> Option<Member> {
        let record = self.records.get(name)?;
        let state = record.state(self.timeline.now(), self.silence_limit());
        Some(Member {
            state,
            ..record.member.clone()
        })
    }

    /// The members to tell in the next heartbeat: fresh changes of state first,
    /// then the others in turn. The number is bounded.
    pub fn next_gossip(&mut self) -> Vec<Member> {
        let now = self.timeline.now();
        let limit = self.silence_limit();
        let mut news: Vec<_> = (self.records.iter())
            .filter(|(_, record)| now.duration_since(record.tracked_state.1) < RECENT_CHANGE)
            .map(|(name, record)| (record.tracked_state.1, name.clone()))
            .collect();
        news.sort_by(|a, b| b.cmp(a));
        // Half of the room stays for the others, so that counters always go round.
        news.truncate(MAX_GOSSIP_MEMBERS / 2);
        let mut names: Vec<_> = news.into_iter().map(|(_, name)| name).collect();
        let start = self.cursor.take().unwrap_or_default();
        let turn = (self.records.range(start.clone()..)).chain(self.records.range(..start));
        for name in turn.map(|(name, _)| name) {
            if names.len() >= MAX_GOSSIP_MEMBERS {
                self.cursor = Some(name.clone());
                break;
            }
            if !names.contains(name) {
                names.push(name.clone());
            }
        }
        let told = names.iter().filter_map(|name| self.records.get(name));
        told.map(|record| record.gossip_entry(now, limit)).collect()
    }

    /// Silence after which a node is suspected: longer in a fleet so large that
    /// counters take several heartbeats to go round.
    pub(crate) fn silence_limit(&self) -> Duration {
        let rounds = self.records.len() / MAX_GOSSIP_MEMBERS;
        self.options.suspect * (1 + 2 * rounds as u32)
    }

    fn is_heard(&self, name: &Name) -> bool {
        self.state(name).is_some_and(MemberState::is_heard)
    }

    /// Takes over a member's own words; false if they are of an older start.
    fn merge_member(&mut self, told: &Member, now: Instant) -> bool {
        let Some(record) = self.records.get_mut(&told.name) else {
            log::info!(
                "member={} state={} reason=first_heard",
                told.name,
                told.state
            );
            let mut record = Record::new(told.clone(), now);
            record.tracked_state = (told.state, now);
            self.records.insert(told.name.clone(), record);
            return true;
        };
        if told.incarnation < record.member.incarnation {
            return false;
        }
        if told.incarnation > record.member.incarnation {
            record.known_since = now;
            record.last_direct = None;
            record.member = told.clone();
            return true;
        }
        // Leaving is not taken back within an incarnation, whatever arrives late.
        let leaving = [told.state, record.member.state].contains(&MemberState::Leaving);
        if told.counter >= record.member.counter {
            record.member = told.clone();
        }
        if leaving {
            record.member.state = MemberState::Leaving;
        }
        true
    }
}
