//! Chooses backend servers for requests by what the answer costs its caller and others.
//!
//! An engine is in the prefill or the decode stage. A decode engine can also
//! prefill prompts, but more slowly, because it does so between the decode steps
//! of its batch. For each request two paths are predicted: prefill on a prefill
//! engine followed by a transfer of the KV cache to a decode engine, or the whole
//! request on one decode engine. A prediction includes the prompt tokens queued on
//! the engine, as counted by this node and last reported by its peers, and leaves
//! out the shared prompt parts that the engine has cached. An engine whose requests exceed its
//! memory crashes, so that none is sent more tokens than it has room for. Servers of plain
//! services are chosen by the predicted time of their answers; see `plain`.

mod answer;
mod answer_length;
mod calibration;
mod crash_news;
mod engine_model;
mod explain;
mod limits;
mod load;
mod plain;
mod prompt_plan;
mod requests;
mod sample;
mod sent_prompt;
mod spare;
mod speed;
mod takeover;
mod target;

use std::cell::Cell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use slotmap::SlotMap;

pub use answer::{AnswerNeeds, AnswerTimes};
pub use answer_length::ExpectedLength;
pub use engine_model::{EngineModel, EngineSpec};
pub use explain::{Bar, Candidate, Explanation, LearnedSpeed};
pub use load::{NodeLoad, PeerLoad, ReportedLoad};
pub use sent_prompt::{PromptMessageBudget, PromptSource, SentPrompt};
pub use speed::{KnownSpeed, SpeedReport, SpeedReports, TimeRatio, Work};
use target::ListedStart;
pub use target::{Stage, Target, TargetInfo, TargetKey};

use answer_length::AnswerLengths;
use calibration::Calibration;
use explain::bars;
use prompt_plan::PromptEngines;
use sample::{Draw, Selection};

use crate::prompt_cache::PromptPart;

slotmap::new_key_type! {
    /// Key of a request in flight on a server.
    pub struct InFlightKey;
}

/// Delay before the first probe of an unreachable server.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(500);
/// Longest time for which a server may ask for no requests.
const MAX_BACKOFF: Duration = Duration::from_hours(24);
/// Delay before a server that refused a request without reading it is probed.
const REFUSAL_PROBE_DELAY: Duration = Duration::from_millis(250);
/// Time after which an engine ordered to change its stage is used again, even if the
/// server list does not show the new stage.
const STAGE_CHANGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Added to the predicted time to first token of a server in another data centre.
const CROSS_DATA_CENTRE_PENALTY: Duration = Duration::from_millis(5);
/// Time in which what servers sent during a pause of this process is read.
const RESUME_READ_TIME: Duration = Duration::from_millis(100);

/// The length and the parts of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Length in tokens.
    pub tokens: u64,
    /// Parts in order; the last one is private to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let count = self.parts.len().saturating_sub(1);
        &self.parts[..count]
    }
}

/// The properties of a request that decide where it may run.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRequest<'a> {
    /// Service that the request is routed to.
    pub service: &'a Name,
    /// Prompt; `None` for a plain service.
    pub prompt: Option<&'a PromptShape>,
    /// Servers that already failed this request.
    pub tried: &'a [TargetKey],
    /// Whether the prefill may run on another engine than the decode.
    pub allow_separate_prefill: bool,
    /// Software version that it is bound to, if any.
    pub version: Option<&'a Name>,
    /// What its caller needs.
    pub needs: AnswerNeeds,
}

/// The servers chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Server that runs the request.
    pub server: TargetKey,
    /// Engine that prefills the prompt first, if not `server` itself.
    pub prefill: Option<TargetKey>,
    /// Engine from which the prefilling engine fetches cached parts that it lacks.
    pub fetch_from: Option<TargetKey>,
    /// Prompt tokens to prefill, without those cached or fetched.
    pub prefill_tokens: u64,
    /// Predicted time to first token.
    pub ttft: Duration,
    /// Predicted time to the last token.
    pub end: Duration,
    /// Cost by which plans are compared, as a time.
    pub cost: Duration,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    target: TargetKey,
    prefill_tokens: u64,
    held_tokens: u64,
    /// Measurement to take once its prefill is done, if any.
    sample: Option<SpeedSample>,
}

/// A request whose latency shows the speed of the engine rather than its queue.
#[derive(Clone, Copy, Debug)]
struct SpeedSample {
    sent_at: Instant,
    kind: SampleKind,
}

