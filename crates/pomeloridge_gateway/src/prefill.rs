//! Separate prefill: one engine prefills the prompt, another decodes the output.

use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_policy::crashes::RunOutcome;
use pomeloridge_policy::dispatch::{Plan, TargetKey};
use pomeloridge_policy::timeouts::{answer_silence_timeout, silence_timeout};

use crate::attempt::{Attempts, InFlightAttempt};
use crate::exchange::{Exchange, Failure, SendParams, exchange, read_body};
use crate::pool::{Connected, ConnectionNeeds, PoolError};
use crate::request::{KvSource, SendStage};
use crate::silence::{SilenceWatch, SilentWork};
use crate::state::State;

/// Longest body of a response to a prefill.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Timeout for releasing a KV cache.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// KV cache of a prefilled prompt. It is released if this is dropped before an engine has taken
/// it.
pub(crate) struct PrefilledPrompt {
    state: Rc<State>,
    source: KvSource,
    taken: bool,
}

impl PrefilledPrompt {
    pub(crate) fn new(state: Rc<State>, source: KvSource) -> Self {
        Self {
            state,
            source,
            taken: false,
        }
    }

    /// Returns the engine and handle that the KV cache can be taken from.
    pub(crate) fn source(&self) -> KvSource {
        self.source.clone()
    }

    /// Records that an engine has taken the KV cache.
    pub(crate) fn mark_taken(&mut self) {
        self.taken = true;
    }
}

impl Drop for PrefilledPrompt {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let (state, source) = (Rc::clone(&self.state), self.source.clone());
        monoio::spawn(async move { release(&state, &source).await });
    }
}

/// Releases a KV cache on an engine. If the engine can't be reached, has asked this node to back
/// off or has a limit that is used up, its own timeout releases the KV cache.
async fn release(state: &State, source: &KvSource) {
    let Some(max_open) = state.begin_call(source.address) else {
        return;
    };
    let needs = ConnectionNeeds {
        is_fresh: false,
        max_open,
    };
    let message = (state.ports.server.release)(&source.handle);
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    let connected = state
        .pool
        .connect(source.address, needs, deadline, state.now())
        .await;
    let outcome = match connected {
        Ok(Connected { mut connection, .. }) => {
            let response = connection.exchange(&message, deadline).await;
            if response.is_ok() {
                state.pool.put(connection, None, state.now());
            }
            response.map(|_| ()).map_err(PoolError::Connection)
        }
        Err(error) => Err(error),
    };
    if let Err(error) = outcome {
        log::info!(
            "memory handle={} server={} choice=release outcome=\"{error}\"",
            source.handle,
            source.address
        );
    }
}

/// Prefills a prompt on the plan's prefill engine.
pub(crate) async fn prefill(
    state: &Rc<State>,
    attempts: &Attempts<'_>,
    plan: Plan,
    prefill_server: TargetKey,
) -> Result<PrefilledPrompt, Failure> {
    let accepted = attempts.accepted();
    let mut in_flight = InFlightAttempt::new(state, prefill_server, plan.prefill_tokens, attempts);
    let mut watch = SilenceWatch {
        attempts,
        server: prefill_server,
        work: SilentWork::Prefill,
        timeout: Some(silence_timeout(plan.ttft)),
    };
    let params = SendParams {
        watch,
        stage: SendStage::Prefill,
        fetch: plan.fetch_from,
        last_event: None,
    };
    let Exchange {
        mut connection,
        head,
        ..
    } = exchange(state, accepted, params)
        .await
        .inspect_err(|failure| in_flight.record_failure(*failure))?;
    watch.timeout = Some(answer_silence_timeout(Duration::ZERO));
    let body = read_body(state, &mut connection, MAX_RESPONSE_BYTES, watch).await?;
    let address = connection.address();
    state.pool.put(connection, head.idle, state.now());
    let handle = (state.ports.server.handle)(&body).filter(|_| head.status.is_success());
    let handle = handle.ok_or(Failure::InvalidResponse)?;
    in_flight.record_prefill_done();
    in_flight.set_outcome(RunOutcome::ServerAlive);
    let source = KvSource {
        address,
        handle: handle.id,
    };
    Ok(PrefilledPrompt::new(Rc::clone(state), source))
}
