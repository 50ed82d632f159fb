//! Calls to plain services.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method};
use pomeloridge_base::http::{ConnectOptions, Connection, OutgoingRequest, Response};

use crate::BackendError;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request ID, which the service may echo.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path with query.
    pub target: String,
    /// Headers to forward, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Timeout for the response head.
    pub first_byte: Duration,
    /// Timeout for each piece of the response body.
    pub gap: Duration,
}

/// Sends the call on a new connection and reads the complete response.
///
/// If the server closes a pooled connection, it is unknown whether the call ran. A new
/// connection avoids this for one round trip.
pub async fn forward(
    address: SocketAddr,
    call: &Call,
    connect: Duration,
    deadline: Instant,
) -> Result<Response, BackendError> {
    let options = ConnectOptions {
        timeout: connect,
        ..ConnectOptions::default()
    };
    let mut connection = Connection::open(address, options).await?;
    let mut message =
        OutgoingRequest::new(call.method.clone(), call.target.clone()).body(call.body.clone());
    message.headers = call.headers.clone();
    let message = message.with_header("x-request-id", &call.id);
    let head_deadline = deadline.min(Instant::now() + call.first_byte);
    connection.send(&message, head_deadline).await?;
    let head = connection.read_head(head_deadline).await?;
    if is_refusal(head.status.as_u16(), &head.headers) {
        return Err(BackendError::Refused);
    }
    let echoed = head.headers.get("x-request-id");
    if echoed.is_some_and(|id| id.as_bytes() != call.id.as_bytes()) {
        return Err(BackendError::Crossed);
    }
    let body = read_body(&mut connection, call.gap, deadline).await?;
    Ok(Response {
        status: head.status,
        headers: head.headers,
        body,
    })
}

async fn read_body(
    connection: &mut Connection,
    gap: Duration,
    deadline: Instant,
) -> Result<Bytes, BackendError> {
    let mut body = bytes::BytesMut::new();
    loop {
        let piece = connection
            .read_chunk(deadline.min(Instant::now() + gap))
            .await?;
        let Some(piece) = piece else {
            return Ok(body.freeze());
        };
        body.extend_from_slice(&piece);
        if body.len() > MAX_RESPONSE_BYTES {
            return Err(BackendError::Broken);
        }
    }
}

/// Returns whether the response reports that the call was not run.
fn is_refusal(status: u16, headers: &HeaderMap) -> bool {
    let not_run = headers.get("x-not-run").map(http::HeaderValue::as_bytes);
    status == 429 || (status == 503 && not_run == Some(b"true"))
}
