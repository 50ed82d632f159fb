//! The fleet's retry budget, the cache of prompt parts, and the work meter.

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

fn share(nodes: usize, available_from: Instant) -> AllowanceShare {
    AllowanceShare {
        nodes,
        available_from,
    }
}

#[test]
fn a_node_without_requests_may_retry_within_the_allowance() {
    let now = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMITS);
    let retries = (0..100)
        .filter(|_| budget.try_spend(share(6, now), now))
        .count();
    assert_eq!(retries, 4);
    // After the window has passed, retries are allowed again.
    assert!(budget.try_spend(share(6, now), now + Duration::from_secs(11)));
}

/// Guards against restarted nodes that spend the same allowance twice.
#[test]
fn a_restarted_node_does_not_use_the_allowance_for_one_window() {
    let now = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMITS);
    let after_restart = share(6, LIMITS.allowance_from(now));
    assert!(!budget.try_spend(after_restart, now + LIMITS.window));
    assert!(budget.try_spend(after_restart, now + Duration::from_secs(11)));
}

/// Guards against a budget that is used up by retries that were never sent, and against giving back
/// others in their place.
#[test]
fn a_retry_that_is_given_back_may_be_spent_again() {
    let now = Instant::now();
    let later = now + Duration::from_secs(6);
    let mut budget = FleetRetryBudget::new(LIMITS);
    let spend = |budget: &mut FleetRetryBudget, at| budget.try_spend(share(6, now), at);
    assert!((0..2).all(|_| spend(&mut budget, now)));
    assert!((0..2).all(|_| spend(&mut budget, later)));
    assert!(!spend(&mut budget, later));
    budget.give_back(later);
    assert!(spend(&mut budget, later));
    assert!(!spend(&mut budget, later));
    // The two of the first time have left the window, and giving one of them back changes nothing.
    let last = now + Duration::from_secs(11);
    assert!((0..2).all(|_| spend(&mut budget, last)));
    budget.give_back(now);
    assert!(!spend(&mut budget, last));
}

/// Guards against retries that are not needed and take the room of those that are.
#[test]
fn half_of_the_budget_is_kept_for_needed_retries() {
    let now = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMITS);
    let spare = (0..100)
        .filter(|_| budget.try_spend_spare(share(6, now), now))
        .count();
    let needed = (0..100)
        .filter(|_| budget.try_spend(share(6, now), now))
        .count();
    assert_eq!((spare, needed), (2, 2));
}

#[test]
fn denied_retries_do_not_count() {
    let now = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMITS);
    let retries = (0..4)
        .filter(|_| budget.try_spend(share(6, now), now))
        .count();
    assert_eq!(retries, 4);
    let later = now + Duration::from_secs(5);
    assert!((0..50).all(|_| !budget.try_spend(share(6, now), later)));
    let retries = (0..4).filter(|_| budget.try_spend(share(6, now), now + Duration::from_secs(11)));
    assert_eq!(retries.count(), 4);
}

/// Steps of a schedule: the node, the delay before the step in ms, and the action.
type Steps = Vec<(usize, u64, u8)>;

fn steps() -> impl Strategy<Value = Steps> {
    proptest::collection::vec((0_usize..8, 0_u64..60, 0_u8..8), 1..400)
}

/// Runs a schedule of requests, retries and restarts, and checks the fleet's limit in every
/// window; `allowance_from` maps a node's restart to the time from which it may spend its
/// share of the allowance.
fn check_schedule(
    nodes: usize,
    steps: &Steps,
    allowance_from: fn(Instant) -> Instant,
) -> Result<(), TestCaseError> {
    let start = Instant::now();
    let mut now = start;
    let unspent = |_| (FleetRetryBudget::new(LIMITS), start);
    let mut budgets: Vec<(FleetRetryBudget, Instant)> = (0..nodes).map(unspent).collect();
    let mut log = Vec::new();
    for (node, delay, action) in steps {
        now += Duration::from_millis(*delay);
        let (budget, available_from) = &mut budgets[node % nodes];
        match action {
            0 => (*budget, *available_from) = (FleetRetryBudget::new(LIMITS), allowance_from(now)),
            1..4 => {
                budget.record_request(now);
                log.push((now, false));
            }
            _ => {
                if budget.try_spend(share(nodes, *available_from), now) {
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
        let retries = within(LIMITS.window)
            .filter(|(_, is_retry)| *is_retry)
            .count() as f64;
        // The platform uses the most favourable of the neighbouring windows.
        let requests = within(LIMITS.window + Duration::from_secs(1))
            .filter(|(_, is_retry)| !is_retry)
            .count() as f64;
        prop_assert!(retries <= requests * LIMITS.ratio + LIMITS.allowance);
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(CASES))]

    /// Holds for any load, number of nodes and sequence of restarts.
    #[test]
    fn the_fleet_stays_within_its_limit_in_every_window(nodes in 1_usize..8, steps in steps()) {
        check_schedule(nodes, &steps, |start| LIMITS.allowance_from(start))?;
    }
}

#[test]
fn schedules_exceed_the_limit_if_restarted_nodes_use_the_allowance_at_once() {
    let found = TestRunner::new(config(CASES)).run(&(1_usize..8, steps()), |(nodes, steps)| {
        check_schedule(nodes, &steps, |start| start)
    });
    assert!(found.is_err());
}

fn prompt_part(id: u64, tokens: u64) -> PromptPart {
    PromptPart { id, tokens }
}

#[test]
fn only_leading_parts_count_as_cached() {
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
fn the_least_recently_used_parts_are_evicted() {
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

/// Guards against a load that seems to be a fraction of what it is after the loss of all nodes: the
/// new holder of the duties would release servers that are needed.
#[test]
fn rates_are_right_soon_after_the_start() {
    let start = Instant::now();
    let mut meter = WorkMeter::new(start);
    for tenth in 1..=60 {
        let now = start + Duration::from_millis(tenth * 100);
        meter.add(1000, 100, now);
        let rates = meter.rates(now);
        assert!(rates.prefill < 11_000.0, "{rates:?} after {tenth}");
        if tenth >= 20 {
            assert!(rates.prefill > 9_500.0, "{rates:?} after {tenth}");
            assert!(rates.decode > 950.0, "{rates:?} after {tenth}");
        }
    }
    // Work that begins long after the start counts as before.
    let mut meter = WorkMeter::new(start);
    let later = start + Duration::from_mins(1);
    meter.add(6000, 0, later);
    assert!((meter.rates(later).prefill - 1000.0).abs() < 1.0);
}

#[test]
fn rates_follow_the_work_and_decay() {
    let start = Instant::now();
    let mut meter = WorkMeter::new(start);
    for tenth in 0..600 {
        meter.add(1000, 100, start + Duration::from_millis(tenth * 100));
    }
    let end = start + Duration::from_mins(1);
    let rates = meter.rates(end);
    assert!((rates.prefill - 10_000.0).abs() < 500.0, "{rates:?}");
    assert!((rates.decode - 1_000.0).abs() < 50.0, "{rates:?}");
    let decayed = meter.rates(end + Duration::from_secs(30));
    assert!(decayed.prefill < 100.0);
}
