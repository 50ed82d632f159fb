//! The encoding of the datagrams between nodes.

use std::time::{Duration, Instant};

use pomeloridge_base::id::{Name, Revision};
use pomeloridge_platform::Event;
use pomeloridge_policy::account_quota::{AccountId, Ask, Grant, SentAsk};
use pomeloridge_policy::crashes::{CrashReport, ServerIncarnation};
use pomeloridge_policy::dispatch::{
    NodeLoad, PartPlacement, PeerLoad, SpeedReport, SpeedReports, TimeRatio, Work,
};
use pomeloridge_policy::part_crashes::{PartCrash, PartReport, Suspect};
use pomeloridge_policy::prompt_cache::PromptPart;
use pomeloridge_policy::rate_limit::{InvalidRateLimit, LimitReport, RateLimit};
use pomeloridge_policy::suspicion::Fingerprint;
use pomeloridge_policy::work_meter::WorkRates;
use prost::Message;

use super::sent_prompt::SentPromptWire;
use super::stream_copies::StreamCopyWire;
use crate::compression::{compress, decompress};
use crate::server_list::ServerListDelta;

/// A datagram to a peer.
#[derive(Clone, PartialEq, Message)]
pub(super) struct PeerMessage {
    #[prost(string, tag = "1")]
    pub(super) node: String,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "2")]
    pub(super) incarnation: u64,
    /// The sender's estimate of the time of day, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub(super) unix_ms: u64,
    /// Version of the sender's active configuration; 0 if there is none.
    #[prost(uint64, tag = "4")]
    pub(super) config: u64,
    #[prost(message, optional, tag = "5")]
    pub(super) loads: Option<LoadsWire>,
    #[prost(message, repeated, tag = "6")]
    pub(super) usage: Vec<UsageWire>,
    /// Fencing token of the duties if the sender holds them, else 0.
    #[prost(uint64, tag = "7")]
    pub(super) duty: u64,
    #[prost(message, optional, tag = "8")]
    pub(super) placed: Option<PlacedPartsWire>,
    #[prost(message, repeated, tag = "9")]
    pub(super) work: Vec<WorkWire>,
    /// Hashes of the engines that the duty holder has ordered to change their stage.
    #[prost(fixed32, repeated, tag = "10")]
    pub(super) changing: Vec<u32>,
    /// Revision of the server list with its era; 0 until the list has been read.
    #[prost(uint64, tag = "11")]
    pub(super) servers: u64,
    /// Time since the object service last answered the sender's watches, in milliseconds.
    #[prost(uint64, optional, tag = "12")]
    pub(super) answered_ms: Option<u64>,
    /// Server list changes that the sender has just read.
    #[prost(message, optional, tag = "13")]
    pub(super) change: Option<ServerListDeltaWire>,
    /// Whether the sender has recently lost the object service or has just started.
    #[prost(bool, tag = "14")]
    pub(super) lost_store: bool,
    /// Hash of the name of the sender's data centre.
    #[prost(fixed32, tag = "15")]
    pub(super) data_centre_hash: u32,
    /// First window from which on `usage` holds all counts of the sender.
    #[prost(uint64, optional, tag = "16")]
    pub(super) counted_from: Option<u64>,
    /// Requests during which servers crashed.
    #[prost(message, repeated, tag = "17")]
    pub(super) crashes: Vec<CrashesWire>,
    /// Total loads that the nodes of the sender's data centre have put on servers.
    #[prost(message, optional, tag = "18")]
    pub(super) data_centre_loads: Option<LoadsWire>,
    /// Limits that servers have named lately.
    #[prost(message, repeated, tag = "19")]
    pub(super) limits: Vec<LimitWire>,
    /// Prompt parts that may have crashed engines.
    #[prost(message, optional, tag = "20")]
    pub(super) parts: Option<PartsWire>,
    /// Era of the sender's server list; absent until the list has been read.
    #[prost(uint64, optional, tag = "21")]
    pub(super) era: Option<u64>,
    /// Whether the object service is back from an older copy so lately that the sender still keeps
    /// servers that it has lost.
    #[prost(bool, tag = "22")]
    pub(super) restored: bool,
    /// Whether `crashes` and `parts` hold what the fleet has quarantined.
    #[prost(bool, tag = "23")]
    pub(super) knows_crashes: bool,
    /// Number of the sender's table of versions, 0 if there is none; absent until that is known.
    #[prost(uint64, optional, tag = "24")]
    pub(super) versions: Option<u64>,
    /// The table of versions that the sender has just written, encoded.
    #[prost(bytes = "vec", optional, tag = "25")]
    pub(super) version_table: Option<Vec<u8>>,
    /// Time since the latest answer of the object service to a watching node that the sender knows
    /// of, in milliseconds.
    #[prost(uint64, optional, tag = "26")]
    pub(super) confirmed_ms: Option<u64>,
    /// What the sender has measured of servers; absent if nothing, or from a former build.
    #[prost(message, optional, tag = "27")]
    pub(super) speeds: Option<SpeedsWire>,
    /// Ask for credit of a client account's allotment.
    #[prost(message, optional, tag = "28")]
    pub(super) quota_ask: Option<QuotaAskWire>,
    /// Answer to such an ask.
    #[prost(message, optional, tag = "29")]
    pub(super) quota_grant: Option<QuotaGrantWire>,
    /// Version of the duties' lease that the sender holds; 0 if it holds none, or from a former
    /// build.
    #[prost(uint64, tag = "30")]
    pub(super) lease: u64,
    /// A long prompt that the sender has just sent to an engine.
    #[prost(message, optional, tag = "32")]
    pub(super) sent_prompt: Option<SentPromptWire>,
    /// Versions of streams that the sender has begun or knows.
    #[prost(message, repeated, tag = "33")]
    pub(super) stream_copies: Vec<StreamCopyWire>,
    /// Identifiers of streams whose versions the sender asks for.
    #[prost(fixed64, repeated, tag = "34")]
    pub(super) wanted_streams: Vec<u64>,
}

