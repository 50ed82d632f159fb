//! Latency percentiles.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::plan::Plan;
use crate::record::Record;
use crate::verdict::gaps;

/// Greatest recorded time, in µs; longer times count as this.
const MAX_US: u64 = 3_600_000_000;
/// Significant decimal digits of recorded times.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Percentiles in unscaled ms; all are 0 without measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of measurements.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Returns the percentiles of the time to first token, over all streams with a token.
pub fn first_tokens(plan: &Plan, records: &[Record]) -> Percentiles {
    let firsts = records.iter().filter_map(|record| record.tokens.first());
    percentiles(plan, firsts.copied())
}

/// Returns the percentiles of the time between tokens, over all streams.
pub fn token_gaps(plan: &Plan, records: &[Record]) -> Percentiles {
    let gaps = records.iter().flat_map(|record| gaps(plan, &record.tokens));
    percentiles(plan, gaps)
}

fn percentiles(plan: &Plan, times: impl Iterator<Item = Duration>) -> Percentiles {
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(MAX_US, SIGNIFICANT_DIGITS) else {
        return Percentiles::default();
    };
    for time in times {
        let unscaled = time.mul_f64(plan.scale).as_micros() as u64;
        histogram.saturating_record(unscaled);
    }
    let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Percentiles {
        count: histogram.len(),
        p50: ms(0.5),
        p95: ms(0.95),
        p99: ms(0.99),
    }
}
