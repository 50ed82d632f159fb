//! What one request counts as in the goodput.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;

use crate::exchange::never_ended;
use crate::plan::{Kind, Plan};
use crate::record::Record;

/// Share of a stream's gaps that must be within the target.
const GAP_SHARE: f64 = 0.95;
/// Steps of an engine that a span of tokens must last at the target's pace, so
/// that one step more or less decides little.
const SPAN_STEPS: f64 = 8.0;

/// What a request counts as; each request counts as exactly one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Verdict {
    /// Answered right, whole, once and within the targets.
    #[display("good")]
    Good,
    /// Answered right, whole and once, but past a target.
    #[display("late")]
    Late,
    /// Refused, and known not to have run.
    #[display("refused")]
    Refused,
    /// Given an error as its final answer.
    #[display("failed")]
    Failed,
    /// Given another answer than the right one.
    #[display("wrong")]
    Wrong,
    /// Given no end of its answer.
    #[display("lost")]
    Lost,
    /// Run more than once though it may not be repeated.
    #[display("doubled")]
    Doubled,
}

impl Verdict {
    /// Every verdict, in the order of reports.
    pub const ALL: [Self; 7] = [
        Self::Good,
        Self::Late,
        Self::Refused,
        Self::Failed,
        Self::Wrong,
        Self::Lost,
        Self::Doubled,
    ];

    /// Whether the request was answered right, whole and once.
    pub fn is_served(self) -> bool {
        matches!(self, Self::Good | Self::Late)
    }
}

/// How often the plain services ran each submission, by idempotency key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceRuns(HashMap<String, u32>);

#[derive(Deserialize)]
struct WireEvent {
    what: String,
    method: Option<String>,
    idempotency_key: Option<String>,
}

impl ServiceRuns {
    /// Adds the history of one service, as JSON lines; other lines are passed over.
    pub fn add_history(&mut self, lines: &str) {
        let events = lines.lines().map(serde_json::from_str::<WireEvent>);
        for event in events.flatten().filter(|event| event.what == "run") {
            if event.method.as_deref() == Some("POST")
                && let Some(key) = event.idempotency_key
            {
                *self.0.entry(key).or_default() += 1;
            }
        }
    }

    /// How often the submission with this idempotency key ran.
    pub fn of(&self, key: &str) -> u32 {
        self.0.get(key).copied().unwrap_or_default()
    }
}

/// What a request counts as; `runs` is how often a submission ran.
pub fn verdict(plan: &Plan, record: &Record, runs: u32) -> Verdict {
    if record.kind == Kind::Submission && runs > 1 {
        return Verdict::Doubled;
    }
    if !record.right {
        return Verdict::Wrong;
    }
    if record.refused() {
        return Verdict::Refused;
    }
    let ended = !record.code.is_empty() && !never_ended(&record.code);
    match (record.whole, answered(record)) {
        (true, true) if in_time(plan, record) => Verdict::Good,
        (true, true) => Verdict::Late,
        (false, _) if !ended => Verdict::Lost,
        (true, false) | (false, _) => Verdict::Failed,
    }
}

/// Whether the last answer is an answer to the request itself, and no error;
/// only errors of the system say whether the request ran.
fn answered(record: &Record) -> bool {
    match record.kind {
        Kind::ShortPrompt | Kind::LongPrompt | Kind::Chat => record.status == 200,
        Kind::Submission => record.status == 201,
        Kind::Lookup => record.run.is_none() && matches!(record.status, 200 | 404),
    }
}

fn in_time(plan: &Plan, record: &Record) -> bool {
    if !record.kind.is_model() {
        let deadline = plan.kind(record.kind).map_or(0.0, |kind| kind.deadline_ms);
        return record.took() <= plan.scaled(deadline);
    }
    let Some(first) = record.tokens.first() else {
        return false;
    };
    *first <= plan.scaled(plan.targets.first_ms) && gaps_in_time(plan, &record.tokens)
}

fn gaps_in_time(plan: &Plan, tokens: &[Duration]) -> bool {
    let gaps = gaps(plan, tokens);
    let target = plan.scaled(plan.targets.gap_ms);
    let kept = gaps.iter().filter(|gap| **gap <= target).count();
    kept as f64 >= GAP_SHARE * gaps.len() as f64
}

/// The time from each token to the next, as the mean over a span of tokens.
///
/// A stand-in engine makes its tokens in steps, and time-scaled it makes several
/// in one step. A span is long enough for the steps not to decide, and one step
/// is taken off, because a span may begin at the end of a step and end at the
/// start of another. A stream shorter than a span is one span.
pub fn gaps(plan: &Plan, tokens: &[Duration]) -> Vec<Duration> {
    if tokens.len() < 2 {
        return Vec::new();
    }
    let span = span(plan).min(tokens.len() - 1);
    let step = Duration::from_secs_f64(plan.targets.step_ms / 1000.0);
    let mean = |pair: (&Duration, &Duration)| {
        let time = pair.1.saturating_sub(*pair.0);
        time.saturating_sub(step) / span as u32
    };
    tokens.iter().zip(&tokens[span..]).map(mean).collect()
}

/// Tokens in a span.
pub fn span(plan: &Plan) -> usize {
    let gap_ms = plan.targets.gap_ms / plan.scale;
    (SPAN_STEPS * plan.targets.step_ms / gap_ms).ceil().max(1.0) as usize
}