/// Measurements of servers, stored by column.
#[derive(Clone, PartialEq, Message)]
pub(super) struct SpeedsWire {
    /// Number of measurements that the sender had made before these.
    #[prost(uint64, tag = "1")]
    first: u64,
    /// Short hashes of the servers' incarnations.
    #[prost(fixed32, repeated, tag = "2")]
    servers: Vec<u32>,
    /// What was measured: twice the quantisation steps of the ratio, and one more for a prefill.
    #[prost(bytes = "vec", tag = "3")]
    ratios: Vec<u8>,
}

impl From<SpeedReports> for SpeedsWire {
    fn from(speeds: SpeedReports) -> Self {
        let encode = |report: &SpeedReport| {
            let work = i8::from(report.work == Work::Prefill);
            ((report.ratio.steps() << 1) | work).cast_unsigned()
        };
        Self {
            first: speeds.first,
            servers: speeds.reports.iter().map(|report| report.server).collect(),
            ratios: speeds.reports.iter().map(encode).collect(),
        }
    }
}

/// The measurements of a peer are malformed.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq)]
pub(super) struct InvalidSpeeds;

impl TryFrom<SpeedsWire> for SpeedReports {
    type Error = InvalidSpeeds;

    fn try_from(wire: SpeedsWire) -> Result<Self, Self::Error> {
        if wire.servers.len() != wire.ratios.len() {
            return Err(InvalidSpeeds);
        }
        let reports = wire.servers.into_iter().zip(wire.ratios);
        let reports = reports.map(|(server, byte)| {
            let number = byte.cast_signed();
            let work = if number & 1 == 1 {
                Work::Prefill
            } else {
                Work::Decode
            };
            let ratio = TimeRatio::from_steps(number >> 1).ok_or(InvalidSpeeds)?;
            Ok(SpeedReport {
                server,
                work,
                ratio,
            })
        });
        Ok(Self {
            first: wire.first,
            reports: reports.collect::<Result<_, _>>()?,
        })
    }
}

/// An ask for credit of a client account's allotment.
#[derive(Clone, PartialEq, Message)]
pub(super) struct QuotaAskWire {
    /// Number by which the answer names the ask.
    #[prost(uint64, tag = "1")]
    pub(super) id: u64,
    /// Hash of the account's name.
    #[prost(fixed64, tag = "2")]
    pub(super) account: u64,
    #[prost(uint64, tag = "3")]
    needed: u64,
    /// Units for requests that are expected.
    #[prost(uint64, tag = "4")]
    extra: u64,
}

impl QuotaAskWire {
    pub(super) fn new(sent: &SentAsk, account: AccountId) -> Self {
        Self {
            id: sent.id.0,
            account: account.0,
            needed: sent.ask.needed,
            extra: sent.ask.extra,
        }
    }
}

impl From<&QuotaAskWire> for Ask {
    fn from(wire: &QuotaAskWire) -> Self {
        Self {
            needed: wire.needed,
            extra: wire.extra,
        }
    }
}

