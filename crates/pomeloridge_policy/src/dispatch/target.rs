//! The state that a node keeps for one backend server.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_base::id::Name;

use super::SampleKind;
use super::load::{NodeLoad, PeerLoads, ReportedLoad};
use super::plain::AnswerPace;
use super::sent_prompt::PeerPrompts;
use super::speed::ServerSpeed;
use crate::crashes::ServerIncarnation;
use crate::ejection::Ejection;
use crate::prompt_cache::PromptCache;
use crate::rate_limit::{RateLimit, ServerLimit};

/// Minimum prompt length whose prefill time shows the engine's speed, in tokens.
const MIN_SAMPLE_TOKENS: u64 = 1000;

slotmap::new_key_type! {
    /// Key of a server in the dispatcher.
    pub struct TargetKey;
}

/// The phases of a request that a server runs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Stage {
    /// Runs whole requests: a plain service, or an engine without stages.
    #[display("whole")]
    Unified,
    /// Prefills prompts for decode engines.
    #[display("prefill")]
    Prefill,
    /// Decodes output tokens; can also prefill prompts, but more slowly.
    #[display("decode")]
    Decode,
}

/// A server's entry in the platform's server list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Identity; may stay the same across restarts.
    pub id: Name,
    /// Start time in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Name,
    /// Service that it runs.
    pub service: Name,
    /// Version of its software; it belongs to the incarnation.
    pub version: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Capacity of its KV cache in tokens; 0 for a plain service.
    pub kv_capacity: u64,
    /// Stage; `Unified` for a plain service.
    pub stage: Stage,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// Time until it stops, if known.
    pub leaves_in: Option<Duration>,
    /// Whether the platform may reclaim it at short notice.
    pub preemptible: bool,
}

/// What identifies one incarnation of a server in the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ListedStart<'a> {
    id: &'a Name,
    started_unix_ms: u64,
    address: SocketAddr,
    version: &'a Name,
}

impl TargetInfo {
    /// Returns the identifier of this incarnation, the same on every node.
    pub fn incarnation(&self) -> ServerIncarnation {
        let mut hasher = DefaultHasher::new();
        (self.id.as_bytes(), self.started_unix_ms).hash(&mut hasher);
        ServerIncarnation(hasher.finish())
    }

    /// Returns whether both entries describe the same incarnation of a server.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.listed_start() == other.listed_start()
    }

    pub(super) fn listed_start(&self) -> ListedStart<'_> {
        ListedStart {
            id: &self.id,
            started_unix_ms: self.started_unix_ms,
            address: self.address,
            version: &self.version,
        }
    }
}

/// State of a server, as known to this node.
#[derive(Debug)]
pub struct Target {
    /// Entry in the server list.
    pub info: TargetInfo,
    pub(super) own_load: NodeLoad,
    pub(super) peer_loads: PeerLoads,
    pub(super) peer_prompts: PeerPrompts,
    pub(super) report: Option<ReportedLoad>,
    /// Time that its answers take, if it belongs to a plain service.
    pub(super) pace: Option<AnswerPace>,
    pub(super) speed: ServerSpeed,
    pub(super) ejection: Ejection,
    /// Until when it is assumed to be changing its stage.
    pub(super) stage_change_until: Option<Instant>,
    /// Whether it announced that it is leaving; its entry may not show that yet.
    pub(super) announced_leaving: bool,
    /// Until when it asked this node to send no requests.
    pub(super) backoff_until: Option<Instant>,
    /// Request rate that it takes from the whole fleet, or that such a limit has ended; `None` if
    /// it has named none.
    pub(super) rate_limit: Option<ServerLimit>,
    /// Whether its latest response named a malformed limit.
    pub(super) has_malformed_limit: bool,
    pub(super) prompt_cache: PromptCache,
    pub(super) id_hash: u32,
    pub(super) incarnation: ServerIncarnation,
}

impl Target {
    pub(super) fn new(info: TargetInfo) -> Self {
        // `DefaultHasher::new` has fixed keys, so the hash is the same on every node.
        let mut hasher = DefaultHasher::new();
        info.id.as_bytes().hash(&mut hasher);
        Self {
            own_load: NodeLoad::default(),
            peer_loads: PeerLoads::default(),
            peer_prompts: PeerPrompts::default(),
            report: None,
            pace: None,
            speed: ServerSpeed::default(),
            ejection: Ejection::default(),
            stage_change_until: None,
            announced_leaving: false,
            backoff_until: None,
            rate_limit: None,
            has_malformed_limit: false,
            prompt_cache: PromptCache::new(info.kv_capacity),
            id_hash: hasher.finish() as u32,
            incarnation: info.incarnation(),
            info,
        }
    }

