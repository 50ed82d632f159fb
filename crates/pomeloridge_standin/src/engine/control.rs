//! Fault injection for the engine.

use pomeloridge_base::http::{Request, Response};
use serde::Deserialize;
use serde_json::{Value, json};

use super::Engine;
use crate::listen::{Rejection, read_json};

/// Active faults; `cross`, `truncate` and `refuse` count the requests still affected.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) crash_after_tokens: Option<u64>,
    pub(crate) poison: Option<String>,
    pub(crate) leaving: bool,
    pub(crate) silent: bool,
    pub(crate) cross: u64,
    pub(crate) truncate: u64,
    pub(crate) refuse: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Control {
    crash_after_tokens: Option<u64>,
    poison: Option<String>,
    leaving: Option<bool>,
    silent: Option<bool>,
    cross: Option<u64>,
    truncate: Option<u64>,
    refuse: Option<u64>,
    #[serde(default)]
    crash: bool,
}

/// Handles `POST /control`.
pub(crate) fn control(engine: &Engine, request: &Request) -> Result<Response, Rejection> {
    let control: Control = read_json(request)?;
    let body: Value = read_json(request)?;
    engine.history.record("control", json!({ "control": body }));
    if control.crash {
        engine.crash("control");
    }
    let mut faults = engine.faults.borrow_mut();
    if control.crash_after_tokens.is_some() {
        faults.crash_after_tokens = control.crash_after_tokens;
    }
    if let Some(text) = control.poison {
        faults.poison = Some(text).filter(|text| !text.is_empty());
    }
    faults.leaving = control.leaving.unwrap_or(faults.leaving);
    faults.silent = control.silent.unwrap_or(faults.silent);
    faults.cross = control.cross.unwrap_or(faults.cross);
    faults.truncate = control.truncate.unwrap_or(faults.truncate);
    faults.refuse = control.refuse.unwrap_or(faults.refuse);
    Ok(Response::json(200, &json!({})))
}
