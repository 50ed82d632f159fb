//! The arrivals of a plan: the same for the same seed, whatever is measured.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::plan::{Kind, Plan};

/// Bytes of a prompt that count as one token.
const TOKEN_BYTES: usize = 4;

/// One request that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When, from the start of the run.
    pub at: Duration,
    /// Kind.
    pub kind: Kind,
    /// Index of the client account in the plan.
    pub account: usize,
    /// Session of the account.
    pub session: u32,
    /// Number of the request in the run.
    pub serial: u64,
}

/// Every request of a plan in the order of arrival: a Poisson process whose
/// rate follows the plan.
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
        let kind = pick(&plan.parts(seconds), rng.random_range(0.0..1.0));
        list.push(Arrival {
            at: Duration::from_secs_f64(seconds),
            kind: plan.kinds[kind].kind,
            account: pick(&demands, rng.random_range(0.0..1.0)),
            session: rng.random_range(0..plan.sessions.max(1)),
            serial: list.len() as u64,
        });
    }
}

/// The index that `draw`, from 0 to 1, falls on where each has its weight.
fn pick(weights: &[f64], draw: f64) -> usize {
    let mut left = draw * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

/// The name of an arrival's session.
pub fn session_name(plan: &Plan, arrival: &Arrival) -> String {
    let account = &plan.accounts[arrival.account].name;
    format!("{account}/{}", arrival.session)
}

/// The idempotency key of the request with this number.
pub fn request_key(plan: &Plan, serial: u64) -> String {
    format!("{}-{}-{serial}", plan.deployment, plan.seed)
}

/// The prompt of an arrival: the session's shared start, then text of its own.
pub fn prompt(plan: &Plan, arrival: &Arrival) -> String {
    let (shared, all) = plan.kind(arrival.kind).map_or((0, 0), |kind| {
        (kind.shared as usize, kind.prompt.max(1) as usize)
    });
    let mut text = String::with_capacity(all * TOKEN_BYTES);
    let session = session_name(plan, arrival);
    fill(&mut text, &session, shared * TOKEN_BYTES);
    fill(
        &mut text,
        &request_key(plan, arrival.serial),
        all * TOKEN_BYTES,
    );
    text
}

/// Repeats `part` until the text has `length` bytes.
fn fill(text: &mut String, part: &str, length: usize) {
    while text.len() < length {
        text.push_str(part);
        text.push(' ');
    }
    text.truncate(length);
}