#[derive(Clone, Copy, Debug)]
enum SampleKind {
    /// Prefill of this many tokens with nothing queued ahead.
    Prefill(u64),
    /// Transfer of a KV cache of this many tokens to an engine with a free slot, and the
    /// first token after it.
    FirstToken(u64),
    /// Answer of a plain server with a free slot.
    Answer,
}

/// The measured speed of the engines of a service.
#[derive(Debug)]
struct ServiceModel {
    calibration: Calibration,
    model: EngineModel,
}

/// Chooses servers by their predicted time to first token; see the module.
#[derive(Debug)]
pub struct Dispatcher {
    data_centre: Name,
    /// Speeds assumed before any were measured.
    base_model: EngineModel,
    service_models: HashMap<Name, ServiceModel>,
    answer_lengths: AnswerLengths,
    targets: SlotMap<TargetKey, Target>,
    /// When this node last received data from each server. A server that is no longer listed stays
    /// here as long as it may still be working on requests.
    heard: HashMap<TargetKey, Instant>,
    /// When this process last went on after a pause.
    resumed_at: Option<Instant>,
    in_flight: SlotMap<InFlightKey, InFlight>,
    placements: VecDeque<(Instant, PartPlacement)>,
    /// Latest own measurements of servers, for peers.
    speed_reports: VecDeque<(Instant, SpeedReport)>,
    /// Number of own measurements so far.
    speed_count: u64,
    /// Number of other nodes that send to the same servers.
    peer_count: usize,
    /// Services whose servers report how long work takes there, and so differ.
    uneven_services: HashSet<Name>,
    /// Whether the servers of all services are taken to differ.
    expects_uneven: bool,
    /// Numbers drawn for the latest choice; a cell, as an explanation looks at the next ones.
    draw: Cell<Draw>,
}

/// A server incarnation that is no longer in the server list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovedTarget {
    /// Its last entry in the list.
    pub info: TargetInfo,
    /// Whether it took no new requests.
    pub leaving: bool,
    /// Whether another incarnation has its identity or its address.
    pub replaced: bool,
}

/// A shared prompt part that was sent to a server for prefill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartPlacement {
    /// Hash of the server's identity, the same on every node.
    pub server: u32,
    /// Prompt part.
    pub part: PromptPart,
}

/// Marks the removed servers of which another incarnation is listed.
fn mark_replaced(removed: &mut [RemovedTarget], list: &[TargetInfo]) {
    if removed.is_empty() {
        return;
    }
    let ids: HashSet<&Name> = list.iter().map(|info| &info.id).collect();
    let addresses: HashSet<SocketAddr> = list.iter().map(|info| info.address).collect();
    for RemovedTarget { info, replaced, .. } in removed {
        *replaced = ids.contains(&info.id) || addresses.contains(&info.address);
    }
}

impl Dispatcher {
    /// Creates a dispatcher without servers for a node in `data_centre`. Each node passes a
    /// different seed.
    pub fn new(data_centre: Name, model: EngineModel, seed: u64) -> Self {
        Self {
            data_centre,
            base_model: model,
            service_models: HashMap::new(),
            answer_lengths: AnswerLengths::default(),
            targets: SlotMap::with_key(),
            heard: HashMap::new(),
            resumed_at: None,
            in_flight: SlotMap::with_key(),
            placements: VecDeque::new(),
            speed_reports: VecDeque::new(),
            speed_count: 0,
            peer_count: 0,
            uneven_services: HashSet::new(),
            expects_uneven: false,
            draw: Cell::new(Draw {
                rotation: 0,
                random_state: seed,
            }),
        }
    }

    /// Replaces the server list and returns the incarnations that it no longer contains.
    /// The state of the others is kept.
    pub fn sync(&mut self, list: Vec<TargetInfo>) -> Vec<RemovedTarget> {
        let mut positions: HashMap<ListedStart<'_>, usize> = HashMap::with_capacity(list.len());
        // Position of the first entry of each entry's incarnation.
        let mut firsts = Vec::with_capacity(list.len());
        for (position, info) in list.iter().enumerate() {
            firsts.push(*positions.entry(info.listed_start()).or_insert(position));
        }
        let mut keys: Vec<Option<TargetKey>> = vec![None; list.len()];
        let mut removed = Vec::new();
        self.targets.retain(|key, target| {
            let position = positions.get(&target.info.listed_start());
            if let Some(position) = position {
                keys[*position] = Some(key);
            } else {
                removed.push(RemovedTarget {
                    leaving: target.is_leaving(),
                    info: target.info.clone(),
                    replaced: false,
                });
            }
            position.is_some()
        });
        mark_replaced(&mut removed, &list);
        let targets = &self.targets;
        let sent = self.in_flight.values().map(|sent| sent.target);
        let in_use: HashSet<TargetKey> = sent.collect();
        self.heard
            .retain(|key, _| targets.contains_key(*key) || in_use.contains(key));
        for (info, first) in list.into_iter().zip(firsts) {
            let key = &mut keys[first];
            match *key {
                Some(key) => self.targets[key].update(info),
                None => *key = Some(self.targets.insert(Target::new(info))),
            }
        }
        removed
    }

