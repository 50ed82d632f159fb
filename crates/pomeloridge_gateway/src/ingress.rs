//! Handles requests of callers from arrival to the final response.

use std::fmt::Display;
use std::rc::Rc;

use http::StatusCode;
use pomeloridge_base::error::{ErrorKind, RunStatus};
use pomeloridge_base::http::{Fault, Request, Responder, Response};
use pomeloridge_base::meter::{Counter, Timer};
use pomeloridge_base::refusal::Refusal;
use pomeloridge_policy::slow_readers::{Cut, Reader};

use crate::accept::{Accepted, accept};
use crate::config::RouteKind;
use crate::request::Inbound;
use crate::slow_readers::{self, Transfer, cut_of};
use crate::state::State;
use crate::stream::{Stream, StreamOutcome, StreamTiming};
use crate::unary;

/// Handles one request and sends its response.
pub(crate) async fn handle(
    state: &Rc<State>,
    request: Result<Request, Fault>,
    responder: &mut Responder,
) {
    state.meter.increment(Counter::Requests);
    let request = match request {
        Ok(request) => request,
        Err(fault) => return refuse(state, &fault.into(), None, responder).await,
    };
    let request_id = (state.ports.ingress.request_id)(&request);
    let inbound = match (state.ports.ingress.decode)(request) {
        Ok(inbound) => inbound,
        Err(kind) => {
            log::info!(
                "request id={} choice=refuse reason=\"invalid request head\" code={}",
                request_id.as_deref().unwrap_or("?"),
                kind.answer().code
            );
            return refuse(state, &kind.into(), None, responder).await;
        }
    };
    let mut accepted = match accept(state, inbound) {
        Ok(accepted) => accepted,
        Err(refused) => {
            let (kind, inbound) = *refused;
            return refuse(state, &kind.into(), Some(&inbound), responder).await;
        }
    };
    state.count_request(&accepted.service);
    if accepted.route.kind.is_retryable() {
        state.hedging.borrow_mut().record_request();
    }
    if state.lifecycle.is_stopping() {
        log::info!(
            "request id={} choice=take phase={} left_ms={}",
            accepted.inbound.label(),
            state.lifecycle.phase(),
            accepted.time_left(state.now()).as_millis()
        );
    }
    // The caller may have left while this process was slow or frozen.
    if responder.is_closed() {
        return record_caller_gone(state, &accepted, &Fault::Closed);
    }
    accepted.transfer = Transfer::begin(state, &accepted, Reader::Caller);
    if let Some(transfer) = &accepted.transfer {
        responder.watch_writes(transfer.taken());
    }
    let ending = monoio::select! {
        () = serve(state, &accepted, responder) => Ending::Served,
        () = state.lifecycle.out_of_time() => Ending::OutOfTime,
        cut = cut_of(accepted.transfer.as_ref()) => Ending::Cut(cut),
    };
    match ending {
        Ending::Served => {}
        Ending::OutOfTime => end(state, &accepted, responder).await,
        Ending::Cut(cut) => cut_reader(state, &accepted, &cut, responder).await,
    }
}

/// How the handling of a request ended.
enum Ending {
    /// By itself.
    Served,
    /// The process is about to be killed.
    OutOfTime,
    /// Its reader was too slow.
    Cut(Cut),
}

async fn serve(state: &Rc<State>, accepted: &Accepted, responder: &mut Responder) {
    if let RouteKind::Stream { .. } = accepted.route.kind {
        handle_stream(state, accepted, responder).await;
    } else {
        handle_unary(state, accepted, responder).await;
    }
}

/// Ends a request that is still in flight when the process is about to be killed. Servers may have
/// run it.
async fn end(state: &State, accepted: &Accepted, responder: &mut Responder) {
    if responder.started() {
        return record_cut(state, accepted, "stopping");
    }
    log::info!(
        "request id={} choice=end reason=stopping",
        accepted.inbound.label()
    );
    let refusal = ErrorKind::DeadlinePassed.into();
    refuse(state, &refusal, Some(&accepted.inbound), responder).await;
}

/// Ends a request whose caller or server read too slowly. Servers may have run it.
async fn cut_reader(state: &State, accepted: &Accepted, cut: &Cut, responder: &mut Responder) {
    if cut.reader == Reader::Caller {
        slow_readers::record_cut(state, accepted, cut);
    }
    if responder.started() {
        responder.abort();
        return record_cut(state, accepted, cut.reason);
    }
    let refusal = ErrorKind::ServerLost.into();
    refuse(state, &refusal, Some(&accepted.inbound), responder).await;
}