/// A grant of credit of a client account's allotment.
#[derive(Clone, PartialEq, Message)]
pub(super) struct QuotaGrantWire {
    /// Number of the ask.
    #[prost(uint64, tag = "1")]
    pub(super) id: u64,
    /// Incarnation of the node that asked, as the numbers begin anew with each process.
    #[prost(fixed64, tag = "2")]
    pub(super) asker: u64,
    #[prost(uint64, tag = "3")]
    amount: u64,
    /// Units that the holder has left.
    #[prost(uint64, tag = "4")]
    balance: u64,
    /// Whether the holder grants nothing for now.
    #[prost(bool, tag = "5")]
    is_closed: bool,
}

impl QuotaGrantWire {
    pub(super) fn new(id: u64, asker: u64, grant: Grant) -> Self {
        Self {
            id,
            asker,
            amount: grant.amount,
            balance: grant.balance,
            is_closed: grant.is_closed,
        }
    }
}

impl From<&QuotaGrantWire> for Grant {
    fn from(wire: &QuotaGrantWire) -> Self {
        Self {
            amount: wire.amount,
            balance: wire.balance,
            is_closed: wire.is_closed,
        }
    }
}

/// Crashes with the prompt parts that are suspects, and answers, stored by column.
#[derive(Clone, PartialEq, Message)]
pub(super) struct PartsWire {
    /// Incarnations of the crashed servers.
    #[prost(fixed64, repeated, tag = "1")]
    servers: Vec<u64>,
    /// Times since the crashes.
    #[prost(uint64, repeated, tag = "2")]
    ages_ms: Vec<u64>,
    /// Numbers of suspects of the crashes, which `suspects` holds one after the other.
    #[prost(uint32, repeated, tag = "3")]
    counts: Vec<u32>,
    #[prost(fixed64, repeated, tag = "4")]
    suspects: Vec<u64>,
    #[prost(uint32, repeated, tag = "7")]
    depths: Vec<u32>,
    /// Parts on which answers began at the sender, and the times since then.
    #[prost(fixed64, repeated, tag = "5")]
    answered: Vec<u64>,
    #[prost(uint64, repeated, tag = "6")]
    answered_ms: Vec<u64>,
}

impl From<&PartReport> for PartsWire {
    fn from(report: &PartReport) -> Self {
        let millis = |age: Duration| age.as_millis() as u64;
        let crashes = || report.crashes.iter();
        let answers = || report.answers.iter();
        let suspects = || crashes().flat_map(|crash| &crash.suspects);
        Self {
            servers: crashes().map(|crash| crash.server.0).collect(),
            ages_ms: crashes().map(|crash| millis(crash.age)).collect(),
            counts: crashes().map(|crash| crash.suspects.len() as u32).collect(),
            suspects: suspects().map(|suspect| suspect.part).collect(),
            depths: suspects().map(|suspect| suspect.depth).collect(),
            answered: answers().map(|(part, _)| *part).collect(),
            answered_ms: answers().map(|(_, age)| millis(*age)).collect(),
        }
    }
}

impl From<PartsWire> for PartReport {
    fn from(wire: PartsWire) -> Self {
        let suspects = wire.suspects.into_iter().zip(wire.depths);
        let mut suspects = suspects.map(|(part, depth)| Suspect { part, depth });
        let crashes = wire.servers.into_iter().zip(wire.ages_ms).zip(wire.counts);
        let crashes = crashes.map(|((server, age), count)| PartCrash {
            server: ServerIncarnation(server),
            age: Duration::from_millis(age),
            suspects: suspects.by_ref().take(count as usize).collect(),
        });
        let crashes = crashes.collect();
        let ages = wire.answered_ms.into_iter().map(Duration::from_millis);
        Self {
            crashes,
            answers: wire.answered.into_iter().zip(ages).collect(),
        }
    }
}

/// A server's limit.
#[derive(Clone, PartialEq, Message)]
pub(super) struct LimitWire {
    /// Incarnation of the server.
    #[prost(fixed64, tag = "1")]
    server: u64,
    /// Requests a second; absent if the server no longer names a limit.
    #[prost(double, optional, tag = "2")]
    per_second: Option<f64>,
    /// Time since the server stated it, in milliseconds.
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

impl From<LimitReport> for LimitWire {
    fn from(report: LimitReport) -> Self {
        Self {
            server: report.server.0,
            per_second: report.limit.map(RateLimit::per_second),
            age_ms: report.age.as_millis() as u64,
        }
    }
}

impl TryFrom<LimitWire> for LimitReport {
    type Error = InvalidRateLimit;

