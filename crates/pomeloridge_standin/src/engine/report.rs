//! Load reports, delayed by a configured lag.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::http::Response;
use pomeloridge_base::id::Epoch;
use serde::Serialize;

use super::Engine;
use super::role::Role;

/// Minimum interval between samples.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Number of samples per lag.
const SAMPLES_PER_LAG: u32 = 8;

/// Body of the response to `GET /load`; `at` is in Unix ms.
#[derive(Clone, Debug, Serialize)]
struct LoadReport {
    at: u64,
    role: Role,
    models: Vec<String>,
    running: usize,
    queued: usize,
    prefill_tokens: u64,
    slots: usize,
    kv_used: u64,
    kv_total: u64,
    leaving: bool,
    fence: Epoch,
}

/// The samples of the last lag and one older sample, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    samples: VecDeque<LoadReport>,
}

impl Reports {
    /// Adds a sample and drops those too old for any later response.
    fn add(&mut self, report: LoadReport, lag_ms: u64) {
        let cutoff = report.at.saturating_sub(lag_ms);
        self.samples.push_back(report);
        while self.samples.get(1).is_some_and(|next| next.at <= cutoff) {
            self.samples.pop_front();
        }
    }
}

impl Engine {
    /// Samples the load at intervals; returns at once if reports have no lag.
    pub(super) async fn sample_load(self: Rc<Self>) {
        let lag = self.scaled(self.args.report_lag_ms);
        if lag.is_zero() {
            return;
        }
        loop {
            let report = self.report();
            self.reports
                .borrow_mut()
                .add(report, lag.as_millis() as u64);
            monoio::time::sleep((lag / SAMPLES_PER_LAG).max(MIN_SAMPLE_INTERVAL)).await;
        }
    }

    /// Returns the response to `GET /load`.
    pub(super) fn load(&self) -> Response {
        let lag = self.scaled(self.args.report_lag_ms).as_millis() as u64;
        let cutoff = self.clock.unix_ms().saturating_sub(lag);
        let reports = self.reports.borrow();
        let visible = |report: &&LoadReport| report.at <= cutoff;
        let shown = reports.samples.iter().rev().find(visible);
        match shown.or(reports.samples.front()) {
            Some(report) => Response::json(200, report),
            None => Response::json(200, &self.report()),
        }
    }

    fn report(&self) -> LoadReport {
        let counts = self.batch.borrow().counts();
        let orders = self.orders.borrow();
        LoadReport {
            at: self.clock.unix_ms(),
            role: orders.role,
            models: orders.models.clone(),
            running: counts.running,
            queued: counts.queued,
            prefill_tokens: counts.prefill_tokens,
            slots: self.args.slots,
            kv_used: counts.kv_used,
            kv_total: self.args.kv_total,
            leaving: orders.is_out_of_service() || self.faults.borrow().leaving,
            fence: orders.fence,
        }
    }
}
