//! Load reports of backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use pomeloridge_base::http::{Outgoing, call};
use pomeloridge_base::id::{Epoch, Name};
use pomeloridge_policy::server::Role;

use crate::BackendError;
use crate::wire::WireLoad;

/// A load report; it lags behind the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// When it was true, in ms since the Unix epoch on the server's clock.
    pub measured_ms: u64,
    /// Role of an engine.
    pub role: Role,
    /// Models that are loaded.
    pub models: Vec<Name>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Prompt tokens that wait.
    pub prefill_tokens: u64,
    /// Requests that can run at once.
    pub slots: u32,
    /// Whether the server is about to leave.
    pub leaving: bool,
    /// Greatest fencing number seen.
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

/// Reads a server's load report.
pub async fn read_load(address: SocketAddr, timeout: Duration) -> Result<Load, BackendError> {
    let answer = call(address, &Outgoing::get("/load"), timeout).await?;
    if answer.status.as_u16() != 200 {
        return Err(BackendError::Broken);
    }
    let wire: WireLoad = serde_json::from_slice(&answer.body).map_err(|_| BackendError::Broken)?;
    Ok(wire.into())
}

/// Reads a role's word; `None` for a word that is none.
pub(crate) fn parse_role(word: &str) -> Option<Role> {
    match word {
        "prefill" => Some(Role::Prefill),
        "decode" => Some(Role::Decode),
        "mixed" => Some(Role::Mixed),
        _ => None,
    }
}
