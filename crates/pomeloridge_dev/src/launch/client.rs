//! Blocking HTTP calls for tests and tools.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::http::{ConnectOptions, Connection, Fault, OutgoingRequest, Response};
use serde_json::Value;

/// Time that a call may take.
const CALL_TIME: Duration = Duration::from_secs(30);

/// Runs a future on a runtime of its own.
pub fn block_on<F: Future>(future: F) -> F::Output {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .expect("a runtime can be made");
    runtime.block_on(future)
}

/// Sends a request on a fresh connection; connecting may take as long as the call.
pub async fn try_request(
    address: SocketAddr,
    request: &OutgoingRequest,
) -> Result<Response, Fault> {
    let options = ConnectOptions {
        timeout: Duration::from_secs(5),
        ..ConnectOptions::default()
    };
    let mut connection = Connection::open(address, options).await?;
    connection
        .exchange(request, Instant::now() + CALL_TIME)
        .await
}

/// Sends a request and waits.
pub fn request(address: SocketAddr, message: &OutgoingRequest) -> Result<Response, String> {
    block_on(try_request(address, message)).map_err(|fault| format!("{address}: {fault}"))
}

/// `GET` of JSON.
pub fn get_json(address: SocketAddr, target: &str) -> Result<Value, String> {
    json(&request(address, &OutgoingRequest::get(target))?)
}

/// `POST` of JSON, answered by JSON.
pub fn post_json(address: SocketAddr, target: &str, body: &Value) -> Result<Value, String> {
    let message = OutgoingRequest::new(http::Method::POST, target).json(body);
    json(&request(address, &message)?)
}

/// `PUT` of JSON, answered by JSON.
pub fn put_json(address: SocketAddr, target: &str, body: &Value) -> Result<Value, String> {
    let message = OutgoingRequest::new(http::Method::PUT, target).json(body);
    json(&request(address, &message)?)
}

fn json(answer: &Response) -> Result<Value, String> {
    let text = String::from_utf8_lossy(&answer.body);
    if !answer.status.is_success() {
        return Err(format!("{}: {text}", answer.status));
    }
    if text.trim().is_empty() {
        return Ok(Value::Null);
    }
    serde_json::from_str(&text).map_err(|error| format!("{error}: {text}"))
}
