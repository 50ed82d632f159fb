//! A randomised soak of the gateway on the fleet's platform.
//!
//! Each run starts a fake platform and a few gateways as separate processes. Callers
//! keep asking while a director, from a seed, pauses, kills, stops and restarts
//! gateways, cuts, silences and delays their links to the platform, and changes the
//! configuration; faults overlap. What callers got and what servers received is then
//! checked against what is promised.

mod callers;
mod director;
mod verdict;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::Value;

use crate::launch::{Fleet, get_json};
pub use callers::{Call, Route};
pub use verdict::check;

/// Gateways in a run of the usual size.
pub const GATEWAYS: usize = 4;
/// Callers for each of them.
const CALLERS: f64 = 2.5;
/// Most callers in a run: one thread asks for all of them.
const MOST_CALLERS: u64 = 60;
/// Time in which started gateways are ready.
const START_TIME: Duration = Duration::from_secs(20);

/// What came of one run.
#[derive(Debug)]
pub struct Outcome {
    /// Seed.
    pub seed: u64,
    /// What was broken.
    pub violations: Vec<String>,
    /// Requests by status; 0 stands for no answer.
    pub statuses: BTreeMap<u16, usize>,
    /// Faults that were played.
    pub faults: Vec<String>,
    /// Settings and logs.
    pub folder: String,
}

/// Runs one seed with so many gateways.
pub fn run(seed: u64, gateways: usize) -> Result<Outcome, String> {
    let mut fleet = Fleet::start(&format!("soak-{seed}"), gateways)?;
    let ready = fleet.gateways.iter().map(|gateway| gateway.ready);
    if !callers::until_ready(ready.collect(), START_TIME)? {
        return Err("the gateways are not ready".to_owned());
    }
    let done = Arc::new(AtomicBool::new(false));
    let addresses = fleet.gateways.iter().map(|gateway| gateway.caller);
    let callers = ((gateways as f64 * CALLERS) as u64).min(MOST_CALLERS);
    let asking = callers::start(addresses.collect(), seed, callers, Arc::clone(&done));
    let directed = director::direct(&mut fleet, seed);
    done.store(true, Ordering::Relaxed);
    let asked = asking
        .join()
        .map_err(|_| "the callers panicked".to_owned())?;
    let calls: Vec<Call> = asked?;
    let directed = directed?;
    let after = verdict::after(&mut fleet, &directed)?;
    let history: Value = get_json(fleet.duties, "/-/history")?;
    let history = history.as_array().cloned().unwrap_or_default();
    let mut violations = verdict::check(&calls, &history);
    violations.extend(after);
    let mut statuses = BTreeMap::new();
    for call in &calls {
        *statuses.entry(call.status()).or_default() += 1;
    }
    Ok(Outcome {
        seed,
        violations,
        statuses,
        faults: directed.faults,
        folder: fleet.folder.display().to_string(),
    })
}

/// Runs seeds and prints a line for each; false if something was broken.
pub fn run_all(first: u64, seeds: u64, gateways: usize) -> bool {
    let mut failed = 0;
    for seed in first..first + seeds {
        match run(seed, gateways) {
            Ok(outcome) => {
                let ok = outcome.violations.is_empty();
                let word = if ok { "ok  " } else { "FAIL" };
                println!(
                    "{word}  seed={seed} statuses={:?} faults={:?}",
                    outcome.statuses, outcome.faults
                );
                for violation in &outcome.violations {
                    println!("      {violation}");
                }
                if ok {
                    continue;
                }
                println!("      settings and logs: {}", outcome.folder);
            }
            Err(error) => println!("FAIL  seed={seed} did not run: {error}"),
        }
        failed += 1;
    }
    println!("{} passed, {failed} failed", seeds - failed);
    failed == 0
}
