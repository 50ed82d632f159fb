//! One seed of each scenario, on separate processes, without checks of durations.
//!
//! `cargo dev check` runs more seeds.

use pomeloridge_dev::check::{Scenario, run};
use yare::parameterized;

#[parameterized(
    healthy = { Scenario::Healthy, 1 },
    planned_stop = { Scenario::PlannedStop, 1 },
    leaving = { Scenario::Leaving, 2 },
    engine_crash = { Scenario::EngineCrash, 1 },
    engine_fault = { Scenario::EngineFault, 3 },
    service_fault = { Scenario::ServiceFault, 1 },
    node_crash = { Scenario::NodeCrash, 1 },
    node_pause = { Scenario::NodePause, 1 },
    platform = { Scenario::Platform, 2 },
    partition = { Scenario::Partition, 1 },
    poison = { Scenario::Poison, 1 },
    reclaim = { Scenario::Reclaim, 1 },
    duties = { Scenario::Duties, 1 },
    silent_link = { Scenario::SilentLink, 1 },
    overload = { Scenario::Overload, 912 },
    pair = { Scenario::Pair, 2 },
)]
fn guarantees_hold(scenario: Scenario, seed: u64) {
    let outcome = run(scenario, seed).expect("the deployment runs");
    assert!(
        outcome.violations.is_empty(),
        "{scenario} seed {seed}: {:#?}; see {}",
        outcome.violations,
        outcome.folder
    );
    assert!(
        outcome.answered > 0,
        "{scenario} seed {seed}: nothing was answered"
    );
}
