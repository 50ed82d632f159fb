//! Demand of a pool, its history over the last minutes, and its forecast.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;

use crate::pool_config::ServerRates;

/// Window of the moving average that gives the current load.
const AVERAGE_WINDOW: Duration = Duration::from_secs(15);
/// Window of the linear trend.
const TREND_WINDOW: Duration = Duration::from_mins(1);
/// Minimum time that samples must span for a trend.
const MIN_TREND_SPAN: Duration = Duration::from_secs(20);
/// Time, in seconds, within which the queue is to be worked off.
const QUEUE_DRAIN_SECONDS: f64 = 10.0;
/// Maximum ratio of the forecast to the current load.
const MAX_FORECAST_RATIO: f64 = 2.0;

/// Demand of one pool, summed over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Admitted requests per second.
    pub requests: f64,
    /// Prompt tokens per second of admitted requests.
    pub prompt: f64,
    /// Output tokens per second of admitted requests.
    pub output: f64,
    /// Queued requests.
    pub queued: u32,
    /// Requests per second that were refused because no server was available.
    pub refused: f64,
}

/// Offered load: demand as a number of fully busy engines of the mixed role.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OfferedLoad {
    /// Engines busy with prefill.
    pub prefill: f64,
    /// Engines busy with decode.
    pub decode: f64,
}

impl OfferedLoad {
    /// Returns the number of busy engines. An engine runs prefill and decode concurrently,
    /// so that the greater of the two counts.
    pub fn busy_servers(self) -> f64 {
        self.prefill.max(self.decode)
    }

    /// Interpolates linearly between this load and `other`, which has the weight `weight`.
    #[must_use]
    pub fn interpolate(self, other: Self, weight: f64) -> Self {
        Self {
            prefill: self.prefill + weight * (other.prefill - self.prefill),
            decode: self.decode + weight * (other.decode - self.decode),
        }
    }
}

impl Demand {
    /// Returns the offered load.
    ///
    /// Queued and refused requests are assumed to resemble the admitted ones.
    pub fn offered_load(&self, rates: ServerRates) -> OfferedLoad {
        let served = OfferedLoad {
            prefill: self.prompt / rates.prefill,
            decode: self.output / rates.decode,
        };
        let unserved = self.refused + f64::from(self.queued) / QUEUE_DRAIN_SECONDS;
        if unserved <= 0.0 {
            return served;
        }
        if self.requests <= 0.0 {
            // Without admitted requests, the load of a request is unknown. At least one server
            // is needed.
            return OfferedLoad {
                prefill: served.prefill.max(1.0),
                decode: served.decode.max(1.0),
            };
        }
        let scale = 1.0 + unserved / self.requests;
        OfferedLoad {
            prefill: served.prefill * scale,
            decode: served.decode * scale,
        }
    }
}

/// Demand as reported by all nodes.
#[derive(Clone, Debug)]
pub struct DemandReport {
    /// Time of the oldest report.
    pub measured_at: Instant,
    /// Number of nodes that reported, including this one.
    pub reporting_nodes: usize,
    /// Number of known nodes.
    pub known_nodes: usize,
    /// Demand by pool.
    pub pools: BTreeMap<Name, Demand>,
}

/// Time series of the busy servers of one pool.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    samples: VecDeque<(Instant, f64)>,
}

impl DemandHistory {
    /// Adds a sample, and drops samples older than `retention`. Ignores a sample that isn't
    /// newer than the last one.
    pub fn push(&mut self, at: Instant, servers: f64, retention: Duration) {
        if self.samples.back().is_some_and(|(last, _)| at <= *last) {
            return;
        }
        self.samples.push_back((at, servers));
        let expired = |first: &(Instant, f64)| at.saturating_duration_since(first.0) > retention;
        while self.samples.front().is_some_and(expired) {
            self.samples.pop_front();
        }
    }

    /// Returns the number of busy servers expected after `delay`, which is never less than
    /// the current number.
    pub fn forecast(&self, delay: Duration) -> f64 {
        let current = self.current();
        // The moving average lags by half of its window.
        let ahead = (delay + AVERAGE_WINDOW / 2).as_secs_f64();
        let trend = self.slope() * ahead;
        (current + trend).clamp(current, current * MAX_FORECAST_RATIO)
    }

    /// Returns the maximum of the moving average within `window`, or `None` if the history
    /// is shorter than that.
    pub fn peak(&self, window: Duration) -> Option<f64> {
        let (first, last) = (self.samples.front()?.0, self.samples.back()?.0);
        if last.saturating_duration_since(first) < window {
            return None;
        }
        let within = |(at, _): &&(Instant, f64)| last.saturating_duration_since(*at) <= window;
        let ends = self.samples.iter().filter(within);
        ends.map(|(at, _)| self.average_at(*at)).reduce(f64::max)
    }

    fn current(&self) -> f64 {
        let last = self.samples.back();
        last.map_or(0.0, |(at, _)| self.average_at(*at))
    }

    /// Returns the moving average of the window that ends at `end`.
    fn average_at(&self, end: Instant) -> f64 {
        let in_window = |(at, _): &&(Instant, f64)| {
            *at <= end && end.saturating_duration_since(*at) <= AVERAGE_WINDOW
        };
        let samples = self.samples.iter().filter(in_window);
        let (count, sum) = samples.fold((0.0, 0.0), |(count, sum), (_, servers)| {
            (count + 1.0, sum + servers)
        });
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Returns the growth in servers per second, by least squares.
    fn slope(&self) -> f64 {
        let Some((end, _)) = self.samples.back() else {
            return 0.0;
        };
        let age = |at: &Instant| end.saturating_duration_since(*at);
        let recent = self
            .samples
            .iter()
            .filter(|(at, _)| age(at) <= TREND_WINDOW);
        let points: Vec<_> = recent
            .map(|(at, servers)| (-age(at).as_secs_f64(), *servers))
            .collect();
        let span = points.first().map_or(0.0, |(time, _)| -time);
        if span < MIN_TREND_SPAN.as_secs_f64() {
            return 0.0;
        }
        let count = points.len() as f64;
        let mean_time = points.iter().map(|(time, _)| time).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let (mut covariance, mut variance) = (0.0, 0.0);
        for (time, value) in points {
            covariance += (time - mean_time) * (value - mean_value);
            variance += (time - mean_time) * (time - mean_time);
        }
        if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        }
    }
}
