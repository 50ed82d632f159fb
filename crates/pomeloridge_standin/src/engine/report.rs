//! Load reports, which say what was true some time ago.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::http::Response;
use pomeloridge_base::id::Epoch;
use serde::Serialize;

use super::Engine;
use super::role::Role;

/// Shortest time between two samples.
const SAMPLE: Duration = Duration::from_millis(10);
/// Samples taken within one lag.
const SAMPLES: u32 = 8;

/// A load report as it is shown; `at` is in Unix ms.
#[derive(Clone, Debug, Serialize)]
struct Report {
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

/// The samples of the last lag and one before it, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    samples: VecDeque<Report>,
}

impl Reports {
    /// Adds a sample and forgets those that no later answer can show.
    fn add(&mut self, report: Report, lag_ms: u64) {
        let until = report.at.saturating_sub(lag_ms);
        self.samples.push_back(report);
        while self.samples.get(1).is_some_and(|next| next.at <= until) {
            self.samples.pop_front();
        }
    }
}

impl Engine {
    /// Samples the load for as long as the engine lives.
    pub(super) async fn sample(self: Rc<Self>) {
        let lag = self.scaled(self.args.report_lag_ms);
        if lag.is_zero() {
            return;
        }
        loop {
            let report = self.report();
            self.reports
                .borrow_mut()
                .add(report, lag.as_millis() as u64);
            monoio::time::sleep((lag / SAMPLES).max(SAMPLE)).await;
        }
    }

    /// The answer to `GET /load`.
    pub(super) fn load(&self) -> Response {
        let lag = self.scaled(self.args.report_lag_ms).as_millis() as u64;
        let until = self.clock.unix_ms().saturating_sub(lag);
        let reports = self.reports.borrow();
        let old = |report: &&Report| report.at <= until;
        let shown = reports.samples.iter().rev().find(old);
        match shown.or(reports.samples.front()) {
            Some(report) => Response::json(200, report),
            None => Response::json(200, &self.report()),
        }
    }

    fn report(&self) -> Report {
        let counts = self.batch.borrow().counts();
        let orders = self.orders.borrow();
        Report {
            at: self.clock.unix_ms(),
            role: orders.role,
            models: orders.models.clone(),
            running: counts.running,
            queued: counts.queued,
            prefill_tokens: counts.prefill_tokens,
            slots: self.args.slots,
            kv_used: counts.kv_used,
            kv_total: self.args.kv_total,
            leaving: orders.refuses() || self.faults.borrow().leaving,
            fence: orders.fence,
        }
    }
}
