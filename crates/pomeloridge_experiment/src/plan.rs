//! Describes the load of a run: accounts, kinds of requests, the rate and the mix over time.
//!
//! A run may be time-scaled: the stand-in engines run `scale` times as fast, and
//! every target is divided by `scale`, so that minutes of load take seconds.
//! Fields in `_s` are real seconds of the run; fields in `_ms` and all rates are
//! unscaled, as in a real deployment.

use std::f64::consts::TAU;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Kind of request.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A streamed completion with a short prompt and a long answer.
    #[display("short prompt")]
    ShortPrompt,
    /// A streamed completion with a long prompt and a short answer.
    #[display("long prompt")]
    LongPrompt,
    /// A streamed chat turn of a session.
    #[display("chat")]
    Chat,
    /// A `POST` to the plain service, with an idempotency key.
    #[display("submission")]
    Submission,
    /// A `GET` from the plain service.
    #[display("lookup")]
    Lookup,
}

impl Kind {
    /// Every kind, in the order of reports.
    pub const ALL: [Self; 5] = [
        Self::ShortPrompt,
        Self::LongPrompt,
        Self::Chat,
        Self::Submission,
        Self::Lookup,
    ];

    /// Returns whether a model answers the request, as a stream of tokens.
    pub fn is_model(self) -> bool {
        match self {
            Self::ShortPrompt | Self::LongPrompt | Self::Chat => true,
            Self::Submission | Self::Lookup => false,
        }
    }
}

/// Dependence of a kind's share of the arrivals on the mix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MixTrend {
    /// Constant.
    Steady,
    /// Grows as the mix becomes prompt-heavy.
    Prompt,
    /// Grows as the mix becomes output-heavy.
    Output,
}

/// One kind of request in a plan.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindPlan {
    /// Kind of request.
    pub kind: Kind,
    /// Weight of one good answer in the goodput.
    pub weight: f64,
    /// Share of the arrivals relative to the other kinds, before the mix applies.
    pub share: f64,
    /// Dependence of the share on the mix.
    pub follow: MixTrend,
    /// Prompt length, in tokens.
    pub prompt: u32,
    /// Length of the prefix that the requests of a session share, in tokens.
    pub shared: u32,
    /// Answer length, in tokens.
    pub output: u32,
    /// Deadline for a complete answer of a plain service, in ms.
    pub deadline_ms: f64,
}

/// One client account in a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountPlan {
    /// Account name.
    pub name: String,
    /// Fair-share weight.
    pub weight: f64,
    /// Share of the arrivals relative to the other accounts.
    pub demand: f64,
}

/// Capacity of the engines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// Number of engines.
    pub engines: u32,
    /// Prompt tokens per second of one mixed engine.
    pub prefill: f64,
    /// Output tokens per second of one mixed engine, over all its streams.
    pub decode: f64,
}

/// Waveform of a value over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// Jumps between the bounds.
    Square,
    /// Varies smoothly between the bounds.
    Sine,
}

/// A value that oscillates between two bounds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// Waveform.
    pub shape: Shape,
    /// Lower bound.
    pub low: f64,
    /// Upper bound; a square wave starts there, a sine wave rises towards it.
    pub high: f64,
    /// Period, in real seconds.
    pub period_s: f64,
}

impl Wave {
    /// Returns the value after `seconds` real seconds.
    pub fn at(&self, seconds: f64) -> f64 {
        let phase = (seconds / self.period_s).fract();
        let level = match self.shape {
            Shape::Square if phase < 0.5 => 1.0,
            Shape::Square => 0.0,
            Shape::Sine => f64::midpoint(1.0, (phase * TAU).sin()),
        };
        self.low + (self.high - self.low) * level
    }
}

/// Latency targets of streamed answers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Targets {
    /// Time to first token, in ms.
    pub first_ms: f64,
    /// Time between tokens, in ms.
    pub gap_ms: f64,
    /// Real time between two steps of a stand-in engine, in ms; gaps can't be
    /// measured more finely than that, so they are averaged over several tokens.
    pub step_ms: f64,
}

/// The loss of a data centre's backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reclaim {
    /// Time of the loss, in real seconds from the start.
    pub at_s: f64,
    /// Data centre that is lost.
    pub data_centre: String,
    /// Share of the engines that remain.
    pub left: f64,
}

/// Load, targets and faults of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Factor by which the engines run faster than real ones.
    pub scale: f64,
    /// Time over which requests arrive, in real seconds.
    pub duration_s: f64,
    /// Model that the completions request.
    pub model: String,
    /// Path prefix of the plain service.
    pub service: String,
    /// Client accounts.
    pub accounts: Vec<AccountPlan>,
    /// Kinds of requests.
    pub kinds: Vec<KindPlan>,
    /// Capacity of the engines.
    pub capacity: Capacity,
    /// Offered load relative to the capacity.
    pub load: Wave,
    /// Prompt-heavy part of the requests whose share depends on the mix.
    pub mix: Wave,
    /// Sessions per account.
    pub sessions: u32,
    /// Latency targets of streamed answers.
    pub targets: Targets,
    /// Timeout of a caller, in real seconds; longer than the deadline of any
    /// route, so that only lost answers time out.
    #[serde(rename = "patience_s")]
    pub timeout_s: f64,
    /// Loss of a data centre during the run.
    pub reclaim: Option<Reclaim>,
}

impl Plan {
    /// Converts an unscaled time to the real time of the run.
    pub fn scaled(&self, ms: f64) -> Duration {
        Duration::from_secs_f64(ms.max(0.0) / 1000.0 / self.scale)
    }

    /// Returns the plan of one kind.
    pub fn kind(&self, kind: Kind) -> Option<&KindPlan> {
        self.kinds.iter().find(|plan| plan.kind == kind)
    }

    /// Returns each kind's share of the arrivals after `seconds`; the shares sum to 1.
    pub fn kind_shares(&self, seconds: f64) -> Vec<f64> {
        let mix = self.mix.at(seconds);
        let raw = |plan: &KindPlan| match plan.follow {
            MixTrend::Steady => plan.share,
            MixTrend::Prompt => plan.share * mix,
            MixTrend::Output => plan.share * (1.0 - mix),
        };
        let shares: Vec<f64> = self.kinds.iter().map(raw).collect();
        let total: f64 = shares.iter().sum();
        shares.iter().map(|share| share / total).collect()
    }

    /// Returns the arrivals per real second after `seconds`.
    ///
    /// An engine runs prefill and decode concurrently, so the slower of the two
    /// limits its throughput. Prefix cache hits are not taken into account.
    pub fn rate(&self, seconds: f64) -> f64 {
        let (mut prefill, mut decode) = (0.0, 0.0);
        for (plan, share) in self.kinds.iter().zip(self.kind_shares(seconds)) {
            prefill += share * f64::from(plan.prompt) / self.capacity.prefill;
            decode += share * f64::from(plan.output) / self.capacity.decode;
        }
        let engines = f64::from(self.capacity.engines) * self.scale;
        self.load.at(seconds) * engines / prefill.max(decode)
    }

    /// Returns the work of one request of a kind, in engine seconds; 0 for plain services.
    pub fn cost(&self, kind: Kind) -> f64 {
        self.kind(kind).map_or(0.0, |plan| {
            f64::from(plan.prompt) / self.capacity.prefill
                + f64::from(plan.output) / self.capacity.decode
        })
    }
}
