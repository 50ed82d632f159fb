//! Orders to model engines.
//!
//! Each order is sent on a new connection with linger 0 and a TCP user timeout within
//! the lease, so that the kernel can't deliver it after the sender's authority has
//! ended.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_base::http::{ConnectOptions, Connection, Fault, OutgoingRequest, call};
use pomeloridge_base::id::{Epoch, Name};

use crate::load::parse_role;
use crate::wire::{WireOrder, WireOrderResponse, WireState};
use crate::{BackendError, Role};

/// Action of an engine order.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum OrderAction {
    /// Switch to a role.
    #[display("role {_0}")]
    Role(Role),
    /// Load a model, adapter or version.
    #[display("load {_0}")]
    Load(Name),
    /// Finish running requests and refuse new ones.
    #[display("drain")]
    Drain,
    /// Accept requests again.
    #[display("resume_service")]
    Resume,
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Order ID; a repeat with the same ID is the same order.
    pub id: String,
    /// Fencing epoch of the lease holder.
    pub fence: Epoch,
    /// Requested action.
    pub action: OrderAction,
}

/// Result of sending an order.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Accepted by the engine, now or at an earlier attempt.
    #[display("accepted")]
    Accepted,
    /// Refused, as the engine has received a higher fencing epoch.
    #[display("stale fence; engine has seen {_0}")]
    Stale(Epoch),
    /// Refused while another order is running on the engine.
    #[display("busy with {_0}")]
    Busy(String),
    /// Not sent, as the authority ended first.
    #[display("authority ended; not sent")]
    NotSent,
    /// Sent, without a conclusive answer.
    #[display("unknown")]
    Unknown,
    /// Not sent, as the engine could not be reached.
    #[display("unreachable")]
    Unreachable,
}

/// Current state of an engine, without the lag of load reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// Current role.
    pub role: Role,
    /// Loaded models.
    pub models: Vec<Name>,
    /// ID of the running order, if any.
    pub order: Option<String>,
    /// Highest fencing epoch received.
    pub fence: Option<Epoch>,
}

/// Sends an order, unless `time_left` returns zero immediately before the write.
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
    match connection.read_response(deadline).await {
        Ok(answer) => parse_outcome(answer.status.as_u16(), &answer.body),
        Err(_) => OrderOutcome::Unknown,
    }
}

/// Fetches an engine's state.
pub async fn read_state(
    address: SocketAddr,
    timeout: Duration,
) -> Result<EngineState, BackendError> {
    let answer = call(address, &OutgoingRequest::get("/state"), timeout).await?;
    let wire: WireState = serde_json::from_slice(&answer.body).map_err(|_| BackendError::Broken)?;
    Ok(EngineState {
        role: parse_role(&wire.role).ok_or(BackendError::Broken)?,
        models: wire.models,
        order: wire.order,
        fence: wire.fence,
    })
}

fn encode(order: &EngineOrder) -> OutgoingRequest {
    let (action, role, model) = match &order.action {
        OrderAction::Role(role) => ("role", Some(role.to_string()), None),
        OrderAction::Load(model) => ("load", None, Some(model.as_str())),
        OrderAction::Drain => ("drain", None, None),
        OrderAction::Resume => ("resume_service", None, None),
    };
    OutgoingRequest::new(http::Method::POST, "/orders").json(&WireOrder {
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
