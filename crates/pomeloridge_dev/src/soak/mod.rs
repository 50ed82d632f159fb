//! Randomised soak test of the gateway on the fleet's platform.
//!
//! Each run starts a fake platform and a few gateways as separate processes. Callers
//! send requests continuously while a fault injector, from a seed, pauses, kills, stops
//! and restarts gateways, cuts, silences and delays their links to the platform, and
//! changes the configuration, several times in a row; servers name request rates as their
//! limits, fall silent, refuse requests for a while, leave, and answer without a length; the
//! object store comes back from an older copy; some requests crash servers; faults overlap. Runs
//! with versions have servers of several software versions, and kill all gateways at once. Runs
//! with allotments have an account that asks for more than the fleet may run for it. The
//! answers that callers received and the requests that servers received are then checked against
//! the guarantees.

mod allotments;
mod callers;
mod changes;
mod conditions;
mod events;
mod injector;
mod limits;
mod restores;
mod verdict;
mod versions;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use pomeloridge_fleet_standin::streams::Counts;
use serde_json::Value;

use crate::launch::{Fleet, get_json};
pub use allotments::{Allotment, check as check_allotment};
pub use callers::{Call, Effect, Failure, Route};
use events::Clock;
pub use events::{Event, EventKind};
pub use verdict::check;
use versions::TakenStream;

/// Default number of gateways in a run.
pub const GATEWAYS: usize = 4;
/// Servers of the fake platform.
const SERVERS: [&str; 6] = [
    "filings-0",
    "filings-1",
    "assistant-prefill-0",
    "assistant-decode-0",
    "assistant-decode-1",
    "archive-0",
];
/// Arguments of the fake platform.
const PLATFORM_ARGS: [&str; 2] = ["--archive", "1"];
/// Callers per gateway.
const CALLERS_PER_GATEWAY: usize = 4;
/// Maximum number of callers in a run, as one thread runs all of them.
const MAX_CALLERS: u64 = 60;
/// Timeout for started gateways to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which callers go on after the faults of a run with a deadly part.
const QUIET_TIME: Duration = Duration::from_secs(6);
/// Minimum time for which callers send in such a run.
const MIN_DEADLY_TIME: Duration = Duration::from_secs(14);

/// Result of one run.
#[derive(Debug)]
pub struct Outcome {
    /// Seed of the faults and requests.
    pub seed: u64,
    /// Violations of the guarantees, one line each.
    pub violations: Vec<String>,
    /// Number of requests by HTTP status; 0 means no answer.
    pub statuses: BTreeMap<u16, usize>,
    /// Counts of the streams that callers take up again, if there are such callers.
    pub streams: Counts,
    /// Faults that were injected, with their times.
    pub faults: Vec<String>,
    /// Folder of the settings, the logs, the calls and the history.
    pub folder: String,
}

/// What happens in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Plan {
    /// Faults of gateways, servers and the platform.
    #[default]
    Faults,
    /// Versions that come and leave, and ends of all gateways at once; on even seeds beside the
    /// faults.
    Versions,
    /// The faults, and an account that asks for more than its allotment.
    Allotments,
}

impl Plan {
    fn has_faults(self, seed: u64) -> bool {
        self != Self::Versions || seed.is_multiple_of(2)
    }
}

