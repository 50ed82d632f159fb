//! The entry of every request, and its final answer.

use std::rc::Rc;

use http::StatusCode;
use pomeloridge_base::error::Run;
use pomeloridge_base::http::{Fault, Request, Responder, Response};
use pomeloridge_base::meter::{Counter, Timer};
use pomeloridge_base::refusal::Refusal;

use crate::accept::{Accepted, accept};
use crate::call;
use crate::config::RouteKind;
use crate::request::Inbound;
use crate::state::State;
use crate::stream::{Stream, StreamEnd, Timing};

/// Answers one request.
pub(crate) async fn handle(
    state: &Rc<State>,
    request: Result<Request, Fault>,
    responder: &mut Responder,
) {
    state.meter.one(Counter::Requests);
    let request = match request {
        Ok(request) => request,
        Err(fault) => return refuse(state, &fault.into(), None, responder).await,
    };
    let label = (state.ports.ingress.request_id)(&request);
    let inbound = match (state.ports.ingress.decode)(request) {
        Ok(inbound) => inbound,
        Err(kind) => {
            log::info!(
                "request id={} choice=refuse reason=\"its head cannot be read\" code={}",
                label.as_deref().unwrap_or("?"),
                kind.answer().code
            );
            return refuse(state, &kind.into(), None, responder).await;
        }
    };
    let accepted = match accept(state, inbound) {
        Ok(accepted) => accepted,
        Err(refused) => {
            let (kind, inbound) = *refused;
            return refuse(state, &kind.into(), Some(&inbound), responder).await;
        }
    };
    state.count_request(&accepted.service);
    // The request may have waited for a process that was slow or frozen.
    if responder.is_gone() {
        return gone(state, &accepted);
    }
    if let RouteKind::Stream { .. } = accepted.route.kind {
        stream(state, &accepted, responder).await;
    } else {
        whole(state, &accepted, responder).await;
    }
}

async fn whole(state: &Rc<State>, accepted: &Accepted, responder: &mut Responder) {
    let outcome = monoio::select! {
        outcome = call::run(state, accepted) => outcome,
        () = responder.gone() => return gone(state, accepted),
    };
    match outcome {
        Ok(response) => deliver(state, accepted, response, responder).await,
        Err(refusal) => refuse(state, &refusal, Some(&accepted.inbound), responder).await,
    }
}

async fn stream(state: &Rc<State>, accepted: &Accepted, responder: &mut Responder) {
    let mut stream = Stream::new(state, accepted);
    match stream.run(responder).await {
        StreamEnd::Complete => answered(state, accepted, StatusCode::OK, stream.timing()),
        StreamEnd::Whole(response) => deliver(state, accepted, response, responder).await,
        StreamEnd::Refused(refusal) => {
            refuse(state, &refusal, Some(&accepted.inbound), responder).await;
        }
        StreamEnd::Cut(failure) => {
            state.meter.one(Counter::Failed);
            log::info!(
                "request id={} outcome=cut reason={failure} total_ms={}",
                accepted.inbound.label(),
                elapsed_ms(state, accepted)
            );
        }
        StreamEnd::Gone => gone(state, accepted),
    }
}

async fn deliver(
    state: &State,
    accepted: &Accepted,
    response: Response,
    responder: &mut Responder,
) {
    let status = response.status;
    match responder.send(response).await {
        Ok(()) => answered(state, accepted, status, Timing::default()),
        Err(_) => gone(state, accepted),
    }
}

fn answered(state: &State, accepted: &Accepted, status: StatusCode, timing: Timing) {
    state.meter.one(Counter::Answered);
    let total = state.now().saturating_duration_since(accepted.arrived);
    state.meter.time(Timer::Total, total);
    log::info!(
        "request id={} outcome=answered status={} first_ms={} longest_gap_ms={} total_ms={} \
         target_ms={}",
        accepted.inbound.label(),
        status.as_u16(),
        timing.first.unwrap_or(total).as_millis(),
        timing.longest_gap.as_millis(),
        total.as_millis(),
        accepted.route.latency_target.as_millis()
    );
}

fn gone(state: &State, accepted: &Accepted) {
    state.meter.one(Counter::Cancelled);
    log::info!(
        "request id={} outcome=caller_gone total_ms={}",
        accepted.inbound.label(),
        elapsed_ms(state, accepted)
    );
}

fn elapsed_ms(state: &State, accepted: &Accepted) -> u128 {
    let elapsed = state.now().saturating_duration_since(accepted.arrived);
    elapsed.as_millis()
}

/// Gives a request its final answer as a refusal.
async fn refuse(
    state: &State,
    refusal: &Refusal,
    inbound: Option<&Inbound>,
    responder: &mut Responder,
) {
    let counter = match refusal.run() {
        Run::NotRun => Counter::Refused,
        Run::Ran | Run::Unknown => Counter::Failed,
    };
    state.meter.one(counter);
    log::info!(
        "request id={} outcome=refused code={} run=\"{}\" retry_ms={}",
        inbound.map_or("?", Inbound::label),
        refusal.kind.answer().code,
        refusal.run(),
        refusal.retry().unwrap_or_default().as_millis()
    );
    let response = (state.ports.ingress.refusal)(refusal, inbound);
    if let Err(fault) = responder.send(response).await {
        log::debug!("refusal not delivered: {fault}");
    }
}
