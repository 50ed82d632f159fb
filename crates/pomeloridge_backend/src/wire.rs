//! Wire formats of backend servers.

use pomeloridge_base::id::{Epoch, Name};
use serde::{Deserialize, Serialize};

#[derive(Serialize)]
pub(crate) struct WireGenerate<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) prompt: &'a str,
    pub(crate) resume: &'a [String],
    pub(crate) max_tokens: u32,
    pub(crate) priority: i32,
}

#[derive(Deserialize)]
pub(crate) struct WireEvent {
    pub(crate) request_id: String,
    #[serde(default)]
    pub(crate) index: Option<u32>,
    #[serde(default)]
    pub(crate) text: Option<String>,
    #[serde(default)]
    pub(crate) done: bool,
    #[serde(default)]
    pub(crate) prompt_tokens: u64,
    #[serde(default)]
    pub(crate) output_tokens: u64,
    #[serde(default)]
    pub(crate) cached_tokens: u64,
}

#[derive(Deserialize)]
pub(crate) struct WireLoad {
    #[serde(default)]
    pub(crate) at: u64,
    #[serde(default)]
    pub(crate) role: Option<String>,
    #[serde(default)]
    pub(crate) models: Vec<Name>,
    pub(crate) running: u32,
    pub(crate) queued: u32,
    #[serde(default)]
    pub(crate) prefill_tokens: u64,
    pub(crate) slots: u32,
    #[serde(default)]
    pub(crate) leaving: bool,
    #[serde(default)]
    pub(crate) fence: Option<Epoch>,
}

#[derive(Serialize)]
pub(crate) struct WireOrder<'a> {
    pub(crate) order_id: &'a str,
    pub(crate) fence: Epoch,
    pub(crate) action: &'a str,
    pub(crate) role: Option<&'a str>,
    pub(crate) model: Option<&'a str>,
}

#[derive(Deserialize)]
pub(crate) struct WireOrderResponse {
    #[serde(default)]
    pub(crate) fence: Option<Epoch>,
    #[serde(default)]
    pub(crate) busy: Option<String>,
}

#[derive(Deserialize)]
pub(crate) struct WireState {
    pub(crate) role: String,
    #[serde(default)]
    pub(crate) models: Vec<Name>,
    #[serde(default)]
    pub(crate) order: Option<String>,
    #[serde(default)]
    pub(crate) fence: Option<Epoch>,
}