    pub(super) fn update(&mut self, info: TargetInfo) {
        if self.info.stage != info.stage {
            self.stage_change_until = None;
        }
        self.prompt_cache.set_capacity(info.kv_capacity);
        self.info = info;
    }

    /// Returns the number of requests known to be on the server: those sent by nodes, or
    /// those in its own report if they are more.
    pub fn running(&self, now: Instant) -> u32 {
        let sent = self.own_load.running + self.peer_loads.sum(now).running;
        let reported = self.report.map_or(0, |report| report.total(now));
        sent.max(reported)
    }

    /// Returns whether the requests that are known to be on the server leave memory for this many
    /// more tokens.
    pub fn has_room(&self, tokens: u64, now: Instant) -> bool {
        let held = self.own_load.plus(self.peer_loads.sum(now)).held_tokens;
        self.info.kv_capacity == 0 || held + tokens <= self.info.kv_capacity
    }

    /// Returns the prompt tokens that nodes have sent and the server has not prefilled.
    pub fn prefill_tokens(&self, now: Instant) -> u64 {
        let loads = self.own_load.plus(self.peer_loads.sum(now));
        loads.prefill_tokens + self.told_tokens(now)
    }

    /// Returns the factor by which work takes longer at this moment, as the server itself reported,
    /// and the age of the report; `None` if it is too old or there is none.
    pub fn slowdown(&self, now: Instant) -> Option<(f64, Duration)> {
        self.report.as_ref()?.slowdown(now)
    }

    /// Returns which speed the latency of a request sent now would show, if any.
    pub(super) fn sample_kind(
        &self,
        prefill_tokens: u64,
        tokens: u64,
        now: Instant,
    ) -> Option<SampleKind> {
        match self.info.stage {
            Stage::Prefill => {
                let shows_speed =
                    self.prefill_tokens(now) == 0 && prefill_tokens >= MIN_SAMPLE_TOKENS;
                shows_speed.then_some(SampleKind::Prefill(prefill_tokens))
            }
            Stage::Decode => {
                let shows_speed = prefill_tokens == 0 && self.running(now) < self.info.slots;
                shows_speed.then_some(SampleKind::FirstToken(tokens))
            }
            Stage::Unified => None,
        }
    }

    /// Returns what the time of an answer to a request without a prompt sent now would show, if
    /// anything.
    pub(super) fn answer_sample_kind(&self, now: Instant) -> Option<SampleKind> {
        let has_free_slot = self.running(now) < self.info.slots;
        (self.info.stage == Stage::Unified && has_free_slot).then_some(SampleKind::Answer)
    }

    /// Returns the hash of its identity, the same on every node.
    pub fn hash(&self) -> u32 {
        self.id_hash
    }

    /// Returns whether it is assumed to be changing its stage.
    pub fn is_changing_stage(&self, now: Instant) -> bool {
        self.stage_change_until.is_some_and(|until| now < until)
    }

    /// Returns whether it takes no new requests, by its entry or its own announcement.
    pub fn is_leaving(&self) -> bool {
        self.info.leaving || self.announced_leaving
    }

    /// Returns the time for which this node must still send it no requests.
    pub fn backoff(&self, now: Instant) -> Option<Duration> {
        let left = self.backoff_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the request rate that it takes from the whole fleet, if it names one.
    pub fn rate_limit(&self) -> Option<RateLimit> {
        self.rate_limit.as_ref()?.limit()
    }

    /// Returns whether it takes so few requests that only some nodes may send to it in a turn.
    pub fn is_scarce(&self) -> bool {
        let limit = self.rate_limit.as_ref();
        limit.is_some_and(|limit| !limit.is_ample())
    }

    /// Returns whether its limit, if any, lets this node send a request now.
    pub fn is_within_limit(&self, now: Instant) -> bool {
        let limit = self.rate_limit.as_ref();
        limit.is_none_or(|limit| limit.admits(now))
    }

    /// Returns the time for which this node must still send it no requests, by its backoff or its
    /// limit. `None` if it takes requests now, or if this node has no part of its limit.
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        let limit = self.rate_limit.as_ref();
        let limited = limit.map_or(Some(Duration::ZERO), |limit| limit.wait(now))?;
        let wait = limited.max(self.backoff(now).unwrap_or_default());
        (!wait.is_zero()).then_some(wait)
    }

    /// Returns whether it is ejected after failures.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_ejected()
    }
}