/// Runs one seed with the given number of gateways.
pub fn run(seed: u64, gateways: usize, plan: Plan) -> Result<Outcome, String> {
    let name = format!("soak-{plan:?}-{seed}");
    let mut fleet = Fleet::start_with(&name, gateways, &PLATFORM_ARGS)?;
    let ready = fleet.gateways.iter().map(|gateway| gateway.ready);
    if !callers::wait_until_ready(ready.collect(), START_TIMEOUT)? {
        return Err("the gateways are not ready".to_owned());
    }
    let allotment = (plan == Plan::Allotments).then(|| Allotment::draw(seed));
    if let Some(allotment) = allotment {
        allotments::configure(&fleet, allotment)?;
    }
    let done = Arc::new(AtomicBool::new(false));
    let addresses = fleet.gateways.iter().map(|gateway| gateway.caller);
    let callers = ((gateways * CALLERS_PER_GATEWAY) as u64).min(MAX_CALLERS);
    let addresses: Vec<SocketAddr> = addresses.collect();
    let (clock, start) = (Clock::read(&fleet)?, Instant::now());
    let streams = (plan == Plan::Versions)
        .then(|| versions::start(addresses.clone(), seed, Arc::clone(&done)));
    let limited =
        allotment.map(|_| allotments::start(addresses.clone(), seed, clock, Arc::clone(&done)));
    let thread = callers::start(addresses, seed, callers, clock, Arc::clone(&done));
    let injected = injector::inject(&mut fleet, seed, plan, clock);
    if callers::deadly_part(seed).is_some() {
        std::thread::sleep(QUIET_TIME.max(MIN_DEADLY_TIME.saturating_sub(start.elapsed())));
    }
    done.store(true, Ordering::Relaxed);
    let joined = thread
        .join()
        .map_err(|_| "the callers panicked".to_owned())?;
    let mut calls: Vec<Call> = joined?;
    let limited = limited.map(JoinHandle::join).transpose();
    let limited = limited.map_err(|_| "the callers of the account panicked".to_owned())?;
    calls.extend(limited.into_iter().flatten());
    let streams = streams.map(JoinHandle::join).transpose();
    let streams = streams.map_err(|_| "the callers of streams panicked".to_owned())?;
    let injected = injected?;
    let mut unserved = if plan.has_faults(seed) {
        limits::wait_for_end(&fleet, &limits::plan(seed))
    } else {
        Vec::new()
    };
    if allotment.is_some() {
        unserved.extend(allotments::wait_until_served(&fleet));
    }
    let recovery = verdict::check_recovery(&mut fleet, &injected, &calls)?;
    let history: Value = get_json(fleet.duties, "/-/history")?;
    let streams = streams.unwrap_or_default();
    write_records(&fleet.folder, (&calls, &streams), &history)?;
    let history = history.as_array().cloned().unwrap_or_default();
    let mut violations = verdict::check(&calls, &history, &injected.events);
    violations.extend(versions::check(&streams, seed, !plan.has_faults(seed)));
    violations.extend(
        allotment
            .into_iter()
            .flat_map(|allotment| check_allotment(&history, allotment)),
    );
    violations.extend(unserved);
    violations.extend(recovery);
    let mut statuses = BTreeMap::new();
    for call in &calls {
        *statuses.entry(call.status()).or_default() += 1;
    }
    Ok(Outcome {
        seed,
        violations,
        statuses,
        streams: Counts::of(streams.iter().map(|taken| &taken.stream)),
        faults: injected.faults,
        folder: fleet.folder.display().to_string(),
    })
}

/// Writes what callers and servers saw beside the logs, to trace violations.
fn write_records(
    folder: &Path,
    (calls, streams): (&[Call], &[TakenStream]),
    history: &Value,
) -> Result<(), String> {
    let calls = calls.iter().map(|call| format!("{call:?}\n"));
    let calls: String = calls.collect();
    let streams = streams.iter().map(|taken| format!("{taken:?}\n"));
    let streams: String = streams.collect();
    let history = history.to_string();
    let records = [
        ("calls.txt", calls),
        ("streams.txt", streams),
        ("history.json", history),
    ];
    for (name, text) in records {
        std::fs::write(folder.join(name), text).map_err(|error| error.to_string())?;
    }
    Ok(())
}

/// Runs seeds and prints a line for each; returns whether all passed.
pub fn run_all(first: u64, seeds: u64, gateways: usize, plan: Plan) -> bool {
    let mut failed = 0;
    for seed in first..first + seeds {
        match run(seed, gateways, plan) {
            Ok(outcome) => {
                let ok = outcome.violations.is_empty();
                let status = if ok { "ok  " } else { "FAIL" };
                println!(
                    "{status}  seed={seed} statuses={:?} streams={:?} faults={:?}",
                    outcome.statuses, outcome.streams, outcome.faults
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
