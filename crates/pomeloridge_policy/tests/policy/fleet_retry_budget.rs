//! The node's part of the fleet's retry budget, the parts that servers hold, and
//! the meter of work.

use std::time::{Duration, Instant};

use pomeloridge_policy::fleet_retry_budget::{AllowanceShare, FleetRetryBudget, FleetRetryLimits};
use pomeloridge_policy::prompt_cache::{PromptCache, PromptPart};
use pomeloridge_policy::work_meter::WorkMeter;
use proptest::prelude::*;
use proptest::test_runner::TestRunner;

use crate::support::{CASES, config};

const LIMITS: FleetRetryLimits = FleetRetryLimits {
    ratio: 0.2,
    allowance: 54.0,
    window: Duration::from_secs(10),
};

fn part(nodes: usize, from: Instant) -> AllowanceShare {
    AllowanceShare {
        nodes,
        available_from: from,
    }
}

#[test]
fn a_quiet_node_may_repeat_a_little() {
    let now = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMITS);
    let made = (0..100)
        .filter(|_| budget.try_spend(part(6, now), now))
        .count();
    assert_eq!(made, 4);
    // The window passes.
    assert!(budget.try_spend(part(6, now), now + Duration::from_secs(11)));
}

/// Guards against nodes that start with a fresh count and spend the fixed number anew.
#[test]
fn a_node_that_starts_again_leaves_the_fixed_number_alone_for_a_window() {
    let now = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMITS);
    let again = part(6, LIMITS.allowance_from(now));
    assert!(!budget.try_spend(again, now + LIMITS.window));
    assert!(budget.try_spend(again, now + Duration::from_secs(11)));
}

#[test]
fn repeats_that_were_denied_do_not_count() {
    let now = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMITS);
    let made = (0..4)
        .filter(|_| budget.try_spend(part(6, now), now))
        .count();
    assert_eq!(made, 4);
    let later = now + Duration::from_secs(5);
    assert!((0..50).all(|_| !budget.try_spend(part(6, now), later)));
    let made = (0..4).filter(|_| budget.try_spend(part(6, now), now + Duration::from_secs(11)));
    assert_eq!(made.count(), 4);
}

/// Steps of a schedule: a node, the time before, and what it does.
type Steps = Vec<(usize, u64, u8)>;

fn steps() -> impl Strategy<Value = Steps> {
    proptest::collection::vec((0_usize..8, 0_u64..60, 0_u8..8), 1..400)
}

/// Runs a schedule of requests, repeats and restarts; `from` says from when a node that
/// starts again may spend its part of the fixed number.
fn schedule(
    nodes: usize,
    steps: &Steps,
    from: fn(Instant) -> Instant,
) -> Result<(), TestCaseError> {
    let start = Instant::now();
    let mut now = start;
    let first = |_| (FleetRetryBudget::new(LIMITS), start);
    let mut budgets: Vec<(FleetRetryBudget, Instant)> = (0..nodes).map(first).collect();
    let mut log = Vec::new();
    for (node, pause, step) in steps {
        now += Duration::from_millis(*pause);
        let (budget, since) = &mut budgets[node % nodes];
        match step {
            0 => (*budget, *since) = (FleetRetryBudget::new(LIMITS), from(now)),
            1..4 => {
                budget.record_request(now);
                log.push((now, false));
            }
            _ => {
                if budget.try_spend(part(nodes, *since), now) {
                    log.push((now, true));
                }
            }
        }
    }
    for (end, _) in &log {
        let within = |span: Duration| {
            log.iter()
                .filter(move |(at, _)| *at <= *end && *end - *at < span)
        };
        let repeats = within(LIMITS.window).filter(|(_, repeat)| *repeat).count() as f64;
        // The platform counts the requests of the best of neighbouring windows.
        let requests = within(LIMITS.window + Duration::from_secs(1))
            .filter(|(_, repeat)| !repeat)
            .count() as f64;
        prop_assert!(repeats <= requests * LIMITS.ratio + LIMITS.allowance);
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(CASES))]

    /// Whatever the load, however many nodes, and however often they are killed and start
    /// again, the fleet stays within its bound in every window.
    #[test]
    fn the_fleet_stays_within_its_bound(nodes in 1_usize..8, steps in steps()) {
        schedule(nodes, &steps, |start| LIMITS.allowance_from(start))?;
    }
}

#[test]
fn schedules_find_an_overrun_where_a_restart_forgets_what_was_spent() {
    let found = TestRunner::new(config(CASES)).run(&(1_usize..8, steps()), |(nodes, steps)| {
        schedule(nodes, &steps, |start| start)
    });
    assert!(found.is_err());
}

fn prompt_part(id: u64, tokens: u64) -> PromptPart {
    PromptPart { id, tokens }
}

#[test]
fn only_leading_parts_count_as_held() {
    let mut cache = PromptCache::new(1000);
    cache.record(&[prompt_part(1, 100), prompt_part(2, 200)]);
    assert_eq!(
        cache.leading_tokens(&[prompt_part(1, 100), prompt_part(2, 200), prompt_part(3, 50)]),
        300
    );
    assert_eq!(
        cache.leading_tokens(&[prompt_part(3, 50), prompt_part(2, 200)]),
        0
    );
}

#[test]
fn the_least_recently_used_parts_yield() {
    let mut cache = PromptCache::new(300);
    cache.record(&[
        prompt_part(1, 100),
        prompt_part(2, 100),
        prompt_part(3, 100),
    ]);
    cache.record(&[prompt_part(1, 100)]);
    cache.record(&[prompt_part(4, 100)]);
    assert_eq!(cache.leading_tokens(&[prompt_part(1, 100)]), 100);
    assert_eq!(cache.leading_tokens(&[prompt_part(2, 100)]), 0);
    cache.set_capacity(100);
    assert_eq!(cache.leading_tokens(&[prompt_part(4, 100)]), 100);
    assert_eq!(cache.leading_tokens(&[prompt_part(1, 100)]), 0);
}

#[test]
fn rates_follow_the_work_and_fade() {
    let start = Instant::now();
    let mut meter = WorkMeter::new(start);
    for tenth in 0..600 {
        meter.add(1000, 100, start + Duration::from_millis(tenth * 100));
    }
    let end = start + Duration::from_mins(1);
    let rates = meter.rates(end);
    assert!((rates.prefill - 10_000.0).abs() < 500.0, "{rates:?}");
    assert!((rates.decode - 1_000.0).abs() < 50.0, "{rates:?}");
    let faded = meter.rates(end + Duration::from_secs(30));
    assert!(faded.prefill < 100.0);
}
