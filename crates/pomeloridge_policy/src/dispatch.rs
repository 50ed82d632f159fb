//! Which backend servers a request goes to, by the time at which its first piece
//! is predicted.
//!
//! An engine either reads prompts (prefill) or makes tokens (decode). A decode
//! engine also reads prompts itself, more slowly and between the tokens of its
//! batch. For each request the whole path is predicted: the prompt read on a
//! prefill engine and its memory moved, or everything on one decode engine. The
//! prediction adds the unread prompts ahead, as this node sent them and as its
//! peers last told, and takes off the shared parts that the engine holds.

mod engine_model;
mod load;
mod target;

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use slotmap::SlotMap;

pub use engine_model::{EngineModel, EngineSpec};
pub use load::{OwnLoad, PeerLoad, ReportedLoad};
pub use target::{Stage, Target, TargetInfo, TargetKey};

use crate::parts::Part;

slotmap::new_key_type! {
    /// A request that was sent to a server and has not ended there.
    pub struct SendKey;
}

/// Pause before the first probe of a server that could not be reached.
const FIRST_PROBE: Duration = Duration::from_millis(500);
/// Added to the prediction for a server in another data centre.
const DISTANCE: Duration = Duration::from_millis(2);
/// Time by which a separate prefill must be ahead to be worth the memory moved.
const MOVE_GAIN: Duration = Duration::from_millis(10);

/// The prompt of a request to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Length in tokens.
    pub tokens: u64,
    /// Parts in order; the last one belongs to the request or its session.
    pub parts: Vec<Part>,
}

impl PromptShape {
    /// The parts that requests of others share.
    fn shared(&self) -> &[Part] {
        let own = self.parts.len().saturating_sub(1);
        &self.parts[..own]
    }
}

/// What a request wants of a server.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Service that the route leads to.
    pub service: &'a Name,
    /// Prompt; `None` for a plain service.
    pub prompt: Option<&'a PromptShape>,
    /// Servers that have failed this request.
    pub tried: &'a [TargetKey],
    /// Whether the prompt may be read on another engine.
    pub apart: bool,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Server that runs it.
    pub run: TargetKey,
    /// Engine that reads the prompt first.
    pub prefill: Option<TargetKey>,
    /// Prompt tokens that are still to be read.
    pub unread: u64,
    /// Predicted time to the first piece.
    pub first: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Send {
    target: TargetKey,
    unread: u64,
}

/// The servers as this node sees them, and what it has sent to them.
#[derive(Debug)]
pub struct Dispatcher {
    data_centre: Name,
    model: EngineModel,
    targets: SlotMap<TargetKey, Target>,
    sends: SlotMap<SendKey, Send>,
    turn: usize,
}

impl Dispatcher {
    /// A view without servers, for a node in `data_centre`.
    pub fn new(data_centre: Name, model: EngineModel) -> Self {
        Self {
            data_centre,
            model,
            targets: SlotMap::with_key(),
            sends: SlotMap::with_key(),
            turn: 0,
        }
    }

    /// Takes the list of servers; one with the same identity keeps its state.
    pub fn sync(&mut self, list: Vec<TargetInfo>) {
        let same = |target: &Target, info: &TargetInfo| target.info.is_same_start(info);
        self.targets
            .retain(|_, target| list.iter().any(|info| same(target, info)));
        for info in list {
            match self.targets.values_mut().find(|target| same(target, &info)) {
                Some(target) => target.update(info),
                None => {
                    self.targets.insert(Target::new(info));
                }
            }
        }
    }

    /// A server of the current list.
    pub fn target(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Every server with its key.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets.iter()
    }

    /// The model by which engines are predicted.
    pub fn model(&self) -> &EngineModel {
        &self.model
    }

    /// Chooses where a request goes; `None` if no server may take it.
    pub fn choose(&mut self, wanted: &Wanted<'_>, now: Instant) -> Option<Plan> {
        self.turn = self.turn.wrapping_add(1);
        let mut usable = self.usable(wanted, now, false);
        if usable.is_empty() {
            // With none left, one that could not be reached lately is tried.
            usable = self.usable(wanted, now, true);
        }
        let plan = match wanted.prompt {
            Some(prompt) => self.plan_prompt(prompt, &usable, wanted.apart, now),
            None => self.least_loaded(&usable, now),
        }?;
        if let Some(target) = self.targets.get_mut(plan.run) {
            target.ejection.probe(now);
        }
        Some(plan)
    }

    /// Counts a request on a server.
    pub fn send(&mut self, key: TargetKey, unread: u64, parts: &[Part]) -> SendKey {
        if let Some(target) = self.targets.get_mut(key) {
            target.own.running += 1;
            target.own.unread += unread;
            target.parts.read(parts);
        }
        self.sends.insert(Send {
            target: key,
            unread,
        })
    }

    /// Notes that the server has read the request's prompt.
    pub fn prompt_read(&mut self, key: SendKey) {
        let Some(send) = self.sends.get_mut(key) else {
            return;
        };
        let read = std::mem::take(&mut send.unread);
        if let Some(target) = self.targets.get_mut(send.target) {
            target.own.unread = target.own.unread.saturating_sub(read);
        }
    }

    /// Ends a request on its server.
    pub fn end(&mut self, key: SendKey) {
        self.prompt_read(key);
        if let Some(send) = self.sends.remove(key)
            && let Some(target) = self.targets.get_mut(send.target)
        {
            target.own.running = target.own.running.saturating_sub(1);
        }
    }

