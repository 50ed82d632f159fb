//! Measures admission: the counters of client accounts, and the served totals that peers report.

use std::time::{Duration, Instant};

use pomeloridge_base::id::{Incarnation, Name};
use pomeloridge_policy::admission::Admission;
use pomeloridge_policy::capacity::Capacity;
use pomeloridge_policy::peer_usage::ServedTotal;
use pomeloridge_policy::server::Work;
use pomeloridge_policy::ticket::{
    AdmissionDecision, AdmissionRequest, AdmissionSettings, TicketKey,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::fixture::{ACCOUNTS, SEED, account, node, pool};
use crate::meter::{bytes, nanoseconds};
use crate::row::{Row, Unit};

/// Slots of the pool; enough that no request waits.
const SLOTS: u32 = 100_000;
/// Maximum age of exported totals.
const EXPORT_AGE: Duration = Duration::from_hours(1);
/// Requests that wait while the queue is being measured.
const WAITING: usize = 200;

/// Returns the measurements of admission.
pub fn rows() -> Vec<Row> {
    let row = |what, unit, measure: fn(usize) -> f64| {
        Row::measure("admission", what, "account", unit, &ACCOUNTS, measure)
    };
    vec![
        row("memory of counters", Unit::Bytes, |count| {
            bytes(|| served(count))
        }),
        row("memory of one peer's totals", Unit::Bytes, peer_bytes),
        row("arrive, start, charge, finish", Unit::Nanoseconds, serve),
        row("the same with 200 waiting", Unit::Nanoseconds, serve_queued),
        row("export all totals", Unit::Nanoseconds, export),
        row("merge all totals of a peer", Unit::Nanoseconds, merge),
    ]
}

fn admission(slots: u32) -> Admission {
    let mut admission = Admission::new(AdmissionSettings::default());
    admission.set_capacity(&pool(0), Capacity { slots, peers: 0 }, 1);
    admission
}

fn request(account: &Name, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        account: account.clone(),
        pool: pool(0),
        work: Work {
            prompt: 1_000,
            output: 300,
        },
        account_weight: 1.0,
        route_weight: 1.0,
        deadline: now + Duration::from_hours(10),
    }
}

fn arrive(admission: &mut Admission, account: &Name, now: Instant) -> Option<TicketKey> {
    match admission.arrive(&request(account, now), now) {
        AdmissionDecision::Start(key) | AdmissionDecision::Enqueue(key) => Some(key),
        AdmissionDecision::Refuse(_) => None,
    }
}

/// Takes one request from arrival to end, without queueing.
fn serve_one(admission: &mut Admission, account: &Name, now: Instant) {
    if let Some(key) = arrive(admission, account, now) {
        admission.charge_output(key, 300, now);
        admission.finish(key, now);
    }
}

/// Returns an admission that has served every account once.
fn served(count: usize) -> Admission {
    let mut admission = admission(SLOTS);
    let now = Instant::now();
    for index in 0..count {
        serve_one(&mut admission, &account(index), now);
    }
    admission
}

fn totals(count: usize, total: f64) -> Vec<ServedTotal> {
    let total = |index| ServedTotal {
        pool: pool(0),
        account: account(index),
        total,
    };
    (0..count).map(total).collect()
}

fn peer_bytes(count: usize) -> f64 {
    let mut admission = served(count);
    let totals = totals(count, 1.0);
    bytes(|| admission.merge(&node(0), Incarnation(1), &totals))
}

fn serve(count: usize) -> f64 {
    let mut admission = served(count);
    let names: Vec<Name> = (0..count).map(account).collect();
    let mut rng = StdRng::seed_from_u64(SEED);
    let now = Instant::now();
    nanoseconds(|| {
        let name = &names[rng.random_range(0..names.len())];
        serve_one(&mut admission, name, now);
    })
}

fn serve_queued(count: usize) -> f64 {
    let mut admission = served(count);
    admission.set_capacity(&pool(0), Capacity { slots: 1, peers: 0 }, 1);
    let names: Vec<Name> = (0..count).map(account).collect();
    let mut rng = StdRng::seed_from_u64(SEED);
    let now = Instant::now();
    let mut running = arrive(&mut admission, &names[0], now);
    for name in names.iter().take(WAITING) {
        arrive(&mut admission, name, now);
    }
    nanoseconds(|| {
        let name = &names[rng.random_range(0..names.len())];
        arrive(&mut admission, name, now);
        if let Some(key) = running {
            admission.charge_output(key, 300, now);
            admission.finish(key, now);
        }
        running = admission.start_next(now);
    })
}

fn export(count: usize) -> f64 {
    let admission = served(count);
    nanoseconds(|| admission.export(EXPORT_AGE, Instant::now()))
}

fn merge(count: usize) -> f64 {
    let mut admission = served(count);
    let mut totals = totals(count, 1.0);
    admission.merge(&node(0), Incarnation(1), &totals);
    let mut round = 1.0;
    let time = nanoseconds(|| {
        round += 1.0;
        for total in &mut totals {
            total.total = round;
        }
        admission.merge(&node(0), Incarnation(1), &totals);
    });
    time.max(0.0)
}
