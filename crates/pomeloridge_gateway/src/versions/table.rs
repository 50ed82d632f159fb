//! Reads and writes of the table of versions.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::count_guard::CountGuard;
use pomeloridge_base::id::Name;
use pomeloridge_base::task::catch_panic;
use pomeloridge_platform::{Expect, Object, PlatformError, PutOutcome};
use pomeloridge_policy::dispatch::Stage;
use pomeloridge_policy::stream_versions::{ServiceCapacities, UnknownVersion, VersionTable};
use serde::Deserialize;

use super::{TableWire, adopt};
use crate::config::{RouteKind, ServingConfig};
use crate::peers;
use crate::state::State;

/// Key of the table in the object service.
const KEY: &str = "pomeloridge-versions/table";
/// Interval between checks whether the table must change.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time from one write to the next.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum random delay of a write, as several nodes may write the same change.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(20);
/// Number of times that a write is tried before the next check.
const MAX_WRITE_TRIES: usize = 3;
/// Step of the number of a table that is written again after a restore. Tables that were lost and
/// that no writer has heard of have numbers in between.
const RESTORED_STEP: u64 = 1024;
/// Delay after a failed read at the start.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads the table at the start, and then keeps it in line with the servers, until the process
/// ends.
pub(crate) async fn follow_table(state: Rc<State>) {
    while state.versions.borrow().number().is_none() {
        if let Err(error) = read_table(&state, state.store.timeout()).await {
            log::debug!("versions table not read: {error}");
            monoio::time::sleep(READ_RETRY_DELAY).await;
        }
    }
    loop {
        check_table(&state);
        monoio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Reads the table from the object service within a time, and adopts it if it is newer.
pub(crate) async fn read_table(state: &State, timeout: Duration) -> Result<(), PlatformError> {
    let store = state.store.with_max_timeout(timeout);
    adopt_stored(state, store.get(KEY).await?.as_ref());
    Ok(())
}

/// Adopts a table that was read, if it is newer. Returns its number, 0 if there is none.
fn adopt_stored(state: &State, stored: Option<&Object>) -> u64 {
    let Some(object) = stored else {
        state.versions.borrow_mut().set_known();
        return 0;
    };
    let wire = TableWire::deserialize(&object.value).map_err(|error| error.to_string());
    let table =
        wire.and_then(|wire| VersionTable::try_from(wire).map_err(|error| error.to_string()));
    match table {
        Ok(table) => {
            let number = table.number;
            adopt(state, table, "store");
            number
        }
        Err(error) => {
            log::warn!("versions from=store choice=ignore reason=\"{error}\"");
            state.versions.borrow_mut().set_known();
            0
        }
    }
}

/// Starts a change of the table if the servers or a restore of the object service require one and
/// this node watches the service.
pub(crate) fn check_table(state: &Rc<State>) {
    let since_write = state.versions_written.get();
    let since_write = since_write.map(|at| state.now().saturating_duration_since(at));
    if since_write.is_some_and(|time| time < MIN_WRITE_INTERVAL)
        || state.versions.borrow().number().is_none()
        || !state.server_list_loaded.get()
        || !state.should_watch_store()
        || !(is_unchecked(state) || next_table(state).is_some())
    {
        return;
    }
    let Some(guard) = CountGuard::try_new(&state.versions_writes, 1) else {
        return;
    };
    let state = Rc::clone(state);
    monoio::spawn(async move {
        let meter = state.meter.clone();
        catch_panic("write_versions", &meter, update_table(&state)).await;
        drop(guard);
    });
}

/// Returns whether the table in the object service has not been read in the service's era.
fn is_unchecked(state: &State) -> bool {
    state.versions_checked.get() != Some(state.store.era())
}

async fn update_table(state: &Rc<State>) {
    monoio::time::sleep(rand::random_range(Duration::ZERO..MAX_WRITE_DELAY)).await;
    for _ in 0..MAX_WRITE_TRIES {
        match try_update(state).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                log::debug!("versions table not written: {error}");
                return;
            }
        }
    }
}

