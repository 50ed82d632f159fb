//! Detection of outdated keys and configuration after the node was paused.
//!
//! A VM that was paused or suspended resumes with the keys and configuration from before, and
//! its sockets may contain responses that are just as old. New requests are refused until the
//! configuration has been read by a request that was sent after the pause.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::clock::{SharedClock, Stamp};
use pomeloridge_node::reach::Connectivity;

use super::config;
use super::state::State;

/// Interval between ticks, by which pauses are detected.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a tick after which the node counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Timeout of exchanging heartbeats with the peers after a pause.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Times at which the node last ran and the platform last answered.
#[derive(Clone)]
pub(crate) struct Freshness(Rc<Inner>);

struct Inner {
    clock: SharedClock,
    last_tick: Cell<Stamp>,
    last_answer: Cell<Stamp>,
    /// Whether the configuration has not been read since a pause.
    stale: Cell<bool>,
}

impl Freshness {
    pub(crate) fn new(clock: &SharedClock) -> Self {
        let now = clock.stamp();
        Self(Rc::new(Inner {
            clock: Rc::clone(clock),
            last_tick: Cell::new(now),
            last_answer: Cell::new(now),
            stale: Cell::new(false),
        }))
    }

    /// Records an answer of the platform to a call that was sent at `sent_at`.
    ///
    /// The time of sending counts, as the answer may have been in the socket during a pause.
    pub(crate) fn record_answer(&self, sent_at: Stamp) {
        let last_answer = self.0.last_answer.get();
        if sent_at.monotonic > last_answer.monotonic {
            self.0.last_answer.set(sent_at);
        }
    }

    /// Returns the time since the platform last answered.
    pub(crate) fn silence(&self) -> Duration {
        self.0.clock.elapsed(self.0.last_answer.get())
    }

    /// Returns whether the node was paused and has not read the configuration since.
    pub(crate) fn is_stale(&self) -> bool {
        if self.0.clock.elapsed(self.0.last_tick.get()) > PAUSE_THRESHOLD {
            self.0.stale.set(true);
        }
        self.0.stale.get()
    }

    fn tick(&self) -> bool {
        let stale = self.is_stale();
        self.0.last_tick.set(self.0.clock.stamp());
        stale
    }
}

/// Detects pauses and reads the configuration after them, until the process ends.
pub(crate) async fn detect_pauses(state: Rc<State>) {
    loop {
        monoio::time::sleep(TICK_INTERVAL).await;
        if state.freshness.tick() {
            log::warn!(
                "the node was paused; it accepts no new requests until it has read the configuration"
            );
            while !refresh(&state).await {
                monoio::time::sleep(TICK_INTERVAL).await;
                state.freshness.tick();
            }
            log::info!("the configuration was read after a pause; the node accepts requests again");
        }
    }
}

/// Reads the configuration from the platform, or relies on the peers during an outage. Returns
/// whether the configuration is current.
async fn refresh(state: &State) -> bool {
    if config::read_all(state).await.is_ok() {
        state.freshness.0.stale.set(false);
        return true;
    }
    state.mesh.exchange_heartbeats(PEER_TIMEOUT).await;
    let outage = state.mesh.connectivity(state.freshness.silence()) == Connectivity::Outage;
    if outage {
        state.freshness.0.stale.set(false);
    }
    outage
}
