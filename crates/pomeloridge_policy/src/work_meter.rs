//! How much work a service is asked for: prompt tokens read and output tokens made.

use std::time::{Duration, Instant};

/// Time over which the rates are averaged; longer than single bursts.
const SPAN: Duration = Duration::from_secs(6);

/// Rates of a service's work, in tokens a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkRates {
    /// Prompt tokens that are read.
    pub prefill: f64,
    /// Output tokens that are made.
    pub decode: f64,
}

/// Averages work over the recent past, the latest counting most.
#[derive(Clone, Copy, Debug)]
pub struct WorkMeter {
    rates: WorkRates,
    at: Instant,
}

impl WorkMeter {
    /// A meter that has seen nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            rates: WorkRates::default(),
            at: now,
        }
    }

    /// Counts work.
    pub fn add(&mut self, prefill: u64, decode: u64, now: Instant) {
        self.rates = self.rates(now);
        self.at = now;
        let span = SPAN.as_secs_f64();
        self.rates.prefill += prefill as f64 / span;
        self.rates.decode += decode as f64 / span;
    }

    /// The rates now.
    pub fn rates(&self, now: Instant) -> WorkRates {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = (-passed / SPAN.as_secs_f64()).exp();
        WorkRates {
            prefill: self.rates.prefill * kept,
            decode: self.rates.decode * kept,
        }
    }
}
