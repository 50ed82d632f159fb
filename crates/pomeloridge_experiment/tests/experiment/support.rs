//! Synthetic plans and records.

use std::time::Duration;

use pomeloridge_experiment::arrivals::Arrival;
use pomeloridge_experiment::deployment::{Deployment, plan};
use pomeloridge_experiment::plan::{Kind, Plan};
use pomeloridge_experiment::record::Record;

/// Returns a plan of ten seconds with a time scale of ten.
pub fn short_plan() -> Plan {
    let mut plan = plan(Deployment::AnnexB, 7, 10.0, 4000.0, 400.0);
    plan.duration_s = 10.0;
    if let Some(loss) = &mut plan.reclaim {
        loss.at_s = 6.0;
    }
    plan
}

/// Returns the record of a good answer to a request sent `start_ms` after the start of a run.
pub fn good(kind: Kind, account: usize, serial: u64, start_ms: u64) -> Record {
    let at = Duration::from_millis(start_ms);
    let arrival = Arrival {
        at,
        kind,
        account,
        session: 0,
        serial,
    };
    let mut record = Record::new(&arrival, at);
    record.attempts = 1;
    record.complete = true;
    record.status = if kind == Kind::Submission { 201 } else { 200 };
    if kind.is_model() {
        record.tokens = paced(20, 50_000, 3_000);
    }
    record.end = at + Duration::from_millis(110);
    record
}

/// Returns `count` arrival times: the first after `first_us`, then one every `gap_us`.
pub fn paced(count: u64, first_us: u64, gap_us: u64) -> Vec<Duration> {
    let at = |index| Duration::from_micros(first_us + index * gap_us);
    (0..count).map(at).collect()
}
