//! The gateway's life: serving, turning unready after SIGTERM, closing.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::state::State;

/// Pause between two looks at whether a signal came.
const SIGNAL_CHECK: Duration = Duration::from_millis(100);

/// Looks for a signal between two reads of the settings without one.
const RELOAD_ROUNDS: u32 = 50;

/// Where the gateway is in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Serving,
    /// Unready; still takes what the balancer sends.
    Draining,
    /// Takes no new connections and ends with the last request.
    Closing,
}

/// The phase, shared by the gateway's tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Life(Rc<Cell<Phase>>);

impl Life {
    pub(crate) fn is_stopping(&self) -> bool {
        self.0.get() != Phase::Serving
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.0.get() == Phase::Closing
    }
}

/// Stops gracefully on SIGTERM or SIGINT, and reads the settings again on SIGHUP; their
/// file may also change without a signal.
pub(crate) fn watch_signals(state: &Rc<State>) -> Result<(), String> {
    let flag = |signals: &[i32]| {
        let asked = Arc::new(AtomicBool::new(false));
        for signal in signals {
            signal_hook::flag::register(*signal, Arc::clone(&asked))
                .map_err(|error| format!("signal {signal} cannot be watched: {error}"))?;
        }
        Ok::<_, String>(asked)
    };
    let stop = flag(&[signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT])?;
    let reload = flag(&[signal_hook::consts::SIGHUP])?;
    let state = Rc::clone(state);
    monoio::spawn(async move {
        for round in 1.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let asked = reload.swap(false, Ordering::Relaxed);
            if asked || round % RELOAD_ROUNDS == 0 {
                state.reload(asked);
            }
            monoio::time::sleep(SIGNAL_CHECK).await;
        }
        drain(&state).await;
    });
    Ok(())
}

/// Turns unready at once, and refuses connections after the balancer's delay.
async fn drain(state: &State) {
    let running = state.in_flight.get();
    log::info!("stop phase=draining running={running}");
    state.lifecycle.0.set(Phase::Draining);
    monoio::time::sleep(state.settings().time("stop", "unready_ms")).await;
    log::info!("stop phase=closing running={}", state.in_flight.get());
    state.lifecycle.0.set(Phase::Closing);
}
