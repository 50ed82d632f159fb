//! Conditions of servers during a run: silence, refusals with `Retry-After`, leaving, answers
//! without a length, and idle connections that are closed early.

use std::ops::Range;
use std::time::Duration;

use pomeloridge_fleet_standin::conditions::Condition;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::SERVERS;
use crate::launch::{Fleet, post_json};

/// Changes the seed, so that conditions do not depend on the other faults.
const SEED_MASK: u64 = 0x434f_4e44;
/// Servers that answer with streams.
const STREAMING: [&str; 2] = ["assistant-decode-0", "assistant-decode-1"];
/// Maximum number of series of conditions in a run.
const MAX_SERIES: usize = 5;
/// Maximum number of conditions in a series.
const MAX_IN_A_ROW: usize = 3;
/// Maximum number of silences of the servers that answer with streams.
const MAX_SILENCES: usize = 4;
/// Minimum time from the beginning of one of them to that of the next one, in ms.
const MIN_TURN_MS: u64 = 300;
/// Maximum pause between two conditions of a series, in ms.
const MAX_PAUSE_MS: u64 = 1500;
/// Time in which conditions begin, in ms.
const BEGIN_TIME_MS: u64 = 7000;
/// Time after which the server that had a condition takes requests again.
const SETTLING_TIME: Duration = Duration::from_millis(600);

/// A condition of a server, and its times from the start of the run.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedCondition {
    pub(super) at: Duration,
    length: Duration,
    server: &'static str,
    condition: Condition,
    /// Whether the entry of a leaving server says that it drains.
    listed: bool,
}

impl PlannedCondition {
    /// Returns the time at which the server takes requests again.
    pub(super) fn end(&self) -> Duration {
        self.at + self.length + SETTLING_TIME
    }

    /// Gives the server its condition.
    pub(super) fn apply(&self, fleet: &Fleet) -> Result<(), String> {
        let order = json!({
            "server": self.server, "condition": self.condition.to_string(),
            "for_ms": self.length.as_millis() as u64, "listed": self.listed,
        });
        post_json(fleet.duties, "/-/condition", &order).map(|_: Value| ())
    }
}

impl std::fmt::Display for PlannedCondition {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let listed = if self.listed { ", listed" } else { "" };
        write!(
            formatter,
            "{}({}{listed}) {}..{}ms",
            self.condition,
            self.server,
            self.at.as_millis(),
            (self.at + self.length).as_millis()
        )
    }
}

/// Returns the lengths of a condition, in ms.
fn lengths(condition: Condition) -> Range<u64> {
    match condition {
        Condition::Silent => 700..1500,
        Condition::Refusing => 1000..3500,
        Condition::Leaving => 2500..4000,
        Condition::Unframed | Condition::Closing => 1000..4000,
    }
}

/// Returns a seed's conditions; several may hold at a time, and each may come several times in a
/// row.
pub(super) fn plan(seed: u64) -> Vec<PlannedCondition> {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
    let mut planned = Vec::new();
    for _ in 0..rng.random_range(0..=MAX_SERIES) {
        let condition = Condition::ALL[rng.random_range(0..Condition::ALL.len())];
        let server = SERVERS[rng.random_range(0..SERVERS.len())];
        let mut at = rng.random_range(0..BEGIN_TIME_MS);
        for _ in 0..rng.random_range(1..=MAX_IN_A_ROW) {
            if at >= BEGIN_TIME_MS {
                break;
            }
            let length = rng.random_range(lengths(condition));
            planned.push(PlannedCondition {
                at: Duration::from_millis(at),
                length: Duration::from_millis(length),
                server,
                condition,
                listed: condition == Condition::Leaving && rng.random(),
            });
            at += length + rng.random_range(0..MAX_PAUSE_MS);
        }
    }
    planned.extend(plan_silences(&mut rng));
    planned
}

/// Returns silences of the servers that answer with streams, by turns and overlapping: a stream
/// that goes on at the other server meets the next one. About half of the seeds have some.
fn plan_silences(rng: &mut StdRng) -> Vec<PlannedCondition> {
    let mut planned = Vec::new();
    let count = rng.random_range(2..=MAX_SILENCES);
    if rng.random() {
        return planned;
    }
    let mut at = rng.random_range(0..BEGIN_TIME_MS / 2);
    for index in 0..count {
        planned.push(PlannedCondition {
            at: Duration::from_millis(at),
            length: Duration::from_millis(rng.random_range(lengths(Condition::Silent))),
            server: STREAMING[index % STREAMING.len()],
            condition: Condition::Silent,
            listed: false,
        });
        at += rng.random_range(MIN_TURN_MS..MAX_PAUSE_MS);
    }
    planned
}
