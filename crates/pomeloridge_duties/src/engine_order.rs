//! Sends orders to engines, and checks whether they have finished.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_backend::{EngineOrder, OrderAction, OrderOutcome, read_load, read_state};
use pomeloridge_base::meter::Meter;
use pomeloridge_platform::intent::{self, StoredIntent};
use pomeloridge_platform::{Authority, Client, Permit, PlatformError};

use crate::goal::Goal;

/// Timeout for reading an engine's state or load.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the response to an order.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Client, authority and metrics with which a lease holder runs one round of the duty.
#[derive(Clone)]
pub(crate) struct DutyContext {
    pub(crate) client: Client,
    pub(crate) authority: Authority,
    pub(crate) permit: Permit,
    pub(crate) meter: Meter,
}

impl DutyContext {
    pub(crate) fn now(&self) -> Instant {
        self.client.clock().now()
    }

    fn time_left_to_send(&self) -> Duration {
        self.permit.left().min(SEND_TIMEOUT)
    }
}

/// Sends the order of a step. Returns whether the engine has accepted it, now or earlier.
pub(crate) async fn send(
    context: &DutyContext,
    address: SocketAddr,
    stored: &StoredIntent<Goal>,
    action: &OrderAction,
) -> Result<bool, PlatformError> {
    let order = EngineOrder {
        id: format!("{}.{}", stored.intent.order_id, step_name(action)),
        fence: stored.intent.epoch,
        action: action.clone(),
    };
    let write = async |_: &intent::Intent<Goal>, _: &Permit| {
        Ok(pomeloridge_backend::send_order(address, &order, || context.time_left_to_send()).await)
    };
    let outcome = intent::send(&context.permit, stored, write).await?;
    log::info!(
        "placement engine={} order={} action=\"{action}\" outcome=\"{outcome}\"",
        stored.slot.id(),
        order.id
    );
    Ok(match outcome {
        OrderOutcome::Accepted => true,
        OrderOutcome::Stale(_)
        | OrderOutcome::Busy(_)
        | OrderOutcome::NotSent
        | OrderOutcome::Unknown
        | OrderOutcome::Unreachable => false,
    })
}

/// Returns the suffix that makes the id of each step's order unique within its goal.
fn step_name(action: &OrderAction) -> &'static str {
    match action {
        OrderAction::Drain => "drain",
        OrderAction::Role(_) => "role",
        OrderAction::Load(_) => "load",
        OrderAction::Resume => "resume",
    }
}

/// Progress of an accepted order.
pub(crate) enum OrderProgress {
    /// The engine is still carrying it out.
    Running,
    /// It has been carried out.
    Finished,
    /// The engine restarted and lost the order.
    Lost,
}

/// Reads the progress of an accepted order from the engine. A drain counts as finished if
/// it is `overdue`.
pub(crate) async fn check_progress(
    address: SocketAddr,
    action: &OrderAction,
    overdue: bool,
) -> OrderProgress {
    if *action == OrderAction::Drain {
        // `leaving` is unset in a load report from before the drain.
        let load = read_load(address, READ_TIMEOUT).await;
        let idle = load.is_ok_and(|load| load.leaving && load.running == 0 && load.queued == 0);
        return if idle || overdue {
            OrderProgress::Finished
        } else {
            OrderProgress::Running
        };
    }
    let Ok(state) = read_state(address, READ_TIMEOUT).await else {
        return OrderProgress::Running;
    };
    let is_done = match action {
        OrderAction::Role(role) => state.role == *role,
        OrderAction::Load(model) => state.models.contains(model),
        OrderAction::Drain | OrderAction::Resume => true,
    };
    match (state.order.is_some(), is_done) {
        (true, _) => OrderProgress::Running,
        (false, true) => OrderProgress::Finished,
        (false, false) => OrderProgress::Lost,
    }
}
