//! Runs scenarios over seeds and prints a line for each run.

use std::collections::BTreeMap;

use super::record::Timing;
use super::run::{Outcome, run};
use super::scenario::Scenario;

/// Longest time that a withdrawn key may work, or a change take, without a fault, in ms.
const HEALTHY_MS: u64 = 3_000;
/// The same with a fault, in ms.
const FAULT_MS: u64 = 14_000;

/// What is run.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// First seed.
    pub first: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// Only this scenario.
    pub scenario: Option<Scenario>,
    /// Whether times over their targets are faults.
    pub timing: bool,
}

/// Runs every scenario with every seed; false if a promise was broken.
pub fn run_all(options: &Options) -> bool {
    let scenarios = options
        .scenario
        .map_or(Scenario::ALL.to_vec(), |one| vec![one]);
    let mut times = BTreeMap::<(String, &str), Vec<u64>>::new();
    let (mut passed, mut failed) = (0, 0);
    for seed in options.first..options.first + options.seeds {
        for scenario in &scenarios {
            let ok = match run(*scenario, seed) {
                Ok(outcome) => {
                    for timing in &outcome.timings {
                        let name = (scenario.to_string(), timing.name);
                        times.entry(name).or_default().extend(&timing.values);
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
    for ((scenario, name), values) in times {
        print_times(&scenario, name, values);
    }
    println!("{passed} passed, {failed} failed");
    failed == 0
}

/// Prints a run; whether it kept every promise.
fn report(outcome: &Outcome, timing: bool) -> bool {
    let late: Vec<&Timing> = outcome
        .timings
        .iter()
        .filter(|timing| is_late(outcome, timing))
        .collect();
    let ok = outcome.violations.is_empty() && (late.is_empty() || !timing);
    let ((given, given_tokens), (told, told_tokens)) = outcome.usage;
    println!(
        "{}  {} seed={} requests={} answered={} refused={} cut={} violations={} orders={} usage={told}/{given} tokens={told_tokens}/{given_tokens}",
        if ok { "ok  " } else { "FAIL" },
        outcome.scenario,
        outcome.seed,
        outcome.requests,
        outcome.answered,
        outcome.refused.values().sum::<usize>(),
        outcome.cut,
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
    let unbilled = told < given || told_tokens < given_tokens;
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
        Scenario::Healthy => HEALTHY_MS,
        _ => FAULT_MS,
    };
    timing.values.iter().any(|value| *value > target)
}

fn print_times(scenario: &str, name: &str, mut values: Vec<u64>) {
    values.sort_unstable();
    if let (Some(most), Some(middle)) = (values.last(), values.get(values.len() / 2)) {
        println!(
            "{scenario}: {name} p50 {middle} ms, max {most} ms, n={}",
            values.len()
        );
    }
}
