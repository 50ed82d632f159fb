//! Demand of a pool over the last minutes, and its forecast.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;

use crate::plan::ServerRates;

/// Time over which the present level is averaged.
const LEVEL: Duration = Duration::from_secs(15);
/// Time over which the trend is taken.
const TREND: Duration = Duration::from_mins(1);
/// Time that samples must span to give a trend.
const SHORTEST_TREND: Duration = Duration::from_secs(20);
/// Time in which a queue is to be worked off.
const BACKLOG_TIME: f64 = 10.0;
/// A forecast is at most this many times the level.
const STEEPEST: f64 = 2.0;

/// Demand of one pool, summed over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests a second that were let through.
    pub requests: f64,
    /// Prompt tokens a second of those.
    pub prompt: f64,
    /// Output tokens a second of those.
    pub output: f64,
    /// Requests that wait.
    pub queued: u32,
    /// Requests a second that were refused for want of servers.
    pub refused: f64,
}

/// Demand in mixed engines that would be busy all the time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OfferedLoad {
    /// By reading prompts.
    pub prefill: f64,
    /// By making output.
    pub decode: f64,
}

impl OfferedLoad {
    /// Engines needed; reading and making go on side by side, so that the greater counts.
    pub fn busy_servers(self) -> f64 {
        self.prefill.max(self.decode)
    }

    /// Moves a part of the way towards `other`.
    #[must_use]
    pub fn interpolate(self, other: Self, part: f64) -> Self {
        Self {
            prefill: self.prefill + part * (other.prefill - self.prefill),
            decode: self.decode + part * (other.decode - self.decode),
        }
    }
}

impl Demand {
    /// The demand in busy engines.
    ///
    /// Requests that wait or are refused are taken to be like those that were
    /// let through.
    pub fn offered_load(&self, rates: ServerRates) -> OfferedLoad {
        let served = OfferedLoad {
            prefill: self.prompt / rates.prefill,
            decode: self.output / rates.decode,
        };
        let unmet = self.refused + f64::from(self.queued) / BACKLOG_TIME;
        if unmet <= 0.0 {
            return served;
        }
        if self.requests <= 0.0 {
            // Nothing is let through, so that nothing is known but that one server is needed.
            return OfferedLoad {
                prefill: served.prefill.max(1.0),
                decode: served.decode.max(1.0),
            };
        }
        let more = 1.0 + unmet / self.requests;
        OfferedLoad {
            prefill: served.prefill * more,
            decode: served.decode * more,
        }
    }
}

/// What the nodes reported together.
#[derive(Clone, Debug)]
pub struct DemandReport {
    /// When the oldest of the reports was true.
    pub measured_at: Instant,
    /// Nodes that reported, this one among them.
    pub reporting_nodes: usize,
    /// Nodes that are known.
    pub known_nodes: usize,
    /// Demand by pool.
    pub pools: BTreeMap<Name, Demand>,
}

/// Busy servers of one pool over time.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    samples: VecDeque<(Instant, f64)>,
}

impl DemandHistory {
    /// Adds a sample and drops those older than `kept`; one that is not newer is left out.
    pub fn push(&mut self, at: Instant, servers: f64, kept: Duration) {
        if self.samples.back().is_some_and(|(last, _)| at <= *last) {
            return;
        }
        self.samples.push_back((at, servers));
        let old = |first: &(Instant, f64)| at.saturating_duration_since(first.0) > kept;
        while self.samples.front().is_some_and(old) {
            self.samples.pop_front();
        }
    }

    /// Busy servers expected after `delay`, never fewer than now.
    pub fn forecast(&self, delay: Duration) -> f64 {
        let level = self.level();
        // The level is an average, whose middle lies half its time back.
        let ahead = (delay + LEVEL / 2).as_secs_f64();
        let trend = self.slope() * ahead;
        (level + trend).clamp(level, level * STEEPEST)
    }

    /// Greatest level within the last `time`; `None` if less than that is known.
    pub fn peak(&self, time: Duration) -> Option<f64> {
        let (first, last) = (self.samples.front()?.0, self.samples.back()?.0);
        if last.saturating_duration_since(first) < time {
            return None;
        }
        let within = |(at, _): &&(Instant, f64)| last.saturating_duration_since(*at) <= time;
        let levels = self.samples.iter().filter(within);
        levels.map(|(at, _)| self.level_at(*at)).reduce(f64::max)
    }

    fn level(&self) -> f64 {
        let last = self.samples.back();
        last.map_or(0.0, |(at, _)| self.level_at(*at))
    }

    fn level_at(&self, end: Instant) -> f64 {
        let of_level =
            |(at, _): &&(Instant, f64)| *at <= end && end.saturating_duration_since(*at) <= LEVEL;
        let samples = self.samples.iter().filter(of_level);
        let (count, sum) = samples.fold((0.0, 0.0), |(count, sum), (_, servers)| {
            (count + 1.0, sum + servers)
        });
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Growth in servers a second, by least squares.
    fn slope(&self) -> f64 {
        let Some((end, _)) = self.samples.back() else {
            return 0.0;
        };
        let age = |at: &Instant| end.saturating_duration_since(*at);
        let recent = self.samples.iter().filter(|(at, _)| age(at) <= TREND);
        let points: Vec<_> = recent
            .map(|(at, servers)| (-age(at).as_secs_f64(), *servers))
            .collect();
        let span = points.first().map_or(0.0, |(time, _)| -time);
        if span < SHORTEST_TREND.as_secs_f64() {
            return 0.0;
        }
        let count = points.len() as f64;
        let mean_time = points.iter().map(|(time, _)| time).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let (mut product, mut square) = (0.0, 0.0);
        for (time, value) in points {
            product += (time - mean_time) * (value - mean_value);
            square += (time - mean_time) * (time - mean_time);
        }
        if square > 0.0 { product / square } else { 0.0 }
    }
}
