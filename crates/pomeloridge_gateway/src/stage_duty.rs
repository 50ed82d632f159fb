//! The duty of ordering engines to the stage that the work asks for.
//!
//! Each order names the state that it was decided by, so that one that arrives
//! late, or is carried out twice, changes nothing.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_platform::{Authority, PlatformError, call_fresh};
use pomeloridge_policy::dispatch::{Stage, Target};
use pomeloridge_policy::staging::{EngineView, StageChange, changes};

use crate::ports::StageOrder;
use crate::state::State;

/// Pause between two looks at the engines.
const PAUSE: Duration = Duration::from_millis(500);
/// Time that a call to an engine takes at most.
const CALL_TIME: Duration = Duration::from_millis(800);
/// Time for which an ordered engine counts as having its new stage, if its entry does
/// not show that before.
const CHANGE_TIME: Duration = Duration::from_secs(6);
/// Time after an order within which no other is given while there is load.
const LOADED_PAUSE: Duration = Duration::from_secs(5);

/// Orders stages while this node holds the duties.
pub(crate) async fn run(state: Rc<State>, authority: Authority) {
    let mut ordered: HashMap<Name, (Stage, Instant)> = HashMap::new();
    let mut last: Option<Instant> = None;
    loop {
        monoio::time::sleep(PAUSE).await;
        let now = state.now();
        ordered.retain(|_, (_, at)| now.saturating_duration_since(*at) < CHANGE_TIME);
        tell_changing(&state, &ordered);
        let Some(config) = state.config() else {
            continue;
        };
        if !authority.holds() {
            continue;
        }
        let engines = config.services.values();
        for service in engines.filter(|service| service.engine.is_some()) {
            let load = state.stage_load(&service.name);
            let recent = |at| now.saturating_duration_since(at) < LOADED_PAUSE;
            if !load.is_idle() && last.is_some_and(recent) {
                continue;
            }
            for change in changes(&engine_views(&state, &service.name, &ordered), load) {
                match order(&state, &authority, &change).await {
                    Ok(()) => {
                        ordered.insert(change.id, (change.stage, state.now()));
                        tell_changing(&state, &ordered);
                        last = Some(state.now());
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

/// Keeps the engines under change out of use here, and at the peers by the next beat.
fn tell_changing(state: &State, ordered: &HashMap<Name, (Stage, Instant)>) {
    let mut dispatcher = state.dispatcher.borrow_mut();
    let changing: Vec<u32> = dispatcher
        .targets()
        .map(|(_, target)| target)
        .filter(|target| {
            let ordered = ordered.get(&target.info.id);
            ordered.is_some_and(|(stage, _)| *stage != target.info.stage)
        })
        .map(Target::hash)
        .collect();
    dispatcher.changing(&changing, state.now());
    *state.changing.borrow_mut() = changing;
}

fn engine_views(
    state: &State,
    service: &Name,
    ordered: &HashMap<Name, (Stage, Instant)>,
) -> Vec<EngineView> {
    let now = state.now();
    let dispatcher = state.dispatcher.borrow();
    let engines = dispatcher
        .targets()
        .map(|(_, target)| target)
        .filter(|target| target.info.service == *service && !target.is_leaving())
        // An order would be one more request.
        .filter(|target| target.away(now).is_none());
    let views = engines.map(|target| {
        let ordered = ordered.get(&target.info.id).map(|(stage, _)| *stage);
        EngineView {
            id: target.info.id.clone(),
            data_centre: target.info.data_centre.clone(),
            stage: ordered.unwrap_or(target.info.stage),
            running: target.running(now),
            changing: ordered.is_some_and(|stage| stage != target.info.stage),
        }
    });
    views.collect()
}

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
    let port = &state.ports.server;
    let report = call_fresh(address, &(port.report)(), CALL_TIME, || true).await?;
    let seen = (port.state)(&report.body);
    let seen = seen.ok_or_else(|| PlatformError::Malformed("an engine's report".to_owned()))?;
    if seen.busy || seen.stage == change.stage {
        return Ok(());
    }
    let permit = authority.permit().ok_or(PlatformError::Lapsed)?;
    let order = StageOrder {
        server: change.id.clone(),
        stage: change.stage,
        expected_orders: seen.accepted_orders,
        holder: state.name.clone(),
        epoch: permit.epoch(),
    };
    let message = (port.order)(&order);
    let ordered = call_fresh(address, &message, CALL_TIME, || permit.allowed());
    let answer = state.duty_call(ordered).await?;
    log::info!(
        "stage server={} from={} to={} expected={} epoch={} status={}",
        change.id,
        seen.stage,
        change.stage,
        seen.accepted_orders,
        order.epoch,
        answer.status.as_u16()
    );
    Ok(())
}
