//! Chooses the server of a plain service by the predicted time of its answer.
//!
//! The prediction is the time that answers of the server take, times the slowdown that it has
//! reported lately, with the work that is ahead, and the distance. What nodes know of the work
//! ahead is late. If each of them chose the best of all servers, they would all send to one that
//! looks free until they hear of one another's requests. Each request is therefore compared at a
//! few servers only, drawn at random, most of them near.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;

use super::explain::LearnedSpeed;
use super::sample::Selection;
use super::target::{Target, TargetKey};
use super::{Dispatcher, Plan};
use crate::hash::splitmix64;

/// Answer time assumed of a service before any was measured.
const PRIOR_ANSWER_TIME: Duration = Duration::from_millis(20);
/// Maximum number of servers of the own data centre that are compared.
const MAX_LOCAL_DRAWS: usize = 3;
/// Minimum number of servers of other data centres that are compared; more if the local one has
/// too few servers.
const MIN_REMOTE_DRAWS: usize = 1;
/// Minimum number of servers that are compared.
const MIN_DRAWS: usize = 3;
/// Weight of the assumption that a server is as fast as the others, in answers.
const PRIOR_ANSWERS: f64 = 3.0;
/// Smallest weight of a new answer against those before.
const MIN_STEP: f64 = 0.1;
/// Largest deviation that one answer may show, as a logarithm.
const MAX_DEVIATION: f64 = 1.0;
/// Largest ratio of a server's answer time to that of the others, either way.
const MAX_RATIO: f64 = 3.0;
/// Time without answers after which an estimate counts half.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Time from a report of a slowdown after which nothing is left of it.
const SLOWDOWN_TTL: Duration = Duration::from_millis(600);

/// Time that answers of one server take, learnt from those that this node has read.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerPace {
    /// Logarithm of the seconds.
    log_time: f64,
    answers: u32,
    latest: Instant,
}

impl AnswerPace {
    /// Returns the estimate after one more answer, which was not delayed by other work.
    fn update(before: Option<Self>, time: Duration, now: Instant) -> Self {
        let measured = time.as_secs_f64().max(f64::MIN_POSITIVE).ln();
        let Some(before) = before else {
            return Self {
                log_time: measured,
                answers: 1,
                latest: now,
            };
        };
        let step = (1.0 / f64::from(before.answers + 1)).max(MIN_STEP);
        let deviation = (measured - before.log_time).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        Self {
            log_time: before.log_time + step * deviation,
            answers: before.answers.saturating_add(1),
            latest: now,
        }
    }

    /// Returns the ratio to a typical server of the service. An estimate that rests on few or
    /// old answers is drawn towards 1, so that a server that was slow once is tried again.
    fn ratio(&self, typical: f64, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.latest).as_secs_f64();
        let answers = f64::from(self.answers);
        let weight = answers / (answers + PRIOR_ANSWERS) * (-age / HALF_LIFE.as_secs_f64()).exp2();
        let ratio = ((self.log_time - typical) * weight).exp();
        ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO)
    }
}

impl Dispatcher {
    /// Chooses the server of a plain service among those that may take a request.
    pub(super) fn choose_plain(
        &self,
        service: &Name,
        eligible: Vec<TargetKey>,
        selection: Selection,
        now: Instant,
    ) -> Option<Plan> {
        let keys = self.select_plain(service, eligible, selection);
        if self.is_uneven(service) {
            self.fastest_answer(keys, now)
        } else {
            self.least_loaded(&keys, now)
        }
    }

    /// Chooses the server with the fewest requests per slot, the nearest among equals.
    fn least_loaded(&self, keys: &[TargetKey], now: Instant) -> Option<Plan> {
        let load = |key: &TargetKey| {
            let target = &self.targets[*key];
            let slots = u64::from(target.info.slots.max(1));
            let ahead = u64::from(target.running(now)) * 1000 / slots;
            (
                ahead,
                self.distance_penalty(target),
                target.id_hash as usize ^ self.draw.get().rotation,
            )
        };
        let server = keys.iter().copied().min_by_key(load)?;
        let time = self.distance_penalty(&self.targets[server]);
        Some(Plan {
            server,
            prefill: None,
            fetch_from: None,
            prefill_tokens: 0,
            ttft: time,
            end: time,
            cost: time,
        })
    }

