//! Decides when a silent server is given up.
//!
//! A sound server may fall silent for a second or so and go on, and this node can't tell it from
//! one that is lost. Giving it up discards its work, so that is done only once another server
//! may take the request over; until then, or its deadline, the request stays where it is.

use std::time::{Duration, Instant};

use pomeloridge_policy::dispatch::TargetKey;

use crate::attempt::Attempts;
use crate::state::State;

/// Interval at which a request at a silent server checks whether another may take it over.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(100);

/// What a silent server is doing for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SilentWork {
    /// It prefills the prompt; any engine may run the request without that.
    Prefill,
    /// It runs the request.
    Run,
}

/// Watches one server during an attempt.
#[derive(Clone, Copy)]
pub(crate) struct SilenceWatch<'a> {
    pub(crate) attempts: &'a Attempts<'a>,
    pub(crate) server: TargetKey,
    pub(crate) work: SilentWork,
    /// Time without data from the server after which it is silent; `None` if it is never given
    /// up.
    pub(crate) timeout: Option<Duration>,
}

impl SilenceWatch<'_> {
    /// Waits until the server is given up; a retry of the request is reserved then.
    pub(crate) async fn given_up(&self, state: &State) {
        let Some(timeout) = self.timeout else {
            return std::future::pending().await;
        };
        loop {
            let since = state.now();
            monoio::time::sleep(timeout).await;
            let mut is_logged = false;
            while self.is_silent_since(state, since).await {
                let blocker = self.attempts.reserve_retry(self.server, self.work).err();
                if blocker.is_none() || !is_logged {
                    self.log(state, timeout, blocker.map(|blocker| blocker.to_string()));
                }
                if blocker.is_none() {
                    return;
                }
                is_logged = true;
                monoio::time::sleep(TAKEOVER_INTERVAL).await;
            }
        }
    }

    /// Returns whether the server is silent. After a pause of this process, reads first what has
    /// arrived meanwhile.
    async fn is_silent_since(&self, state: &State, since: Instant) -> bool {
        let left = state.dispatcher.borrow().read_time_left(state.now());
        if !left.is_zero() {
            monoio::time::sleep(left).await;
        }
        state
            .dispatcher
            .borrow()
            .is_silent_since(self.server, since)
    }

    fn log(&self, state: &State, timeout: Duration, blocker: Option<String>) {
        let dispatcher = state.dispatcher.borrow();
        let target = dispatcher.target(self.server);
        let silence = dispatcher.silence(self.server, state.now());
        log::info!(
            "request id={} choice={} server={} listed={} silent_ms={} timeout_ms={}{}",
            self.attempts.label(),
            if blocker.is_some() { "wait" } else { "give_up" },
            target
                .map(|target| target.info.id.clone())
                .unwrap_or_default(),
            target.is_some(),
            silence.map_or_else(|| "unknown".to_owned(), |time| time.as_millis().to_string()),
            timeout.as_millis(),
            blocker
                .map(|blocker| format!(" by={blocker}"))
                .unwrap_or_default()
        );
    }
}
