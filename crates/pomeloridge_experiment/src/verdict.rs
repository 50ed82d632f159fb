//! Classifies each request for the goodput.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;

use crate::exchange::is_incomplete;
use crate::plan::{Kind, Plan};
use crate::record::Record;

/// Share of a stream's gaps between tokens that must be within the target.
const GAP_SHARE: f64 = 0.95;
/// Length of a span of tokens at the target's pace, in engine steps; long enough
/// that one step more or less makes little difference.
const SPAN_STEPS: f64 = 8.0;

/// Classification of a request; each request has exactly one verdict.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Verdict {
    /// Answered correctly, completely, once and within the targets.
    #[display("good")]
    Good,
    /// Answered correctly, completely and once, but past a target.
    #[display("late")]
    Late,
    /// Refused, and known not to have run.
    #[display("refused")]
    Refused,
    /// Answered with an error in the end.
    #[display("failed")]
    Failed,
    /// Answered incorrectly.
    #[display("wrong")]
    Wrong,
    /// The end of the answer never arrived.
    #[display("lost")]
    Lost,
    /// Run more than once, although not repeatable.
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

    /// Returns whether the request was answered correctly, completely and once.
    pub fn is_served(self) -> bool {
        matches!(self, Self::Good | Self::Late)
    }
}

/// Number of times the plain services ran each submission, by idempotency key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceRuns(HashMap<String, u32>);

#[derive(Deserialize)]
struct WireEvent {
    what: String,
    method: Option<String>,
    idempotency_key: Option<String>,
}

impl ServiceRuns {
    /// Adds the runs in the history of one service, as JSON lines; ignores other lines.
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

    /// Returns how often the submission with this idempotency key ran.
    pub fn count(&self, key: &str) -> u32 {
        self.0.get(key).copied().unwrap_or_default()
    }
}

/// Classifies a request; `runs` is the number of times a submission ran.
pub fn verdict(plan: &Plan, record: &Record, runs: u32) -> Verdict {
    if record.kind == Kind::Submission && runs > 1 {
        return Verdict::Doubled;
    }
    if !record.correct {
        return Verdict::Wrong;
    }
    if record.refused() {
        return Verdict::Refused;
    }
    let ended = !record.code.is_empty() && !is_incomplete(&record.code);
    match (record.complete, is_success(record)) {
        (true, true) if within_targets(plan, record) => Verdict::Good,
        (true, true) => Verdict::Late,
        (false, _) if !ended => Verdict::Lost,
        (true, false) | (false, _) => Verdict::Failed,
    }
}

/// Returns whether the last answer is a success. A lookup's 404 is an error if it has
/// a run status, which only error answers of the gateway have.
fn is_success(record: &Record) -> bool {
    match record.kind {
        Kind::ShortPrompt | Kind::LongPrompt | Kind::Chat => record.status == 200,
        Kind::Submission => record.status == 201,
        Kind::Lookup => record.run_status.is_none() && matches!(record.status, 200 | 404),
    }
}

fn within_targets(plan: &Plan, record: &Record) -> bool {
    if !record.kind.is_model() {
        let deadline = plan.kind(record.kind).map_or(0.0, |kind| kind.deadline_ms);
        return record.duration() <= plan.scaled(deadline);
    }
    let Some(first) = record.tokens.first() else {
        return false;
    };
    *first <= plan.scaled(plan.targets.first_ms) && gaps_within_target(plan, &record.tokens)
}

fn gaps_within_target(plan: &Plan, tokens: &[Duration]) -> bool {
    let gaps = gaps(plan, tokens);
    let target = plan.scaled(plan.targets.gap_ms);
    let within = gaps.iter().filter(|gap| **gap <= target).count();
    within as f64 >= GAP_SHARE * gaps.len() as f64
}

/// Returns the gaps between tokens, each as the mean over a span of tokens.
///
/// A stand-in engine generates its tokens in steps, and several in one step if it
/// is time-scaled. A span is long enough that the steps hardly affect the mean,
/// and one step is subtracted, because a span may begin at the end of a step and
/// end at the start of another. A stream shorter than a span is one span.
pub fn gaps(plan: &Plan, tokens: &[Duration]) -> Vec<Duration> {
    if tokens.len() < 2 {
        return Vec::new();
    }
    let span = span_tokens(plan).min(tokens.len() - 1);
    let step = Duration::from_secs_f64(plan.targets.step_ms / 1000.0);
    let mean = |pair: (&Duration, &Duration)| {
        let time = pair.1.saturating_sub(*pair.0);
        time.saturating_sub(step) / span as u32
    };
    tokens.iter().zip(&tokens[span..]).map(mean).collect()
}

/// Returns the number of tokens in a span.
pub fn span_tokens(plan: &Plan) -> usize {
    let gap_ms = plan.targets.gap_ms / plan.scale;
    (SPAN_STEPS * plan.targets.step_ms / gap_ms).ceil().max(1.0) as usize
}
