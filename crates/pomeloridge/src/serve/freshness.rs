//! Whether what this node knows of keys and configuration may be relied on.
//!
//! A VM that was paused or suspended goes on with what it knew before, and may
//! find answers in its sockets that are as old as its pause. New work waits for
//! a reading of the configuration that was asked for after the pause.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::clock::{SharedClock, Stamp};
use pomeloridge_node::reach::Connectivity;

use super::config;
use super::state::State;

/// Time between two ticks of a node that runs.
const TICK: Duration = Duration::from_millis(50);
/// Time without a tick after which the node counts as paused.
const PAUSED: Duration = Duration::from_secs(1);
/// Time that peers have to answer a node that was paused.
const PEER_TIME: Duration = Duration::from_millis(500);

/// When the node last ran, and when the platform last answered it.
#[derive(Clone)]
pub(crate) struct Freshness(Rc<Inner>);

struct Inner {
    clock: SharedClock,
    ticked: Cell<Stamp>,
    answered: Cell<Stamp>,
    /// Whether nothing has been read since a pause.
    stale: Cell<bool>,
}

impl Freshness {
    pub(crate) fn new(clock: &SharedClock) -> Self {
        let now = clock.stamp();
        Self(Rc::new(Inner {
            clock: Rc::clone(clock),
            ticked: Cell::new(now),
            answered: Cell::new(now),
            stale: Cell::new(false),
        }))
    }

    /// Notes an answer of the platform to a call that was sent at `sent`.
    ///
    /// The time of sending counts: an answer may have waited for this node.
    pub(crate) fn note_answer(&self, sent: Stamp) {
        let known = self.0.answered.get();
        if sent.monotonic > known.monotonic {
            self.0.answered.set(sent);
        }
    }

    /// Time since the platform last answered.
    pub(crate) fn silence(&self) -> Duration {
        self.0.clock.elapsed(self.0.answered.get())
    }

    /// Whether the node was paused and has not read the configuration since.
    pub(crate) fn is_stale(&self) -> bool {
        if self.0.clock.elapsed(self.0.ticked.get()) > PAUSED {
            self.0.stale.set(true);
        }
        self.0.stale.get()
    }

    fn tick(&self) -> bool {
        let stale = self.is_stale();
        self.0.ticked.set(self.0.clock.stamp());
        stale
    }
}

/// Notices pauses and reads the configuration after them, as long as the node lives.
pub(crate) async fn watch(state: Rc<State>) {
    loop {
        monoio::time::sleep(TICK).await;
        if state.fresh.tick() {
            log::warn!(
                "the node was paused; it takes no new work until it has read the configuration"
            );
            while !refresh(&state).await {
                monoio::time::sleep(TICK).await;
                state.fresh.tick();
            }
            log::info!("the configuration was read after a pause; the node takes work again");
        }
    }
}

/// Reads the configuration from the platform, or from the peers in an outage.
async fn refresh(state: &State) -> bool {
    if config::read_all(state).await.is_ok() {
        state.fresh.0.stale.set(false);
        return true;
    }
    state.mesh.exchange_heartbeats(PEER_TIME).await;
    let outage = state.mesh.connectivity(state.fresh.silence()) == Connectivity::Outage;
    if outage {
        state.fresh.0.stale.set(false);
    }
    outage
}
