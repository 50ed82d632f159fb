//! Weighted max-min fair shares, and how much of its share each client account received.

use std::time::Duration;

use crate::plan::Plan;
use crate::record::Record;
use crate::verdict::Verdict;

/// Length of the window within which fair shares are computed, in unscaled s.
const WINDOW_S: f64 = 30.0;
/// Amounts of work up to this count as zero, in engine seconds.
const MIN_WORK: f64 = 1e-9;

/// One account's claim to a share of a total.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Relative weight; an account with weight 0 gets nothing.
    pub weight: f64,
    /// Upper limit of its share.
    pub demand: f64,
}

/// Divides `total` by weighted max-min fairness: no claim gets more than its
/// demand, and what it leaves is divided among the others by weight.
pub fn fair_shares(claims: &[Claim], total: f64) -> Vec<f64> {
    let mut shares = vec![0.0; claims.len()];
    let mut unsatisfied: Vec<usize> = (0..claims.len())
        .filter(|index| claims[*index].weight > 0.0)
        .collect();
    let mut remaining = total;
    while remaining > MIN_WORK && !unsatisfied.is_empty() {
        let weight: f64 = unsatisfied.iter().map(|index| claims[*index].weight).sum();
        let level = remaining / weight;
        let is_satisfied = |index: &usize| claims[*index].demand <= level * claims[*index].weight;
        let (full, rest): (Vec<_>, Vec<_>) = unsatisfied.into_iter().partition(is_satisfied);
        for index in &full {
            shares[*index] = claims[*index].demand;
            remaining -= claims[*index].demand;
        }
        if full.is_empty() {
            for index in &rest {
                shares[*index] = level * claims[*index].weight;
            }
            return shares;
        }
        unsatisfied = rest;
    }
    shares
}

/// Work that one account requested and received, in unscaled engine seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AccountWork {
    /// Work of all its requests.
    pub demand: f64,
    /// Work of those answered correctly, completely and once.
    pub served: f64,
    /// Work of those that were also within the targets.
    pub good: f64,
    /// Its fair share of all served work.
    pub fair_share: f64,
    /// Its fair share of all good work.
    pub good_fair_share: f64,
}

impl AccountWork {
    /// Returns served work relative to the fair share, late answers included; 1 without demand.
    pub fn served_ratio(&self) -> f64 {
        ratio(self.served, self.fair_share)
    }

    /// Returns good work relative to the fair share of good work; 1 without demand.
    pub fn good_ratio(&self) -> f64 {
        ratio(self.good, self.good_fair_share)
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > MIN_WORK { part / whole } else { 1.0 }
}

/// Returns the work of each account.
///
/// A request belongs to the window in which it was sent, so that an account has
/// a share only while it has demand.
pub fn account_work(plan: &Plan, records: &[Record], verdicts: &[Verdict]) -> Vec<AccountWork> {
    let window = Duration::from_secs_f64(WINDOW_S / plan.scale);
    let count = plan.accounts.len();
    let mut totals = vec![AccountWork::default(); count];
    let mut windows: Vec<Vec<AccountWork>> = Vec::new();
    for (record, verdict) in records.iter().zip(verdicts) {
        let index = record.start.div_duration_f64(window) as usize;
        if windows.len() <= index {
            windows.resize(index + 1, vec![AccountWork::default(); count]);
        }
        let cost = plan.cost(record.kind);
        let work = &mut windows[index][record.account];
        work.demand += cost;
        work.served += if verdict.is_served() { cost } else { 0.0 };
        work.good += if *verdict == Verdict::Good { cost } else { 0.0 };
    }
    for window in &windows {
        add_window(plan, &mut totals, window);
    }
    totals
}

fn add_window(plan: &Plan, totals: &mut [AccountWork], window: &[AccountWork]) {
    let accounts = plan.accounts.iter().zip(window);
    let claims: Vec<Claim> = accounts
        .map(|(account, work)| Claim {
            weight: account.weight,
            demand: work.demand,
        })
        .collect();
    let served = window.iter().map(|work| work.served).sum();
    let good = window.iter().map(|work| work.good).sum();
    let fair_share = fair_shares(&claims, served);
    let good_fair_share = fair_shares(&claims, good);
    for (index, total) in totals.iter_mut().enumerate() {
        total.demand += window[index].demand;
        total.served += window[index].served;
        total.good += window[index].good;
        total.fair_share += fair_share[index];
        total.good_fair_share += good_fair_share[index];
    }
}
