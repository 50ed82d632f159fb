//! Phases of the gateway: serving, draining after a stop signal, closing.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_base::http::held_bytes;
use pomeloridge_base::pacing::take_largest_source;

use crate::state::State;
use crate::stop_schedule::{SignalTime, StopSchedule, serving_time};

/// Interval at which the signal flags are polled.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the process notices that it runs.
const RUN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Delay of a timer above which the process did not run.
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// Interval at which a closing gateway logs what is still in flight.
const CLOSING_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the latest deadline for the requests that end by themselves, and then for writing
/// the answers to the others.
const END_DELAY: Duration = Duration::from_millis(200);

/// Interval at which a request checks whether the gateway is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(500);

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
pub(crate) struct Lifecycle {
    phase: Rc<Cell<Phase>>,
    /// The times of the stop, once the gateway is stopping.
    schedule: Rc<Cell<Option<StopSchedule>>>,
    /// When requests that are still in flight are ended, once the gateway is stopping.
    ends_at: Rc<Cell<Option<Instant>>>,
}

impl Lifecycle {
    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Returns the deadline of a request that arrives at `now` and whose caller waits until
    /// `deadline`, or `None` if the request is to be refused as the gateway is stopping.
    pub(crate) fn admit(&self, deadline: Instant, now: Instant) -> Option<Instant> {
        match self.schedule.get() {
            Some(schedule) => schedule.admit(deadline, now),
            None => Some(deadline),
        }
    }

    /// Waits until requests that are still in flight must be ended, as the process is about to be
    /// killed.
    pub(crate) async fn out_of_time(&self) {
        let ends_at = loop {
            if let Some(ends_at) = self.ends_at.get() {
                break ends_at;
            }
            monoio::time::sleep(STOP_CHECK_INTERVAL).await;
        };
        monoio::time::sleep(ends_at.saturating_duration_since(Instant::now())).await;
    }

    /// Waits until the process must end.
    pub(crate) async fn must_end(&self) {
        self.out_of_time().await;
        monoio::time::sleep(END_DELAY).await;
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.phase.get() != Phase::Serving
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.phase.get() == Phase::Closing
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
        let mut signal_time = SignalTime::new(state.now());
        let mut poll = 0;
        let signalled_at = loop {
            let now = state.now();
            if let Some(earliest) = signal_time.look(|| stop.load(Ordering::Relaxed), now) {
                break earliest;
            }
            poll += 1;
            let requested = reload.swap(false, Ordering::Relaxed);
            if requested || poll % POLLS_PER_RELOAD == 0 {
                state.reload(requested);
            }
            monoio::time::sleep(SIGNAL_POLL_INTERVAL).await;
        };
        drain(&state, signalled_at).await;
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
        let largest = take_largest_source();
        if delay > MIN_PAUSE {
            // A peer that sends without end holds the thread up as a pause does.
            let most = largest.map_or_else(
                || "none".to_owned(),
                |most| format!("{} from {:?}, {} bytes", most.kind, most.source, most.work),
            );
            log::warn!(
                "process paused_ms={} held_bytes={} most_work=\"{most}\" choice=hear_servers",
                delay.as_millis(),
                held_bytes()
            );
            state.dispatcher.borrow_mut().record_resumed(now);
            state.peers.borrow_mut().record_resumed(now);
        }
    }
}

/// Reports the gateway as not ready at once, and refuses connections after the delay that the
/// load balancer needs to notice. The signal was sent at `signalled_at` or later.
async fn drain(state: &State, signalled_at: Instant) {
    let settings = state.settings();
    let grace_time = settings.time("stop", "grace_s");
    let schedule = StopSchedule::new(
        signalled_at,
        settings.time("stop", "unready_ms"),
        grace_time,
    );
    let now = state.now();
    let lifecycle = &state.lifecycle;
    lifecycle.schedule.set(Some(schedule));
    // What is in flight may go on for as long as the latest time of the signal allows.
    lifecycle
        .ends_at
        .set(Some(now + serving_time(grace_time) + END_DELAY));
    lifecycle.phase.set(Phase::Draining);
    let closing_time = schedule.closing_at.saturating_duration_since(now);
    log::info!(
        "stop phase=draining running={} noticed_ms={} closing_ms={} serving_ms={}",
        state.in_flight.get(),
        now.saturating_duration_since(signalled_at).as_millis(),
        closing_time.as_millis(),
        schedule
            .latest_deadline
            .saturating_duration_since(now)
            .as_millis()
    );
    monoio::time::sleep(closing_time).await;
    log::info!("stop phase=closing running={}", state.in_flight.get());
    lifecycle.phase.set(Phase::Closing);
    loop {
        monoio::time::sleep(CLOSING_LOG_INTERVAL).await;
        log::info!("stop phase=closing running={}", state.in_flight.get());
    }
}