    /// Notes the load that a server told with an answer.
    pub fn reported(&mut self, key: TargetKey, load: ReportedLoad) {
        if let Some(target) = self.targets.get_mut(key) {
            target.report = Some(load);
        }
    }

    /// Notes the load that a peer has put on the servers.
    pub fn peer_loads(&mut self, peer: &Name, loads: &[(Name, PeerLoad)]) {
        for target in self.targets.values_mut() {
            let told = loads.iter().find(|(id, _)| *id == target.info.id);
            target.peers.set(peer, told.map(|(_, load)| *load));
        }
    }

    /// What this node has put on the servers, for its peers.
    pub fn own_loads(&self) -> impl Iterator<Item = (&Name, u64, u32)> {
        let loaded = self
            .targets
            .values()
            .filter(|target| target.own.running > 0);
        loaded.map(|target| (&target.info.id, target.own.unread, target.own.running))
    }

    /// Takes a server out that could not be reached; says whether it was in before.
    pub fn eject(&mut self, key: TargetKey, now: Instant) -> bool {
        let target = self.targets.get_mut(key);
        target.is_some_and(|target| target.ejection.eject(FIRST_PROBE, now))
    }

    /// Takes a server back that answered; says whether it was out.
    pub fn answered(&mut self, key: TargetKey) -> bool {
        let target = self.targets.get_mut(key);
        target.is_some_and(|target| target.ejection.clear())
    }

    fn usable(&self, wanted: &Wanted<'_>, now: Instant, last_resort: bool) -> Vec<TargetKey> {
        let fits = |(key, target): &(TargetKey, &Target)| {
            target.info.service == *wanted.service
                && !target.info.leaving
                && !wanted.tried.contains(key)
                && (last_resort || target.ejection.may_try(now))
        };
        self.targets
            .iter()
            .filter(fits)
            .map(|(key, _)| key)
            .collect()
    }

    fn plan_prompt(
        &self,
        prompt: &PromptShape,
        usable: &[TargetKey],
        apart: bool,
        now: Instant,
    ) -> Option<Plan> {
        let stage = |wanted: Stage| {
            let keys = usable.iter().copied();
            keys.filter(move |key| self.targets[*key].info.stage == wanted)
        };
        let readers = stage(Stage::Prefill);
        let makers: Vec<TargetKey> = stage(Stage::Decode).chain(stage(Stage::Whole)).collect();
        let whole = self.soonest(prompt, &makers, now);
        let reader = apart
            .then(|| self.soonest(prompt, &readers.collect::<Vec<_>>(), now))
            .flatten();
        let maker = makers
            .iter()
            .copied()
            .min_by_key(|key| self.batch(*key, now));
        let split = reader.zip(maker).map(|(read, run)| Plan {
            run,
            prefill: Some(read.run),
            unread: read.unread,
            first: read.first + self.model.transfer(prompt.tokens),
        });
        match (whole, split) {
            (Some(whole), Some(split)) if split.first + MOVE_GAIN < whole.first => Some(split),
            (Some(whole), _) => Some(whole),
            // A prefill engine alone can't make tokens.
            (None, split) => split,
        }
    }

    /// The engine on which the prompt is read soonest.
    fn soonest(&self, prompt: &PromptShape, keys: &[TargetKey], now: Instant) -> Option<Plan> {
        let home = self.home(prompt, keys);
        let plans = keys.iter().map(|key| {
            let target = &self.targets[*key];
            let known = target.parts.leading(&prompt.parts);
            let shared: u64 = prompt.shared().iter().map(|part| part.tokens).sum();
            let held = if home == Some(*key) {
                known.max(shared)
            } else {
                known
            };
            let unread = prompt.tokens.saturating_sub(held).max(1);
            let ahead = target.unread(now);
            let first = self.model.first_piece(target, ahead + unread, now);
            Plan {
                run: *key,
                prefill: None,
                unread,
                first: first + self.distance(target),
            }
        });
        plans.min_by_key(|plan| plan.first)
    }

    /// The engine that all nodes take to hold the prompt's shared parts.
    fn home(&self, prompt: &PromptShape, keys: &[TargetKey]) -> Option<TargetKey> {
        let part = prompt.shared().last()?;
        let weight = |key: &TargetKey| mix(part.id ^ self.targets[*key].hash);
        keys.iter().copied().max_by_key(weight)
    }

    /// Requests in an engine's batch with a small preference for the own data centre.
    fn batch(&self, key: TargetKey, now: Instant) -> (u32, Duration, usize) {
        let target = &self.targets[key];
        let rotation = target.hash as usize ^ self.turn;
        (target.running(now), self.distance(target), rotation % 64)
    }

    fn least_loaded(&self, usable: &[TargetKey], now: Instant) -> Option<Plan> {
        let load = |key: &TargetKey| {
            let target = &self.targets[*key];
            let slots = u64::from(target.info.slots.max(1));
            let ahead = u64::from(target.running(now)) * 1000 / slots;
            (
                ahead,
                self.distance(target),
                target.hash as usize ^ self.turn,
            )
        };
        let run = usable.iter().copied().min_by_key(load)?;
        Some(Plan {
            run,
            prefill: None,
            unread: 0,
            first: self.distance(&self.targets[run]),
        })
    }

    fn distance(&self, target: &Target) -> Duration {
        if target.info.data_centre == self.data_centre {
            Duration::ZERO
        } else {
            DISTANCE
        }
    }
}

/// A well-mixed hash of a number, the same on every node (`SplitMix64`).
pub(crate) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
