//! Measures the work demanded of a service, in prompt tokens and output tokens.
//!
//! A meter starts at zero. Its average is divided by the share of the weight that its age covers, so
//! that after the loss of all nodes the load is not taken for a fraction of what it is.

use std::time::{Duration, Instant};

/// Time constant of the exponential average; longer than single bursts.
const TIME_CONSTANT: Duration = Duration::from_secs(6);

/// Shortest age for which the average is corrected; before it, single requests would count for too
/// much.
const MIN_AGE: Duration = Duration::from_secs(2);

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
    started_at: Instant,
    /// The average, as if there had been no work before the start.
    rates: WorkRates,
    updated_at: Instant,
}

impl WorkMeter {
    /// Creates a meter of the work from a time on.
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            rates: WorkRates::default(),
            updated_at: started_at,
        }
    }

    /// Adds work in tokens.
    pub fn add(&mut self, prefill: u64, decode: u64, now: Instant) {
        self.rates = self.decayed(now);
        self.updated_at = now;
        let seconds = TIME_CONSTANT.as_secs_f64();
        self.rates.prefill += prefill as f64 / seconds;
        self.rates.decode += decode as f64 / seconds;
    }

    /// Returns the current rates.
    pub fn rates(&self, now: Instant) -> WorkRates {
        let rates = self.decayed(now);
        let age = now.saturating_duration_since(self.started_at).max(MIN_AGE);
        let covered = 1.0 - (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        WorkRates {
            prefill: rates.prefill / covered,
            decode: rates.decode / covered,
        }
    }

    fn decayed(&self, now: Instant) -> WorkRates {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let decay = (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        WorkRates {
            prefill: self.rates.prefill * decay,
            decode: self.rates.decode * decay,
        }
    }
}