async fn handle_unary(state: &Rc<State>, accepted: &Accepted, responder: &mut Responder) {
    let outcome = monoio::select! {
        outcome = unary::run(state, accepted) => outcome,
        fault = responder.closed() => return record_caller_gone(state, accepted, &fault),
    };
    match outcome {
        Ok(response) => send_response(state, accepted, response, responder).await,
        Err(refusal) => refuse(state, &refusal, Some(&accepted.inbound), responder).await,
    }
}

async fn handle_stream(state: &Rc<State>, accepted: &Accepted, responder: &mut Responder) {
    let mut stream = Stream::new(state, accepted);
    match stream.run(responder).await {
        StreamOutcome::Complete => {
            record_answered(state, accepted, StatusCode::OK, stream.timing());
        }
        StreamOutcome::NotStreamed(response) => {
            send_response(state, accepted, response, responder).await;
        }
        StreamOutcome::Refused(refusal) => {
            refuse(state, &refusal, Some(&accepted.inbound), responder).await;
        }
        StreamOutcome::Truncated(failure) => record_cut(state, accepted, failure),
        StreamOutcome::CallerGone(fault) => {
            record_stream_abandoned(state, accepted, &fault, &stream);
        }
    }
}

async fn send_response(
    state: &State,
    accepted: &Accepted,
    response: Response,
    responder: &mut Responder,
) {
    let status = response.status;
    accepted.hold_answer(response.body.len().max(1));
    match responder.send(response).await {
        Ok(()) => record_answered(state, accepted, status, StreamTiming::default()),
        Err(fault) => record_caller_gone(state, accepted, &fault),
    }
}

fn record_answered(state: &State, accepted: &Accepted, status: StatusCode, timing: StreamTiming) {
    state.meter.increment(Counter::Answered);
    let total = state.now().saturating_duration_since(accepted.arrived_at);
    state.meter.record(Timer::Request, total);
    log::info!(
        "request id={} outcome=answered status={} first_ms={} longest_gap_ms={} events={} \
         max_output={} total_ms={} target_ms={}",
        accepted.inbound.label(),
        status.as_u16(),
        timing.first_chunk.unwrap_or(total).as_millis(),
        timing.longest_gap.as_millis(),
        timing.events,
        accepted.inbound.output_tokens.unwrap_or_default(),
        total.as_millis(),
        accepted.route.latency_target.as_millis()
    );
}

fn record_cut(state: &State, accepted: &Accepted, reason: impl Display) {
    state.meter.increment(Counter::Failed);
    log::info!(
        "request id={} outcome=cut reason={reason} total_ms={}",
        accepted.inbound.label(),
        elapsed_ms(state, accepted)
    );
}

fn record_caller_gone(state: &State, accepted: &Accepted, fault: &Fault) {
    state.meter.increment(Counter::Cancelled);
    log::info!(
        "request id={} outcome=caller_gone reason=\"{fault}\" total_ms={}",
        accepted.inbound.label(),
        elapsed_ms(state, accepted)
    );
}

/// Records that the caller left during a stream, with what it had received by then.
fn record_stream_abandoned(state: &State, accepted: &Accepted, fault: &Fault, stream: &Stream<'_>) {
    state.meter.increment(Counter::Cancelled);
    let timing = stream.timing();
    let first_ms = timing
        .first_chunk
        .map(|first| first.as_millis().to_string());
    log::info!(
        "request id={} outcome=caller_gone reason=\"{fault}\" first_ms={} events={} \
         longest_gap_ms={} servers={} total_ms={}",
        accepted.inbound.label(),
        first_ms.unwrap_or_default(),
        timing.events,
        timing.longest_gap.as_millis(),
        stream.server_labels(),
        elapsed_ms(state, accepted)
    );
}

fn elapsed_ms(state: &State, accepted: &Accepted) -> u128 {
    let elapsed = state.now().saturating_duration_since(accepted.arrived_at);
    elapsed.as_millis()
}

/// Refuses a request.
async fn refuse(
    state: &State,
    refusal: &Refusal,
    inbound: Option<&Inbound>,
    responder: &mut Responder,
) {
    let counter = match refusal.run() {
        RunStatus::NotRun => Counter::Refused,
        RunStatus::Ran | RunStatus::Unknown => Counter::Failed,
    };
    state.meter.increment(counter);
    log::info!(
        "request id={} outcome=refused code={} run=\"{}\" retry_ms={}",
        inbound.map_or("?", Inbound::label),
        refusal.kind.answer().code,
        refusal.run(),
        refusal.retry_after().unwrap_or_default().as_millis()
    );
    let response = (state.ports.ingress.refusal)(refusal, inbound);
    if let Err(fault) = responder.send(response).await {
        log::debug!("refusal not delivered: {fault}");
    }
}
