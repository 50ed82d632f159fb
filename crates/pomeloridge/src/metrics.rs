//! Metrics by `opentelemetry`, read in the form of Prometheus.

use std::collections::HashMap;

use opentelemetry::metrics::{Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use pomeloridge_base::meter::{Counter, Meter, Timer};
use prometheus::{Registry, TextEncoder};

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKETS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.043, 0.06, 0.1, 0.25, 0.5, 0.94, 1.5, 3.0, 10.0,
];

/// The node's metrics and the registry they are read from.
pub(crate) struct Metrics {
    registry: Registry,
    // Dropping the provider would end the collection.
    _provider: SdkMeterProvider,
    /// Where the other packages count.
    pub(crate) meter: Meter,
}

impl Metrics {
    /// Registers every counter and timer.
    pub(crate) fn new() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| error.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let source = provider.meter("pomeloridge");
        let mut counters = HashMap::new();
        for counter in Counter::ALL {
            let made = source.u64_counter(counter.name());
            let made = made.with_description(counter.description()).build();
            // A counter that was never added to would be missing from the page.
            made.add(0, &[]);
            counters.insert(*counter, made);
        }
        let mut timers: HashMap<Timer, Histogram<f64>> = HashMap::new();
        for timer in Timer::ALL {
            let made = source.f64_histogram(timer.name());
            let made = made.with_description(timer.description());
            timers.insert(*timer, made.with_boundaries(BUCKETS.to_vec()).build());
        }
        let meter = Meter::new(
            move |counter, by| counters[&counter].add(by, &[]),
            move |timer, time| timers[&timer].record(time.as_secs_f64(), &[]),
        );
        Ok(Self {
            registry,
            _provider: provider,
            meter,
        })
    }

    /// The page that collectors read.
    pub(crate) fn page(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