    fn try_from(wire: LimitWire) -> Result<Self, Self::Error> {
        Ok(Self {
            server: ServerIncarnation(wire.server),
            limit: wire.per_second.map(RateLimit::try_from).transpose()?,
            age: Duration::from_millis(wire.age_ms),
        })
    }
}

/// A request during which servers crashed.
#[derive(Clone, PartialEq, Message)]
pub(super) struct CrashesWire {
    #[prost(bytes = "vec", tag = "1")]
    fingerprint: Vec<u8>,
    /// Incarnations of the crashed servers; `ages_ms` holds the times since the crashes, in the
    /// same order.
    #[prost(fixed64, repeated, tag = "2")]
    servers: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    ages_ms: Vec<u64>,
    /// Time since the request was answered completely, if it was.
    #[prost(uint64, optional, tag = "4")]
    cleared_ms: Option<u64>,
    /// Whether the request was ever answered completely, also before the crashes.
    #[prost(bool, tag = "5")]
    answered: bool,
}

impl From<CrashReport> for CrashesWire {
    fn from(report: CrashReport) -> Self {
        let millis = |age: Duration| age.as_millis() as u64;
        Self {
            fingerprint: report.fingerprint.0.to_vec(),
            servers: report
                .crashes
                .iter()
                .map(|(incarnation, _)| incarnation.0)
                .collect(),
            ages_ms: report.crashes.iter().map(|(_, age)| millis(*age)).collect(),
            cleared_ms: report.cleared.map(millis),
            answered: report.answered,
        }
    }
}

/// A request's fingerprint is not 32 bytes long.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq)]
pub(super) struct FingerprintLengthError;

impl TryFrom<CrashesWire> for CrashReport {
    type Error = FingerprintLengthError;

    fn try_from(wire: CrashesWire) -> Result<Self, Self::Error> {
        let fingerprint = wire
            .fingerprint
            .try_into()
            .map_err(|_| FingerprintLengthError)?;
        let incarnations = wire.servers.into_iter().map(ServerIncarnation);
        let ages = wire.ages_ms.into_iter().map(Duration::from_millis);
        Ok(Self {
            fingerprint: Fingerprint(fingerprint),
            crashes: incarnations.zip(ages).collect(),
            cleared: wire.cleared_ms.map(Duration::from_millis),
            answered: wire.answered,
        })
    }
}

/// Changes of the server list.
#[derive(Clone, PartialEq, Message)]
pub(super) struct ServerListDeltaWire {
    #[prost(uint64, tag = "1")]
    from: u64,
    #[prost(uint64, tag = "2")]
    to: u64,
    /// Compressed [`EventsWire`].
    #[prost(bytes = "vec", tag = "4")]
    events: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
struct EventsWire {
    #[prost(message, repeated, tag = "1")]
    events: Vec<EventWire>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct EventWire {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(uint64, tag = "2")]
    version: u64,
    /// The entry as JSON; absent if the entry was removed.
    #[prost(bytes = "vec", optional, tag = "3")]
    value: Option<Vec<u8>>,
}

/// An error in encoding or decoding server list changes.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub(crate) enum ChangeError {
    /// Compression or decompression failed.
    Compression(std::io::Error),
    /// The decompressed bytes are not a valid message.
    Message(prost::DecodeError),
    /// An entry is not valid JSON.
    Entry(serde_json::Error),
}

impl TryFrom<&ServerListDelta> for ServerListDeltaWire {
    type Error = ChangeError;

    fn try_from(change: &ServerListDelta) -> Result<Self, Self::Error> {
        let events = change.events.iter().map(|event| EventWire {
            key: event.key.clone(),
            version: event.version.0,
            value: event
                .value
                .as_ref()
                .map(|value| value.to_string().into_bytes()),
        });
        let events = EventsWire {
            events: events.collect(),
        };
        Ok(Self {
            from: change.from.0,
            to: change.to.0,
            events: compress(&events.encode_to_vec())?,
        })
    }
}

impl TryFrom<ServerListDeltaWire> for ServerListDelta {
    type Error = ChangeError;

