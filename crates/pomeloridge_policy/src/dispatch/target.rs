//! One backend server as a node sees it.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_base::id::Name;

use super::SampleKind;
use super::load::{NodeLoad, PeerWords, ReportedLoad};
use crate::crashes::StartId;
use crate::eject::Ejection;
use crate::prompt_cache::PromptCache;

/// Tokens from which on the time to read a prompt tells the engine's speed.
const SAMPLE_TOKENS: u64 = 1000;

slotmap::new_key_type! {
    /// A server in the dispatcher's arena.
    pub struct TargetKey;
}

/// What a server is for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Stage {
    /// Runs requests whole: a plain service, or an engine without stages.
    #[display("whole")]
    Unified,
    /// Reads prompts for other engines.
    #[display("prefill")]
    Prefill,
    /// Makes tokens, and reads prompts more slowly.
    #[display("decode")]
    Decode,
}

/// What the platform's list says of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Identity; a restart may keep it.
    pub id: Name,
    /// Time of its start, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Name,
    /// Service.
    pub service: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that its memory holds; 0 for a plain service.
    pub kv_capacity: u64,
    /// Stage.
    pub stage: Stage,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// Time until it is gone, where that is known.
    pub leaves_in: Option<Duration>,
    /// Whether it is cheap and may be reclaimed.
    pub preemptible: bool,
}

impl TargetInfo {
    /// This start of the server, the same on every node.
    pub fn incarnation(&self) -> StartId {
        let mut hasher = DefaultHasher::new();
        (self.id.as_bytes(), self.started_unix_ms).hash(&mut hasher);
        StartId(hasher.finish())
    }

    /// Whether both tell of one start of a server.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id
            && self.started_unix_ms == other.started_unix_ms
            && self.address == other.address
    }
}

/// A server with what is known of it.
#[derive(Debug)]
pub struct Target {
    /// The platform's words.
    pub info: TargetInfo,
    pub(super) own: NodeLoad,
    pub(super) peers: PeerWords,
    pub(super) report: Option<ReportedLoad>,
    pub(super) ejection: Ejection,
    /// When it last sent something to this node.
    pub(super) heard: Option<Instant>,
    /// Until when it is taken to change its stage.
    pub(super) changing: Option<Instant>,
    /// Whether it said itself that it is leaving, which its entry may not say yet.
    pub(super) said_leaving: bool,
    /// Until when it wants no request of this node.
    pub(super) away: Option<Instant>,
    pub(super) parts: PromptCache,
    pub(super) hash: u32,
}

impl Target {
    pub(super) fn new(info: TargetInfo) -> Self {
        // The same on every node: the hasher starts from fixed keys.
        let mut hasher = DefaultHasher::new();
        info.id.as_bytes().hash(&mut hasher);
        Self {
            own: NodeLoad::default(),
            peers: PeerWords::default(),
            report: None,
            ejection: Ejection::default(),
            heard: None,
            changing: None,
            said_leaving: false,
            away: None,
            parts: PromptCache::new(info.kv_capacity),
            hash: hasher.finish() as u32,
            info,
        }
    }

    pub(super) fn update(&mut self, info: TargetInfo) {
        if self.info.stage != info.stage {
            self.changing = None;
        }
        self.parts.set_capacity(info.kv_capacity);
        self.info = info;
    }

    /// Requests on the server that this node knows of.
    pub fn running(&self, now: Instant) -> u32 {
        let sent = self.own.running + self.peers.sum(now).running;
        let reported = self.report.map_or(0, |report| report.total(now));
        sent.max(reported)
    }

    /// Prompt tokens that were sent to the server and not read yet.
    pub fn prefill_tokens(&self, now: Instant) -> u64 {
        self.own.prefill_tokens + self.peers.sum(now).prefill_tokens
    }

    /// What the time of a sending would tell of the engine, if it would tell something.
    pub(super) fn sample(&self, unread: u64, tokens: u64, now: Instant) -> Option<SampleKind> {
        match self.info.stage {
            Stage::Prefill => {
                let alone = self.prefill_tokens(now) == 0 && unread >= SAMPLE_TOKENS;
                alone.then_some(SampleKind::Reading(unread))
            }
            Stage::Decode => {
                let moved = unread == 0 && self.running(now) < self.info.slots;
                moved.then_some(SampleKind::First(tokens))
            }
            Stage::Unified => None,
        }
    }

    /// Hash of its identity, the same on every node.
    pub fn hash(&self) -> u32 {
        self.hash
    }

    /// Whether it is taken to change its stage.
    pub fn is_changing_stage(&self, now: Instant) -> bool {
        self.changing.is_some_and(|until| now < until)
    }

    /// Whether it takes no new requests, by its entry or by its own word.
    pub fn is_leaving(&self) -> bool {
        self.info.leaving || self.said_leaving
    }

    /// Time for which it still wants no request of this node.
    pub fn backoff(&self, now: Instant) -> Option<Duration> {
        let left = self.away?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether it is out of use after failures.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_ejected()
    }
}
