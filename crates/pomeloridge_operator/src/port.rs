//! Requests of the operator port: authentication and routing.

use http::Method;
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::{Fault, Request, Responder, Response};
use pomeloridge_base::id::Name;

use crate::refusal::{Refusal, RouteResult};
use crate::state::OperatorState;
use crate::{accounts, exceptions, fleet, percent};

/// Handles one request of the operator port.
pub async fn handle(
    state: &OperatorState,
    request: Result<Request, Fault>,
    responder: &mut Responder,
) {
    let response = match &request {
        Ok(request) => respond(state, request).await,
        Err(fault) => Refusal::from(fault).response(),
    };
    if let Err(fault) = responder.send(response).await {
        log::debug!("failed to send a response to an operator: {fault}");
    }
}

async fn respond(state: &OperatorState, request: &Request) -> Response {
    if let Some(response) = public_route(state, request) {
        return response;
    }
    let authorization = request.header("authorization").unwrap_or_default();
    let outcome = if let Some(by) = state.tokens.operator(authorization) {
        route(state, by, request).await
    } else {
        let peer = request.peer;
        log::warn!("operator request peer={peer} refused reason=token");
        Err(Refusal::from(ErrorKind::Forbidden))
    };
    match outcome {
        Ok((status, value)) => {
            Response::json(status, &value).with_header("cache-control", "no-store")
        }
        Err(refusal) => refusal.response(),
    }
}

/// Answers requests for probes and metrics, which need no token.
fn public_route(state: &OperatorState, request: &Request) -> Option<Response> {
    if request.method != Method::GET {
        return None;
    }
    match request.path() {
        "/healthz" => Some(Response::new(200, "ok\n")),
        "/readyz" => Some(match (state.ready)() {
            Ok(()) => Response::new(200, "ready\n"),
            Err(reason) => Response::new(503, format!("not ready: {reason}\n")),
        }),
        "/metrics" => {
            let content_type = "text/plain; version=0.0.4";
            Some(Response::new(200, (state.metrics)()).with_header("content-type", content_type))
        }
        _ => None,
    }
}

async fn route(state: &OperatorState, by: &Name, request: &Request) -> RouteResult {
    let path = request.path().strip_prefix('/').unwrap_or_default();
    let segments: Option<Vec<String>> = path.split('/').map(percent::decode).collect();
    let segments = segments.ok_or(ErrorKind::UnknownPath)?;
    let path: Vec<&str> = segments.iter().map(String::as_str).collect();
    let body = &request.body;
    match (request.method.as_str(), path.as_slice()) {
        ("GET", ["config"]) => fleet::get(state).await,
        ("PUT", ["config"]) => fleet::put(state, by, request).await,
        ("GET", ["config", "history"]) => fleet::history(state).await,
        ("GET", ["exceptions"]) => exceptions::list(state).await,
        ("POST", ["exceptions"]) => exceptions::add(state, by, request).await,
        ("DELETE", ["exceptions", id]) => exceptions::remove(state, by, id, request).await,
        ("GET", ["accounts"]) => accounts::list(state).await,
        ("POST", ["accounts"]) => accounts::add(state, by, body).await,
        ("POST", ["accounts", name, "keys"]) => {
            accounts::issue(state, by, &Name::from(*name), body).await
        }
        ("POST", ["accounts", name, "keys", id, "withdraw"]) => {
            accounts::withdraw(state, by, &Name::from(*name), id, body).await
        }
        ("GET", ["status"]) => Ok((200, (state.status)())),
        ("GET", ["usage"]) => Ok((200, (state.usage)().await?)),
        ("GET", ["explain", id]) => {
            let explained = (state.explain)(id).ok_or(ErrorKind::NotFound)?;
            Ok((200, explained))
        }
        _ => Err(Refusal::from(ErrorKind::UnknownPath)),
    }
}
