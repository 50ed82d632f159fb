//! Max-min fair shares by weight, and what each client account got of its own.

use std::time::Duration;

use crate::plan::Plan;
use crate::record::Record;
use crate::verdict::Verdict;

/// Unscaled time over which demand and service are set against each other, in s.
const WINDOW_S: f64 = 30.0;
/// Work that is too little to be shared out, in engine seconds.
const LEAST: f64 = 1e-9;

/// One account's claim to a share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Weight.
    pub weight: f64,
    /// What it asks for at most.
    pub demand: f64,
}

/// Shares `total` out by max-min fairness: nobody gets more than it asks for,
/// and what one leaves goes to the others by weight.
pub fn fair_shares(claims: &[Claim], total: f64) -> Vec<f64> {
    let mut shares = vec![0.0; claims.len()];
    let mut open: Vec<usize> = (0..claims.len())
        .filter(|index| claims[*index].weight > 0.0)
        .collect();
    let mut left = total;
    while left > LEAST && !open.is_empty() {
        let weight: f64 = open.iter().map(|index| claims[*index].weight).sum();
        let level = left / weight;
        let sated = |index: &usize| claims[*index].demand <= level * claims[*index].weight;
        let (full, rest): (Vec<_>, Vec<_>) = open.into_iter().partition(sated);
        for index in &full {
            shares[*index] = claims[*index].demand;
            left -= claims[*index].demand;
        }
        if full.is_empty() {
            for index in &rest {
                shares[*index] = level * claims[*index].weight;
            }
            return shares;
        }
        open = rest;
    }
    shares
}

/// What one account asked for and got, in unscaled engine seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Service {
    /// Work of all its requests.
    pub demand: f64,
    /// Work of those answered right, whole and once.
    pub served: f64,
    /// Work of those that were also in time.
    pub good: f64,
    /// Its fair share of everything that was served.
    pub fair: f64,
    /// Its fair share of everything that was in time.
    pub good_fair: f64,
}

impl Service {
    /// What it got of its fair share, late answers included; 1 if it asked for nothing.
    pub fn relative(&self) -> f64 {
        ratio(self.served, self.fair)
    }

    /// What it got in time of its fair share of that; 1 if it asked for nothing.
    pub fn good_relative(&self) -> f64 {
        ratio(self.good, self.good_fair)
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > LEAST { part / whole } else { 1.0 }
}

/// Each account's service. A request belongs to the window in which it was sent,
/// so that an account has a share only while it has demand.
pub fn service(plan: &Plan, records: &[Record], verdicts: &[Verdict]) -> Vec<Service> {
    let window = Duration::from_secs_f64(WINDOW_S / plan.scale);
    let count = plan.accounts.len();
    let mut totals = vec![Service::default(); count];
    let mut windows: Vec<Vec<Service>> = Vec::new();
    for (record, verdict) in records.iter().zip(verdicts) {
        let index = record.start.div_duration_f64(window) as usize;
        if windows.len() <= index {
            windows.resize(index + 1, vec![Service::default(); count]);
        }
        let cost = plan.cost(record.kind);
        let service = &mut windows[index][record.account];
        service.demand += cost;
        service.served += if verdict.is_served() { cost } else { 0.0 };
        service.good += if *verdict == Verdict::Good { cost } else { 0.0 };
    }
    for window in &windows {
        add_window(plan, &mut totals, window);
    }
    totals
}

fn add_window(plan: &Plan, totals: &mut [Service], window: &[Service]) {
    let accounts = plan.accounts.iter().zip(window);
    let claims: Vec<Claim> = accounts
        .map(|(account, service)| Claim {
            weight: account.weight,
            demand: service.demand,
        })
        .collect();
    let served = window.iter().map(|service| service.served).sum();
    let good = window.iter().map(|service| service.good).sum();
    let fair = fair_shares(&claims, served);
    let good_fair = fair_shares(&claims, good);
    for (index, total) in totals.iter_mut().enumerate() {
        total.demand += window[index].demand;
        total.served += window[index].served;
        total.good += window[index].good;
        total.fair += fair[index];
        total.good_fair += good_fair[index];
    }
}
