//! Duties: tasks that only one node of the fleet, the holder of a lease, carries out at a
//! time. They are usage reports, scaling and engine stages.
//!
//! A usage window is sealed in the object service before it is reported, and is only ever
//! reported with the sealed counts.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::id::{Incarnation, Name};
use pomeloridge_platform::lease::{LeaseConfig, MissingLease};
use pomeloridge_platform::usage::{Seal, UsageCounts, find_seal, seal};
use pomeloridge_platform::{Authority, LeaseManager, PlatformError};
use serde_json::Value;

use crate::ports::UsageReport;
use crate::state::State;
use crate::usage::{EndedWindow, WINDOWS_KEPT};
use crate::{peers, scale_duty, stage_duty};

/// Interval between lease checks while this node holds the lease.
const HELD_INTERVAL: Duration = Duration::from_millis(250);
/// Part of the lease's term after which a renewal that the holder has not told of is overdue; it
/// renews each third of the term.
const RENEWAL_PATIENCE_DIVISOR: u32 = 2;
/// Interval between lease checks while this node does not hold the lease.
const FREE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between checks for windows that are due.
const USAGE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of latest windows that are checked; after a change of holder, those already reported
/// are reported again.
const WINDOWS_CHECKED: u64 = 3;

/// Starts the duties' tasks.
pub(crate) fn start(state: &Rc<State>) {
    let config = LeaseConfig {
        duty: Name::from("fleet"),
        holder: state.name.clone(),
        incarnation: Incarnation(state.incarnation),
        term: state.settings().time("lease", "term_ms"),
        margin: state.settings().time("lease", "margin_ms"),
        when_missing: MissingLease::NeverHeld,
    };
    let lease = LeaseManager::new(&state.store, config);
    let authority = lease.authority();
    monoio::spawn(maintain_lease(Rc::clone(state), lease));
    monoio::spawn(report_usage(Rc::clone(state), authority.clone()));
    monoio::spawn(scale_duty::run(Rc::clone(state), authority.clone()));
    monoio::spawn(stage_duty::run(Rc::clone(state), authority));
}

/// Acquires and renews the lease. Nodes that receive messages of its holder make no lease calls,
/// except that the first candidates read it while a renewal is overdue: the holder may have been
/// lost before it told of one.
async fn maintain_lease(state: Rc<State>, mut lease: LeaseManager) {
    let authority = lease.authority();
    let mut free_since = None;
    while !state.lifecycle.is_stopping() {
        let (now, is_held) = (state.now(), authority.holds());
        let told = state.peers.borrow().told_lease();
        if let Some((version, heard)) = told {
            lease.record_told(version, heard);
        }
        let is_free = !is_held && !state.peers.borrow().has_live_duty_holder(now);
        free_since = is_free.then(|| free_since.unwrap_or(now));
        let patience = state.settings().time("lease", "term_ms") / RENEWAL_PATIENCE_DIVISOR;
        let is_overdue = !is_held
            && told.is_some_and(|(_, heard)| now.saturating_duration_since(heard) >= patience);
        let unheld_for = match free_since {
            Some(since) => Some(now.saturating_duration_since(since)),
            None => is_overdue.then_some(Duration::ZERO),
        };
        let should_claim = unheld_for.is_some_and(|time| state.is_duty_candidate(time));
        if is_held || should_claim {
            lease.step().await;
        }
        publish_tenure(&state, &lease, &authority);
        let interval = match (is_held, should_claim) {
            (true, _) => HELD_INTERVAL,
            (false, true) => wait_for_takeover(&lease).max(state.retry_delay()),
            (false, false) => wait_for_takeover(&lease),
        };
        monoio::time::sleep(interval).await;
    }
    state.duty_epoch.set(None);
    state.duty_lease.set(None);
    lease.release().await;
}

/// Returns the time until the lease is checked again by a node that does not hold it.
fn wait_for_takeover(lease: &LeaseManager) -> Duration {
    match lease.takeover_delay() {
        Duration::ZERO => FREE_INTERVAL,
        delay => FREE_INTERVAL.min(delay),
    }
}