    fn try_from(wire: ServerListDeltaWire) -> Result<Self, Self::Error> {
        let events = decompress(&wire.events)?;
        let events = EventsWire::decode(events.as_slice())?.events;
        let events = events.into_iter().map(|event| {
            let value = event.value.map(|json| serde_json::from_slice(&json));
            Ok::<_, ChangeError>(Event {
                key: event.key,
                version: Revision(event.version),
                value: value.transpose()?,
            })
        });
        Ok(Self {
            from: Revision(wire.from),
            to: Revision(wire.to),
            events: events.collect::<Result<_, _>>()?,
        })
    }
}

/// Encodes changes of the server list.
pub(crate) fn encode_change(change: &ServerListDelta) -> Result<Vec<u8>, ChangeError> {
    Ok(ServerListDeltaWire::try_from(change)?.encode_to_vec())
}

/// Decodes changes of the server list.
pub(crate) fn decode_change(bytes: &[u8]) -> Result<ServerListDelta, ChangeError> {
    ServerListDeltaWire::decode(bytes)?.try_into()
}

/// Rates of a service's work requested at the sender.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WorkWire {
    #[prost(string, tag = "1")]
    pub(super) service: String,
    /// Prompt tokens per second.
    #[prost(float, tag = "2")]
    pub(super) prefill: f32,
    /// Output tokens per second.
    #[prost(float, tag = "3")]
    pub(super) decode: f32,
}

/// Shared prompt parts that were sent to servers for prefill, stored by column, which encodes
/// smaller than by row.
#[derive(Clone, PartialEq, Message)]
pub(super) struct PlacedPartsWire {
    /// Hashes of the servers' names, equal on all nodes.
    #[prost(fixed32, repeated, tag = "1")]
    pub(super) servers: Vec<u32>,
    #[prost(uint64, repeated, tag = "2")]
    parts: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    tokens: Vec<u64>,
}

impl From<&[PartPlacement]> for PlacedPartsWire {
    fn from(placed: &[PartPlacement]) -> Self {
        Self {
            servers: placed.iter().map(|placed| placed.server).collect(),
            parts: placed.iter().map(|placed| placed.part.id).collect(),
            tokens: placed.iter().map(|placed| placed.part.tokens).collect(),
        }
    }
}

impl From<PlacedPartsWire> for Vec<PartPlacement> {
    fn from(wire: PlacedPartsWire) -> Self {
        let parts = wire.parts.into_iter().zip(wire.tokens);
        let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
        let placed = wire.servers.into_iter().zip(parts);
        placed
            .map(|(server, part)| PartPlacement { server, part })
            .collect()
    }
}

/// Loads that nodes have put on servers, stored by column.
#[derive(Clone, PartialEq, Message)]
pub(super) struct LoadsWire {
    /// Hashes of the servers' names, equal on all nodes.
    #[prost(fixed32, repeated, tag = "1")]
    pub(super) servers: Vec<u32>,
    /// Prompt tokens that are still to be prefilled.
    #[prost(uint64, repeated, tag = "2")]
    prefill_tokens: Vec<u64>,
    #[prost(uint32, repeated, tag = "3")]
    running: Vec<u32>,
    /// Tokens that the requests hold on the servers; empty from a former build.
    #[prost(uint64, repeated, tag = "4")]
    held_tokens: Vec<u64>,
}

impl FromIterator<(u32, NodeLoad)> for LoadsWire {
    fn from_iter<I: IntoIterator<Item = (u32, NodeLoad)>>(loads: I) -> Self {
        let mut wire = Self::default();
        for (server, load) in loads {
            wire.servers.push(server);
            wire.prefill_tokens.push(load.prefill_tokens);
            wire.running.push(load.running);
            wire.held_tokens.push(load.held_tokens);
        }
        wire
    }
}

impl LoadsWire {
    /// Returns the loads by server hash, as received at a time.
    pub(super) fn into_peer_loads(self, at: Instant) -> Vec<(u32, PeerLoad)> {
        let held_tokens = self.held_tokens.into_iter().chain(std::iter::repeat(0));
        let loads = self.prefill_tokens.into_iter().zip(self.running);
        let loads = loads
            .zip(held_tokens)
            .map(|((prefill_tokens, running), held_tokens)| NodeLoad {
                prefill_tokens,
                running,
                held_tokens,
            });
        let by_server = self.servers.into_iter().zip(loads);
        by_server
            .map(|(server, load)| (server, PeerLoad { load, at }))
            .collect()
    }
}

/// A client account's request count in a usage window.
#[derive(Clone, PartialEq, Message)]
pub(super) struct UsageWire {
    #[prost(uint64, tag = "1")]
    pub(super) window: u64,
    #[prost(string, tag = "2")]
    pub(super) account: String,
    #[prost(uint64, tag = "3")]
    pub(super) count: u64,
}

impl From<WorkWire> for (Name, WorkRates) {
    fn from(wire: WorkWire) -> Self {
        let rates = WorkRates {
            prefill: f64::from(wire.prefill),
            decode: f64::from(wire.decode),
        };
        (Name::from(wire.service), rates)
    }
}
