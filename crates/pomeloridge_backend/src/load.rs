//! Load reports of backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use pomeloridge_base::http::{OutgoingRequest, call};
use pomeloridge_base::id::{Epoch, Name};
use pomeloridge_policy::server::Role;

use crate::BackendError;
use crate::wire::WireLoad;

/// A load report, which lags behind the server's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// Time of measurement by the server's clock, in ms since the Unix epoch.
    pub measured_ms: u64,
    /// Role of an engine.
    pub role: Role,
    /// Loaded models.
    pub models: Vec<Name>,
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// Prompt tokens waiting for prefill.
    pub prefill_tokens: u64,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Highest fencing epoch received.
    pub fence: Option<Epoch>,
}

impl From<WireLoad> for Load {
    fn from(wire: WireLoad) -> Self {
        let role = wire.role.as_deref().and_then(parse_role);
        Self {
            measured_ms: wire.at,
            role: role.unwrap_or_default(),
            models: wire.models,
            running: wire.running,
            queued: wire.queued,
            prefill_tokens: wire.prefill_tokens,
            slots: wire.slots,
            leaving: wire.leaving,
            fence: wire.fence,
        }
    }
}

/// Fetches a server's load report.
pub async fn read_load(address: SocketAddr, timeout: Duration) -> Result<Load, BackendError> {
    let answer = call(address, &OutgoingRequest::get("/load"), timeout).await?;
    if answer.status.as_u16() != 200 {
        return Err(BackendError::Broken);
    }
    let wire: WireLoad = serde_json::from_slice(&answer.body).map_err(|_| BackendError::Broken)?;
    Ok(wire.into())
}

/// Parses the wire name of a role.
pub(crate) fn parse_role(name: &str) -> Option<Role> {
    match name {
        "prefill" => Some(Role::Prefill),
        "decode" => Some(Role::Decode),
        "mixed" => Some(Role::Mixed),
        _ => None,
    }
}
