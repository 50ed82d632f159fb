//! Injects seeded faults into the gateway processes and their links, from outside.

use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_fleet_standin::operator::toggle_key;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::GATEWAYS;
use super::limits::{self, LimitChange};
use super::restores::{self, Restore};
use crate::launch::{Fleet, RelayMode, get_json, post_json};

/// Time during which faults begin.
const FAULT_TIME: Duration = Duration::from_secs(8);
/// Maximum number of faults in a run of default size; larger runs have more.
const MAX_FAULTS: usize = 7;
/// Timeout for a gateway to exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// Key that configuration changes add and remove.
pub(super) const SPARE_KEY: &str = "key-of-anna-2";

/// A fault of a gateway or its links, or a change of the configuration.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Fault {
    Pause,
    Kill,
    Stop,
    Reload,
    StoreCut,
    StoreSilent,
    StoreSlow,
    StoreFrozen,
    DutiesCut,
    DutiesSilent,
    Change,
}

impl Fault {
    const ALL: [Self; 11] = [
        Self::Pause,
        Self::Kill,
        Self::Stop,
        Self::Reload,
        Self::StoreCut,
        Self::StoreSilent,
        Self::StoreSlow,
        Self::StoreFrozen,
        Self::DutiesCut,
        Self::DutiesSilent,
        Self::Change,
    ];
}

/// A fault and its times, from the start of the run.
#[derive(Clone, Copy, Debug)]
struct PlannedFault {
    fault: Fault,
    gateway: usize,
    from: Duration,
    to: Duration,
}

/// Record of the injected faults.
#[derive(Debug, Default)]
pub(super) struct Injected {
    pub(super) faults: Vec<String>,
    /// Whether the last configuration contains the spare key.
    pub(super) spare_key: bool,
    /// Violations found while injecting.
    pub(super) violations: Vec<String>,
    /// By gateway, id of the process that last received SIGTERM.
    stopping: Vec<Option<u32>>,
}

fn plan(seed: u64, gateways: usize) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let max = (MAX_FAULTS * gateways / GATEWAYS).max(MAX_FAULTS);
    let count = rng.random_range(3..=max);
    let planned = (0..count).map(|_| {
        let from = rng.random_range(300..FAULT_TIME.as_millis() as u64);
        let length = rng.random_range(200..4000);
        PlannedFault {
            fault: Fault::ALL[rng.random_range(0..Fault::ALL.len())],
            gateway: rng.random_range(0..gateways),
            from: Duration::from_millis(from),
            to: Duration::from_millis(from + length),
        }
    });
    let mut planned: Vec<PlannedFault> = planned.collect();
    planned.sort_by_key(|planned| planned.from);
    planned
}

/// Injects a seed's faults, and ends each one.
pub(super) fn inject(fleet: &mut Fleet, seed: u64) -> Result<Injected, String> {
    let start = Instant::now();
    let plan = plan(seed, fleet.gateways.len());
    let mut injected = Injected {
        stopping: vec![None; fleet.gateways.len()],
        ..Injected::default()
    };
    let edges = plan
        .iter()
        .flat_map(|planned| [(planned.from, true, planned), (planned.to, false, planned)]);
    let mut edges: Vec<(Duration, bool, &PlannedFault)> = edges.collect();
    edges.sort_by_key(|(at, ..)| *at);
    let mut limits = limits::plan(seed).into_iter().peekable();
    let mut restores = restores::plan(seed).into_iter().peekable();
    for (at, begins, planned) in edges {
        while let Some(restore) = restores.next_if(|restore| restore.at <= at) {
            begin_restore(fleet, &restore, start, &mut injected)?;
        }
        while let Some(change) = limits.next_if(|change| change.at <= at) {
            change_limit(fleet, &change, start, &mut injected)?;
        }
        std::thread::sleep(at.saturating_sub(start.elapsed()));
        if begins {
            injected.faults.push(format!(
                "{}({}) {}..{}ms",
                planned.fault,
                planned.gateway,
                planned.from.as_millis(),
                planned.to.as_millis()
            ));
            begin(fleet, planned, &mut injected)?;
        } else {
            end(fleet, planned, &mut injected)?;
        }
    }
    for restore in restores {
        begin_restore(fleet, &restore, start, &mut injected)?;
    }
    for change in limits {
        change_limit(fleet, &change, start, &mut injected)?;
    }
    Ok(injected)
}

