//! The speed of single servers, relative to the model of their service.
//!
//! Servers of a service may differ in speed by more than two times. The measured times
//! of a server, divided by those that the base model predicts, are compared with the
//! typical ratio of its service. One node sends few requests to each server, so nodes
//! tell each other their measurements. The median of the latest ones is used, because a
//! single one may include a moment in which the server was slow. An estimate that rests
//! on few or old measurements is drawn towards the speed that the service's servers have
//! on average: a server that was slow once is tried again.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;

use super::calibration::PLAUSIBLE_RATIOS;
use super::explain::LearnedSpeed;
use super::{Dispatcher, Target, TargetKey};

/// Number of latest measurements of a server that are kept.
const MAX_SAMPLES: usize = 15;
/// Weight of the assumption that a server is as fast as the others, in measurements.
const PRIOR_SAMPLES: f64 = 3.0;
/// Time without measurements after which an estimate counts half.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Maximum number of latest measurements that are told to peers.
const MAX_REPORTS: usize = 16;
/// Steps of a quantised ratio in which it changes by the factor e.
const STEPS_PER_E: f64 = 16.0;

/// Work whose time is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Prefill of a prompt.
    Prefill,
    /// Decoding of output tokens.
    Decode,
}

/// Ratio of a measured to a predicted time, quantised on a logarithmic scale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeRatio(i8);

impl TimeRatio {
    /// Returns the ratio of two times, or `None` if it isn't plausible.
    pub fn of(measured: Duration, predicted: Duration) -> Option<Self> {
        let ratio = measured.as_secs_f64() / predicted.as_secs_f64();
        let is_plausible = PLAUSIBLE_RATIOS.contains(&ratio);
        is_plausible.then(|| Self((ratio.ln() * STEPS_PER_E).round() as i8))
    }

    /// Returns the number of quantisation steps.
    pub fn steps(self) -> i8 {
        self.0
    }

    /// Returns the ratio of a number of quantisation steps, or `None` if it isn't plausible.
    pub fn from_steps(steps: i8) -> Option<Self> {
        let ratio = (f64::from(steps) / STEPS_PER_E).exp();
        PLAUSIBLE_RATIOS.contains(&ratio).then_some(Self(steps))
    }

    fn ln(self) -> f64 {
        f64::from(self.0) / STEPS_PER_E
    }
}

/// A measurement of a server's speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedReport {
    /// Short hash of the server incarnation that was measured.
    pub server: u32,
    /// What was measured.
    pub work: Work,
    /// Time that it took, relative to the base model's prediction.
    pub ratio: TimeRatio,
}

/// Consecutive measurements of one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SpeedReports {
    /// Number of measurements that the node had made before these.
    pub first: u64,
    /// Measurements, oldest first.
    pub reports: Vec<SpeedReport>,
}

impl SpeedReports {
    /// Returns the measurements that come after the first `seen` of the node.
    pub fn after(&self, seen: u64) -> &[SpeedReport] {
        let known = seen.saturating_sub(self.first) as usize;
        self.reports.get(known..).unwrap_or_default()
    }

    /// Returns the number of measurements that the node had made in all.
    pub fn end(&self) -> u64 {
        self.first.saturating_add(self.reports.len() as u64)
    }
}

/// Ratios of typical to predicted times of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceScales {
    pub(super) prefill: f64,
    pub(super) decode: f64,
}

/// The latest measurements of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerSpeed {
    samples: VecDeque<(Work, TimeRatio)>,
    latest: Option<Instant>,
}

impl ServerSpeed {
    pub(super) fn record(&mut self, work: Work, ratio: TimeRatio, now: Instant) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((work, ratio));
        self.latest = Some(now);
    }

    /// Returns the factor by which work takes longer on the server than on a typical one of its
    /// service.
    pub(super) fn factor(&self, service: ServiceScales, now: Instant) -> f64 {
        let Some(latest) = self.latest else {
            return 1.0;
        };
        let deviations = self.samples.iter().map(|(work, ratio)| {
            let scale = match work {
                Work::Prefill => service.prefill,
                Work::Decode => service.decode,
            };
            ratio.ln() - scale.ln()
        });
        let mut sorted: Vec<f64> = deviations.collect();
        sorted.sort_unstable_by(f64::total_cmp);
        let count = sorted.len() as f64;
        let age = now.saturating_duration_since(latest).as_secs_f64();
        let weight = count / (count + PRIOR_SAMPLES) * (-age / HALF_LIFE.as_secs_f64()).exp2();
        (sorted[sorted.len() / 2] * weight).exp()
    }
}

