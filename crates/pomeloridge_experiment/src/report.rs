//! Evaluates one run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::arrivals::request_key;
use crate::fairness::account_work;
use crate::latency::{Percentiles, first_tokens, token_gaps};
use crate::loss::{LossReport, loss_report};
use crate::plan::{Kind, Plan};
use crate::record::{Outcome, Record};
use crate::verdict::{ServiceRuns, Verdict, verdict};

/// Factor by which figures are scaled for rounding; keeps six decimals.
const ROUNDING_FACTOR: f64 = 1e6;

/// Number of requests by verdict; the verdicts sum to `offered`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were sent; a retry does not count again.
    pub offered: u64,
    /// Answered correctly, completely, once and within the targets.
    pub good: u64,
    /// Answered correctly, completely and once, but past a target.
    pub late: u64,
    /// Refused, and known not to have run.
    pub refused: u64,
    /// Answered with an error in the end.
    pub failed: u64,
    /// Answered incorrectly.
    pub wrong: u64,
    /// The end of the answer never arrived.
    pub lost: u64,
    /// Run more than once, although not repeatable.
    pub doubled: u64,
}

impl Counts {
    fn add(&mut self, verdict: Verdict) {
        self.offered += 1;
        let counter = match verdict {
            Verdict::Good => &mut self.good,
            Verdict::Late => &mut self.late,
            Verdict::Refused => &mut self.refused,
            Verdict::Failed => &mut self.failed,
            Verdict::Wrong => &mut self.wrong,
            Verdict::Lost => &mut self.lost,
            Verdict::Doubled => &mut self.doubled,
        };
        *counter += 1;
    }

    /// Returns the sum over all verdicts.
    pub fn sum(&self) -> u64 {
        let served = self.good + self.late;
        served + self.refused + self.failed + self.wrong + self.lost + self.doubled
    }
}

/// One kind of request in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindReport {
    /// Kind of request.
    pub kind: Kind,
    /// Verdicts of its requests.
    pub counts: Counts,
    /// Good answers per unscaled second.
    pub goodput: f64,
}

/// One client account in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountReport {
    /// Account name.
    pub account: String,
    /// Fair-share weight.
    pub weight: f64,
    /// Verdicts of its requests.
    pub counts: Counts,
    /// Requested model work, in engine seconds.
    pub demand: f64,
    /// Served model work, in engine seconds.
    pub served: f64,
    /// Served work relative to its fair share, late answers included.
    pub relative: f64,
    /// Good work relative to its fair share of all good work.
    pub timely: f64,
}

/// One real second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Requests first sent in this second.
    pub offered: u64,
    /// Weighted good answers that ended in this second, per unscaled second.
    pub goodput: f64,
    /// Requests that ended in this second without a good answer.
    pub missed: u64,
    /// Prompt-heavy part of the requests whose share depends on the mix.
    pub mix: f64,
}

/// Evaluation of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Policy or commit that was measured.
    pub policy: String,
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the plan's random number generator.
    pub seed: u64,
    /// Time scale of the engines.
    pub scale: f64,
    /// Weighted good answers per unscaled second.
    pub goodput: f64,
    /// Verdicts of all requests.
    pub counts: Counts,
    /// Reports by kind of request.
    pub kinds: Vec<KindReport>,
    /// Reports by client account.
    pub accounts: Vec<AccountReport>,
    /// Client account with the lowest `timely`.
    pub worst: String,
    /// `timely` of that account.
    pub worst_timely: f64,
    /// Lowest `relative` of all accounts, at most 1.
    pub least_served: f64,
    /// Time to first token.
    pub first_token: Percentiles,
    /// Time between tokens.
    pub gap: Percentiles,
    /// Effect of the loss of a data centre.
    pub loss: Option<LossReport>,
    /// Longest delay of the load generator behind its schedule, in real ms.
    pub lag_ms: f64,
    /// Figures of each real second.
    pub timeline: Vec<Second>,
    /// Figures measured elsewhere, such as role changes and cost.
    pub extra: BTreeMap<String, f64>,
}

