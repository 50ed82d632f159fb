//! Which backend servers a request goes to, by the time at which its first piece
//! is predicted.
//!
//! An engine either reads prompts (prefill) or makes tokens (decode). A decode
//! engine also reads prompts itself, more slowly and between the tokens of its
//! batch. For each request the whole path is predicted: the prompt read on a
//! prefill engine and its memory moved, or everything on one decode engine. The
//! prediction adds the unread prompts ahead, as this node sent them and as its
//! peers last told, and takes off the shared parts that the engine holds.

mod calibration;
mod engine_model;
mod load;
mod target;

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use slotmap::SlotMap;

pub use engine_model::{EngineModel, EngineSpec};
pub use load::{NodeLoad, PeerLoad, ReportedLoad};
pub use target::{Stage, Target, TargetInfo, TargetKey};

use calibration::Calibration;

use crate::prompt_cache::PromptPart;

slotmap::new_key_type! {
    /// A request that was sent to a server and has not ended there.
    pub struct InFlightKey;
}

/// Pause before the first probe of a server that could not be reached.
const FIRST_PROBE: Duration = Duration::from_millis(500);
/// Pause before a server is tried again that refused a request unread.
const REFUSED_PAUSE: Duration = Duration::from_millis(250);
/// Time after which an engine that was ordered to another stage is used all the same.
const CHANGE_TIME: Duration = Duration::from_secs(6);
/// Servers beyond which only a sample of them is looked at.
const SAMPLE_ABOVE: usize = 40;
/// Size of that sample; large enough to hold engines of both stages.
const SAMPLE: usize = 24;
/// Servers of other data centres in that sample, if there are enough in the own one.
const SAMPLE_FAR: usize = 8;
/// Added to the prediction for a server in another data centre.
const DISTANCE: Duration = Duration::from_millis(5);
/// Tokens from which a shared part has a home engine.
const HOME_TOKENS: u64 = 1000;
/// A move of memory between data centres takes this many times as long.
const FAR_TRANSFER: u32 = 2;
/// Time by which a separate prefill must be ahead to be worth the memory moved.
const MOVE_GAIN: Duration = Duration::from_millis(10);

/// The prompt of a request to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Length in tokens.
    pub tokens: u64,
    /// Parts in order; the last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// The parts that requests of others share.
    fn shared(&self) -> &[PromptPart] {
        let own = self.parts.len().saturating_sub(1);
        &self.parts[..own]
    }
}

/// What a request wants of a server.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRequest<'a> {
    /// Service that the route leads to.
    pub service: &'a Name,
    /// Prompt; `None` for a plain service.
    pub prompt: Option<&'a PromptShape>,
    /// Servers that have failed this request.
    pub tried: &'a [TargetKey],
    /// Whether the prompt may be read on another engine.
    pub allow_separate_prefill: bool,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Server that runs it.
    pub server: TargetKey,
    /// Engine that reads the prompt first.
    pub prefill: Option<TargetKey>,
    /// Engine from which whoever reads the prompt takes the shared parts that it lacks.
    pub fetch_from: Option<TargetKey>,
    /// Prompt tokens that are still to be read.
    pub prefill_tokens: u64,
    /// Predicted time to the first piece.
    pub ttft: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Send {
    target: TargetKey,
    unread: u64,
    /// What is learnt from the time to the end of its reading.
    sample: Option<Sample>,
}

/// A sending whose time tells of the engine and not of its queue.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    kind: SampleKind,
}

#[derive(Clone, Copy, Debug)]
enum SampleKind {
    /// So many tokens are read, with nothing ahead.
    Reading(u64),
    /// A request goes on from memory of so many tokens, with a place free.
    First(u64),
}

/// What is known of the engines of a service.
#[derive(Debug)]
struct Engines {
    seen: Calibration,
    model: EngineModel,
}