/// Writes the next table, if one is due. Returns false if another node has written meanwhile.
async fn try_update(state: &Rc<State>) -> Result<bool, PlatformError> {
    let stored = state.store.get(KEY).await?;
    let era = state.store.era();
    let number = adopt_stored(state, stored.as_ref());
    let is_lost = number < state.versions.borrow().table().number;
    let next = if is_lost {
        Some(restored_table(state))
    } else {
        next_table(state)
    };
    let Some(next) = next else {
        state.versions_checked.set(Some(era));
        return Ok(true);
    };
    let value = serde_json::to_value(TableWire::from(&next));
    let value = value.map_err(|error| PlatformError::Malformed(error.to_string()))?;
    let expect = Expect::unchanged(stored.as_ref());
    let outcome = state.store.put_confirmed(KEY, value, expect).await?;
    if !matches!(outcome, PutOutcome::Written(_)) {
        return Ok(false);
    }
    if is_lost {
        log::warn!(
            "versions table={} choice=write_again reason=\"the store has lost the table\"",
            next.number
        );
    }
    state.versions_written.set(Some(state.now()));
    state.versions_checked.set(Some(era));
    adopt(state, next, "own");
    peers::announce_versions(state);
    Ok(true)
}

/// Returns this node's table with a higher number than any that is known, in which all slots count
/// as changed.
fn restored_table(state: &State) -> VersionTable {
    let versions = state.versions.borrow();
    let table = versions.table();
    let highest = versions.newer().unwrap_or(table.number);
    let restored = table.restored(highest + RESTORED_STEP);
    let capacities = capacities(state);
    restored.rebalanced(&capacities).unwrap_or(restored)
}

/// Returns the next table if the servers require one.
fn next_table(state: &State) -> Option<VersionTable> {
    let now = state.now();
    let versions = state.versions.borrow();
    if versions.newer().is_some() {
        // No node may be left that has the newer table.
        return (!versions.awaits_newer(now)).then(|| restored_table(state));
    }
    let table = versions.table();
    let capacities = capacities(state);
    let in_grace = state.server_registry.borrow().in_grace();
    if in_grace && !has_new_version(table, &capacities) {
        return None;
    }
    let rebalanced = table.rebalanced(&capacities);
    rebalanced.or_else(|| versions.settled(now))
}

/// Returns whether a listed version has no slots.
fn has_new_version(table: &VersionTable, capacities: &BTreeMap<Name, ServiceCapacities>) -> bool {
    let mut listed = capacities.iter();
    listed.any(|(service, places)| {
        let slots = table.services.get(service);
        let owns = |version: &Name| {
            slots.is_some_and(|slots| {
                let mut owners = slots
                    .slots()
                    .iter()
                    .map(|slot| &slots.versions()[slot.version]);
                owners.any(|owner| owner == version)
            })
        };
        let mut placed = places.iter().filter(|(_, places)| **places > 0);
        placed.any(|(version, _)| !owns(version))
    })
}

/// Returns whether a service's streams may be continued at other servers, so that they are bound to
/// a version.
pub(super) fn is_bound(state: &State, service: &Name) -> bool {
    state
        .config()
        .is_some_and(|config| is_bound_by(&config, service))
}

fn is_bound_by(config: &ServingConfig, service: &Name) -> bool {
    let configured = config.services.get(service);
    if configured.is_some_and(|configured| configured.engine.is_some()) {
        return true;
    }
    let mut routes = config.routes.iter();
    routes.any(|route| {
        route.kind == RouteKind::Stream { resumable: true }
            && route.shares.iter().any(|share| share.service == *service)
    })
}

/// Returns the places for new streams of each version, by service.
fn capacities(state: &State) -> BTreeMap<Name, ServiceCapacities> {
    let mut capacities: BTreeMap<Name, ServiceCapacities> = BTreeMap::new();
    let Some(config) = state.config() else {
        return capacities;
    };
    let registry = state.server_registry.borrow();
    for server in registry.servers() {
        if server.stage == Stage::Prefill {
            continue;
        }
        if !capacities.contains_key(&server.service) && !is_bound_by(&config, &server.service) {
            continue;
        }
        let places = capacities.entry(server.service.clone()).or_default();
        let slots = if server.leaving { 0 } else { server.slots };
        *places.entry(server.version.clone()).or_default() += u64::from(slots);
    }
    capacities
}

/// Returns the version of a service's servers if all have the same; `None` if none is listed.
pub(super) fn sole_listed_version(
    state: &State,
    service: &Name,
) -> Result<Option<Name>, UnknownVersion> {
    let registry = state.server_registry.borrow();
    let servers = registry.servers();
    let servers = servers.filter(|server| server.service == *service);
    let versions: BTreeSet<&Name> = servers.map(|server| &server.version).collect();
    if versions.len() > 1 {
        return Err(UnknownVersion::NoTable);
    }
    Ok(versions.first().map(|version| (*version).clone()))
}