impl Report {
    /// Evaluates a run; `runs` counts how often each submission ran.
    pub fn new(policy: &str, plan: &Plan, outcome: &Outcome, runs: &ServiceRuns) -> Self {
        let records = &outcome.records;
        let verdicts = verdicts(plan, records, runs);
        let kinds = kind_reports(plan, records, &verdicts);
        let accounts = account_reports(plan, records, &verdicts);
        let worst = accounts.iter().min_by(|a, b| a.timely.total_cmp(&b.timely));
        let served = accounts.iter().map(|account| account.relative);
        let losses = plan.reclaim.as_ref();
        Self {
            policy: policy.to_owned(),
            deployment: plan.deployment.clone(),
            seed: plan.seed,
            scale: plan.scale,
            goodput: rounded(weighted_goodput(plan, &kinds)),
            counts: count(verdicts.iter().copied()),
            worst: worst.map_or_else(String::new, |worst| worst.account.clone()),
            worst_timely: worst.map_or(1.0, |worst| worst.timely),
            least_served: served.fold(1.0, f64::min),
            kinds,
            first_token: first_tokens(plan, records),
            gap: token_gaps(plan, records),
            loss: losses.map(|loss| loss_report(plan, loss, records, &verdicts)),
            lag_ms: rounded(outcome.lag.as_secs_f64() * 1000.0),
            timeline: timeline(plan, records, &verdicts),
            extra: BTreeMap::new(),
            accounts,
        }
    }

    /// Adds a figure that was measured elsewhere.
    #[must_use]
    pub fn with(mut self, name: &str, value: f64) -> Self {
        self.extra.insert(name.to_owned(), value);
        self
    }

    /// Returns the report as JSON.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self)
    }
}

fn verdicts(plan: &Plan, records: &[Record], runs: &ServiceRuns) -> Vec<Verdict> {
    let classify = |record: &Record| {
        let key = request_key(plan, record.serial);
        verdict(plan, record, runs.count(&key))
    };
    records.iter().map(classify).collect()
}

fn count(verdicts: impl Iterator<Item = Verdict>) -> Counts {
    let mut counts = Counts::default();
    verdicts.for_each(|verdict| counts.add(verdict));
    counts
}

/// Counts the verdicts of the records for which `filter` holds.
fn count_where(
    records: &[Record],
    verdicts: &[Verdict],
    filter: impl Fn(&Record) -> bool,
) -> Counts {
    let all = records.iter().zip(verdicts);
    let matching = all.filter(|(record, _)| filter(record));
    count(matching.map(|(_, verdict)| *verdict))
}

fn kind_reports(plan: &Plan, records: &[Record], verdicts: &[Verdict]) -> Vec<KindReport> {
    let report = |kind: Kind| {
        let counts = count_where(records, verdicts, |record| record.kind == kind);
        KindReport {
            kind,
            counts,
            goodput: rounded(counts.good as f64 / unscaled_duration_s(plan)),
        }
    };
    plan.kinds.iter().map(|plan| report(plan.kind)).collect()
}

fn weighted_goodput(plan: &Plan, kinds: &[KindReport]) -> f64 {
    let pairs = plan.kinds.iter().zip(kinds);
    pairs.map(|(plan, kind)| plan.weight * kind.goodput).sum()
}

fn account_reports(plan: &Plan, records: &[Record], verdicts: &[Verdict]) -> Vec<AccountReport> {
    let works = account_work(plan, records, verdicts);
    let accounts = plan.accounts.iter().zip(&works).enumerate();
    accounts
        .map(|(index, (account, work))| AccountReport {
            account: account.name.clone(),
            weight: account.weight,
            counts: count_where(records, verdicts, |record| record.account == index),
            demand: rounded(work.demand),
            served: rounded(work.served),
            relative: rounded(work.served_ratio()),
            timely: rounded(work.good_ratio()),
        })
        .collect()
}

fn timeline(plan: &Plan, records: &[Record], verdicts: &[Verdict]) -> Vec<Second> {
    let last = records.iter().map(|record| record.end.as_secs()).max();
    let length = last.map_or(0, |last| last as usize + 1);
    let mix = |second: usize| Second {
        mix: rounded(plan.mix.at(second as f64)),
        ..Second::default()
    };
    let mut seconds: Vec<Second> = (0..length).map(mix).collect();
    for (record, verdict) in records.iter().zip(verdicts) {
        seconds[record.start.as_secs() as usize].offered += 1;
        let second = &mut seconds[record.end.as_secs() as usize];
        if *verdict == Verdict::Good {
            let weight = plan.kind(record.kind).map_or(0.0, |kind| kind.weight);
            second.goodput += weight / plan.scale;
        } else {
            second.missed += 1;
        }
    }
    for second in &mut seconds {
        second.goodput = rounded(second.goodput);
    }
    seconds
}

/// Rounds a figure to six decimals, so that a report is equal after a JSON round trip.
pub(crate) fn rounded(value: f64) -> f64 {
    (value * ROUNDING_FACTOR).round() / ROUNDING_FACTOR
}

/// Returns the time over which requests arrive, in unscaled seconds.
fn unscaled_duration_s(plan: &Plan) -> f64 {
    plan.duration_s * plan.scale
}