    /// Returns a server of the current list.
    pub fn target(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns whether a server with this earlier entry is now listed with another version at the
    /// same address.
    pub fn has_other_version(&self, key: TargetKey, info: &TargetInfo) -> bool {
        if self.targets.contains_key(key) {
            return false;
        }
        let mut listed = self.targets.values().map(|target| &target.info);
        listed.any(|other| {
            other.id == info.id && other.address == info.address && other.version != info.version
        })
    }

    /// Returns all servers with their keys.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets.iter()
    }

    /// Returns the speed model of a service's engines.
    pub fn model(&self, service: &Name) -> &EngineModel {
        let learned = self.service_models.get(service);
        learned.map_or(&self.base_model, |learned| &learned.model)
    }

    /// Takes the servers of all services to differ in speed, or only those of services whose
    /// servers report how long work takes there.
    pub fn expect_uneven_servers(&mut self, expects_uneven: bool) {
        self.expects_uneven = expects_uneven;
    }

    /// Returns whether the servers of a service differ, so that they are compared by the whole
    /// answer and their own speeds.
    fn is_uneven(&self, service: &Name) -> bool {
        self.expects_uneven || self.uneven_services.contains(service)
    }

    /// Returns the speed model of one engine at this moment.
    fn engine_model(&self, target: &Target, now: Instant) -> EngineModel {
        let model = self.model(&target.info.service);
        model.slowed_by(self.slowness(target, now))
    }

    /// Adds measurements of a service's engines and updates their model.
    fn calibrate(&mut self, service: &Name, measure: impl FnOnce(&mut Calibration)) {
        let base_model = self.base_model;
        let entry = self.service_models.entry(service.clone());
        let service_model = entry.or_insert_with(|| ServiceModel {
            calibration: Calibration::default(),
            model: base_model,
        });
        measure(&mut service_model.calibration);
        service_model.model = service_model.calibration.apply(base_model);
    }

    /// Chooses the servers for a request, or returns `None` if no server may take it.
    pub fn choose(&mut self, request: &DispatchRequest<'_>, now: Instant) -> Option<Plan> {
        self.draw.set(self.draw.get().next());
        let (plan, _) = self.decide(request, now)?;
        for key in [Some(plan.server), plan.prefill].into_iter().flatten() {
            if let Some(target) = self.targets.get_mut(key) {
                target.ejection.take_due_probe(now);
            }
        }
        Some(plan)
    }

    /// Returns the plan of a choice, and how its servers were selected.
    fn decide(&self, request: &DispatchRequest<'_>, now: Instant) -> Option<(Plan, Selection)> {
        let plan = |selection| Some((self.plan(request, selection, now)?, selection));
        let is_good = |(plan, _): &(Plan, _)| request.needs.are_met_by(plan.ttft, plan.end);
        // Servers that were not drawn may be idle. As a last resort, ejected servers and those
        // changing their stage are considered.
        let drawn = plan(Selection::Sample);
        if !self.is_uneven(request.service) {
            return drawn.or_else(|| plan(Selection::LastResort));
        }
        drawn
            .filter(is_good)
            .or_else(|| plan(Selection::All))
            .or(drawn)
            .or_else(|| plan(Selection::LastResort))
    }

    /// Returns whether a server may take a request now, other than as a last resort.
    pub fn has_server(&self, request: &DispatchRequest<'_>, now: Instant) -> bool {
        self.plan(request, Selection::Sample, now).is_some()
    }

