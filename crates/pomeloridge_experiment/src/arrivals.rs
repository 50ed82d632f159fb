//! The arrivals of a plan; the seed alone determines them, so every policy gets the same load.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::plan::{Kind, Plan};

/// Prompt bytes per token.
const TOKEN_BYTES: usize = 4;

/// A request of the schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time of arrival since the start of the run.
    pub at: Duration,
    /// Kind of request.
    pub kind: Kind,
    /// Index of the client account in the plan.
    pub account: usize,
    /// Index of the session within the account.
    pub session: u32,
    /// Position of the request in the run, from 0.
    pub serial: u64,
}

/// Returns all requests of a plan in order of arrival: a Poisson process with
/// the plan's rate.
pub fn arrivals(plan: &Plan) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let demands: Vec<f64> = plan.accounts.iter().map(|account| account.demand).collect();
    let mut list = Vec::new();
    let mut seconds = 0.0;
    loop {
        let draw: f64 = rng.random_range(0.0..1.0);
        seconds += -(1.0 - draw).ln() / plan.rate(seconds);
        if seconds >= plan.duration_s {
            return list;
        }
        let kind = pick_weighted(&plan.kind_shares(seconds), rng.random_range(0.0..1.0));
        list.push(Arrival {
            at: Duration::from_secs_f64(seconds),
            kind: plan.kinds[kind].kind,
            account: pick_weighted(&demands, rng.random_range(0.0..1.0)),
            session: rng.random_range(0..plan.sessions.max(1)),
            serial: list.len() as u64,
        });
    }
}

/// Returns the index that `draw`, a uniform value in 0..1, selects by weight.
fn pick_weighted(weights: &[f64], draw: f64) -> usize {
    let mut remaining = draw * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

/// Returns the name of an arrival's session, unique over all accounts.
pub fn session_name(plan: &Plan, arrival: &Arrival) -> String {
    let account = &plan.accounts[arrival.account].name;
    format!("{account}/{}", arrival.session)
}

/// Returns the idempotency key of a request.
pub fn request_key(plan: &Plan, serial: u64) -> String {
    format!("{}-{}-{serial}", plan.deployment, plan.seed)
}

/// Returns the prompt of an arrival: the session's shared prefix, then unique text.
pub fn prompt(plan: &Plan, arrival: &Arrival) -> String {
    let (shared, total) = plan.kind(arrival.kind).map_or((0, 0), |kind| {
        (kind.shared as usize, kind.prompt.max(1) as usize)
    });
    let mut text = String::with_capacity(total * TOKEN_BYTES);
    let session = session_name(plan, arrival);
    pad(&mut text, &session, shared * TOKEN_BYTES);
    pad(
        &mut text,
        &request_key(plan, arrival.serial),
        total * TOKEN_BYTES,
    );
    text
}

/// Repeats `part` until the text has `length` bytes.
fn pad(text: &mut String, part: &str, length: usize) {
    while text.len() < length {
        text.push_str(part);
        text.push(' ');
    }
    text.truncate(length);
}
