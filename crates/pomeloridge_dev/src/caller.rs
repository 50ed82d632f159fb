//! HTTP client for callers: sends requests and reads whole or streamed answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::{ConnectOptions, Connection, Fault, OutgoingRequest, Response};
use serde_json::{Value, json};

/// Timeout for connecting; long enough for a busy host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A request to `/v1/completions`.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Name of the model.
    pub model: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Timeout for the complete answer.
    pub timeout: Duration,
}

/// A streamed answer as it was received.
#[derive(Clone, Debug, Default)]
pub struct StreamOutcome {
    /// HTTP status.
    pub status: u16,
    /// Request id, from the header `x-request-id`.
    pub id: String,
    /// Texts of the tokens, in order.
    pub texts: Vec<String>,
    /// Index of each token, from its event id.
    pub indexes: Vec<u32>,
    /// Arrival time of each token, from the start of the request.
    pub arrivals: Vec<Duration>,
    /// Whether the end event and the end of the body arrived.
    pub complete: bool,
    /// Body of an answer other than 200, or the error that ended the stream.
    pub error: String,
}

impl Completion {
    /// Returns the HTTP request.
    pub fn request(&self, key: &str) -> OutgoingRequest {
        let body = json!({
            "model": self.model, "prompt": self.prompt,
            "max_tokens": self.max_tokens, "stream": self.stream,
        });
        authorized(
            OutgoingRequest::new(Method::POST, "/v1/completions").json(&body),
            key,
        )
    }

    /// Sends the request and reads its streamed answer to the end.
    pub async fn stream(&self, address: SocketAddr, key: &str) -> StreamOutcome {
        read_stream(address, &self.request(key), self.timeout).await
    }
}

/// Adds a key or operator token as bearer authorization.
pub fn authorized(request: OutgoingRequest, key: &str) -> OutgoingRequest {
    request.with_header("authorization", &format!("Bearer {key}"))
}

/// Sends a request on a new connection and reads the whole answer.
pub async fn send(
    address: SocketAddr,
    request: &OutgoingRequest,
    timeout: Duration,
) -> Result<Response, Fault> {
    let mut connection = open(address).await?;
    connection.exchange(request, Instant::now() + timeout).await
}

/// Sends a request on a new connection and reads a streamed answer to its end.
pub async fn read_stream(
    address: SocketAddr,
    request: &OutgoingRequest,
    timeout: Duration,
) -> StreamOutcome {
    let mut streamed = StreamOutcome::default();
    let start = Instant::now();
    if let Err(fault) = read_events(&mut streamed, address, request, start, timeout).await {
        streamed.error = fault.to_string();
        streamed.complete = false;
    }
    streamed
}

async fn open(address: SocketAddr) -> Result<Connection, Fault> {
    let options = ConnectOptions {
        timeout: CONNECT_TIMEOUT,
        ..ConnectOptions::default()
    };
    Connection::open(address, options).await
}

async fn read_events(
    streamed: &mut StreamOutcome,
    address: SocketAddr,
    request: &OutgoingRequest,
    start: Instant,
    timeout: Duration,
) -> Result<(), Fault> {
    let deadline = start + timeout;
    let mut connection = open(address).await?;
    connection.send(request, deadline).await?;
    let head = connection.read_head(deadline).await?;
    streamed.status = head.status.as_u16();
    let id = head.headers.get("x-request-id");
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    id.clone_into(&mut streamed.id);
    if streamed.status != 200 {
        let body = connection.read_body(1 << 20, deadline).await?;
        streamed.error = String::from_utf8_lossy(&body).into_owned();
        return Ok(());
    }
    let mut text = String::new();
    while let Some(chunk) = connection.read_chunk(deadline).await? {
        text += &String::from_utf8_lossy(&chunk);
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            record_event(streamed, &event, start);
        }
    }
    Ok(())
}

fn record_event(streamed: &mut StreamOutcome, event: &str, start: Instant) {
    let line = |prefix: &str| event.lines().find_map(|line| line.strip_prefix(prefix));
    let Some(data) = line("data: ") else { return };
    if data == "[DONE]" {
        streamed.complete = true;
        return;
    }
    if line("event: ") == Some("error") {
        data.clone_into(&mut streamed.error);
        return;
    }
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    let choice = &value["choices"][0];
    let token = choice["text"].as_str();
    let token = token.or_else(|| choice["delta"]["content"].as_str());
    let index = line("id: ").and_then(|id| id.rsplit_once(':')?.1.parse().ok());
    if let (Some(token), Some(index)) = (token, index) {
        streamed.texts.push(token.to_owned());
        streamed.indexes.push(index);
        streamed.arrivals.push(start.elapsed());
    }
}

/// Returns the token texts of a complete generation of the stand-in engine.
pub fn expected_tokens(prompt: &str, tokens: u32) -> Vec<String> {
    (0..tokens as usize)
        .map(|index| pomeloridge_standin::token(prompt, index))
        .collect()
}
