//! Reads one backend server's load reports, and probes it while it is ejected.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_backend::{BackendError, Load, read_load};
use pomeloridge_base::id::Name;
use pomeloridge_base::meter::Counter;
use pomeloridge_policy::server::{LoadReport, ServerKey};

use super::state::State;

/// Time that a server has to answer with its report.
const REPORT_TIME: Duration = Duration::from_millis(500);

/// Pause between two looks at which ejected servers are to be probed.
const PROBE_CHECK: Duration = Duration::from_millis(100);

/// Reads the reports of a server until it leaves the platform's list.
pub(crate) async fn run(state: Rc<State>, id: Name) {
    let pause = state.settings.time("backend", "load_ms");
    let Some(key) = state.policy.servers.borrow().key_of(&id) else {
        return;
    };
    while let Some((address, ejected)) = find(&state, key) {
        // An ejected server is left to the probes, whose pauses grow.
        if !ejected {
            ask(&state, key, address).await;
        }
        monoio::time::sleep(pause).await;
    }
}

/// Probes ejected servers for as long as the node lives.
pub(crate) async fn probe(state: Rc<State>) {
    loop {
        let due = state
            .policy
            .servers
            .borrow_mut()
            .due_probes(state.clock.now());
        for key in due {
            if let Some((address, _)) = find(&state, key) {
                let state = Rc::clone(&state);
                monoio::spawn(async move { ask(&state, key, address).await });
            }
        }
        monoio::time::sleep(PROBE_CHECK).await;
    }
}

/// The address of a server, and whether it is ejected.
fn find(state: &State, key: ServerKey) -> Option<(SocketAddr, bool)> {
    let servers = state.policy.servers.borrow();
    let server = servers.server(key)?;
    Some((server.info.address, server.ejection.is_ejected()))
}

/// Reads a report.
///
/// A server that can't be connected to is taken out before a request meets it;
/// one that only gives no report is judged by its requests.
async fn ask(state: &State, key: ServerKey, address: SocketAddr) {
    match read_load(address, REPORT_TIME).await {
        Ok(load) => take(state, key, load),
        Err(BackendError::Connect) => eject(state, key),
        Err(error) => log::debug!("{address} gave no load report: {error}"),
    }
}

fn eject(state: &State, key: ServerKey) {
    let mut servers = state.policy.servers.borrow_mut();
    let known = servers
        .server(key)
        .map(|server| server.ejection.is_ejected());
    let centre_suspect = servers.record_failure(key, state.clock.now());
    if known == Some(false)
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

fn take(state: &State, key: ServerKey, load: Load) {
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
