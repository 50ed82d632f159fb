//! The node's life: serving, draining after SIGTERM, closing.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::state::State;

/// Pause between two looks at whether a signal came.
const SIGNAL_CHECK: Duration = Duration::from_millis(50);
/// Time for the last heartbeats to say that the node leaves.
const GOODBYE: Duration = Duration::from_millis(300);

/// Where the node is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It takes work.
    Serving,
    /// It is unready and still takes what the balancer sends.
    Draining,
    /// It takes no new connections and ends when the last request has ended.
    Closing,
}

/// The phase, shared by the node's tasks.
#[derive(Clone)]
pub(crate) struct Life(Rc<Cell<Phase>>);

impl Life {
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

/// Starts a graceful stop when SIGTERM or SIGINT comes.
pub(crate) fn watch_signals(state: &Rc<State>) -> Result<(), String> {
    let asked = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&asked))
            .map_err(|error| format!("signal {signal} cannot be watched: {error}"))?;
    }
    let state = Rc::clone(state);
    monoio::spawn(async move {
        while !asked.load(Ordering::Relaxed) {
            monoio::time::sleep(SIGNAL_CHECK).await;
        }
        stop(&state).await;
    });
    Ok(())
}

/// Turns unready at once, and refuses connections after the balancer's delay.
async fn stop(state: &State) {
    log::info!("stopping: unready, leaving the fleet");
    state.life.0.set(Phase::Draining);
    state.mesh.leave();
    monoio::time::sleep(state.settings.time("caller", "stop_delay_ms")).await;
    log::info!("stopping: no new connections; waiting for open requests");
    state.life.0.set(Phase::Closing);
}

/// Says goodbye after the last request has ended.
pub(crate) async fn leave(state: &State) {
    while state.duties.get() > 0 {
        monoio::time::sleep(SIGNAL_CHECK).await;
    }
    monoio::time::sleep(GOODBYE).await;
    log::info!("stopped: every request has ended");
}
