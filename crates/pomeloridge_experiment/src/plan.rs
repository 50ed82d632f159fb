//! What a run offers: accounts, kinds of requests, the load and its mix over time.
//!
//! A run may be time-scaled: the stand-in engines work `scale` times as fast,
//! and every target is divided by it, so that minutes of load pass in seconds.
//! Fields in `_s` are real seconds of the run; fields in `_ms` and all rates are
//! unscaled, as operators know them.

use std::f64::consts::TAU;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What a request asks for.
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

    /// Whether a model answers it, token by token.
    pub fn is_model(self) -> bool {
        match self {
            Self::ShortPrompt | Self::LongPrompt | Self::Chat => true,
            Self::Submission | Self::Lookup => false,
        }
    }
}

/// How a kind's share of the arrivals follows the mix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Follow {
    /// It stays the same.
    Steady,
    /// It grows as the mix turns prompt-heavy.
    Prompt,
    /// It grows as the mix turns output-heavy.
    Output,
}

/// One kind of request in a plan.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindPlan {
    /// Kind.
    pub kind: Kind,
    /// Weight of one good answer in the goodput.
    pub weight: f64,
    /// Share of the arrivals, against the other kinds, before the mix.
    pub share: f64,
    /// How the share follows the mix.
    pub follow: Follow,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens at the prompt's start that a session's requests share.
    pub shared: u32,
    /// Tokens of the answer.
    pub output: u32,
    /// Time until a plain service's answer must be whole, in ms.
    pub deadline_ms: f64,
}

/// One client account in a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountPlan {
    /// Name.
    pub name: String,
    /// Weight of its fair share.
    pub weight: f64,
    /// Its share of the arrivals, against the other accounts.
    pub demand: f64,
}

/// What the engines can do.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// Number of engines.
    pub engines: u32,
    /// Prompt tokens a second of one mixed engine.
    pub prefill: f64,
    /// Output tokens a second of one mixed engine, over all its streams.
    pub decode: f64,
}

/// Course of a value over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// Jumps between its two ends.
    Square,
    /// Moves smoothly between its two ends.
    Sine,
}

/// A value that swings between two ends.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// Course.
    pub shape: Shape,
    /// Lower end.
    pub low: f64,
    /// Upper end; the wave starts there or moves towards it.
    pub high: f64,
    /// Time of one swing, in real seconds.
    pub period_s: f64,
}

impl Wave {
    /// The value after `seconds` real seconds.
    pub fn at(&self, seconds: f64) -> f64 {
        let phase = (seconds / self.period_s).fract();
        let height = match self.shape {
            Shape::Square if phase < 0.5 => 1.0,
            Shape::Square => 0.0,
            Shape::Sine => f64::midpoint(1.0, (phase * TAU).sin()),
        };
        self.low + (self.high - self.low) * height
    }
}

/// Targets of streamed answers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Targets {
    /// Time to the first token, in ms.
    pub first_ms: f64,
    /// Time between tokens, in ms.
    pub gap_ms: f64,
    /// Real time between two steps of a stand-in engine, in ms; gaps can't be
    /// seen more finely than that, so they are judged over several tokens.
    pub step_ms: f64,
}

/// The loss of a data centre's backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reclaim {
    /// When it happens, in real seconds from the start.
    pub at_s: f64,
    /// Data centre.
    pub data_centre: String,
    /// Share of the engines that are left.
    pub left: f64,
}

/// Everything that one run offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// Factor by which the engines work faster than real ones.
    pub scale: f64,
    /// Time over which requests arrive, in real seconds.
    pub duration_s: f64,
    /// Model that is asked.
    pub model: String,
    /// Path prefix of the plain service.
    pub service: String,
    /// Client accounts.
    pub accounts: Vec<AccountPlan>,
    /// Kinds of requests.
    pub kinds: Vec<KindPlan>,
    /// What the engines can do.
    pub capacity: Capacity,
    /// Offered load against the capacity.
    pub load: Wave,
    /// Share of prompt-heavy requests among those that swing.
    pub mix: Wave,
    /// Sessions of each account.
    pub sessions: u32,
    /// Targets of streamed answers.
    pub targets: Targets,
    /// Time after which a caller gives an answer up, in real seconds; longer than
    /// the deadline of any route, so that only lost answers are given up.
    pub patience_s: f64,
    /// The loss of a data centre, if there is one.
    pub reclaim: Option<Reclaim>,
}

impl Plan {
    /// An unscaled time as it passes in the run.
    pub fn scaled(&self, ms: f64) -> Duration {
        Duration::from_secs_f64(ms.max(0.0) / 1000.0 / self.scale)
    }

    /// The plan of one kind.
    pub fn kind(&self, kind: Kind) -> Option<&KindPlan> {
        self.kinds.iter().find(|plan| plan.kind == kind)
    }

    /// Each kind's part of the arrivals after `seconds`; the parts sum to 1.
    pub fn parts(&self, seconds: f64) -> Vec<f64> {
        let mix = self.mix.at(seconds);
        let raw = |plan: &KindPlan| match plan.follow {
            Follow::Steady => plan.share,
            Follow::Prompt => plan.share * mix,
            Follow::Output => plan.share * (1.0 - mix),
        };
        let parts: Vec<f64> = self.kinds.iter().map(raw).collect();
        let total: f64 = parts.iter().sum();
        parts.iter().map(|part| part / total).collect()
    }

    /// Arrivals a real second after `seconds`.
    ///
    /// An engine reads prompts and makes tokens side by side, so the slower of
    /// the two bounds it. Hits in the prefix cache are not counted on.
    pub fn rate(&self, seconds: f64) -> f64 {
        let (mut prefill, mut decode) = (0.0, 0.0);
        for (plan, part) in self.kinds.iter().zip(self.parts(seconds)) {
            prefill += part * f64::from(plan.prompt) / self.capacity.prefill;
            decode += part * f64::from(plan.output) / self.capacity.decode;
        }
        let engines = f64::from(self.capacity.engines) * self.scale;
        self.load.at(seconds) * engines / prefill.max(decode)
    }

    /// Work of one request of a kind, in engine seconds; 0 for plain services.
    pub fn cost(&self, kind: Kind) -> f64 {
        self.kind(kind).map_or(0.0, |plan| {
            f64::from(plan.prompt) / self.capacity.prefill
                + f64::from(plan.output) / self.capacity.decode
        })
    }
}
