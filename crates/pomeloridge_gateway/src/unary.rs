//! Requests whose response is sent as a whole.

use std::cell::Cell;
use std::rc::Rc;

use pomeloridge_base::http::Response;
use pomeloridge_base::refusal::Refusal;
use pomeloridge_policy::crashes::RunOutcome;
use pomeloridge_policy::dispatch::Plan;

use crate::accept::Accepted;
use crate::attempt::{Attempts, InFlightAttempt};
use crate::exchange::{Exchange, Failure, SendParams, exchange, read_body};
use crate::hedge::{self, Raced};
use crate::request::SendStage;
use crate::silence::{SilenceWatch, SilentWork};
use crate::state::State;

/// Longest response body that is accepted from a server.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Runs a request and returns its complete response.
pub(crate) async fn run(state: &Rc<State>, accepted: &Accepted) -> Result<Response, Refusal> {
    let mut attempts = Attempts::new(state, accepted);
    loop {
        attempts.charge_run().await?;
        let plan = attempts.choose()?;
        let usage_counted = Cell::new(false);
        let run = async |plan| attempt(state, &attempts, plan, &usage_counted).await;
        let raced = hedge::race(&attempts, plan, run, |response| response.status).await;
        let Raced { server, outcome } = raced;
        let failure = match outcome {
            // A server error is retried if allowed; otherwise the caller gets the response.
            Ok(response) if response.status.is_server_error() => {
                let retry = attempts.handle_failure(server, Failure::ServerError).await;
                if retry.is_err() {
                    return Ok(response);
                }
                continue;
            }
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        attempts.handle_failure(server, failure).await?;
    }
}

async fn attempt(
    state: &Rc<State>,
    attempts: &Attempts<'_>,
    plan: Plan,
    usage_counted: &Cell<bool>,
) -> Result<Response, Failure> {
    let accepted = attempts.accepted();
    attempts.credits.begin_run();
    let mut in_flight = InFlightAttempt::new(state, plan.server, 0, attempts);
    in_flight.watch_parts(accepted);
    let watch = SilenceWatch {
        attempts,
        server: plan.server,
        work: SilentWork::Run,
        timeout: accepted.silence_timeout(plan.ttft),
    };
    let params = SendParams {
        watch,
        stage: SendStage::Run,
        fetch: None,
        last_event: None,
    };
    let exchanged = exchange(state, accepted, params).await;
    let exchanged = exchanged.inspect_err(|failure| in_flight.record_failure(*failure))?;
    in_flight.record_prefill_done();
    if !usage_counted.replace(true) {
        state.count_usage(accepted.account.as_ref());
    }
    let response = read_response(state, exchanged, watch).await?;
    in_flight.set_outcome(run_outcome(&response));
    Ok(response)
}

/// Classifies how a request ended whose response was read completely.
pub(crate) fn run_outcome(response: &Response) -> RunOutcome {
    if response.status.is_success() {
        RunOutcome::Answered
    } else {
        RunOutcome::ServerAlive
    }
}

/// Reads the body of a response; `watch` is that of the attempt.
pub(crate) async fn read_response(
    state: &State,
    exchanged: Exchange,
    mut watch: SilenceWatch<'_>,
) -> Result<Response, Failure> {
    let Exchange {
        mut connection,
        head,
        ..
    } = exchanged;
    watch.timeout = watch.attempts.accepted().answer_silence_timeout();
    let body = read_body(state, &mut connection, MAX_RESPONSE_BYTES, watch).await?;
    state.pool.put(connection, head.idle, state.now());
    if head.status.is_success() && !head.sealed {
        return Err(Failure::InvalidResponse);
    }
    Ok(Response {
        status: head.status,
        headers: head.headers,
        body,
    })
}