    fn plan(
        &self,
        request: &DispatchRequest<'_>,
        selection: Selection,
        now: Instant,
    ) -> Option<Plan> {
        let eligible = self.eligible(request, now, selection == Selection::LastResort);
        let Some(prompt) = request.prompt else {
            return self.choose_plain(request.service, eligible, selection, now);
        };
        let plans = self.group_by_version(eligible).into_iter();
        let plans = plans.filter_map(|(version, engines)| {
            let home = self.home_engine(prompt, &engines);
            let mut usable = self.select(engines, selection);
            if let Some(home) = home.filter(|home| !usable.contains(home)) {
                usable.push(home);
            }
            let holder = self.best_cache_holder(prompt, version, now);
            let engines = PromptEngines {
                usable: &usable,
                home,
                holder,
            };
            self.plan_prompt(request, prompt, engines, now)
        });
        plans.min_by_key(|plan| plan.cost)
    }

    /// Records that a request is no longer in flight.
    pub fn end(&mut self, key: InFlightKey) {
        self.clear_prefill_tokens(key);
        if let Some(request) = self.in_flight.remove(key)
            && let Some(target) = self.targets.get_mut(request.target)
        {
            let load = &mut target.own_load;
            load.running = load.running.saturating_sub(1);
            load.held_tokens = load.held_tokens.saturating_sub(request.held_tokens);
        }
    }

