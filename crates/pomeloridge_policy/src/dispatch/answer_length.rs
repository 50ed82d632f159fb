//! How long an answer is expected to be, in output tokens.
//!
//! A caller may estimate the length of its answer. Such estimates are right on average and often
//! far off, so the ratios of the lengths to their estimates are learnt for each route. Where a
//! caller gives no estimate, the lengths of the route's answers stand in for it.

use std::collections::HashMap;

use pomeloridge_base::id::Name;

use super::Dispatcher;
use super::calibration::Samples;
use super::target::TargetKey;

/// Share of the answers that are longer than expected by at most one standard deviation of the
/// logarithm.
const ONE_SIGMA_SHARE: f64 = 0.84;
/// Spread of lengths that is assumed until enough answers were read.
pub(super) const ASSUMED_SPREAD: f64 = 0.5;
/// Plausible ratios of a length to its estimate; others are not learnt.
const PLAUSIBLE_RATIOS: std::ops::RangeInclusive<f64> = 0.05..=20.0;
/// Maximum number of routes whose answers are remembered.
const MAX_ROUTES: usize = 4096;

/// Expected length of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedLength {
    /// Number of tokens that half of such answers exceed.
    pub tokens: u32,
    /// Standard deviation of the logarithm of their lengths.
    pub spread: f64,
}

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

    /// Returns the expected length of an answer with this estimate.
    fn expected(&self, route: &Name, estimate: Option<u64>) -> Option<ExpectedLength> {
        let answers = self.0.get(route);
        let Some(estimate) = estimate else {
            let lengths = &answers?.lengths;
            return length_of(lengths.quantile(0.5)?, lengths.quantile(ONE_SIGMA_SHARE)?);
        };
        let learned = answers.and_then(|answers| {
            let ratios = &answers.ratios;
            Some((ratios.quantile(0.5)?, ratios.quantile(ONE_SIGMA_SHARE)?))
        });
        let (ratio, high) = learned.unwrap_or((1.0, ASSUMED_SPREAD.exp()));
        let estimate = estimate.max(1) as f64;
        length_of(estimate * ratio, estimate * high)
    }

    /// Forgets the routes that are no longer configured.
    fn retain(&mut self, is_configured: impl Fn(&Name) -> bool) {
        self.0.retain(|route, _| is_configured(route));
    }
}

/// Returns the length with these quantiles, if there is one.
fn length_of(median: f64, high: f64) -> Option<ExpectedLength> {
    (median > 0.0).then(|| ExpectedLength {
        tokens: median.ceil() as u32,
        spread: (high / median).ln(),
    })
}

impl Dispatcher {
    /// Returns the expected length of an answer of a route, with the caller's estimate in tokens if
    /// there is one; `None` if nothing is known.
    pub fn expected_length(&self, route: &Name, estimate: Option<u64>) -> Option<ExpectedLength> {
        self.answer_lengths.expected(route, estimate)
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
