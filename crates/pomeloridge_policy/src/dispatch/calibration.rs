//! Adapts the engine model of a service to the measured speed of its engines.
//!
//! Engines differ in size and kind. If predictions are too short, queues grow until
//! callers give up, and too few engines are ordered. If they are too long, requests are
//! refused that could be served. Medians of recent samples are used because a single
//! sample may include a queue of other nodes' requests, or prompt parts that were already
//! cached.

use std::collections::VecDeque;
use std::time::Duration;

use super::engine_model::EngineModel;

/// Number of latest samples kept for the median.
const MAX_SAMPLES: usize = 31;
/// Number of samples below which the base model's value is used.
const MIN_SAMPLES: usize = 5;
/// Share of the samples between the median and one standard deviation, if they are normal.
const ONE_SIGMA_SHARE: f64 = 0.34;
/// Plausible ratios of measured to predicted time; samples outside are discarded.
pub(super) const PLAUSIBLE_RATIOS: std::ops::RangeInclusive<f64> = 0.1..=20.0;

/// Measurements of a service's engines.
#[derive(Clone, Debug, Default)]
pub(super) struct Calibration {
    prefill_ratio: Samples,
    decode_ratio: Samples,
    first_token_seconds: Samples,
    output_tokens: Samples,
    /// Logarithms of measured to predicted decode times, each with the speed of its engine.
    decode_errors: Samples,
}

impl Calibration {
    /// Records the time in which an idle engine prefilled a prompt, and the predicted time.
    pub(super) fn record_prefill(&mut self, measured: Duration, predicted: Duration) {
        self.prefill_ratio.add_ratio(measured, predicted);
    }

    /// Records the time in which an engine decoded tokens, and the predicted time.
    pub(super) fn record_decode(&mut self, measured: Duration, predicted: Duration) {
        self.decode_ratio.add_ratio(measured, predicted);
    }

    /// Records by which factor a decode time was off its prediction.
    pub(super) fn record_decode_error(&mut self, factor: f64) {
        if PLAUSIBLE_RATIOS.contains(&factor) {
            self.decode_errors.add(factor.ln());
        }
    }

    /// Returns the standard deviation of the logarithm of decode times from their predictions.
    fn decode_spread(&self) -> Option<f64> {
        let low = self.decode_errors.quantile(0.5 - ONE_SIGMA_SHARE)?;
        let high = self.decode_errors.quantile(0.5 + ONE_SIGMA_SHARE)?;
        Some((high - low) / 2.0)
    }

    /// Records the time from the end of a prefill to the first piece of the answer.
    pub(super) fn record_first_token(&mut self, measured: Duration) {
        self.first_token_seconds.add(measured.as_secs_f64());
    }

    /// Records the output tokens of a completed request.
    pub(super) fn record_output(&mut self, tokens: u64) {
        self.output_tokens.add(tokens as f64);
    }

    /// Returns the base model with the measured values in place of the assumed ones.
    pub(super) fn apply(&self, model: EngineModel) -> EngineModel {
        let first_token_delay = self
            .first_token_seconds
            .median()
            .map(Duration::from_secs_f64);
        let output_tokens = self
            .output_tokens
            .median()
            .map(|tokens| tokens.ceil() as u32);
        EngineModel {
            prefill_scale: self.prefill_ratio.median().unwrap_or(model.prefill_scale),
            decode_scale: self.decode_ratio.median().unwrap_or(model.decode_scale),
            first_token_delay: first_token_delay.unwrap_or(model.first_token_delay),
            output_tokens: output_tokens.unwrap_or(model.output_tokens).max(1),
            decode_spread: self.decode_spread().unwrap_or(model.decode_spread),
            ..model
        }
    }
}

/// The latest samples of one quantity.
#[derive(Clone, Debug, Default)]
pub(super) struct Samples(VecDeque<f64>);

impl Samples {
    pub(super) fn add(&mut self, value: f64) {
        if self.0.len() == MAX_SAMPLES {
            self.0.pop_front();
        }
        self.0.push_back(value);
    }

    fn add_ratio(&mut self, measured: Duration, predicted: Duration) {
        let ratio = measured.as_secs_f64() / predicted.as_secs_f64();
        if PLAUSIBLE_RATIOS.contains(&ratio) {
            self.add(ratio);
        }
    }

    /// Returns the mean of the samples.
    pub(super) fn mean(&self) -> Option<f64> {
        let count = self.0.len();
        (count >= MIN_SAMPLES).then(|| self.0.iter().sum::<f64>() / count as f64)
    }

    fn median(&self) -> Option<f64> {
        self.quantile(0.5)
    }

    /// Returns the value below which this share of the samples lies.
    pub(super) fn quantile(&self, share: f64) -> Option<f64> {
        if self.0.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted: Vec<f64> = self.0.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        let index = (sorted.len() as f64 * share) as usize;
        Some(sorted[index.min(sorted.len() - 1)])
    }
}