/// Begins a restore of the store at its time.
fn begin_restore(
    fleet: &Fleet,
    restore: &Restore,
    start: Instant,
    injected: &mut Injected,
) -> Result<(), String> {
    std::thread::sleep(restore.at.saturating_sub(start.elapsed()));
    injected.faults.push(restore.to_string());
    restore.apply(fleet)
}

/// Makes a change of a limit at its time.
fn change_limit(
    fleet: &Fleet,
    change: &LimitChange,
    start: Instant,
    injected: &mut Injected,
) -> Result<(), String> {
    std::thread::sleep(change.at.saturating_sub(start.elapsed()));
    injected.faults.push(change.to_string());
    change.apply(fleet)
}

fn begin(fleet: &mut Fleet, planned: &PlannedFault, injected: &mut Injected) -> Result<(), String> {
    let gateway = &mut fleet.gateways[planned.gateway];
    match planned.fault {
        Fault::Pause => gateway.process.pause(),
        Fault::Kill => gateway.process.kill(),
        Fault::Stop => {
            gateway.process.stop();
            injected.stopping[planned.gateway] = Some(gateway.process.id());
        }
        Fault::Reload => gateway.process.signal(libc::SIGHUP),
        Fault::StoreCut => gateway.store.set(RelayMode::Cut),
        Fault::StoreSilent => gateway.store.set(RelayMode::Silent),
        Fault::StoreSlow => gateway.store.set(RelayMode::Delay(150)),
        Fault::StoreFrozen => gateway.store.freeze(),
        Fault::DutiesCut => gateway.duties.set(RelayMode::Cut),
        Fault::DutiesSilent => gateway.duties.set(RelayMode::Silent),
        Fault::Change => injected.spare_key = toggle_spare_key(fleet)?,
    }
    Ok(())
}

fn end(fleet: &mut Fleet, planned: &PlannedFault, injected: &mut Injected) -> Result<(), String> {
    let gateway = &mut fleet.gateways[planned.gateway];
    match planned.fault {
        Fault::Pause => gateway.process.resume(),
        Fault::Kill => restart_if_stopped(fleet, planned.gateway)?,
        Fault::Stop => {
            // A pause may overlap the stop.
            gateway.process.resume();
            // If two stops overlap, the end of the first has restarted the gateway; the new
            // process got no SIGTERM.
            let signalled = injected.stopping[planned.gateway] == Some(gateway.process.id());
            if signalled && gateway.process.wait(STOP_TIMEOUT).is_none() {
                let violation = format!("gateway {} did not exit after SIGTERM", planned.gateway);
                injected.violations.push(violation);
                gateway.process.kill();
            }
            restart_if_stopped(fleet, planned.gateway)?;
        }
        Fault::StoreCut | Fault::StoreSilent | Fault::StoreSlow => {
            gateway.store.set(RelayMode::Pass);
        }
        Fault::DutiesCut | Fault::DutiesSilent => gateway.duties.set(RelayMode::Pass),
        Fault::Reload | Fault::StoreFrozen | Fault::Change => {}
    }
    Ok(())
}

/// Restarts a gateway unless the end of another fault already has.
fn restart_if_stopped(fleet: &mut Fleet, gateway: usize) -> Result<(), String> {
    if fleet.gateways[gateway].process.is_running() {
        return Ok(());
    }
    fleet.restart(gateway)
}

/// Adds or removes the account's spare key; returns whether it is now present.
fn toggle_spare_key(fleet: &Fleet) -> Result<bool, String> {
    let (next, has_key) = toggle_key(&get_json(fleet.duties, "/-/config")?, SPARE_KEY);
    post_json(fleet.duties, "/-/config", &next)?;
    Ok(has_key)
}
