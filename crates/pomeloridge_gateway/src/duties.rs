//! The duties of which the fleet has one holder at a time, by one lease.
//!
//! A usage window is sealed in the object service before it is reported, and
//! only ever reported as it was sealed.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::id::{Incarnation, Name};
use pomeloridge_platform::lease::{Absent, Claim};
use pomeloridge_platform::usage::{Figures, Seal, seal};
use pomeloridge_platform::{Authority, Keeper, PlatformError};
use serde_json::Value;

use crate::ports::UsageReport;
use crate::state::State;
use crate::usage::EndedWindow;
use crate::{peers, scale_duty, stage_duty};

/// Pause between two looks at the lease while it is held.
const HELD_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two looks at the lease of another node.
const FREE_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two looks for windows that are due.
const USAGE_PAUSE: Duration = Duration::from_millis(500);
/// Windows that are reported again after a change of holder.
const WINDOWS_BACK: u64 = 3;

/// Starts the duties' tasks.
pub(crate) fn start(state: &Rc<State>) {
    let claim = Claim {
        duty: Name::from("fleet"),
        holder: state.name.clone(),
        incarnation: Incarnation(state.life_id),
        term: state.settings().time("lease", "term_ms"),
        margin: state.settings().time("lease", "margin_ms"),
        absent: Absent::NeverHeld,
    };
    let keeper = Keeper::new(&state.store, claim);
    let authority = keeper.authority();
    monoio::spawn(keep(Rc::clone(state), keeper));
    monoio::spawn(report_usage(Rc::clone(state), authority.clone()));
    monoio::spawn(scale_duty::run(Rc::clone(state), authority.clone()));
    monoio::spawn(stage_duty::run(Rc::clone(state), authority));
}

/// Keeps the lease; nodes that hear its holder leave the object service alone.
async fn keep(state: Rc<State>, mut keeper: Keeper) {
    let authority = keeper.authority();
    let mut free_since = None;
    while !state.life.is_stopping() {
        let (now, held) = (state.now(), authority.holds());
        let free = !held && !state.peers.borrow().has_live_duty_holder(now);
        free_since = free.then(|| free_since.unwrap_or(now));
        let free = free_since
            .is_some_and(|since| state.is_candidate(now.saturating_duration_since(since)));
        if held || free {
            keeper.step().await;
        }
        let epoch = authority.holds().then(|| authority.epoch());
        if state.duty.replace(epoch) != epoch && epoch.is_some() {
            peers::announce(&state);
        }
        let pause = match (held, free) {
            (true, _) => HELD_PAUSE,
            (false, true) => FREE_PAUSE.max(state.retry_pause()),
            (false, false) => FREE_PAUSE,
        };
        monoio::time::sleep(pause).await;
    }
    state.duty.set(None);
    keeper.give_up().await;
}

/// Reports each window once it has ended, while this node holds the duties.
async fn report_usage(state: Rc<State>, authority: Authority) {
    let mut reported = BTreeSet::new();
    let mut epoch = None;
    loop {
        monoio::time::sleep(USAGE_PAUSE).await;
        if !authority.holds() {
            continue;
        }
        if epoch.replace(authority.epoch()) != Some(authority.epoch()) {
            reported.clear();
        }
        let current = state.current_window(state.now());
        for index in current.saturating_sub(WINDOWS_BACK)..current {
            if reported.contains(&index) || !is_settled(&state, index) {
                continue;
            }
            match report(&state, &authority, index).await {
                Ok(()) => {
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

/// Whether a window may be reported now.
fn is_settled(state: &State, index: u64) -> bool {
    let now = state.now();
    let now_ms = state.time.borrow().unix_ms(now);
    let late = state.settings().time("usage", "late_s");
    let window = EndedWindow::new(index, state.usage_window, late, now, now_ms);
    window.is_some_and(|window| window.is_settled(state.peers.borrow().usage_times(index), now))
}

async fn report(state: &State, authority: &Authority, window: u64) -> Result<(), PlatformError> {
    let permit = authority.permit().ok_or(PlatformError::Lapsed)?;
    let total = state.usage.borrow().total(window);
    let figures: BTreeMap<Name, Figures> = total
        .into_iter()
        .map(|(account, requests)| {
            let figures = Figures {
                requests,
                ..Figures::default()
            };
            (account, figures)
        })
        .collect();
    let sealed = Seal::new(window.to_string(), &figures, Value::Null)?;
    let sealed = seal(&state.store, &permit, sealed).await?;
    let counts = sealed.figures()?.into_iter();
    let report = UsageReport {
        window,
        counts: counts
            .map(|(account, figures)| (account, figures.requests))
            .collect(),
        holder: state.name.clone(),
        epoch: permit.epoch(),
    };
    let requests: u64 = report.counts.iter().map(|(_, count)| count).sum();
    let epoch = permit.epoch();
    let allowed = Box::new(move || permit.allowed());
    let reported = (state.ports.duty.usage)(report, allowed);
    state.duty_call(reported).await?;
    log::info!("usage window={window} outcome=reported requests={requests} epoch={epoch}");
    Ok(())
}
