//! The ports to a platform: functions that translate between the platform's messages and the
//! gateway's types.

use std::net::SocketAddr;

use bytes::Bytes;
use pomeloridge_base::LocalFuture;
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::{HttpResponseHead, OutgoingRequest, Request, Response};
use pomeloridge_base::id::{Epoch, Name};
use pomeloridge_base::refusal::Refusal;
use pomeloridge_platform::{Event, Object, ObjectCodec, PlatformError};
use pomeloridge_policy::dispatch::{Stage, TargetInfo};

use crate::config::ServingConfig;
use crate::request::{Dispatch, Inbound, KvHandle, ResponseHead};

/// Translates the messages of callers.
#[derive(Clone, Copy)]
pub struct IngressPort {
    /// Decodes a request; an error is its final answer.
    pub decode: fn(Request) -> Result<Inbound, ErrorKind>,
    /// Returns the id to log for a request that cannot be decoded.
    pub request_id: fn(&Request) -> Option<String>,
    /// Encodes a refusal by the gateway.
    pub refusal: fn(&Refusal, Option<&Inbound>) -> Response,
    /// Returns whether a request is a readiness probe.
    pub is_readiness: fn(&Request) -> bool,
}

/// Translates the messages of backend servers.
#[derive(Clone, Copy)]
pub struct ServerPort {
    /// Encodes a request to a server.
    pub encode: fn(&Inbound, &Dispatch<'_>) -> OutgoingRequest,
    /// Decodes the head of a response.
    pub head: fn(HttpResponseHead) -> ResponseHead,
    /// Decodes the response to a prefill.
    pub handle: fn(&[u8]) -> Option<KvHandle>,
    /// Encodes a call that frees the memory of a prefill that no decode has taken over.
    pub release: fn(&str) -> OutgoingRequest,
    /// Encodes a call that moves a run's KV cache to another engine.
    pub move_run: fn(&RunMove) -> OutgoingRequest,
    /// Decodes the response to such a call.
    pub moved: fn(&Response) -> MoveAnswer,
    /// Encodes a query of an engine's state.
    pub report: fn() -> OutgoingRequest,
    /// Decodes an engine's state.
    pub state: fn(&[u8]) -> Option<EngineState>,
    /// Encodes an order to change an engine's stage.
    pub order: fn(&StageOrder) -> OutgoingRequest,
}

/// Translates the objects of the object service.
#[derive(Clone, Copy)]
pub struct StorePort {
    /// Encodes and decodes the calls to the service.
    pub codec: ObjectCodec,
    /// Key of the configuration.
    pub config_key: &'static str,
    /// Prefix of the configuration's key.
    pub config_prefix: &'static str,
    /// Prefix of the keys of server entries.
    pub servers_prefix: &'static str,
    /// Decodes the configuration.
    pub config: fn(&Object) -> Result<ServingConfig, String>,
    /// Decodes a server's entry; the server's name is the rest of the key after the prefix.
    pub server: fn(&Object) -> Result<TargetInfo, String>,
    /// Returns the name of the server that a change is about.
    pub server_name: fn(&Event) -> Name,
}

/// A call that copies the KV cache of a run to another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunMove {
    /// Name of the engine on which the request runs.
    pub server: Name,
    /// Identifier of the caller's attempt that runs there.
    pub attempt: Bytes,
    /// Address of the other engine.
    pub target: SocketAddr,
    /// Whether the run is stopped first; otherwise it goes on.
    pub stops: bool,
}

/// The response to a call that moves a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MoveAnswer {
    /// Whether the other engine has the KV cache.
    pub is_done: bool,
    /// Identifier by which the run can be continued. In the response to a call that stops the run,
    /// it says that the run has stopped.
    pub handle: Option<String>,
}

/// The state that an engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// Current stage.
    pub stage: Stage,
    /// Whether the engine is carrying out an order.
    pub busy: bool,
    /// Number of orders accepted since its start.
    pub accepted_orders: u64,
}

/// An order to change an engine's stage, carried out only if the engine is still in the state
/// on which the order is based.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageOrder {
    /// Name of the engine.
    pub server: Name,
    /// New stage.
    pub stage: Stage,
    /// Number of orders that the engine had accepted when its state was read.
    pub expected_orders: u64,
    /// Node that sends the order.
    pub holder: Name,
    /// Fencing token.
    pub epoch: Epoch,
}

/// A usage report with the sealed counts of a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Number of the window since the Unix epoch.
    pub window: u64,
    /// Number of requests that began to run, by client account.
    pub counts: Vec<(Name, u64)>,
    /// Node that sends the report.
    pub holder: Name,
    /// Fencing token.
    pub epoch: Epoch,
}

/// An order that sets the number of a service's servers in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    /// Name of the service.
    pub service: Name,
    /// Name of the data centre.
    pub data_centre: Name,
    /// Desired number of servers.
    pub servers: u32,
    /// Whether the servers are preemptible.
    pub preemptible: bool,
    /// Node that sends the order.
    pub holder: Name,
    /// Fencing token.
    pub epoch: Epoch,
}

/// A check that must hold directly before a call is sent.
pub type SendGuard = Box<dyn FnOnce() -> bool>;
/// The future of a call that only the duty holder makes.
pub type DutyFuture = LocalFuture<Result<(), PlatformError>>;

/// Calls that only the duty holder makes.
pub struct DutyPort {
    /// Sends a usage report.
    pub usage: Box<dyn Fn(UsageReport, SendGuard) -> DutyFuture>,
    /// Sends an order for servers.
    pub scale: Box<dyn Fn(ScaleOrder, SendGuard) -> DutyFuture>,
}

/// All ports to a platform.
pub struct Ports {
    /// Port to callers.
    pub ingress: IngressPort,
    /// Port to backend servers.
    pub server: ServerPort,
    /// Port to the object service.
    pub store: StorePort,
    /// Port for the calls of the duty holder.
    pub duty: DutyPort,
}