/// Tells all peers that this node has acquired the lease, and the first candidates for it that it
/// was renewed.
fn publish_tenure(state: &Rc<State>, lease: &LeaseManager, authority: &Authority) {
    let epoch = authority.holds().then(|| authority.epoch());
    let version = lease.written_version();
    let is_written = state.duty_lease.replace(version) != version && version.is_some();
    if state.duty_epoch.replace(epoch) != epoch && epoch.is_some() {
        peers::announce(state);
    } else if is_written {
        peers::tell_lease(state);
    }
}

/// Reports each usage window after its end, while this node holds the duties.
async fn report_usage(state: Rc<State>, authority: Authority) {
    let mut reported = BTreeSet::new();
    let mut seals = BTreeMap::new();
    let mut epoch = None;
    loop {
        monoio::time::sleep(USAGE_INTERVAL).await;
        if !authority.holds() {
            continue;
        }
        if epoch.replace(authority.epoch()) != Some(authority.epoch()) {
            reported.clear();
        }
        let current = state.usage_window_at(state.now());
        for index in current.saturating_sub(WINDOWS_CHECKED)..current {
            if reported.contains(&index) {
                continue;
            }
            let Some(window) = ended_window(&state, index) else {
                continue;
            };
            let now = state.now();
            if !window.is_reportable(state.peers.borrow().usage_times(index), now) {
                continue;
            }
            match report(&state, &authority, index, window, &mut seals).await {
                Ok(()) => {
                    reported.insert(index);
                }
                Err(error @ PlatformError::InDoubt) => {
                    log::warn!("usage window={index} outcome=skipped reason=\"{error}\"");
                    reported.insert(index);
                }
                Err(error) => {
                    log::warn!("usage window={index} outcome=failed reason=\"{error}\"");
                    break;
                }
            }
        }
    }
}

/// Returns a window if it has ended.
fn ended_window(state: &State, index: u64) -> Option<EndedWindow> {
    let now = state.now();
    let now_ms = state.fleet_clock.borrow().unix_ms(now);
    let report_deadline = state.settings().time("usage", "late_s");
    EndedWindow::new(index, state.usage_window, report_deadline, now, now_ms)
}

/// Seals a window's counts and reports them. `seals` are those that this node has confirmed; a
/// window's counts stay the same even if the object service has lost its seal.
async fn report(
    state: &State,
    authority: &Authority,
    window: u64,
    ended: EndedWindow,
    seals: &mut BTreeMap<u64, Seal>,
) -> Result<(), PlatformError> {
    let permit = authority.permit().ok_or(PlatformError::Lapsed)?;
    let (lost_before, held_since) = (state.store.lost_before(), authority.held_since());
    let sealed = match seals.get(&window) {
        Some(known) => seal(&state.store, &permit, known.clone()).await?,
        None if ended.may_lack_seal(lost_before, held_since) => {
            find_seal(&state.store, &permit, &window.to_string()).await?
        }
        None => seal(&state.store, &permit, counted(state, window)?).await?,
    };
    seals.insert(window, sealed.clone());
    while seals.len() as u64 > WINDOWS_KEPT {
        seals.pop_first();
    }
    let counts = sealed.counts()?.into_iter();
    let report = UsageReport {
        window,
        counts: counts
            .map(|(account, counts)| (account, counts.requests))
            .collect(),
        holder: state.name.clone(),
        epoch: permit.epoch(),
    };
    let counts = report.counts.iter().map(|(_, count)| *count);
    let requests = counts.fold(0, u64::saturating_add);
    let epoch = permit.epoch();
    let allowed = Box::new(move || permit.allowed());
    let reported = (state.ports.duty.usage)(report, allowed);
    state.timed_duty_call(reported).await?;
    log::info!("usage window={window} outcome=reported requests={requests} epoch={epoch}");
    Ok(())
}

/// Returns the seal of a window with the counts that this node knows.
fn counted(state: &State, window: u64) -> Result<Seal, PlatformError> {
    let total = state.usage.borrow().total(window);
    let accounts: BTreeMap<Name, UsageCounts> = total
        .into_iter()
        .map(|(account, requests)| {
            let counts = UsageCounts {
                requests,
                ..UsageCounts::default()
            };
            (account, counts)
        })
        .collect();
    Seal::new(window.to_string(), &accounts, Value::Null)
}
