//! One order to an engine: sending it, and finding out whether it has ended.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_backend::{EngineOrder, OrderAction, OrderOutcome, read_load, read_state};
use pomeloridge_base::meter::Meter;
use pomeloridge_platform::intent::{self, Kept};
use pomeloridge_platform::{Authority, Client, Permit, PlatformError};

use crate::goal::Goal;

/// Time that a read of an engine's state or load may take.
const READ_TIME: Duration = Duration::from_millis(500);
/// Time that one order may take to be answered.
const SEND_TIME: Duration = Duration::from_secs(1);

/// What one holding of the lease acts with.
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

    fn left(&self) -> Duration {
        self.permit.left().min(SEND_TIME)
    }
}

/// Sends the order of a step; true if the engine took it, now or before.
pub(crate) async fn send(
    context: &DutyContext,
    address: SocketAddr,
    kept: &Kept<Goal>,
    action: &OrderAction,
) -> Result<bool, PlatformError> {
    let order = EngineOrder {
        id: format!("{}.{}", kept.intent.order_id, step_word(action)),
        fence: kept.intent.epoch,
        action: action.clone(),
    };
    let write = async |_: &intent::Intent<Goal>, _: &Permit| {
        Ok(pomeloridge_backend::send_order(address, &order, || context.left()).await)
    };
    let outcome = intent::send(&context.permit, kept, write).await?;
    log::info!(
        "placement engine={} order={} action=\"{action}\" outcome=\"{outcome}\"",
        kept.slot.id(),
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

/// Tells the orders of one goal from each other.
fn step_word(action: &OrderAction) -> &'static str {
    match action {
        OrderAction::Drain => "drain",
        OrderAction::Role(_) => "role",
        OrderAction::Load(_) => "load",
        OrderAction::Resume => "resume",
    }
}

/// How far an accepted order has come.
pub(crate) enum Progress {
    /// It runs.
    Running,
    /// It has ended.
    Ended,
    /// The engine runs nothing and has not done it: it was started anew.
    Forgotten,
}

/// Whether an accepted order has ended, by the engine's own word.
pub(crate) async fn ended(address: SocketAddr, action: &OrderAction, late: bool) -> Progress {
    if *action == OrderAction::Drain {
        // A report from before the drain does not say that the engine is leaving.
        let load = read_load(address, READ_TIME).await;
        let idle = load.is_ok_and(|load| load.leaving && load.running == 0 && load.queued == 0);
        return if idle || late {
            Progress::Ended
        } else {
            Progress::Running
        };
    }
    let Ok(state) = read_state(address, READ_TIME).await else {
        return Progress::Running;
    };
    let done = match action {
        OrderAction::Role(role) => state.role == *role,
        OrderAction::Load(model) => state.models.contains(model),
        OrderAction::Drain | OrderAction::Resume => true,
    };
    match (state.order.is_some(), done) {
        (true, _) => Progress::Running,
        (false, true) => Progress::Ended,
        (false, false) => Progress::Forgotten,
    }
}
