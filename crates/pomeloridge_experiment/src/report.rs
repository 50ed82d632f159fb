//! The figures of one run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::arrivals::request_key;
use crate::fairness::service;
use crate::latency::{Percentiles, first_tokens, token_gaps};
use crate::loss::{LossReport, loss_report};
use crate::plan::{Kind, Plan};
use crate::record::{Outcome, Record};
use crate::verdict::{ServiceRuns, Verdict, verdict};

/// Ten to the number of decimals that figures are kept with.
const DECIMALS: f64 = 1e6;

/// How many requests counted as what; the parts sum to `offered`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were sent, each counted once however often it was sent.
    pub offered: u64,
    /// Answered right, whole, once and within the targets.
    pub good: u64,
    /// Answered right, whole and once, but past a target.
    pub late: u64,
    /// Refused, and known not to have run.
    pub refused: u64,
    /// Given an error as the final answer.
    pub failed: u64,
    /// Given another answer than the right one.
    pub wrong: u64,
    /// Given no end of the answer.
    pub lost: u64,
    /// Run more than once though they may not be repeated.
    pub doubled: u64,
}

impl Counts {
    fn add(&mut self, verdict: Verdict) {
        self.offered += 1;
        let part = match verdict {
            Verdict::Good => &mut self.good,
            Verdict::Late => &mut self.late,
            Verdict::Refused => &mut self.refused,
            Verdict::Failed => &mut self.failed,
            Verdict::Wrong => &mut self.wrong,
            Verdict::Lost => &mut self.lost,
            Verdict::Doubled => &mut self.doubled,
        };
        *part += 1;
    }

    /// The sum of all parts.
    pub fn sum(&self) -> u64 {
        let served = self.good + self.late;
        served + self.refused + self.failed + self.wrong + self.lost + self.doubled
    }
}

/// One kind of request in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindReport {
    /// Kind.
    pub kind: Kind,
    /// What its requests counted as.
    pub counts: Counts,
    /// Good answers an unscaled second.
    pub goodput: f64,
}

/// One client account in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountReport {
    /// Name.
    pub account: String,
    /// Weight of its fair share.
    pub weight: f64,
    /// What its requests counted as.
    pub counts: Counts,
    /// Model work that it asked for, in engine seconds.
    pub demand: f64,
    /// Model work that it got, in engine seconds.
    pub served: f64,
    /// What it got of its fair share, late answers included.
    pub relative: f64,
    /// What it got in time of its fair share of what was in time.
    pub timely: f64,
}

/// One real second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Requests first sent in it.
    pub offered: u64,
    /// Weight of the good answers that ended in it, an unscaled second.
    pub goodput: f64,
    /// Requests that ended in it without a good answer.
    pub missed: u64,
    /// Share of prompt-heavy requests among those that swing.
    pub mix: f64,
}

/// The figures of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Policy or commit that was measured.
    pub policy: String,
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the plan.
    pub seed: u64,
    /// Time scale of the engines.
    pub scale: f64,
    /// Weighted good answers an unscaled second.
    pub goodput: f64,
    /// What all requests counted as.
    pub counts: Counts,
    /// Each kind.
    pub kinds: Vec<KindReport>,
    /// Each client account.
    pub accounts: Vec<AccountReport>,
    /// The client account that got least in time of its fair share of that.
    pub worst: String,
    /// What that account got in time of its fair share.
    pub worst_timely: f64,
    /// Least that an account got of its fair share, late answers included.
    pub least_served: f64,
    /// Time to the first token.
    pub first_token: Percentiles,
    /// Time between tokens.
    pub gap: Percentiles,
    /// What callers felt of a data centre's loss.
    pub loss: Option<LossReport>,
    /// Longest time by which the load generator sent late, in real ms.
    pub lag_ms: f64,
    /// Each real second.
    pub timeline: Vec<Second>,
    /// Figures measured elsewhere, such as role changes and spending.
    pub extra: BTreeMap<String, f64>,
}

impl Report {
    /// Judges a run; `runs` says how often each submission ran.
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
            goodput: rounded(weighted(plan, &kinds)),
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

    /// The report as JSON.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self)
    }
}

fn verdicts(plan: &Plan, records: &[Record], runs: &ServiceRuns) -> Vec<Verdict> {
    let judge = |record: &Record| {
        let key = request_key(plan, record.serial);
        verdict(plan, record, runs.of(&key))
    };
    records.iter().map(judge).collect()
}

fn count(verdicts: impl Iterator<Item = Verdict>) -> Counts {
    let mut counts = Counts::default();
    verdicts.for_each(|verdict| counts.add(verdict));
    counts
}

/// Counts the verdicts of the records that `of` holds for.
fn count_of(records: &[Record], verdicts: &[Verdict], of: impl Fn(&Record) -> bool) -> Counts {
    let all = records.iter().zip(verdicts);
    let chosen = all.filter(|(record, _)| of(record));
    count(chosen.map(|(_, verdict)| *verdict))
}

fn kind_reports(plan: &Plan, records: &[Record], verdicts: &[Verdict]) -> Vec<KindReport> {
    let report = |kind: Kind| {
        let counts = count_of(records, verdicts, |record| record.kind == kind);
        KindReport {
            kind,
            counts,
            goodput: rounded(counts.good as f64 / unscaled_s(plan)),
        }
    };
    plan.kinds.iter().map(|plan| report(plan.kind)).collect()
}

fn weighted(plan: &Plan, kinds: &[KindReport]) -> f64 {
    let pairs = plan.kinds.iter().zip(kinds);
    pairs.map(|(plan, kind)| plan.weight * kind.goodput).sum()
}

fn account_reports(plan: &Plan, records: &[Record], verdicts: &[Verdict]) -> Vec<AccountReport> {
    let services = service(plan, records, verdicts);
    let accounts = plan.accounts.iter().zip(&services).enumerate();
    accounts
        .map(|(index, (account, service))| AccountReport {
            account: account.name.clone(),
            weight: account.weight,
            counts: count_of(records, verdicts, |record| record.account == index),
            demand: rounded(service.demand),
            served: rounded(service.served),
            relative: rounded(service.relative()),
            timely: rounded(service.good_relative()),
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

/// A figure to six decimals, so that reports read back from JSON are the same.
pub(crate) fn rounded(value: f64) -> f64 {
    (value * DECIMALS).round() / DECIMALS
}

/// Time over which requests arrive, in unscaled seconds.
fn unscaled_s(plan: &Plan) -> f64 {
    plan.duration_s * plan.scale
}
