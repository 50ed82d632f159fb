//! Injects seeded faults into the gateway processes and their links, from outside, and makes the
//! other changes of a run.

use std::time::{Duration, Instant};

use derive_more::Display;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::changes::{self, Change, Configured};
use super::conditions::{self, PlannedCondition};
use super::events::{Clock, Event, EventKind};
use super::limits::{self, LimitChange};
use super::restores::{self, Restore};
use super::versions::{self, VersionChange};
use super::{GATEWAYS, Plan};
use crate::launch::{Fleet, RelayMode};

/// Time during which faults begin.
const FAULT_TIME: Duration = Duration::from_secs(8);
/// Maximum number of faults in a run of default size; larger runs have more.
const MAX_FAULTS: usize = 7;
/// Timeout for a gateway to exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);
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

/// A step of a run.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A fault begins.
    Begin(PlannedFault),
    /// A fault ends.
    End(PlannedFault),
    /// A server names a limit, or ceases to.
    Limit(LimitChange),
    /// A server gets a condition.
    Condition(PlannedCondition),
    /// The configuration changes.
    Change(Change),
    /// The store comes back from an older copy.
    Restore(Restore),
    /// A version comes or leaves, or all gateways end or start.
    Version(VersionChange),
    /// Servers have settled after a condition.
    Settled,
}

