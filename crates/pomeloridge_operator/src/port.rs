//! The operator port: who may call what, and which route answers.

use http::Method;
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::{Fault, Request, Responder, Response};
use pomeloridge_base::id::Name;
use pomeloridge_base::secret::KeyHash;

use crate::answer::{Outcome, Refusal};
use crate::state::OperatorState;
use crate::{accounts, exceptions, fleet, percent};

/// Answers one request of the operator port.
pub async fn handle(
    state: &OperatorState,
    request: Result<Request, Fault>,
    responder: &mut Responder,
) {
    let response = match &request {
        Ok(request) => answer(state, request).await,
        Err(fault) => Refusal::from(fault).response(),
    };
    if let Err(fault) = responder.send(response).await {
        log::debug!("an answer to an operator was not written: {fault}");
    }
}

async fn answer(state: &OperatorState, request: &Request) -> Response {
    if let Some(response) = open_route(state, request) {
        return response;
    }
    let outcome = if let Some(by) = operator(state, request) {
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

/// Answers probes and metrics, which need no token.
fn open_route(state: &OperatorState, request: &Request) -> Option<Response> {
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
            let form = "text/plain; version=0.0.4";
            Some(Response::new(200, (state.metrics)()).with_header("content-type", form))
        }
        _ => None,
    }
}

/// The operator whose token the request carries.
///
/// Every token is compared, so that the time does not tell which one fits.
fn operator<'a>(state: &'a OperatorState, request: &Request) -> Option<&'a Name> {
    let (scheme, token) = request.header("authorization")?.split_once(' ')?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return None;
    }
    let given = KeyHash::of(token.trim().as_bytes());
    let mut found = None;
    for (name, hash) in &state.tokens {
        if hash.matches(&given) {
            found = Some(name);
        }
    }
    found
}

async fn route(state: &OperatorState, by: &Name, request: &Request) -> Outcome {
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