    /// Records the load that a server reported with a response.
    pub fn record_load_report(&mut self, key: TargetKey, load: ReportedLoad) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        target.report = Some(load);
        if load.slowdown.is_some() && !self.uneven_services.contains(&target.info.service) {
            self.uneven_services.insert(target.info.service.clone());
        }
    }

    /// Replaces the load that a peer has on each server.
    pub fn set_peer_loads(&mut self, peer: &Name, loads: &[(u32, PeerLoad)]) {
        let mut by_server = HashMap::with_capacity(loads.len());
        for (hash, load) in loads {
            let load = PeerLoad {
                load: load.load.clamped(),
                at: load.at,
            };
            by_server.entry(*hash).or_insert(load);
        }
        for target in self.targets.values_mut() {
            let reported = by_server.get(&target.id_hash).copied();
            target.peer_loads.set(peer, reported);
            target.peer_prompts.remove_included(peer);
        }
        self.set_read_times(peer, &by_server);
    }

    /// Predicts when the servers will have read the prompts that a peer has just told of. The
    /// peer's next load may come much later.
    fn set_read_times(&mut self, peer: &Name, loads: &HashMap<u32, PeerLoad>) {
        let mut times = Vec::with_capacity(loads.len());
        for (key, target) in &self.targets {
            let load = loads.get(&target.id_hash);
            let Some(load) = load.filter(|load| load.load.prefill_tokens > 0) else {
                continue;
            };
            if !self.is_uneven(&target.info.service) {
                continue;
            }
            let model = self.model(&target.info.service);
            let (stage, running) = (target.info.stage, target.running(load.at));
            let tokens = target.prefill_tokens(load.at);
            times.push((key, model.prefill_time(stage, running, tokens)));
        }
        for (key, read_in) in times {
            self.targets[key].peer_loads.set_read_in(peer, read_in);
        }
    }

    /// Returns the shared parts that this node placed within `span`, to send to peers.
    pub fn recent_placements(&mut self, span: Duration, now: Instant) -> Vec<PartPlacement> {
        let is_old = |at: Instant| now.saturating_duration_since(at) > span;
        while self.placements.front().is_some_and(|(at, _)| is_old(*at)) {
            self.placements.pop_front();
        }
        self.placements.iter().map(|(_, placed)| *placed).collect()
    }

    /// Records the shared parts that a peer placed.
    pub fn record_peer_placements(&mut self, placed: &[PartPlacement]) {
        for PartPlacement { server, part } in placed {
            let target = self.targets.values_mut().find(|t| t.id_hash == *server);
            if let Some(target) = target {
                target.prompt_cache.record(&[*part]);
            }
        }
    }

    /// Returns this node's load on each server, to send to peers.
    pub fn own_loads(&self) -> impl Iterator<Item = (u32, NodeLoad)> {
        let loaded = self
            .targets
            .values()
            .filter(|target| target.own_load.running > 0);
        loaded.map(|target| (target.id_hash, target.own_load))
    }

    /// Returns the summed load of this node and of `peers` on each server, for nodes that
    /// receive no loads from those peers.
    pub fn loads_including(&self, peers: &HashSet<Name>, now: Instant) -> Vec<(u32, NodeLoad)> {
        let loads = self.targets.values().map(|target| {
            let others = target.peer_loads.sum_of(|name| peers.contains(name), now);
            (target.id_hash, target.own_load.plus(others))
        });
        loads.filter(|(_, load)| load.running > 0).collect()
    }

    /// Ejects a server that could not be reached. Returns whether it was not ejected before.
    pub fn eject(&mut self, key: TargetKey, now: Instant) -> bool {
        let target = self.targets.get_mut(key);
        target.is_some_and(|target| target.ejection.eject(FIRST_PROBE_DELAY, now))
    }

    /// Ejects a server for a short time after it refused a request without reading it.
    pub fn record_refusal(&mut self, key: TargetKey, now: Instant) {
        self.record_activity(key, now);
        if let Some(target) = self.targets.get_mut(key) {
            target.ejection.eject(REFUSAL_PROBE_DELAY, now);
        }
    }

    /// Records for how long a server asked this node to send no requests. A shorter time
    /// never replaces a longer one.
    pub fn set_backoff(&mut self, key: TargetKey, time: Duration, now: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            let until = now + time.min(MAX_BACKOFF);
            target.backoff_until = Some(
                target
                    .backoff_until
                    .map_or(until, |current| current.max(until)),
            );
        }
    }

    /// Records that a server announced that it is leaving. Returns whether that is new.
    pub fn mark_leaving(&mut self, key: TargetKey) -> bool {
        let target = self.targets.get_mut(key);
        target.is_some_and(|target| !std::mem::replace(&mut target.announced_leaving, true))
    }

    /// Returns the time until the first of a service's servers, of one version if given, may be
    /// sent a request again after its backoff or by its limit, or `None` if there is no such server.
    pub fn shortest_wait(
        &self,
        service: &Name,
        version: Option<&Name>,
        now: Instant,
    ) -> Option<Duration> {
        let of_service = self.targets.values().filter(|target| {
            target.info.service == *service
                && version.is_none_or(|version| target.info.version == *version)
        });
        of_service.filter_map(|target| target.wait(now)).min()
    }

    /// Excludes engines that were ordered to change their stage until the server list shows
    /// the new stage.
    pub fn mark_stage_changing(&mut self, servers: &[u32], now: Instant) {
        if servers.is_empty() {
            return;
        }
        for target in self.targets.values_mut() {
            if servers.contains(&target.id_hash) {
                target
                    .stage_change_until
                    .get_or_insert(now + STAGE_CHANGE_TIMEOUT);
            }
        }
    }

    /// Records that data arrived from a server.
    pub fn record_activity(&mut self, key: TargetKey, now: Instant) {
        self.heard.insert(key, now);
    }

    /// Records that this process goes on after a pause. What servers have sent meanwhile is yet to
    /// be read.
    pub fn record_resumed(&mut self, now: Instant) {
        self.resumed_at = Some(now);
    }

    /// Returns the time since this node last received anything from a server; `None` if it never
    /// did.
    pub fn silence(&self, key: TargetKey, now: Instant) -> Option<Duration> {
        let last_heard = self.heard.get(&key)?;
        Some(now.saturating_duration_since(*last_heard))
    }

    /// Returns the time until what servers sent during the latest pause of this process has been
    /// read; zero if it has been.
    pub fn read_time_left(&self, now: Instant) -> Duration {
        let resumed = self.resumed_at.map(|at| now.saturating_duration_since(at));
        resumed.map_or(Duration::ZERO, |time| RESUME_READ_TIME.saturating_sub(time))
    }

    /// Returns whether this node has received nothing from a server since `since`.
    pub fn is_silent_since(&self, key: TargetKey, since: Instant) -> bool {
        self.heard.get(&key).is_none_or(|at| *at < since)
    }

    /// Ends a server's ejection after a response. Returns whether it was ejected.
    pub fn mark_reachable(&mut self, key: TargetKey, now: Instant) -> bool {
        self.record_activity(key, now);
        let target = self.targets.get_mut(key);
        target.is_some_and(|target| target.ejection.clear())
    }

    fn eligible(
        &self,
        request: &DispatchRequest<'_>,
        now: Instant,
        last_resort: bool,
    ) -> Vec<TargetKey> {
        let is_eligible = |(key, target): &(TargetKey, &Target)| {
            target.info.service == *request.service
                && bars(*key, target, request, now).all(|bar| last_resort && bar.is_soft())
        };
        let eligible = self.targets.iter().filter(is_eligible);
        eligible.map(|(key, _)| key).collect()
    }

    fn distance_penalty(&self, target: &Target) -> Duration {
        if target.info.data_centre == self.data_centre {
            Duration::ZERO
        } else {
            CROSS_DATA_CENTRE_PENALTY
        }
    }
}