/// Record of the injected faults.
#[derive(Debug, Default)]
pub(super) struct Injected {
    pub(super) faults: Vec<String>,
    /// What happened to the gateways.
    pub(super) events: Vec<Event>,
    /// State of the last configuration.
    pub(super) configured: Configured,
    /// Violations found while injecting.
    pub(super) violations: Vec<String>,
    /// By gateway, id of the process that last received SIGTERM.
    stopping: Vec<Option<u32>>,
    /// Time at which all gateways were killed at once.
    killed_all: Duration,
    /// Faults that have begun and not ended, with their times.
    open: Vec<(Fault, usize, Duration)>,
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

/// Returns the steps of a run with their times from its start.
fn steps(seed: u64, gateways: usize, plan: Plan) -> Vec<(Duration, Step)> {
    let mut steps = Vec::new();
    if plan == Plan::Versions {
        let changes = versions::plan(seed).into_iter();
        steps.extend(changes.map(|(at, change)| (at, Step::Version(change))));
    }
    if plan.has_faults(seed) {
        steps.extend(fault_steps(seed, gateways));
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

/// Returns the steps of the faults and other changes, in no order.
fn fault_steps(seed: u64, gateways: usize) -> Vec<(Duration, Step)> {
    let mut steps = Vec::new();
    for planned in plan(seed, gateways) {
        steps.push((planned.from, Step::Begin(planned)));
        steps.push((planned.to, Step::End(planned)));
    }
    for planned in conditions::plan(seed) {
        steps.push((planned.at, Step::Condition(planned)));
        steps.push((planned.end(), Step::Settled));
    }
    let limits = limits::plan(seed).into_iter();
    steps.extend(limits.map(|change| (change.at, Step::Limit(change))));
    let restores = restores::plan(seed).into_iter();
    steps.extend(restores.map(|restore| (restore.at, Step::Restore(restore))));
    let changes = changes::plan(seed).into_iter();
    steps.extend(changes.map(|(at, change)| (at, Step::Change(change))));
    steps
}

/// Injects a seed's faults, and ends each one.
pub(super) fn inject(
    fleet: &mut Fleet,
    seed: u64,
    plan: Plan,
    clock: Clock,
) -> Result<Injected, String> {
    let start = Instant::now();
    let mut injected = Injected {
        stopping: vec![None; fleet.gateways.len()],
        ..Injected::default()
    };
    for (at, step) in steps(seed, fleet.gateways.len(), plan) {
        std::thread::sleep(at.saturating_sub(start.elapsed()));
        let named = |name: String| format!("{name} {}ms", at.as_millis());
        match step {
            Step::Begin(planned) => {
                injected.faults.push(format!(
                    "{}({}) {}..{}ms",
                    planned.fault,
                    planned.gateway,
                    planned.from.as_millis(),
                    planned.to.as_millis()
                ));
                if planned.fault == Fault::Change {
                    injected.change(fleet, Change::Key, clock)?;
                    continue;
                }
                let open = (planned.fault, planned.gateway, clock.now());
                injected.open.push(open);
                begin(fleet, &planned, &mut injected);
            }
            Step::End(planned) => {
                end(fleet, &planned, &mut injected)?;
                injected.close(&planned, clock.now());
            }
            Step::Limit(change) => {
                injected.faults.push(change.to_string());
                change.apply(fleet)?;
            }
            Step::Condition(planned) => {
                injected.faults.push(planned.to_string());
                planned.apply(fleet)?;
            }
            Step::Change(change) => {
                injected.faults.push(named(change.to_string()));
                injected.change(fleet, change, clock)?;
            }
            Step::Restore(restore) => {
                injected.faults.push(restore.to_string());
                restore.apply(fleet)?;
            }
            Step::Version(change) => {
                injected.faults.push(named(change.to_string()));
                injected.change_versions(fleet, change, clock)?;
            }
            Step::Settled => {}
        }
    }
    Ok(injected)
}

impl Injected {
    /// Records the event of a fault that has ended.
    fn close(&mut self, planned: &PlannedFault, to: Duration) {
        let kind = match planned.fault {
            Fault::Pause => EventKind::Pause,
            Fault::Kill => EventKind::Kill,
            Fault::Stop => EventKind::Stop,
            Fault::Reload => EventKind::Reload,
            _ => EventKind::Link,
        };
        let is_own =
            |open: &(Fault, usize, Duration)| (open.0, open.1) == (planned.fault, planned.gateway);
        // Of overlapping faults of a kind, the first one that began ends first.
        let Some(index) = self.open.iter().position(is_own) else {
            return;
        };
        let (_, gateway, from) = self.open.remove(index);
        // A signal has no length.
        let to = if kind == EventKind::Reload { from } else { to };
        self.events.push(Event {
            kind,
            gateway: Some(gateway),
            from,
            to,
        });
    }

    /// Has versions come or leave, or all gateways end or start.
    fn change_versions(
        &mut self,
        fleet: &mut Fleet,
        change: VersionChange,
        clock: Clock,
    ) -> Result<(), String> {
        match change {
            VersionChange::KillAll => {
                self.killed_all = clock.now();
                for gateway in &fleet.gateways {
                    gateway.process.signal(libc::SIGKILL);
                }
                for gateway in &mut fleet.gateways {
                    gateway.process.kill();
                }
            }
            VersionChange::StartAll => {
                for gateway in 0..fleet.gateways.len() {
                    restart_if_stopped(fleet, gateway)?;
                    self.events.push(Event {
                        kind: EventKind::Kill,
                        gateway: Some(gateway),
                        from: self.killed_all,
                        to: clock.now(),
                    });
                }
            }
            _ => change.apply(fleet)?,
        }
        Ok(())
    }

    /// Changes the configuration.
    fn change(&mut self, fleet: &Fleet, change: Change, clock: Clock) -> Result<(), String> {
        let from = clock.now();
        change.apply(fleet, &mut self.configured)?;
        let timeout = match change {
            Change::Timeout(route, ms) => {
                Some(EventKind::Timeout(route, Duration::from_millis(ms)))
            }
            _ => None,
        };
        let kinds = timeout.into_iter().chain([EventKind::Config]);
        self.events.extend(kinds.map(|kind| Event {
            kind,
            gateway: None,
            from,
            to: clock.now(),
        }));
        Ok(())
    }
}

fn begin(fleet: &mut Fleet, planned: &PlannedFault, injected: &mut Injected) {
    let gateway = &mut fleet.gateways[planned.gateway];
    match planned.fault {
        Fault::Pause => gateway.process.pause(),
        Fault::Kill => gateway.process.kill(),
        Fault::Stop => {
            gateway.process.stop();
            injected.stopping[planned.gateway] = Some(gateway.process.id());
        }
        Fault::Reload => {
            gateway.process.signal(libc::SIGHUP);
        }
        Fault::StoreCut => gateway.store.set(RelayMode::Cut),
        Fault::StoreSilent => gateway.store.set(RelayMode::Silent),
        Fault::StoreSlow => gateway.store.set(RelayMode::Delay(150)),
        Fault::StoreFrozen => gateway.store.freeze(),
        Fault::DutiesCut => gateway.duties.set(RelayMode::Cut),
        Fault::DutiesSilent => gateway.duties.set(RelayMode::Silent),
        // Made before, as it belongs to no gateway.
        Fault::Change => {}
    }
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
