//! Starts the fakes as processes and sends them requests.

// Each test file uses only some of these helpers.
#![allow(dead_code)]

use std::future::Future;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::{ConnectOptions, Connection, Fault, OutgoingRequest, Response, call};
use serde_json::Value;

/// Maximum time to wait for a response or condition.
pub const TIMEOUT: Duration = Duration::from_mins(1);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A fake running as a process, killed on drop.
pub struct Standin {
    child: Child,
    pub address: SocketAddr,
}

impl Standin {
    pub fn start(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_pomeloridge_standin"))
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        let out = child.stdout.take().expect("stdout is piped");
        BufReader::new(out).read_line(&mut line).expect("a line");
        let first: Value = serde_json::from_str(&line).expect("the first line is JSON");
        let address = first["address"].as_str().expect("the line has an address");
        Self {
            child,
            address: address.parse().expect("the address is valid"),
        }
    }

    pub async fn send(&self, request: OutgoingRequest) -> Result<Response, Fault> {
        call(self.address, &request, TIMEOUT).await
    }

    pub async fn get(&self, target: &str) -> (u16, Value) {
        let answer = self
            .send(OutgoingRequest::get(target))
            .await
            .expect("an answer");
        (answer.status.as_u16(), parse(&answer))
    }

    pub async fn put(&self, target: &str, value: Value) -> (u16, Value) {
        let request = OutgoingRequest::new(Method::PUT, target).json(&value);
        let answer = self.send(request).await.expect("an answer");
        (answer.status.as_u16(), parse(&answer))
    }

    pub async fn post(&self, target: &str, value: Value) -> (u16, Value) {
        let answer = self.send(post(target, &value)).await.expect("an answer");
        (answer.status.as_u16(), parse(&answer))
    }

    /// Returns the history lines of one kind.
    pub async fn history(&self, what: &str) -> Vec<Value> {
        let answer = self
            .send(OutgoingRequest::get("/history"))
            .await
            .expect("history");
        let text = String::from_utf8(answer.body.to_vec()).expect("text");
        let lines = text
            .lines()
            .map(|line| serde_json::from_str(line).expect("a line"));
        lines.filter(|line: &Value| line["what"] == what).collect()
    }

    /// Opens an event stream and reads the response head.
    pub async fn stream(&self, body: Value) -> (u16, Connection) {
        let options = ConnectOptions::default();
        let mut connection = Connection::open(self.address, options).await.expect("open");
        let end = Instant::now() + TIMEOUT;
        let request = post("/generate", &body);
        connection.send(&request, end).await.expect("sent");
        let head = connection.read_head(end).await.expect("a head");
        (head.status.as_u16(), connection)
    }

    /// Runs a generation and reads its stream to the end or to a failure.
    pub async fn generate(&self, body: Value) -> (u16, Vec<Value>) {
        let (status, mut connection) = self.stream(body).await;
        let mut text = Vec::new();
        while let Ok(Some(piece)) = connection.read_chunk(Instant::now() + TIMEOUT).await {
            text.extend_from_slice(&piece);
        }
        let text = String::from_utf8(text).expect("text");
        let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let events = events.map(|event| serde_json::from_str(event).expect("an event"));
        (status, events.collect())
    }

    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").arg(id).status().expect("kill runs");
        assert!(status.success());
    }

    pub async fn wait_exit(&mut self) -> ExitStatus {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().expect("a status") {
                return status;
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the program did not exit");
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn post(target: &str, value: &Value) -> OutgoingRequest {
    OutgoingRequest::new(Method::POST, target).json(value)
}

pub fn parse(answer: &Response) -> Value {
    serde_json::from_slice(&answer.body).unwrap_or(Value::Null)
}

/// Waits until a condition holds.
pub async fn wait_until(mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !holds().await {
        assert!(Instant::now() < end, "the condition never held");
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

pub fn run<T>(test: impl Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(test)
}