/// The servers as this node sees them, and what it has sent to them.
#[derive(Debug)]
pub struct Dispatcher {
    data_centre: Name,
    /// Speeds that predictions start from.
    first_model: EngineModel,
    engines: HashMap<Name, Engines>,
    targets: SlotMap<TargetKey, Target>,
    sends: SlotMap<InFlightKey, Send>,
    placed: VecDeque<(Instant, PartPlacement)>,
    turn: usize,
    /// State of the draws.
    draw: u64,
}

/// A start of a server that the list no longer names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovedTarget {
    /// What the list said of it.
    pub info: TargetInfo,
    /// Whether it was leaving.
    pub leaving: bool,
    /// Whether another start has its identity or its address.
    pub replaced: bool,
}

/// A shared part that a server was given to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartPlacement {
    /// Hash of the server's identity, the same on every node.
    pub server: u32,
    /// Part.
    pub part: PromptPart,
}

impl Dispatcher {
    /// A view without servers, for a node in `data_centre`; nodes have different seeds.
    pub fn new(data_centre: Name, model: EngineModel, seed: u64) -> Self {
        Self {
            data_centre,
            first_model: model,
            engines: HashMap::new(),
            targets: SlotMap::with_key(),
            sends: SlotMap::with_key(),
            placed: VecDeque::new(),
            turn: 0,
            draw: seed,
        }
    }

    /// Takes the list of servers; one with the same identity keeps its state. Gives those
    /// that the list no longer names.
    pub fn sync(&mut self, list: Vec<TargetInfo>) -> Vec<RemovedTarget> {
        let same = |target: &Target, info: &TargetInfo| target.info.is_same_incarnation(info);
        let mut departed = Vec::new();
        self.targets.retain(|_, target| {
            let listed = list.iter().any(|info| same(target, info));
            if !listed {
                let old = &target.info;
                let takes_place =
                    |info: &TargetInfo| info.id == old.id || info.address == old.address;
                departed.push(RemovedTarget {
                    leaving: target.is_leaving(),
                    info: old.clone(),
                    replaced: list.iter().any(takes_place),
                });
            }
            listed
        });
        for info in list {
            match self.targets.values_mut().find(|target| same(target, &info)) {
                Some(target) => target.update(info),
                None => {
                    self.targets.insert(Target::new(info));
                }
            }
        }
        departed
    }

    /// A server of the current list.
    pub fn target(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Every server with its key.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets.iter()
    }

    /// The model by which a service's engines are predicted.
    pub fn model(&self, service: &Name) -> &EngineModel {
        let engines = self.engines.get(service);
        engines.map_or(&self.first_model, |engines| &engines.model)
    }

    /// Takes in what was seen of a service's engines.
    fn learn(&mut self, service: &Name, see: impl FnOnce(&mut Calibration)) {
        let first = self.first_model;
        let engines = self.engines.entry(service.clone());
        let engines = engines.or_insert_with(|| Engines {
            seen: Calibration::default(),
            model: first,
        });
        see(&mut engines.seen);
        engines.model = engines.seen.apply(first);
    }

    /// Chooses where a request goes; `None` if no server may take it.
    pub fn choose(&mut self, wanted: &DispatchRequest<'_>, now: Instant) -> Option<Plan> {
        self.turn = self.turn.wrapping_add(1);
        self.draw = mix(self.draw);
        // With none left, one that could not be reached lately is tried.
        let plan = self
            .plan(wanted, now, false)
            .or_else(|| self.plan(wanted, now, true))?;
        for key in [Some(plan.server), plan.prefill].into_iter().flatten() {
            if let Some(target) = self.targets.get_mut(key) {
                target.ejection.probe(now);
            }
        }
        Some(plan)
    }

    fn plan(&self, wanted: &DispatchRequest<'_>, now: Instant, last_resort: bool) -> Option<Plan> {
        let fitting = self.fitting(wanted, now, last_resort);
        let Some(prompt) = wanted.prompt else {
            return self.least_loaded(&self.sample(fitting), now);
        };
        let home = self.home(prompt, &fitting);
        let mut usable = self.sample(fitting);
        if let Some(home) = home.filter(|home| !usable.contains(home)) {
            usable.push(home);
        }
        self.plan_prompt(prompt, &usable, home, wanted.allow_separate_prefill, now)
    }

