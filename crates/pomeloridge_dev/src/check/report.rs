//! Runs of scenarios over seeds, with a printed report.

use std::collections::BTreeMap;

use super::record::Timing;
use super::run::{Outcome, run};
use super::scenario::Scenario;

/// Target for each measured duration in a run without faults, in ms.
const HEALTHY_TARGET_MS: u64 = 3_000;
/// Target for each measured duration in a run with faults, in ms.
const FAULT_TARGET_MS: u64 = 14_000;

/// Selection of runs.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// First seed.
    pub first: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// The only scenario to run; all if `None`.
    pub scenario: Option<Scenario>,
    /// Whether a run fails if a duration exceeds its target.
    pub timing: bool,
}

/// Runs the scenarios with every seed; returns whether all runs passed.
pub fn run_all(options: &Options) -> bool {
    let scenarios = options
        .scenario
        .map_or(Scenario::ALL.to_vec(), |one| vec![one]);
    let mut durations = BTreeMap::<(String, &str), Vec<u64>>::new();
    let (mut passed, mut failed) = (0, 0);
    for seed in options.first..options.first + options.seeds {
        for scenario in &scenarios {
            let ok = match run(*scenario, seed) {
                Ok(outcome) => {
                    for timing in &outcome.timings {
                        let name = (scenario.to_string(), timing.name);
                        durations.entry(name).or_default().extend(&timing.values);
                    }
                    report(&outcome, options.timing)
                }
                Err(error) => {
                    println!("FAIL  {scenario} seed={seed} did not run: {error}");
                    false
                }
            };
            if ok { passed += 1 } else { failed += 1 }
        }
    }
    for ((scenario, name), values) in durations {
        print_durations(&scenario, name, values);
    }
    println!("{passed} passed, {failed} failed");
    failed == 0
}

/// Prints a run; returns whether it passed.
fn report(outcome: &Outcome, timing: bool) -> bool {
    let late: Vec<&Timing> = outcome
        .timings
        .iter()
        .filter(|timing| is_late(outcome, timing))
        .collect();
    let ok = outcome.violations.is_empty() && (late.is_empty() || !timing);
    let ((delivered, delivered_tokens), (reported, reported_tokens)) = outcome.usage;
    println!(
        "{}  {} seed={} requests={} answered={} refused={} cut={} violations={} orders={} usage={reported}/{delivered} tokens={reported_tokens}/{delivered_tokens}",
        if ok { "ok  " } else { "FAIL" },
        outcome.scenario,
        outcome.seed,
        outcome.requests,
        outcome.answered,
        outcome.refused.values().sum::<usize>(),
        outcome.interrupted,
        outcome.violations.len(),
        outcome.orders,
    );
    let codes = outcome
        .refused
        .iter()
        .map(|(code, count)| format!("{code} {count}"));
    println!("      refused: {}", codes.collect::<Vec<_>>().join(", "));
    for violation in &outcome.violations {
        println!("      {violation}");
    }
    for timing in late {
        println!("      late: {} {:?} ms", timing.name, timing.values);
    }
    let unbilled = reported < delivered || reported_tokens < delivered_tokens;
    if !ok || unbilled {
        let plan = outcome.scenario.plan(outcome.seed);
        for step in plan.steps {
            println!("      at {} ms: {:?}", step.after_ms, step.action);
        }
        println!("      see {}", outcome.folder);
    }
    ok
}

fn is_late(outcome: &Outcome, timing: &Timing) -> bool {
    let target = match outcome.scenario {
        Scenario::Healthy => HEALTHY_TARGET_MS,
        _ => FAULT_TARGET_MS,
    };
    timing.values.iter().any(|value| *value > target)
}

fn print_durations(scenario: &str, name: &str, mut values: Vec<u64>) {
    values.sort_unstable();
    if let (Some(max), Some(median)) = (values.last(), values.get(values.len() / 2)) {
        println!(
            "{scenario}: {name} p50 {median} ms, max {max} ms, n={}",
            values.len()
        );
    }
}
