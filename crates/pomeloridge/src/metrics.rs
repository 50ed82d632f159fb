//! Metrics by `opentelemetry`, exported in the Prometheus text format.

use std::collections::HashMap;

use opentelemetry::metrics::{Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use pomeloridge_base::meter::{Counter, Gauge, Meter, Timer};
use prometheus::{Registry, TextEncoder};

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKET_BOUNDS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.043, 0.06, 0.1, 0.25, 0.5, 0.94, 1.5, 3.0, 10.0,
];

/// Metrics of a node and the registry from which they are exported.
pub(crate) struct Metrics {
    registry: Registry,
    // Dropping the provider would stop the collection.
    _provider: SdkMeterProvider,
    /// Meter for the other crates.
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
        let otel_meter = provider.meter("pomeloridge");
        let mut counters = HashMap::new();
        for counter in Counter::ALL {
            let builder = otel_meter.u64_counter(counter.name());
            let created = builder.with_description(counter.description()).build();
            // A counter to which nothing was added would not be exported.
            created.add(0, &[]);
            counters.insert(*counter, created);
        }
        let mut timers: HashMap<Timer, Histogram<f64>> = HashMap::new();
        for timer in Timer::ALL {
            let builder = otel_meter.f64_histogram(timer.name());
            let builder = builder.with_description(timer.description());
            timers.insert(
                *timer,
                builder.with_boundaries(BUCKET_BOUNDS.to_vec()).build(),
            );
        }
        let mut gauges = HashMap::new();
        for gauge in Gauge::ALL {
            let builder = otel_meter.u64_gauge(gauge.name());
            let created = builder.with_description(gauge.description()).build();
            created.record(0, &[]);
            gauges.insert(*gauge, created);
        }
        let meter = Meter::new(
            move |counter, amount| counters[&counter].add(amount, &[]),
            move |timer, time| timers[&timer].record(time.as_secs_f64(), &[]),
        )
        .with_gauges(move |gauge, value| gauges[&gauge].record(value, &[]));
        Ok(Self {
            registry,
            _provider: provider,
            meter,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
