//! Phases of the gateway: serving, draining after a stop signal, closing.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use derive_more::Display;

use crate::state::State;

/// Interval at which the signal flags are polled.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the process notices that it runs.
const RUN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Delay of a timer above which the process did not run.
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// Interval at which a closing gateway logs what is still in flight.
const CLOSING_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Number of signal polls after which the settings are reloaded without a signal.
const POLLS_PER_RELOAD: u32 = 50;

/// Phase of the gateway.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub(crate) enum Phase {
    #[default]
    Serving,
    /// Reports itself as not ready, but still serves what the load balancer sends.
    Draining,
    /// Takes no new connections and exits after the last request.
    Closing,
}

/// The current phase, shared by the gateway's tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lifecycle(Rc<Cell<Phase>>);

impl Lifecycle {
    pub(crate) fn phase(&self) -> Phase {
        self.0.get()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.0.get() != Phase::Serving
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.0.get() == Phase::Closing
    }
}

/// Shuts down gracefully on SIGTERM or SIGINT and reloads the settings on SIGHUP. The settings
/// are also reloaded periodically, as their file may change without a signal.
pub(crate) fn watch_signals(state: &Rc<State>) -> Result<(), String> {
    let flag = |signals: &[i32]| {
        let raised = Arc::new(AtomicBool::new(false));
        for signal in signals {
            signal_hook::flag::register(*signal, Arc::clone(&raised)).map_err(|error| {
                format!("cannot register a handler for signal {signal}: {error}")
            })?;
        }
        Ok::<_, String>(raised)
    };
    let stop = flag(&[signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT])?;
    let reload = flag(&[signal_hook::consts::SIGHUP])?;
    let state = Rc::clone(state);
    monoio::spawn(async move {
        for poll in 1.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let requested = reload.swap(false, Ordering::Relaxed);
            if requested || poll % POLLS_PER_RELOAD == 0 {
                state.reload(requested);
            }
            monoio::time::sleep(SIGNAL_POLL_INTERVAL).await;
        }
        drain(&state).await;
    });
    Ok(())
}

/// Notices that the process was paused, so that sound servers are not taken for silent.
pub(crate) async fn watch_pauses(state: Rc<State>) {
    loop {
        let due = state.now() + RUN_CHECK_INTERVAL;
        monoio::time::sleep(RUN_CHECK_INTERVAL).await;
        let now = state.now();
        let delay = now.saturating_duration_since(due);
        if delay > MIN_PAUSE {
            log::warn!(
                "process paused_ms={} choice=hear_servers",
                delay.as_millis()
            );
            state.dispatcher.borrow_mut().record_resumed(now);
        }
    }
}

/// Reports the gateway as not ready at once, and refuses connections after the delay that the
/// load balancer needs to notice.
async fn drain(state: &State) {
    let in_flight = state.in_flight.get();
    log::info!("stop phase=draining running={in_flight}");
    state.lifecycle.0.set(Phase::Draining);
    monoio::time::sleep(state.settings().time("stop", "unready_ms")).await;
    log::info!("stop phase=closing running={}", state.in_flight.get());
    state.lifecycle.0.set(Phase::Closing);
    loop {
        monoio::time::sleep(CLOSING_LOG_INTERVAL).await;
        log::info!("stop phase=closing running={}", state.in_flight.get());
    }
}
