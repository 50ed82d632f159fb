//! Reads the load reports of backend servers, and probes ejected servers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_backend::{BackendError, Load, read_load};
use pomeloridge_base::id::Name;
use pomeloridge_base::meter::Counter;
use pomeloridge_policy::server::{LoadReport, ServerKey};

use super::state::State;

/// Timeout of reading a load report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between checks which ejected servers are due to be probed.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the load reports of a server until it is removed from the platform's list.
pub(crate) async fn poll(state: Rc<State>, id: Name) {
    let interval = state.settings.time("backend", "load_ms");
    let Some(key) = state.policy.servers.borrow().key_of(&id) else {
        return;
    };
    while let Some((address, ejected)) = find_server(&state, key) {
        // An ejected server is only probed, at growing intervals.
        if !ejected {
            read_report(&state, key, address).await;
        }
        monoio::time::sleep(interval).await;
    }
}

/// Probes ejected servers, until the process ends.
pub(crate) async fn probe_ejected(state: Rc<State>) {
    loop {
        let due = state
            .policy
            .servers
            .borrow_mut()
            .due_probes(state.clock.now());
        for key in due {
            if let Some((address, _)) = find_server(&state, key) {
                let state = Rc::clone(&state);
                monoio::spawn(async move { read_report(&state, key, address).await });
            }
        }
        monoio::time::sleep(PROBE_POLL_INTERVAL).await;
    }
}

/// Returns the address of a server and whether it is ejected.
fn find_server(state: &State, key: ServerKey) -> Option<(SocketAddr, bool)> {
    let servers = state.policy.servers.borrow();
    let server = servers.server(key)?;
    Some((server.info.address, server.ejection.is_ejected()))
}

/// Reads and applies the load report of a server.
///
/// A server that can't be connected to is ejected, so that no request is sent to it. A server
/// that only fails to report is not ejected; whether it works shows in its requests.
async fn read_report(state: &State, key: ServerKey, address: SocketAddr) {
    match read_load(address, REPORT_TIMEOUT).await {
        Ok(load) => apply_report(state, key, load),
        Err(BackendError::Connect) => record_failure(state, key),
        Err(error) => log::debug!("no load report from {address}: {error}"),
    }
}

fn record_failure(state: &State, key: ServerKey) {
    let mut servers = state.policy.servers.borrow_mut();
    let was_ejected = servers
        .server(key)
        .map(|server| server.ejection.is_ejected());
    let centre_suspect = servers.record_failure(key, state.clock.now());
    if was_ejected == Some(false)
        && let Some(server) = servers
            .server(key)
            .filter(|server| server.ejection.is_ejected())
    {
        state.metrics.meter.increment(Counter::Ejections);
        let (id, data_centre) = (&server.info.id, &server.info.data_centre);
        log::info!(
            target: "decision",
            "ejected server={id} data_centre={data_centre} reason=\"no connection for its load report\" data_centre_suspect={centre_suspect}"
        );
    }
}

fn apply_report(state: &State, key: ServerKey, load: Load) {
    let now = state.clock.now();
    let age = Duration::from_millis(state.clock.unix_ms().saturating_sub(load.measured_ms));
    let report = LoadReport {
        measured_at: now.checked_sub(age).unwrap_or(now),
        running: load.running,
        queued: load.queued,
        prefill_tokens: load.prefill_tokens,
        slots: load.slots,
        role: load.role,
        models: load.models,
        leaving: load.leaving,
    };
    let mut servers = state.policy.servers.borrow_mut();
    servers.report(key, report, now);
    if servers.record_success(key)
        && let Some(server) = servers.server(key)
    {
        let id = &server.info.id;
        log::info!(target: "decision", "taken_back server={id} reason=\"a probe succeeded\"");
    }
}