    /// The engine that reads a long shared part first, the same in the views of all nodes.
    ///
    /// Pattern: requests for the same part arrive at many nodes before any has heard of
    /// the others' choice. Later ones fetch the part from where it was read.
    fn home(&self, prompt: &PromptShape, fitting: &[TargetKey]) -> Option<TargetKey> {
        let part = prompt.shared().last()?;
        if part.tokens < HOME_TOKENS {
            return None;
        }
        let readers = fitting.iter().copied();
        let readers = readers.filter(|key| self.targets[*key].info.stage == Stage::Prefill);
        readers.max_by_key(|key| mix(mix(part.id) ^ u64::from(self.targets[*key].hash)))
    }

    /// Chooses the engine that makes the tokens of a prompt that has been read.
    ///
    /// Reading may take seconds; the engine of the plan may be leaving since, or busier.
    pub fn choose_decode_engine(
        &self,
        wanted: &DispatchRequest<'_>,
        reader: TargetKey,
        now: Instant,
    ) -> Option<TargetKey> {
        let tokens = wanted.prompt.map_or(0, |prompt| prompt.tokens);
        let makers = |last_resort| {
            let mut usable = self.sample(self.fitting(wanted, now, last_resort));
            usable.retain(|key| self.targets[*key].info.stage != Stage::Prefill);
            self.best_maker(&usable, reader, tokens, now)
        };
        makers(false).or_else(|| makers(true))
    }

    /// The engine that makes tokens soonest from memory that is read on `reader`.
    fn best_maker(
        &self,
        makers: &[TargetKey],
        reader: TargetKey,
        tokens: u64,
        now: Instant,
    ) -> Option<TargetKey> {
        let cost = |key: &TargetKey| {
            let target = &self.targets[*key];
            let rotation = target.hash as usize ^ self.turn;
            let model = self.model(&target.info.service);
            let delay =
                model.queueing_delay(target, now) + model.piece_gap_increase(target.running(now));
            let moved = self.transfer(reader, *key, tokens);
            (delay + moved + self.distance(target), rotation % 64)
        };
        makers.iter().copied().min_by_key(cost)
    }

    /// Time to move the memory of so many tokens from one engine to another.
    fn transfer(&self, from: TargetKey, to: TargetKey, tokens: u64) -> Duration {
        let centre = |key| self.targets.get(key).map(|target| &target.info.data_centre);
        let time = self.first_model.transfer_time(tokens);
        if centre(from) == centre(to) {
            time
        } else {
            time * FAR_TRANSFER
        }
    }

    /// Counts a request on a server.
    pub fn begin(
        &mut self,
        key: TargetKey,
        unread: u64,
        prompt: Option<&PromptShape>,
        now: Instant,
    ) -> InFlightKey {
        let sample = prompt.and_then(|prompt| {
            let kind = self.targets.get(key)?.sample(unread, prompt.tokens, now)?;
            Some(Sample { at: now, kind })
        });
        if let Some(target) = self.targets.get_mut(key) {
            target.own.running += 1;
            target.own.prefill_tokens += unread;
            if let Some(prompt) = prompt {
                let server = target.hash;
                // Peers were told of the others when those were read.
                let new = prompt.shared().iter().copied();
                let new = new.filter(|part| !target.parts.contains(*part));
                let placed = new.map(|part| (now, PartPlacement { server, part }));
                self.placed.extend(placed);
                target.parts.record(&prompt.parts);
            }
        }
        self.sends.insert(Send {
            target: key,
            unread,
            sample,
        })
    }

    /// Notes that the server has read the request's prompt.
    pub fn record_prefill_done(&mut self, key: InFlightKey, now: Instant) {
        let Some(send) = self.sends.get_mut(key) else {
            return;
        };
        let (target, sample) = (send.target, send.sample.take());
        self.settle(key);
        let service = self.targets.get(target).map(|target| &target.info.service);
        if let (Some(sample), Some(service)) = (sample, service.cloned()) {
            self.learn_from(&service, sample, now);
        }
    }

