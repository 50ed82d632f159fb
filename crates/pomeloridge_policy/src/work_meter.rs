//! Measures the work demanded of a service, in prompt tokens and output tokens.

use std::time::{Duration, Instant};

/// Time constant of the exponential average; longer than single bursts.
const TIME_CONSTANT: Duration = Duration::from_secs(6);

/// The work rates of a service, in tokens per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkRates {
    /// Prompt tokens to prefill per second.
    pub prefill: f64,
    /// Output tokens to decode per second.
    pub decode: f64,
}

/// Averages recent work with exponential decay.
#[derive(Clone, Copy, Debug)]
pub struct WorkMeter {
    rates: WorkRates,
    updated_at: Instant,
}

impl WorkMeter {
    /// Creates a meter with zero rates.
    pub fn new(now: Instant) -> Self {
        Self {
            rates: WorkRates::default(),
            updated_at: now,
        }
    }

    /// Adds work in tokens.
    pub fn add(&mut self, prefill: u64, decode: u64, now: Instant) {
        self.rates = self.rates(now);
        self.updated_at = now;
        let seconds = TIME_CONSTANT.as_secs_f64();
        self.rates.prefill += prefill as f64 / seconds;
        self.rates.decode += decode as f64 / seconds;
    }

    /// Returns the current rates.
    pub fn rates(&self, now: Instant) -> WorkRates {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let decay = (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        WorkRates {
            prefill: self.rates.prefill * decay,
            decode: self.rates.decode * decay,
        }
    }
}
