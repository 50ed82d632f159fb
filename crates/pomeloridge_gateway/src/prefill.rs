//! Reading a prompt on one engine for a run on another.

use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_policy::crashes::RunEnd;
use pomeloridge_policy::dispatch::{Plan, TargetKey};
use pomeloridge_policy::timeouts::silence_timeout;

use crate::accept::Accepted;
use crate::attempt::Sent;
use crate::exchange::{Exchange, Failure, Sending, exchange};
use crate::pool::Connected;
use crate::request::{KvSource, SendStage};
use crate::state::State;

/// Bytes of the answer to a prefill.
const ANSWER_BYTES: usize = 64 * 1024;
/// Time that the release of memory may take.
const RELEASE_TIME: Duration = Duration::from_millis(500);

/// Memory of a prompt that has been read; dropping it frees the memory.
pub(crate) struct ReadPrompt {
    state: Rc<State>,
    source: KvSource,
    taken: bool,
}

impl ReadPrompt {
    /// Where the memory is.
    pub(crate) fn source(&self) -> KvSource {
        self.source.clone()
    }

    /// Notes that an engine has taken it.
    pub(crate) fn take(&mut self) {
        self.taken = true;
    }
}

impl Drop for ReadPrompt {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let (state, source) = (Rc::clone(&self.state), self.source.clone());
        monoio::spawn(async move { release(&state, &source).await });
    }
}

/// Frees memory on an engine; it is freed by time if the engine can't be reached, or wants
/// nothing of this node.
async fn release(state: &State, source: &KvSource) {
    if state.is_backing_off(source.address) {
        return;
    }
    let message = (state.ports.server.release)(&source.handle);
    let deadline = Instant::now() + RELEASE_TIME;
    let connected = state
        .pool
        .connect(source.address, false, deadline, state.now())
        .await;
    let outcome = match connected {
        Ok(Connected { mut connection, .. }) => {
            let answer = connection.exchange(&message, deadline).await;
            if answer.is_ok() {
                state.pool.put(connection, None, state.now());
            }
            answer.map(|_| ())
        }
        Err(fault) => Err(fault),
    };
    if let Err(fault) = outcome {
        log::info!(
            "memory handle={} server={} choice=release outcome=\"{fault}\"",
            source.handle,
            source.address
        );
    }
}

/// Has a prompt read on the plan's prefill engine.
pub(crate) async fn read_prompt(
    state: &Rc<State>,
    accepted: &Accepted,
    plan: Plan,
    reader: TargetKey,
) -> Result<ReadPrompt, Failure> {
    let mut sent = Sent::new(state, reader, plan.prefill_tokens, accepted);
    let deadline = accepted.deadline;
    let sending = Sending {
        server: reader,
        stage: SendStage::Prefill,
        fetch: plan.fetch_from,
        last_event: None,
        patience: Some(silence_timeout(plan.ttft)),
    };
    let Exchange {
        mut connection,
        head,
    } = exchange(state, accepted, sending)
        .await
        .inspect_err(|failure| sent.failed(*failure))?;
    let body = connection.body(ANSWER_BYTES, deadline).await;
    let body = body.map_err(|fault| Failure::after_write(&fault))?;
    let address = connection.address();
    state.pool.put(connection, head.idle, state.now());
    let handle = (state.ports.server.handle)(&body).filter(|_| head.status.is_success());
    let handle = handle.ok_or(Failure::Broken)?;
    sent.prompt_read();
    sent.ended(RunEnd::Settled);
    Ok(ReadPrompt {
        state: Rc::clone(state),
        source: KvSource {
            address,
            handle: handle.id,
        },
        taken: false,
    })
}
