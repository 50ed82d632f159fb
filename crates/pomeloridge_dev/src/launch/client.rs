//! Blocking HTTP calls for tests and tools.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::http::{ConnectOptions, Connection, Fault, OutgoingRequest, Response};
use serde_json::Value;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a future to completion on a new runtime.
pub fn block_on<F: Future>(future: F) -> F::Output {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .expect("a runtime can be created");
    runtime.block_on(future)
}

/// Sends a request on a new connection, with a longer connect timeout than the default.
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
        .exchange(request, Instant::now() + CALL_TIMEOUT)
        .await
}

/// Sends a request and blocks until the response arrives.
pub fn request(address: SocketAddr, message: &OutgoingRequest) -> Result<Response, String> {
    block_on(try_request(address, message)).map_err(|fault| format!("{address}: {fault}"))
}

/// Sends a `GET` request; returns the JSON response.
pub fn get_json(address: SocketAddr, target: &str) -> Result<Value, String> {
    parse_json(&request(address, &OutgoingRequest::get(target))?)
}

/// Sends JSON in a `POST` request; returns the JSON response.
pub fn post_json(address: SocketAddr, target: &str, body: &Value) -> Result<Value, String> {
    let message = OutgoingRequest::new(http::Method::POST, target).json(body);
    parse_json(&request(address, &message)?)
}

/// Sends JSON in a `PUT` request; returns the JSON response.
pub fn put_json(address: SocketAddr, target: &str, body: &Value) -> Result<Value, String> {
    let message = OutgoingRequest::new(http::Method::PUT, target).json(body);
    parse_json(&request(address, &message)?)
}

fn parse_json(response: &Response) -> Result<Value, String> {
    let text = String::from_utf8_lossy(&response.body);
    if !response.status.is_success() {
        return Err(format!("{}: {text}", response.status));
    }
    if text.trim().is_empty() {
        return Ok(Value::Null);
    }
    serde_json::from_str(&text).map_err(|error| format!("{error}: {text}"))
}
