//! The staging duty: orders engines to change their stage according to the load.
//!
//! Each order names the engine state on which it is based, so that an order that arrives late or
//! twice has no effect.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_platform::{Authority, PlatformError, call_on_new_connection};
use pomeloridge_policy::dispatch::{Stage, Target};
use pomeloridge_policy::stage_assignment::{EngineView, StageChange, plan_stage_changes};

use crate::ports::StageOrder;
use crate::state::State;

/// Interval between checks of the engines.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which an engine counts as changing to the requested stage, unless its entry shows the
/// new stage earlier.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Minimum interval between orders while there is load.
const LOADED_ORDER_INTERVAL: Duration = Duration::from_secs(5);

/// Orders stages while this node holds the duties.
pub(crate) async fn run(state: Rc<State>, authority: Authority) {
    // Requested stages that the engines' entries may not show yet, and when they were ordered.
    let mut pending: HashMap<Name, (Stage, Instant)> = HashMap::new();
    let mut last_order: Option<Instant> = None;
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        let now = state.now();
        pending.retain(|_, (_, at)| now.saturating_duration_since(*at) < CHANGE_TIMEOUT);
        publish_changing(&state, &pending);
        let Some(config) = state.config() else {
            continue;
        };
        if !authority.holds() {
            continue;
        }
        let engines = config.services.values();
        for service in engines.filter(|service| service.engine.is_some()) {
            let load = state.stage_load(&service.name);
            let is_recent = |at| now.saturating_duration_since(at) < LOADED_ORDER_INTERVAL;
            if !load.is_idle() && last_order.is_some_and(is_recent) {
                continue;
            }
            for change in plan_stage_changes(&engine_views(&state, &service.name, &pending), load) {
                match order(&state, &authority, &change).await {
                    Ok(()) => {
                        pending.insert(change.id, (change.stage, state.now()));
                        publish_changing(&state, &pending);
                        last_order = Some(state.now());
                    }
                    Err(error) => log::warn!(
                        "stage server={} outcome=failed reason=\"{error}\"",
                        change.id
                    ),
                }
            }
        }
    }
}

/// Takes engines that change their stage out of use on this node, and on peers with the next
/// heartbeat.
fn publish_changing(state: &State, pending: &HashMap<Name, (Stage, Instant)>) {
    let mut dispatcher = state.dispatcher.borrow_mut();
    let changing: Vec<u32> = dispatcher
        .targets()
        .map(|(_, target)| target)
        .filter(|target| {
            let order = pending.get(&target.info.id);
            order.is_some_and(|(stage, _)| *stage != target.info.stage)
        })
        .map(Target::hash)
        .collect();
    dispatcher.mark_stage_changing(&changing, state.now());
    *state.changing_engines.borrow_mut() = changing;
}

/// Returns the engines of a service that can take orders, the input to the staging policy.
fn engine_views(
    state: &State,
    service: &Name,
    pending: &HashMap<Name, (Stage, Instant)>,
) -> Vec<EngineView> {
    let now = state.now();
    let dispatcher = state.dispatcher.borrow();
    let engines = dispatcher
        .targets()
        .map(|(_, target)| target)
        .filter(|target| target.info.service == *service && !target.is_leaving())
        .filter(|target| takes_orders(target, now));
    let views = engines.map(|target| {
        let new_stage = pending.get(&target.info.id).map(|(stage, _)| *stage);
        EngineView {
            id: target.info.id.clone(),
            data_centre: target.info.data_centre.clone(),
            stage: new_stage.unwrap_or(target.info.stage),
            running: target.running(now),
            changing: new_stage.is_some_and(|stage| stage != target.info.stage),
            ejected: target.is_ejected(),
        }
    });
    views.collect()
}

/// Returns whether an engine takes orders. One that asked this node to back off, or that takes so
/// few requests that this node can't send to it in every turn, gets none.
fn takes_orders(target: &Target, now: Instant) -> bool {
    target.backoff(now).is_none() && !target.is_scarce()
}

/// Checks directly before a call whether an engine still takes orders, and counts the call against
/// its limit.
fn begin_call(state: &State, engine: &Name) -> bool {
    let now = state.now();
    let mut dispatcher = state.dispatcher.borrow_mut();
    let key = dispatcher
        .targets()
        .find(|(_, target)| target.info.id == *engine && takes_orders(target, now))
        .map(|(key, _)| key);
    key.is_some_and(|key| dispatcher.try_send(key, now))
}

/// Orders an engine to change its stage, unless it is busy with an order or has the stage already.
async fn order(
    state: &State,
    authority: &Authority,
    change: &StageChange,
) -> Result<(), PlatformError> {
    let address = {
        let dispatcher = state.dispatcher.borrow();
        let mut targets = dispatcher.targets().map(|(_, target)| target);
        let target = targets.find(|target| target.info.id == change.id);
        target.ok_or(PlatformError::NotFound)?.info.address
    };
    let may_call = || begin_call(state, &change.id);
    let port = &state.ports.server;
    let report = call_on_new_connection(address, &(port.report)(), CALL_TIMEOUT, may_call).await?;
    let engine = (port.state)(&report.body);
    let engine = engine.ok_or_else(|| PlatformError::Malformed("engine report".to_owned()))?;
    if engine.busy || engine.stage == change.stage {
        return Ok(());
    }
    let permit = authority.permit().ok_or(PlatformError::Lapsed)?;
    let order = StageOrder {
        server: change.id.clone(),
        stage: change.stage,
        expected_orders: engine.accepted_orders,
        holder: state.name.clone(),
        epoch: permit.epoch(),
    };
    let message = (port.order)(&order);
    let call = call_on_new_connection(address, &message, CALL_TIMEOUT, || {
        may_call() && permit.allowed()
    });
    let answer = state.timed_duty_call(call).await?;
    log::info!(
        "stage server={} from={} to={} expected={} epoch={} status={}",
        change.id,
        engine.stage,
        change.stage,
        engine.accepted_orders,
        order.epoch,
        answer.status.as_u16()
    );
    Ok(())
}
