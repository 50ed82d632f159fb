//! Lifecycle of a node: serving, draining after SIGTERM, closing.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use super::state::State;

/// Interval between checks for a signal, and between checks whether the duties have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last heartbeats, which report that the node is leaving.
const LEAVING_HEARTBEATS_TIME: Duration = Duration::from_millis(300);

/// Maximum time to replicate the usage that only this node stores, before it stops.
const USAGE_HANDOVER_TIME: Duration = Duration::from_secs(5);

/// Phase of a node's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The node accepts requests.
    Serving,
    /// The node is unready but still accepts requests from the load balancer.
    Draining,
    /// The node refuses connections and stops when the last request has ended.
    Closing,
}

/// Current phase, shared by the node's tasks.
#[derive(Clone)]
pub(crate) struct Lifecycle(Rc<Cell<Phase>>);

impl Lifecycle {
    pub(crate) fn new() -> Self {
        Self(Rc::new(Cell::new(Phase::Serving)))
    }

    pub(crate) fn phase(&self) -> Phase {
        self.0.get()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.phase() != Phase::Serving
    }
}

/// Shuts the node down on SIGTERM or SIGINT.
pub(crate) fn watch_signals(state: &Rc<State>) -> Result<(), String> {
    let stop_requested = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&stop_requested))
            .map_err(|error| format!("signal {signal} cannot be watched: {error}"))?;
    }
    let state = Rc::clone(state);
    monoio::spawn(async move {
        while !stop_requested.load(Ordering::Relaxed) {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        drain(&state).await;
    });
    Ok(())
}

/// Becomes unready, and refuses connections after the delay that the load balancer needs.
async fn drain(state: &State) {
    log::info!("stopping: unready, leaving the fleet");
    state.lifecycle.0.set(Phase::Draining);
    state.mesh.leave();
    monoio::time::sleep(state.settings.time("caller", "stop_delay_ms")).await;
    log::info!("stopping: no new connections; waiting for open requests");
    state.lifecycle.0.set(Phase::Closing);
}

/// Waits until the duties have ended, a peer stores the usage and the peers know that the node is
/// leaving.
pub(crate) async fn finish(state: &State) {
    while state.running_duties.get() > 0 {
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    hand_over_usage(state).await;
    monoio::time::sleep(LEAVING_HEARTBEATS_TIME).await;
    log::info!("stopped: every request has ended");
}

/// Replicates the usage that only this node stores, unless the fleet has no other node.
async fn hand_over_usage(state: &State) {
    let end = Instant::now() + USAGE_HANDOVER_TIME;
    while state.usage.unreplicated_lines() > 0 && !state.mesh.members().is_empty() {
        if state.usage.retry().await {
            log::info!("stopping: usage that only this node stored has been replicated");
            return;
        }
        if Instant::now() >= end {
            break;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    let lines = state.usage.unreplicated_lines();
    if lines > 0 {
        log::error!("stopping: usage is lost, no peer has stored it; lines={lines}");
    }
}
