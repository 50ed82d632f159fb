//! What the gateway needs of a platform, as plain functions that translate.

use pomeloridge_base::LocalFuture;
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::{Incoming, Outgoing, Request, Response};
use pomeloridge_base::id::{Epoch, Name};
use pomeloridge_base::refusal::Refusal;
use pomeloridge_platform::{Event, Object, ObjectForm, PlatformError};
use pomeloridge_policy::dispatch::{Stage, TargetInfo};

use crate::config::ServingConfig;
use crate::request::{Dispatch, Handle, Inbound, ReplyHead};

/// Callers.
#[derive(Clone, Copy)]
pub struct IngressPort {
    /// Reads a request; an error is its final answer.
    pub decode: fn(Request) -> Result<Inbound, ErrorKind>,
    /// The id for the log of a request that can't be read.
    pub request_id: fn(&Request) -> Option<String>,
    /// Writes a refusal of the gateway's own.
    pub refusal: fn(&Refusal, Option<&Inbound>) -> Response,
    /// Whether a request asks if the node takes callers.
    pub is_readiness: fn(&Request) -> bool,
}

/// Backend servers.
#[derive(Clone, Copy)]
pub struct ServerPort {
    /// Writes a request for a server.
    pub encode: fn(&Inbound, &Dispatch<'_>) -> Outgoing,
    /// Reads the head of an answer.
    pub head: fn(Incoming) -> ReplyHead,
    /// Reads the answer to a prefill.
    pub handle: fn(&[u8]) -> Option<Handle>,
    /// Frees memory that was read and not taken.
    pub release: fn(&str) -> Outgoing,
    /// Asks an engine for its state.
    pub report: fn() -> Outgoing,
    /// Reads an engine's state.
    pub state: fn(&[u8]) -> Option<EngineState>,
    /// Orders an engine to another stage.
    pub order: fn(&StageOrder) -> Outgoing,
}

/// The object service.
#[derive(Clone, Copy)]
pub struct StorePort {
    /// Form of the calls.
    pub form: ObjectForm,
    /// Key of the configuration.
    pub config_key: &'static str,
    /// Prefix of the configuration's key.
    pub config_prefix: &'static str,
    /// Prefix of the servers' entries.
    pub servers_prefix: &'static str,
    /// Reads the configuration.
    pub config: fn(&Object) -> Result<ServingConfig, String>,
    /// Reads a server's entry; the name is what follows the prefix.
    pub server: fn(&Object) -> Result<TargetInfo, String>,
    /// The name of the server that an event is about.
    pub server_name: fn(&Event) -> Name,
}

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// Stage.
    pub stage: Stage,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders accepted since its start.
    pub accepted_orders: u64,
}

/// An order to an engine, carried out only if it is in the state that was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageOrder {
    /// Engine.
    pub server: Name,
    /// Stage that it is to have.
    pub stage: Stage,
    /// Orders that the engine had accepted when it was asked.
    pub expected_orders: u64,
    /// Node that orders.
    pub holder: Name,
    /// Fencing token.
    pub epoch: Epoch,
}

/// A usage report, as it was sealed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Number of the window since the Unix epoch.
    pub window: u64,
    /// Requests that began to run, by client account.
    pub counts: Vec<(Name, u64)>,
    /// Node that reports.
    pub holder: Name,
    /// Fencing token.
    pub epoch: Epoch,
}

/// An order for a number of servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    /// Service.
    pub service: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Number wanted.
    pub servers: u32,
    /// Whether they may be reclaimed.
    pub preemptible: bool,
    /// Node that orders.
    pub holder: Name,
    /// Fencing token.
    pub epoch: Epoch,
}

/// A check that must hold directly before a call is written.
pub type SendGuard = Box<dyn FnOnce() -> bool>;
/// The outcome of a call that a duty's holder makes.
pub type DutyFuture = LocalFuture<Result<(), PlatformError>>;

/// The calls that only the holder of a duty makes.
pub struct DutyPort {
    /// Reports a usage window.
    pub usage: Box<dyn Fn(UsageReport, SendGuard) -> DutyFuture>,
    /// Orders servers.
    pub scale: Box<dyn Fn(ScaleOrder, SendGuard) -> DutyFuture>,
}

/// A platform.
pub struct Ports {
    /// Callers.
    pub ingress: IngressPort,
    /// Backend servers.
    pub server: ServerPort,
    /// The object service.
    pub store: StorePort,
    /// Duties.
    pub duty: DutyPort,
}
