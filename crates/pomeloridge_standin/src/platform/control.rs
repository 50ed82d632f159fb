//! Fault injection and setup of the platform.

use std::collections::BTreeMap;

use pomeloridge_base::http::{Request, Response};
use serde::Deserialize;
use serde_json::{Value, json};

use super::Platform;
use super::servers::Listed;
use super::vms::Vm;
use crate::listen::{Rejection, read_json};

/// Active faults.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) outage: bool,
    pub(crate) slow_ms: u64,
    /// Number of successful writes whose response is still to be dropped.
    pub(crate) lose_answers: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Control {
    outage: Option<bool>,
    slow_ms: Option<u64>,
    lose_answers: Option<u64>,
    vms: Option<Vec<Vm>>,
    servers: Option<Vec<Listed>>,
    spares: Option<BTreeMap<String, Vec<String>>>,
    reclaim: Option<String>,
    #[serde(default)]
    compact: bool,
}

/// Handles `POST /control`.
pub(crate) fn control(platform: &Platform, request: &Request) -> Result<Response, Rejection> {
    let control: Control = read_json(request)?;
    let body: Value = read_json(request)?;
    platform
        .history
        .record("control", json!({ "control": body }));
    let now = platform.clock.unix_ms();
    let mut state = platform.state.borrow_mut();
    let state = &mut *state;
    let faults = &mut state.faults;
    faults.outage = control.outage.unwrap_or(faults.outage);
    faults.slow_ms = control.slow_ms.unwrap_or(faults.slow_ms);
    faults.lose_answers = control.lose_answers.unwrap_or(faults.lose_answers);
    if let Some(vms) = control.vms {
        state.vms.set(vms, now);
    }
    if let Some(servers) = control.servers {
        state.servers.replace(servers);
    }
    if let Some(spares) = control.spares {
        state.servers.set_spares(spares);
    }
    let reclaimed = control.reclaim.map(|data_centre| {
        let leave_at = now + platform.args.reclaim_ms;
        state.servers.reclaim(&data_centre, leave_at)
    });
    if control.compact {
        state.objects.compact();
    }
    platform.changed.notify();
    Ok(Response::json(200, &json!({ "reclaimed": reclaimed })))
}
