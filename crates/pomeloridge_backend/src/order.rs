//! Orders to model engines.
//!
//! Each order goes out on a connection of its own with linger 0 and a user
//! timeout within the lease, so that the kernel can't deliver it after the
//! authority behind it has ended.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_base::http::{ConnectOptions, Connection, Fault, Outgoing, call};
use pomeloridge_base::id::{Epoch, Name};

use crate::load::parse_role;
use crate::wire::{WireOrder, WireOrderResponse, WireState};
use crate::{BackendError, Role};

/// What an engine is told to do.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum OrderAction {
    /// Take a role.
    #[display("role {_0}")]
    Role(Role),
    /// Load a model, adapter or version.
    #[display("load {_0}")]
    Load(Name),
    /// Finish what runs and take nothing new.
    #[display("drain")]
    Drain,
    /// Take work again.
    #[display("resume_service")]
    Resume,
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Identifier; a repeat under the same one is the same order.
    pub id: String,
    /// Fencing number of the holder.
    pub fence: Epoch,
    /// What to do.
    pub action: OrderAction,
}

/// What came of an order.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it, now or before.
    #[display("accepted")]
    Accepted,
    /// The engine has seen a greater fencing number.
    #[display("stale fence; engine has seen {_0}")]
    Stale(Epoch),
    /// Another order still runs on the engine.
    #[display("busy with {_0}")]
    Busy(String),
    /// Authority ended before the write; nothing was sent.
    #[display("authority ended; not sent")]
    NotSent,
    /// It was sent, and no answer came.
    #[display("unknown")]
    Unknown,
    /// The engine could not be reached; nothing was sent.
    #[display("unreachable")]
    Unreachable,
}

/// An engine's state, without lag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// Role.
    pub role: Role,
    /// Models that are loaded.
    pub models: Vec<Name>,
    /// The order that runs, if any.
    pub order: Option<String>,
    /// Greatest fencing number seen.
    pub fence: Option<Epoch>,
}

/// Sends an order if `left` still gives time directly before the write.
pub async fn send_order(
    address: SocketAddr,
    order: &EngineOrder,
    time_left: impl Fn() -> Duration,
) -> OrderOutcome {
    let window = time_left();
    if window.is_zero() {
        return OrderOutcome::NotSent;
    }
    let options = ConnectOptions {
        timeout: window.min(ConnectOptions::default().timeout),
        user_timeout: Some(window),
        linger_zero: true,
        ..ConnectOptions::default()
    };
    let Ok(mut connection) = Connection::open(address, options).await else {
        return OrderOutcome::Unreachable;
    };
    let deadline = Instant::now() + window;
    let message = encode(order);
    let sent = connection
        .send_if(&message, deadline, || !time_left().is_zero())
        .await;
    match sent {
        Ok(()) => {}
        Err(Fault::Timeout) if !connection.written() => return OrderOutcome::NotSent,
        Err(_) => return OrderOutcome::Unknown,
    }
    match connection.answer(deadline).await {
        Ok(answer) => parse_outcome(answer.status.as_u16(), &answer.body),
        Err(_) => OrderOutcome::Unknown,
    }
}

/// Reads an engine's state.
pub async fn read_state(
    address: SocketAddr,
    timeout: Duration,
) -> Result<EngineState, BackendError> {
    let answer = call(address, &Outgoing::get("/state"), timeout).await?;
    let wire: WireState = serde_json::from_slice(&answer.body).map_err(|_| BackendError::Broken)?;
    Ok(EngineState {
        role: parse_role(&wire.role).ok_or(BackendError::Broken)?,
        models: wire.models,
        order: wire.order,
        fence: wire.fence,
    })
}

fn encode(order: &EngineOrder) -> Outgoing {
    let (action, role, model) = match &order.action {
        OrderAction::Role(role) => ("role", Some(role.to_string()), None),
        OrderAction::Load(model) => ("load", None, Some(model.as_str())),
        OrderAction::Drain => ("drain", None, None),
        OrderAction::Resume => ("resume_service", None, None),
    };
    Outgoing::new(http::Method::POST, "/orders").json(&WireOrder {
        order_id: &order.id,
        fence: order.fence,
        action,
        role: role.as_deref(),
        model,
    })
}

fn parse_outcome(status: u16, body: &[u8]) -> OrderOutcome {
    if status == 200 {
        return OrderOutcome::Accepted;
    }
    let answer: Option<WireOrderResponse> = serde_json::from_slice(body).ok();
    match answer {
        Some(WireOrderResponse { busy: Some(id), .. }) => OrderOutcome::Busy(id),
        Some(WireOrderResponse {
            fence: Some(fence), ..
        }) => OrderOutcome::Stale(fence),
        _ => OrderOutcome::Unknown,
    }
}
