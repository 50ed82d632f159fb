//! How a service's engines differ from the speeds that predictions start from.
//!
//! Pattern answered: engines of another size or kind. With predictions that are too short
//! their queues fill until callers leave, and too few are ordered; with those that are too
//! long requests are refused that could be served. Medians of recent samples are used,
//! since a sample may hide a queue of other nodes or parts that were held already.

use std::collections::VecDeque;
use std::time::Duration;

use super::engine_model::EngineModel;

/// Samples that are kept.
const KEPT: usize = 31;
/// Samples from which on they are used.
const ENOUGH: usize = 5;
/// Bounds of a ratio to the first model; beyond them a sample is a fault.
const RATIOS: std::ops::RangeInclusive<f64> = 0.1..=20.0;

/// What was seen of a service's engines.
#[derive(Clone, Debug, Default)]
pub(super) struct Calibration {
    reading: Samples,
    making: Samples,
    first: Samples,
    output: Samples,
}

impl Calibration {
    /// Notes the time in which an idle engine read a prompt, and the predicted one.
    pub(super) fn read(&mut self, seen: Duration, predicted: Duration) {
        self.reading.add_ratio(seen, predicted);
    }

    /// Notes the time that an engine took for tokens, and the predicted one.
    pub(super) fn made(&mut self, seen: Duration, predicted: Duration) {
        self.making.add_ratio(seen, predicted);
    }

    /// Notes the time from the end of a prompt to the first piece.
    pub(super) fn first_piece(&mut self, seen: Duration) {
        self.first.add(seen.as_secs_f64());
    }

    /// Notes the output tokens of a request that was answered whole.
    pub(super) fn output(&mut self, tokens: u64) {
        self.output.add(tokens as f64);
    }

    /// The model with what was seen.
    pub(super) fn apply(&self, model: EngineModel) -> EngineModel {
        let first = self.first.median().map(Duration::from_secs_f64);
        let output = self.output.median().map(|tokens| tokens.ceil() as u32);
        EngineModel {
            reading_scale: self.reading.median().unwrap_or(model.reading_scale),
            making_scale: self.making.median().unwrap_or(model.making_scale),
            first_token: first.unwrap_or(model.first_token),
            output: output.unwrap_or(model.output).max(1),
            ..model
        }
    }
}

/// The latest samples of one figure.
#[derive(Clone, Debug, Default)]
struct Samples(VecDeque<f64>);

impl Samples {
    fn add(&mut self, value: f64) {
        if self.0.len() == KEPT {
            self.0.pop_front();
        }
        self.0.push_back(value);
    }

    fn add_ratio(&mut self, seen: Duration, predicted: Duration) {
        let ratio = seen.as_secs_f64() / predicted.as_secs_f64();
        if RATIOS.contains(&ratio) {
            self.add(ratio);
        }
    }

    fn median(&self) -> Option<f64> {
        if self.0.len() < ENOUGH {
            return None;
        }
        let mut sorted: Vec<f64> = self.0.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        Some(sorted[sorted.len() / 2])
    }
}