    /// Chooses among servers of a plain service that differ.
    pub(super) fn fastest_answer(&self, keys: Vec<TargetKey>, now: Instant) -> Option<Plan> {
        let cost = |key: &TargetKey| {
            let target = &self.targets[*key];
            (self.answer_time(target, now), self.draw_number(target))
        };
        let server = keys.into_iter().min_by_key(cost)?;
        let time = self.answer_time(&self.targets[server], now);
        Some(Plan {
            server,
            prefill: None,
            fetch_from: None,
            prefill_tokens: 0,
            ttft: time,
            end: time,
            cost: time,
        })
    }

    /// Selects the plain servers that are compared for the next request.
    pub(super) fn select_plain(
        &self,
        service: &Name,
        eligible: Vec<TargetKey>,
        selection: Selection,
    ) -> Vec<TargetKey> {
        match selection {
            Selection::All => eligible,
            _ if !self.is_uneven(service) => self.sample_targets(eligible),
            Selection::Sample | Selection::LastResort => self.draw_plain(eligible),
        }
    }

    /// Draws the servers that are compared for the next request.
    fn draw_plain(&self, mut keys: Vec<TargetKey>) -> Vec<TargetKey> {
        keys.sort_unstable_by_key(|key| self.draw_number(&self.targets[*key]));
        let is_local = |key: &TargetKey| self.targets[*key].info.data_centre == self.data_centre;
        let (mut drawn, remote): (Vec<_>, Vec<_>) = keys.into_iter().partition(is_local);
        drawn.truncate(MAX_LOCAL_DRAWS);
        let remote_draws = MIN_DRAWS.saturating_sub(drawn.len()).max(MIN_REMOTE_DRAWS);
        drawn.extend(remote.into_iter().take(remote_draws));
        drawn
    }

    /// Returns a random number of a server for the next request.
    fn draw_number(&self, target: &Target) -> u64 {
        splitmix64(u64::from(target.id_hash) ^ self.draw.get().random_state)
    }

    /// Predicts the time until a plain server has answered a request that is sent now.
    pub(super) fn answer_time(&self, target: &Target, now: Instant) -> Duration {
        let typical = self.typical_answer_log(target);
        let ratio = target.pace.map_or(1.0, |pace| pace.ratio(typical, now));
        let ahead = f64::from(target.running(now)) / f64::from(target.info.slots.max(1));
        let own = typical.exp() * ratio * slowdown(target, now);
        Duration::from_secs_f64(own * (1.0 + ahead)) + self.distance_penalty(target)
    }

    /// Returns how fast a plain server has been found to be.
    pub(super) fn learned_pace(&self, target: &Target, now: Instant) -> Option<LearnedSpeed> {
        let pace = target.pace?;
        Some(LearnedSpeed {
            factor: pace.ratio(self.typical_answer_log(target), now),
            age: now.saturating_duration_since(pace.latest),
        })
    }

    /// Returns the median logarithm of the answer times of a server's service.
    fn typical_answer_log(&self, target: &Target) -> f64 {
        let service = self.targets.values();
        let service = service.filter(|other| other.info.service == target.info.service);
        let mut logs: Vec<f64> = service
            .filter_map(|other| Some(other.pace?.log_time))
            .collect();
        logs.sort_unstable_by(f64::total_cmp);
        let median = logs.get(logs.len() / 2).copied();
        median.unwrap_or_else(|| PRIOR_ANSWER_TIME.as_secs_f64().ln())
    }

    /// Records the time of an answer by a plain server that had a free slot.
    pub(super) fn record_answer(&mut self, key: TargetKey, time: Duration, now: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            let usual = time.div_f64(slowdown(target, now));
            target.pace = Some(AnswerPace::update(target.pace, usual, now));
        }
    }
}

/// Returns the factor by which work takes longer on a server now by its latest report, which is
/// worth less with its age.
fn slowdown(target: &Target, now: Instant) -> f64 {
    let Some((factor, at)) = target
        .report
        .and_then(|report| Some((report.slowdown?, report.at)))
    else {
        return 1.0;
    };
    let age = now.saturating_duration_since(at).as_secs_f64();
    let left = (1.0 - age / SLOWDOWN_TTL.as_secs_f64()).max(0.0);
    1.0 + (factor.clamp(1.0 / MAX_RATIO, MAX_RATIO) - 1.0) * left
}
