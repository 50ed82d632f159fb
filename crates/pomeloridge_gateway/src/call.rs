//! Requests that are answered whole.

use std::rc::Rc;

use pomeloridge_base::http::Response;
use pomeloridge_base::refusal::Refusal;
use pomeloridge_policy::crashes::RunEnd;
use pomeloridge_policy::dispatch::Plan;

use crate::accept::Accepted;
use crate::attempt::{Attempts, Sent};
use crate::exchange::{Exchange, Failure, Sending, exchange};
use crate::request::SendStage;
use crate::state::State;

/// Bytes of an answer that is gathered.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Runs a request and gathers its answer.
pub(crate) async fn run(state: &Rc<State>, accepted: &Accepted) -> Result<Response, Refusal> {
    let mut attempts = Attempts::new(state, accepted);
    loop {
        let plan = attempts.choose()?;
        let failure = match attempt(state, accepted, plan).await {
            // A server's own failure is worth another try if nothing forbids it.
            Ok(response) if response.status.is_server_error() => {
                let again = attempts.failed(plan.server, Failure::ServerError).await;
                if again.is_err() {
                    return Ok(response);
                }
                continue;
            }
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        attempts.failed(plan.server, failure).await?;
    }
}

async fn attempt(state: &Rc<State>, accepted: &Accepted, plan: Plan) -> Result<Response, Failure> {
    let mut sent = Sent::new(state, plan.server, 0, accepted);
    let sending = Sending {
        server: plan.server,
        stage: SendStage::Run,
        fetch: None,
        last_event: None,
        patience: accepted.silence(plan.ttft),
    };
    let exchanged = exchange(state, accepted, sending).await;
    let exchanged = exchanged.inspect_err(|failure| sent.failed(*failure))?;
    sent.prompt_read();
    state.count_usage(accepted.account.as_ref());
    let response = gather(state, accepted, exchanged).await?;
    sent.ended(end_of(&response));
    Ok(response)
}

/// What a whole answer says of the request.
pub(crate) fn end_of(response: &Response) -> RunEnd {
    if response.status.is_success() {
        RunEnd::Answered
    } else {
        RunEnd::Settled
    }
}

/// Reads the rest of an answer.
pub(crate) async fn gather(
    state: &State,
    accepted: &Accepted,
    exchanged: Exchange,
) -> Result<Response, Failure> {
    let Exchange {
        mut connection,
        head,
    } = exchanged;
    let body = connection.body(ANSWER_BYTES, accepted.deadline).await;
    let body = body.map_err(|fault| Failure::after_write(&fault))?;
    state.pool.put(connection, head.idle, state.now());
    if head.status.is_success() && !head.sealed {
        return Err(Failure::Broken);
    }
    Ok(Response {
        status: head.status,
        headers: head.headers,
        body,
    })
}
