//! What an answer on an engine costs its caller, and the callers of the engine's other
//! requests.
//!
//! The first event of an answer says little about the last. On a slow engine, or on one that
//! reads prompts between its decode steps, each further event takes longer, and an answer
//! that began early is still under way when its caller leaves. A caller has a target for the
//! first event, one for the gap between events, and a deadline. Predictions are off by a
//! factor, so the chance to miss one of them grows with the share of it that is predicted to be
//! used up. The cost is the time to the first event plus these chances, each counted as the
//! target for the first event. The length of an answer is uncertain, too: a request whose answer
//! would hardly end in time anywhere costs about the same on each engine, and leaves the fast ones
//! to those that they help.

use std::time::{Duration, Instant};

use super::answer_length::ASSUMED_SPREAD;
use super::engine_model::EngineModel;
use super::target::{Stage, Target};

/// Power of the used share with which the chance to miss the first event's target grows.
const MISS_POWER: f64 = 4.0;
/// Product of a spread and the power of the used share, by which the logistic curve comes closest
/// to the normal distribution.
const LOGISTIC_SCALE: f64 = 1.7;
/// Plausible spreads of decode times.
const SPREADS: std::ops::RangeInclusive<f64> = 0.1..=0.6;
/// Shortest target that shares are taken of.
const MIN_TARGET: Duration = Duration::from_millis(1);

/// What the caller of a request needs. The default needs nothing by any time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerNeeds {
    /// Expected number of output tokens, if known.
    pub output_tokens: Option<u32>,
    /// Standard deviation of the logarithm of the number of output tokens.
    pub length_spread: f64,
    /// Output tokens in an event, if known.
    pub event_tokens: Option<u32>,
    /// Time that the caller has waited already.
    pub waited: Duration,
    /// Target for the time to the first event, from the start.
    pub first_target: Option<Duration>,
    /// Target for the time between two events.
    pub gap_target: Option<Duration>,
    /// Time left until the caller leaves if no event has come.
    pub first_within: Duration,
    /// Time left until the deadline.
    pub end_within: Duration,
}

impl Default for AnswerNeeds {
    fn default() -> Self {
        Self {
            output_tokens: None,
            length_spread: ASSUMED_SPREAD,
            event_tokens: None,
            waited: Duration::ZERO,
            first_target: None,
            gap_target: None,
            first_within: Duration::MAX,
            end_within: Duration::MAX,
        }
    }
}

impl AnswerNeeds {
    /// Returns whether an answer that begins and ends after these times does so before its caller
    /// leaves.
    pub fn are_met_by(&self, first: Duration, end: Duration) -> bool {
        first <= self.first_within && end <= self.end_within
    }

    /// Returns the chances to miss the gap target and the deadline, and a first event later than
    /// its target, as a time. `spread` is that of decode times.
    fn miss_cost(&self, times: &AnswerTimes, spread: f64) -> Duration {
        let Some(first_target) = self.first_target else {
            return Duration::ZERO;
        };
        let first = self.waited + times.first;
        let gap_power = LOGISTIC_SCALE / spread;
        let end_power = LOGISTIC_SCALE / spread.hypot(self.length_spread);
        let end_odds = miss_chance(times.end, Some(self.end_within), end_power);
        let chances = miss_chance(first, self.first_target, MISS_POWER)
            + miss_chance(times.gap, self.gap_target, gap_power)
            + chance_of(end_odds);
        first_target.mul_f64(chances)
    }
}

fn miss_chance(time: Duration, target: Option<Duration>, power: f64) -> f64 {
    let target = target.map(|target| target.max(MIN_TARGET).as_secs_f64());
    target.map_or(0.0, |target| (time.as_secs_f64() / target).powf(power))
}

/// Returns the chance with these odds.
fn chance_of(odds: f64) -> f64 {
    if odds.is_finite() {
        odds / (1.0 + odds)
    } else {
        1.0
    }
}

/// The predicted times of an answer on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerTimes {
    /// Time to the first event.
    pub first: Duration,
    /// Time between two events.
    pub gap: Duration,
    /// Time to the last event.
    pub end: Duration,
}

impl EngineModel {
    /// Returns the spread of decode times. The more alike they are, the less happens before a target
    /// is near.
    fn plausible_spread(&self) -> f64 {
        self.decode_spread.clamp(*SPREADS.start(), *SPREADS.end())
    }

    /// Returns the cost of an answer with these times to its caller.
    pub(super) fn cost(&self, needs: &AnswerNeeds, times: &AnswerTimes) -> Duration {
        times.first + needs.miss_cost(times, self.plausible_spread())
    }

    /// Predicts the times of an answer whose first event comes after `first`.
    pub(super) fn answer_times(
        &self,
        needs: &AnswerNeeds,
        target: &Target,
        first: Duration,
        now: Instant,
    ) -> AnswerTimes {
        let batch = (target.running(now) + 1).min(target.info.slots.max(1));
        let tokens = needs.output_tokens.unwrap_or(self.output_tokens);
        let event_tokens = needs.event_tokens.unwrap_or(self.piece_tokens);
        let later_tokens = tokens.saturating_sub(event_tokens);
        AnswerTimes {
            first,
            gap: self.decode_time(batch, event_tokens),
            end: first + self.decode_time(batch, later_tokens),
        }
    }

    /// Returns the cost that the prefill of `prefill_tokens` tokens on an engine has for the
    /// requests that it decodes meanwhile, taken to have the same needs.
    pub(super) fn harm(
        &self,
        needs: &AnswerNeeds,
        target: &Target,
        prefill_tokens: u64,
        now: Instant,
    ) -> Duration {
        if target.info.stage == Stage::Prefill {
            return Duration::ZERO;
        }
        let running = target.running(now).min(target.info.slots);
        let event_tokens = needs.event_tokens.unwrap_or(self.piece_tokens);
        let gap = self.decode_time(running, event_tokens);
        let longest_gap =
            gap + self.interleaved_prefill_time(self.event_chunk_tokens(event_tokens));
        let queued = self.interleaved_prefill_time(target.prefill_tokens(now));
        let reading = self.interleaved_prefill_time(prefill_tokens);
        let tokens = needs.output_tokens.unwrap_or(self.output_tokens);
        let end = self.decode_time(running, tokens) + queued;
        let times = |gap: Duration, end| AnswerTimes {
            first: Duration::ZERO,
            gap: gap.min(longest_gap),
            end,
        };
        let spread = self.plausible_spread();
        let before = needs.miss_cost(&times(gap + queued, end), spread);
        let after = needs.miss_cost(&times(gap + queued + reading, end + reading), spread);
        // An answer can miss its targets only once.
        let most = needs.first_target.unwrap_or_default();
        after.min(most).saturating_sub(before) * running
    }
}