    fn learn_from(&mut self, service: &Name, sample: Sample, now: Instant) {
        let seen = now.saturating_duration_since(sample.at);
        let first = self.first_model;
        self.learn(service, |calibration| match sample.kind {
            SampleKind::Reading(unread) => {
                calibration.read(seen, first.prefill_time(Stage::Prefill, 0, unread));
            }
            SampleKind::First(tokens) => {
                calibration.first_piece(seen.saturating_sub(first.transfer_time(tokens)));
            }
        });
    }

    /// Notes that an engine made so many tokens of a request in `span`.
    pub fn record_decode(&mut self, key: TargetKey, tokens: u64, span: Duration, now: Instant) {
        let Some(target) = self.targets.get(key) else {
            return;
        };
        let predicted = self
            .first_model
            .decode_time(target.running(now), tokens as u32);
        let service = target.info.service.clone();
        self.learn(&service, |seen| seen.made(span, predicted));
    }

    /// Notes the output tokens of a request that an engine answered whole.
    pub fn record_output_tokens(&mut self, key: TargetKey, tokens: u64) {
        if let Some(target) = self.targets.get(key) {
            let service = target.info.service.clone();
            self.learn(&service, |seen| seen.output(tokens));
        }
    }

    /// Takes a request's prompt off what its server has to read.
    fn settle(&mut self, key: InFlightKey) {
        let Some(send) = self.sends.get_mut(key) else {
            return;
        };
        let read = std::mem::take(&mut send.unread);
        if let Some(target) = self.targets.get_mut(send.target) {
            target.own.prefill_tokens = target.own.prefill_tokens.saturating_sub(read);
        }
    }

    /// Ends a request on its server.
    pub fn end(&mut self, key: InFlightKey) {
        self.settle(key);
        if let Some(send) = self.sends.remove(key)
            && let Some(target) = self.targets.get_mut(send.target)
        {
            target.own.running = target.own.running.saturating_sub(1);
        }
    }

    /// Notes the load that a server told with an answer.
    pub fn record_load_report(&mut self, key: TargetKey, load: ReportedLoad) {
        if let Some(target) = self.targets.get_mut(key) {
            target.report = Some(load);
        }
    }

    /// Notes the load that a peer has put on the servers.
    pub fn set_peer_loads(&mut self, peer: &Name, loads: &[(u32, PeerLoad)]) {
        for target in self.targets.values_mut() {
            let told = loads.iter().find(|(hash, _)| *hash == target.hash);
            target.peers.set(peer, told.map(|(_, load)| *load));
        }
    }

    /// The shared parts that this node has newly had read within `span`, for its peers.
    pub fn recent_placements(&mut self, span: Duration, now: Instant) -> Vec<PartPlacement> {
        let old = |at: Instant| now.saturating_duration_since(at) > span;
        while self.placed.front().is_some_and(|(at, _)| old(*at)) {
            self.placed.pop_front();
        }
        self.placed.iter().map(|(_, placed)| *placed).collect()
    }

    /// Notes the shared parts that a peer has had read.
    pub fn record_peer_placements(&mut self, placed: &[PartPlacement]) {
        for PartPlacement { server, part } in placed {
            let target = self.targets.values_mut().find(|t| t.hash == *server);
            if let Some(target) = target {
                target.parts.record(&[*part]);
            }
        }
    }

    /// What this node has put on the servers, for its peers.
    pub fn own_loads(&self) -> impl Iterator<Item = (u32, NodeLoad)> {
        let loaded = self
            .targets
            .values()
            .filter(|target| target.own.running > 0);
        loaded.map(|target| (target.hash, target.own))
    }

    /// What this node and some of its peers have put on the servers, for peers that don't
    /// hear those.
    pub fn loads_including(&self, peers: &HashSet<Name>, now: Instant) -> Vec<(u32, NodeLoad)> {
        let loads = self.targets.values().map(|target| {
            let others = target.peers.sum_of(|name| peers.contains(name), now);
            let load = NodeLoad {
                prefill_tokens: target.own.prefill_tokens + others.prefill_tokens,
                running: target.own.running + others.running,
            };
            (target.hash, load)
        });
        loads.filter(|(_, load)| load.running > 0).collect()
    }