/// What is known of a server's load and speed, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownSpeed {
    /// Number of requests that are known to be on the server.
    pub running: u32,
    /// Learnt factor by which work takes longer there than on a typical server of its service.
    pub factor: f64,
    /// Factor by which work takes longer at this moment, as the server reported, and the age of its
    /// report.
    pub slowdown: Option<(f64, Duration)>,
}

impl KnownSpeed {
    /// Returns the reported slowdown with its age, for the log; empty if there is none.
    pub fn slowdown_label(&self) -> String {
        let label = |(factor, age): (f64, Duration)| format!("{factor:.2}@{}ms", age.as_millis());
        self.slowdown.map(label).unwrap_or_default()
    }
}

impl Dispatcher {
    /// Returns what is known of a server's speed.
    pub fn known_speed(&self, key: TargetKey, now: Instant) -> KnownSpeed {
        let target = self.targets.get(key);
        KnownSpeed {
            running: target.map_or(0, |target| target.running(now)),
            factor: target.map_or(1.0, |target| self.speed_factor(target, now)),
            slowdown: target.and_then(|target| target.slowdown(now)),
        }
    }

    /// Returns the factor by which work takes longer on a server now than the model of its service
    /// predicts.
    pub(super) fn slowness(&self, target: &Target, now: Instant) -> f64 {
        let slowdown = target.slowdown(now).map_or(1.0, |(factor, _)| factor);
        self.speed_factor(target, now) * slowdown
    }

    /// Returns the rate of a service's servers on average, relative to the typical one by which its
    /// model goes.
    pub fn mean_rate(&self, service: &Name, now: Instant) -> f64 {
        let targets = self.targets.values();
        let targets = targets.filter(|t| t.info.service == *service && !t.is_leaving());
        let rates: Vec<f64> = targets
            .map(|target| self.speed_factor(target, now).recip())
            .collect();
        if rates.is_empty() {
            return 1.0;
        }
        rates.iter().sum::<f64>() / rates.len() as f64
    }

    /// Returns what was learnt of an engine's speed, with its age.
    pub(super) fn learned_speed(&self, target: &Target, now: Instant) -> Option<LearnedSpeed> {
        let latest = target.speed.latest?;
        Some(LearnedSpeed {
            factor: self.speed_factor(target, now),
            age: now.saturating_duration_since(latest),
        })
    }

    /// Returns the learnt factor by which work takes longer on a server than on a typical one of
    /// its service.
    pub(super) fn speed_factor(&self, target: &Target, now: Instant) -> f64 {
        if !self.is_uneven(&target.info.service) {
            return 1.0;
        }
        let model = self.model(&target.info.service);
        let scales = ServiceScales {
            prefill: model.prefill_scale,
            decode: model.decode_scale,
        };
        target.speed.factor(scales, now)
    }

    /// Records a measurement of this node.
    pub(super) fn record_speed(
        &mut self,
        key: TargetKey,
        work: Work,
        (measured, predicted): (Duration, Duration),
        now: Instant,
    ) {
        let service = self.targets.get(key).map(|target| &target.info.service);
        if !service.is_some_and(|service| self.is_uneven(service)) {
            return;
        }
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let Some(ratio) = TimeRatio::of(measured, predicted) else {
            return;
        };
        target.speed.record(work, ratio, now);
        let server = target.incarnation.short();
        if self.speed_reports.len() == MAX_REPORTS {
            self.speed_reports.pop_front();
        }
        let report = SpeedReport {
            server,
            work,
            ratio,
        };
        self.speed_reports.push_back((now, report));
        self.speed_count += 1;
    }

    /// Returns what this node measured within `span`, to send to peers.
    pub fn recent_speeds(&self, span: Duration, now: Instant) -> SpeedReports {
        let is_old = |at: Instant| now.saturating_duration_since(at) > span;
        let recent = self.speed_reports.iter();
        let recent = recent.skip_while(|(at, _)| is_old(*at));
        let reports: Vec<SpeedReport> = recent.map(|(_, report)| *report).collect();
        SpeedReports {
            first: self.speed_count - reports.len() as u64,
            reports,
        }
    }

    /// Records what a peer measured.
    pub fn record_peer_speeds(&mut self, reports: &[SpeedReport], now: Instant) {
        for report in reports {
            let mut targets = self.targets.values_mut();
            let target = targets.find(|target| target.incarnation.short() == report.server);
            if let Some(target) = target {
                target.speed.record(report.work, report.ratio, now);
            }
        }
    }
}
