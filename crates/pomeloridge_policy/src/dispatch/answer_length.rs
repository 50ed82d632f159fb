//! How long an answer may become, in output tokens.
//!
//! A caller may estimate the length of its answer. Such estimates are right in the middle and often
//! far off, so the ratios of the lengths to their estimates are learnt for each route. Where a
//! caller gives no estimate, the lengths of the route's answers stand in for it.

use std::collections::HashMap;

use pomeloridge_base::id::Name;

use super::Dispatcher;
use super::calibration::Samples;
use super::target::TargetKey;

/// Share of a route's answers that are no longer than a long answer.
const LONG_ANSWER_SHARE: f64 = 0.9;
/// Ratio of a long answer's length to its estimate that is assumed until enough were read.
const ASSUMED_RATIO: f64 = 2.0;
/// Plausible ratios of a length to its estimate; others are not learnt.
const PLAUSIBLE_RATIOS: std::ops::RangeInclusive<f64> = 0.05..=20.0;
/// Maximum number of routes whose answers are remembered.
const MAX_ROUTES: usize = 4096;

/// Latest answers of one route.
#[derive(Clone, Debug, Default)]
struct RouteAnswers {
    /// Lengths in tokens.
    lengths: Samples,
    /// Ratios of the lengths to the callers' estimates.
    ratios: Samples,
}

/// Lengths of the latest answers by route.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerLengths(HashMap<Name, RouteAnswers>);

impl AnswerLengths {
    /// Records the length of a complete answer, and the caller's estimate of it, in tokens.
    fn record(&mut self, route: &Name, tokens: u64, estimate: Option<u64>) {
        if !self.0.contains_key(route) && self.0.len() >= MAX_ROUTES {
            return;
        }
        let answers = self.0.entry(route.clone()).or_default();
        answers.lengths.add(tokens as f64);
        let ratio = estimate.map(|estimate| tokens as f64 / estimate.max(1) as f64);
        if let Some(ratio) = ratio.filter(|ratio| PLAUSIBLE_RATIOS.contains(ratio)) {
            answers.ratios.add(ratio);
        }
    }

    /// Returns the number of tokens that few answers exceed of those with this estimate.
    fn long_answer(&self, route: &Name, estimate: Option<u64>) -> Option<u32> {
        let answers = self.0.get(route);
        let tokens = if let Some(estimate) = estimate {
            let ratio = answers.and_then(|answers| answers.ratios.quantile(LONG_ANSWER_SHARE));
            estimate.max(1) as f64 * ratio.unwrap_or(ASSUMED_RATIO)
        } else {
            answers?.lengths.quantile(LONG_ANSWER_SHARE)?
        };
        Some(tokens.ceil() as u32)
    }

    /// Forgets the routes that are no longer configured.
    fn retain(&mut self, is_configured: impl Fn(&Name) -> bool) {
        self.0.retain(|route, _| is_configured(route));
    }
}

impl Dispatcher {
    /// Returns the number of output tokens that few answers of a route exceed, of those with the
    /// caller's estimate if there is one; `None` if nothing is known.
    pub fn long_answer(&self, route: &Name, estimate: Option<u64>) -> Option<u32> {
        self.answer_lengths.long_answer(route, estimate)
    }

    /// Records the number of output tokens of a completed request of a route, and what its caller
    /// had estimated.
    pub fn record_output_tokens(
        &mut self,
        key: TargetKey,
        route: &Name,
        tokens: u64,
        estimate: Option<u64>,
    ) {
        self.answer_lengths.record(route, tokens, estimate);
        if let Some(target) = self.targets.get(key) {
            let service = target.info.service.clone();
            self.calibrate(&service, |calibration| calibration.record_output(tokens));
        }
    }

    /// Forgets what was learnt of routes that are no longer configured.
    pub fn retain_routes(&mut self, is_configured: impl Fn(&Name) -> bool) {
        self.answer_lengths.retain(is_configured);
    }
}