    /// Takes a server out that could not be reached; says whether it was in before.
    pub fn eject(&mut self, key: TargetKey, now: Instant) -> bool {
        let target = self.targets.get_mut(key);
        target.is_some_and(|target| target.ejection.eject(FIRST_PROBE, now))
    }

    /// Passes a server over for a short time that refused a request unread.
    pub fn record_refusal(&mut self, key: TargetKey, now: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            target.heard = Some(now);
            target.ejection.eject(REFUSED_PAUSE, now);
        }
    }

    /// Keeps to a server's word for how long it wants no request of this node.
    pub fn set_backoff(&mut self, key: TargetKey, time: Duration, now: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            let until = now + time;
            target.away = Some(target.away.map_or(until, |known| known.max(until)));
        }
    }

    /// Notes that a server said itself that it is leaving; says whether that is news.
    pub fn mark_leaving(&mut self, key: TargetKey) -> bool {
        let target = self.targets.get_mut(key);
        target.is_some_and(|target| !std::mem::replace(&mut target.said_leaving, true))
    }

    /// Time until a first server of a service wants requests of this node again; `None`
    /// if none has asked to be left alone.
    pub fn shortest_backoff(&self, service: &Name, now: Instant) -> Option<Duration> {
        let of_service = self.targets.values();
        let of_service = of_service.filter(|target| target.info.service == *service);
        of_service.filter_map(|target| target.backoff(now)).min()
    }

    /// Passes engines over that were ordered to another stage, until the list shows it.
    pub fn mark_stage_changing(&mut self, servers: &[u32], now: Instant) {
        for target in self.targets.values_mut() {
            if servers.contains(&target.hash) {
                target.changing.get_or_insert(now + CHANGE_TIME);
            }
        }
    }

    /// Notes that a server sent something.
    pub fn record_activity(&mut self, key: TargetKey, now: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            target.heard = Some(now);
        }
    }

    /// Whether a server has sent nothing to this node since `since`.
    pub fn is_silent_since(&self, key: TargetKey, since: Instant) -> bool {
        let heard = self.targets.get(key).and_then(|target| target.heard);
        heard.is_none_or(|at| at < since)
    }

    /// Takes a server back that answered; says whether it was out.
    pub fn mark_reachable(&mut self, key: TargetKey, now: Instant) -> bool {
        self.record_activity(key, now);
        let target = self.targets.get_mut(key);
        target.is_some_and(|target| target.ejection.clear())
    }

    fn fitting(
        &self,
        wanted: &DispatchRequest<'_>,
        now: Instant,
        last_resort: bool,
    ) -> Vec<TargetKey> {
        let fits = |(key, target): &(TargetKey, &Target)| {
            target.info.service == *wanted.service
                && !target.is_leaving()
                && target.backoff(now).is_none()
                && !wanted.tried.contains(key)
                && (last_resort || (target.ejection.may_try(now) && !target.is_changing_stage(now)))
        };
        let fitting = self.targets.iter().filter(fits);
        fitting.map(|(key, _)| key).collect()
    }

    /// A few of many servers, drawn anew for each request, most of them near.
    ///
    /// Loads of peers are as old as their last word. Were the best of all chosen, all
    /// nodes would send to the same server until they hear of one another.
    fn sample(&self, mut keys: Vec<TargetKey>) -> Vec<TargetKey> {
        if keys.len() <= SAMPLE_ABOVE {
            return keys;
        }
        let draw = |key: &TargetKey| mix(u64::from(self.targets[*key].hash) ^ self.draw);
        keys.sort_unstable_by_key(draw);
        let is_near = |key: &TargetKey| self.targets[*key].info.data_centre == self.data_centre;
        let (mut near, mut far): (Vec<_>, Vec<_>) = keys.into_iter().partition(is_near);
        near.truncate(SAMPLE - SAMPLE_FAR);
        far.truncate(SAMPLE - near.len());
        near.extend(far);
        near
    }

    fn plan_prompt(
        &self,
        prompt: &PromptShape,
        usable: &[TargetKey],
        home: Option<TargetKey>,
        allow_separate_prefill: bool,
        now: Instant,
    ) -> Option<Plan> {
        let stage = |wanted: Stage| {
            let keys = usable.iter().copied();
            keys.filter(move |key| self.targets[*key].info.stage == wanted)
        };
        let readers: Vec<TargetKey> = stage(Stage::Prefill).collect();
        let makers: Vec<TargetKey> = stage(Stage::Decode).chain(stage(Stage::Unified)).collect();
        let holder = self.holder(prompt, now);
        let whole = self.soonest(prompt, &makers, holder, None, now);
        let reader = allow_separate_prefill
            .then(|| self.soonest(prompt, &readers, holder, home, now))
            .flatten();
        let split = reader.and_then(|read| {
            let run = self.best_maker(&makers, read.server, prompt.tokens, now)?;
            Some(Plan {
                server: run,
                prefill: Some(read.server),
                ttft: read.ttft
                    + self.transfer(read.server, run, prompt.tokens)
                    + self
                        .model(&self.targets[run].info.service)
                        .queueing_delay(&self.targets[run], now),
                ..read
            })
        });
        match (whole, split) {
            (Some(whole), Some(split)) if split.ttft + MOVE_GAIN < whole.ttft => Some(split),
            (Some(whole), _) => Some(whole),
            // A prefill engine alone can't make tokens.
            (None, split) => split,
        }
    }

    /// The engine on which the prompt is read soonest.
    fn soonest(
        &self,
        prompt: &PromptShape,
        keys: &[TargetKey],
        holder: Option<(TargetKey, u64)>,
        home: Option<TargetKey>,
        now: Instant,
    ) -> Option<Plan> {
        let shared = prompt.shared().iter().map(|part| part.tokens).sum::<u64>();
        let unheld = shared.saturating_sub(holder.map_or(0, |(_, held)| held));
        let plans = keys.iter().map(|key| {
            let target = &self.targets[*key];
            let known = target.parts.leading_tokens(&prompt.parts);
            let lacking = |held: u64| held.saturating_sub(known);
            let fetch = holder.filter(|(holder, held)| holder != key && lacking(*held) > 0);
            let fetched = fetch.map_or(0, |(_, held)| lacking(held));
            let unread = prompt.tokens.saturating_sub(known + fetched).max(1);
            // Another node may have had the parts read there that no engine is known to hold.
            let expected = if home == Some(*key) {
                unread.saturating_sub(unheld)
            } else {
                unread
            };
            let ahead = target.prefill_tokens(now);
            let model = self.model(&target.info.service);
            let first = model.ttft(target, ahead + expected, now);
            let fetch_time = fetch.map_or(Duration::ZERO, |(from, _)| {
                self.transfer(from, *key, fetched)
            });
            Plan {
                server: *key,
                prefill: None,
                fetch_from: fetch.map(|(holder, _)| holder),
                prefill_tokens: unread,
                ttft: first + fetch_time + self.distance(target),
            }
        });
        plans.min_by_key(|plan| plan.ttft)
    }

    /// The engine that holds most of the prompt's leading parts, with the tokens
    /// held; of several the nearest one.
    fn holder(&self, prompt: &PromptShape, now: Instant) -> Option<(TargetKey, u64)> {
        let held = self.targets.iter().map(|(key, target)| {
            let tokens = target.parts.leading_tokens(&prompt.parts);
            let distance = Reverse(self.distance(target));
            (key, tokens, distance, Reverse(target.prefill_tokens(now)))
        });
        let most = held.max_by_key(|(_, tokens, distance, unread)| (*tokens, *distance, *unread));
        most.map(|(key, tokens, ..)| (key, tokens))
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
            server: run,
            prefill: None,
            fetch_from: None,
            prefill_tokens: 0,
            ttft: self.distance(&self.targets[run]),
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

/// A well-mixed hash of a number (`SplitMix64`).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
