//! Faults from a seed, injected from outside the processes.

use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_fleet_standin::operator::toggle_key;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::GATEWAYS;
use crate::launch::{Fleet, RelayMode, get_json, post_json};

/// Time during which faults begin.
const FAULT_TIME: Duration = Duration::from_secs(8);
/// Most faults in a run of the usual size; larger ones have more.
const FAULTS: usize = 7;
/// Time that a gateway has to end after SIGTERM.
const GRACE: Duration = Duration::from_secs(8);
/// Key that configuration changes give and withdraw.
pub(super) const SPARE_KEY: &str = "key-of-anna-2";

/// What is done to a gateway or the platform.
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

/// A fault with its times after the start of the run.
#[derive(Clone, Copy, Debug)]
struct Planned {
    fault: Fault,
    gateway: usize,
    from: Duration,
    to: Duration,
}

/// What was done.
#[derive(Debug, Default)]
pub(super) struct Directed {
    pub(super) faults: Vec<String>,
    /// Whether the spare key is in the last configuration.
    pub(super) spare_key: bool,
    /// What went wrong meanwhile.
    pub(super) violations: Vec<String>,
    /// Process ids of the gateways that were told to stop.
    stopping: Vec<Option<u32>>,
}

fn plan(seed: u64, gateways: usize) -> Vec<Planned> {
    let mut rng = StdRng::seed_from_u64(seed);
    let most = (FAULTS * gateways / GATEWAYS).max(FAULTS);
    let count = rng.random_range(3..=most);
    let planned = (0..count).map(|_| {
        let from = rng.random_range(300..FAULT_TIME.as_millis() as u64);
        let long = rng.random_range(200..4000);
        Planned {
            fault: Fault::ALL[rng.random_range(0..Fault::ALL.len())],
            gateway: rng.random_range(0..gateways),
            from: Duration::from_millis(from),
            to: Duration::from_millis(from + long),
        }
    });
    let mut planned: Vec<Planned> = planned.collect();
    planned.sort_by_key(|planned| planned.from);
    planned
}

/// Plays a seed's faults, and ends every one.
pub(super) fn direct(fleet: &mut Fleet, seed: u64) -> Result<Directed, String> {
    let start = Instant::now();
    let plan = plan(seed, fleet.gateways.len());
    let mut directed = Directed {
        stopping: vec![None; fleet.gateways.len()],
        ..Directed::default()
    };
    let edges = plan
        .iter()
        .flat_map(|planned| [(planned.from, true, planned), (planned.to, false, planned)]);
    let mut edges: Vec<(Duration, bool, &Planned)> = edges.collect();
    edges.sort_by_key(|(at, ..)| *at);
    for (at, begins, planned) in edges {
        std::thread::sleep(at.saturating_sub(start.elapsed()));
        if begins {
            directed.faults.push(format!(
                "{}({}) {}..{}ms",
                planned.fault,
                planned.gateway,
                planned.from.as_millis(),
                planned.to.as_millis()
            ));
            begin(fleet, planned, &mut directed)?;
        } else {
            end(fleet, planned, &mut directed)?;
        }
    }
    Ok(directed)
}

fn begin(fleet: &mut Fleet, planned: &Planned, directed: &mut Directed) -> Result<(), String> {
    let gateway = &mut fleet.gateways[planned.gateway];
    match planned.fault {
        Fault::Pause => gateway.process.pause(),
        Fault::Kill => gateway.process.kill(),
        Fault::Stop => {
            gateway.process.stop();
            directed.stopping[planned.gateway] = Some(gateway.process.id());
        }
        Fault::Reload => gateway.process.signal(libc::SIGHUP),
        Fault::StoreCut => gateway.store.set(RelayMode::Cut),
        Fault::StoreSilent => gateway.store.set(RelayMode::Silent),
        Fault::StoreSlow => gateway.store.set(RelayMode::Delay(150)),
        Fault::StoreFrozen => gateway.store.freeze(),
        Fault::DutiesCut => gateway.duties.set(RelayMode::Cut),
        Fault::DutiesSilent => gateway.duties.set(RelayMode::Silent),
        Fault::Change => directed.spare_key = change(fleet)?,
    }
    Ok(())
}

fn end(fleet: &mut Fleet, planned: &Planned, directed: &mut Directed) -> Result<(), String> {
    let gateway = &mut fleet.gateways[planned.gateway];
    match planned.fault {
        Fault::Pause => gateway.process.resume(),
        Fault::Kill => revive(fleet, planned.gateway)?,
        Fault::Stop => {
            // A pause may have been laid over the stop.
            gateway.process.resume();
            // Under two stops at a time the first one's end has started it again, and
            // nobody has told that process to stop.
            let told = directed.stopping[planned.gateway] == Some(gateway.process.id());
            if told && gateway.process.wait(GRACE).is_none() {
                let late = format!("gateway {} did not end after SIGTERM", planned.gateway);
                directed.violations.push(late);
                gateway.process.kill();
            }
            revive(fleet, planned.gateway)?;
        }
        Fault::StoreCut | Fault::StoreSilent | Fault::StoreSlow => {
            gateway.store.set(RelayMode::Pass);
        }
        Fault::DutiesCut | Fault::DutiesSilent => gateway.duties.set(RelayMode::Pass),
        Fault::Reload | Fault::StoreFrozen | Fault::Change => {}
    }
    Ok(())
}

/// Starts a gateway again unless another fault's end has.
fn revive(fleet: &mut Fleet, gateway: usize) -> Result<(), String> {
    if fleet.gateways[gateway].process.is_running() {
        return Ok(());
    }
    fleet.restart(gateway)
}

/// Gives the account its spare key, or withdraws it; whether it has it then.
fn change(fleet: &Fleet) -> Result<bool, String> {
    let object = get_json(fleet.store, "/-/objects/config/main")?;
    let (next, has_key) = toggle_key(&object["spec"], SPARE_KEY);
    post_json(fleet.duties, "/-/config", &next)?;
    Ok(has_key)
}
