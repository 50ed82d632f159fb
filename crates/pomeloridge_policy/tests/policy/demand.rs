//! Demand averaged over a sliding window.

use std::time::{Duration, Instant};

use pomeloridge_policy::demand::{DemandMeter, WINDOW};

use crate::support::name;

#[test]
fn demand_is_averaged_and_expires() {
    let start = Instant::now();
    let pool = name("assistant");
    let mut meter = DemandMeter::default();
    for step in 0..10 {
        let now = start + Duration::from_millis(step * 400);
        meter.record_start(&pool, 100, now);
        meter.record_output(&pool, 20, now);
    }
    meter.record_refusal(&pool, start);
    let rates = meter.rates(start + Duration::from_secs(4));
    let (name, demand) = &rates[0];
    assert_eq!(name, &pool);
    let seconds = WINDOW.as_secs_f64();
    let is_close = |value: f64, expected: f64| (value - expected).abs() < 1e-9;
    assert!(is_close(demand.requests, 10.0 / seconds), "{demand:?}");
    assert!(is_close(demand.prompt, 1000.0 / seconds), "{demand:?}");
    assert!(is_close(demand.output, 200.0 / seconds), "{demand:?}");
    assert!(is_close(demand.refused, 1.0 / seconds), "{demand:?}");
    let later = start + Duration::from_secs(4) + WINDOW;
    assert!(meter.rates(later).is_empty());
}
