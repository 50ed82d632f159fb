//! Sends one request, reads its answer to the end, and retries once if it was
//! refused without having run.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use http::HeaderMap;
use pomeloridge_base::clock::SharedClock;
use pomeloridge_base::error::RunStatus;
use pomeloridge_base::http::{ConnectOptions, Connection, Fault, HttpResponseHead};

use crate::arrivals::Arrival;
use crate::balancer::Balancer;
use crate::message::{Message, build_message};
use crate::plan::{Kind, Plan};
use crate::record::Record;
use crate::run::Endpoints;
use crate::stream::{TokenStream, parse_error};

/// Timeout for connecting to a node; long, because the host of a run is heavily loaded.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of times that one request is sent.
const MAX_ATTEMPTS: u32 = 2;
/// Maximum size of an unstreamed answer, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Code of a request for which no node could be reached.
const NO_NODE: &str = "no_node";
/// Code of an answer whose connection failed before its end.
const CUT: &str = "cut";
/// Code of an answer that did not end before the caller's timeout.
const GAVE_UP: &str = "gave_up";
/// Statuses of a correct lookup answer; 404 is one because the stand-ins don't share
/// their stored data.
const LOOKUP_STATUSES: [u16; 2] = [200, 404];
/// Status of a correct submission answer.
const CREATED: u16 = 201;

/// Sends requests; shared by all requests of one thread.
pub(crate) struct Sender {
    pub(crate) plan: Plan,
    pub(crate) endpoints: Endpoints,
    pub(crate) clock: SharedClock,
    pub(crate) origin: Instant,
    pub(crate) balancer: RefCell<Balancer>,
}

impl Sender {
    /// Returns the time since the start of the run.
    pub(crate) fn elapsed(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.origin)
    }

    /// Sends a request and retries it after the delay that a refusal asks for.
    pub(crate) async fn send(&self, arrival: &Arrival) -> Record {
        let account = &self.plan.accounts[arrival.account].name;
        let message = build_message(&self.plan, arrival, self.endpoints.key(account));
        let mut record = Record::new(arrival, self.elapsed());
        loop {
            record.attempts += 1;
            if let Err(fault) = self.send_once(&message, &mut record).await {
                log::debug!("serial={} fault={fault}", arrival.serial);
                record.complete = false;
                fault_code(&fault).clone_into(&mut record.code);
            }
            record.end = self.elapsed();
            let wait = record.retry_after.filter(|_| record.refused());
            let Some(wait) = wait.filter(|_| record.attempts < MAX_ATTEMPTS) else {
                return record;
            };
            monoio::time::sleep(wait).await;
            record.reset();
        }
    }

    /// Sends a request once and reads its answer to the end.
    async fn send_once(&self, message: &Message, record: &mut Record) -> Result<(), Fault> {
        let Some(mut connection) = self.connect(record).await else {
            NO_NODE.clone_into(&mut record.code);
            return Ok(());
        };
        let deadline = self.clock.now() + Duration::from_secs_f64(self.plan.timeout_s);
        connection.send(&message.request, deadline).await?;
        let head = connection.read_head(deadline).await?;
        record.status = head.status.as_u16();
        record_head(record, &head.headers);
        if record.kind.is_model() && head.status.is_success() {
            let mut stream = TokenStream::new(&message.prompt, message.tokens);
            let result = self
                .read_stream(&mut stream, record, connection, deadline)
                .await;
            record_stream(record, stream);
            return result;
        }
        let body = connection.read_body(MAX_BODY_BYTES, deadline).await?;
        record_body(record, &head, &body);
        Ok(())
    }

    async fn read_stream(
        &self,
        stream: &mut TokenStream<'_>,
        record: &Record,
        mut connection: Connection,
        deadline: Instant,
    ) -> Result<(), Fault> {
        while let Some(chunk) = connection.read_chunk(deadline).await? {
            stream.push(&chunk, self.elapsed().saturating_sub(record.start));
        }
        stream.finish();
        Ok(())
    }

    /// Connects to the next node that accepts the connection.
    async fn connect(&self, record: &mut Record) -> Option<Connection> {
        let options = ConnectOptions {
            timeout: CONNECT_TIMEOUT,
            ..ConnectOptions::default()
        };
        loop {
            let address = self.balancer.borrow_mut().pick(self.clock.now())?;
            match Connection::open(address, options).await {
                Ok(connection) => return Some(connection),
                Err(fault) => {
                    log::debug!("node={address} reason=\"{fault}\"");
                    record.connect_failures += 1;
                    let now = self.clock.now();
                    self.balancer.borrow_mut().exclude(address, now);
                }
            }
        }
    }
}

fn record_stream(record: &mut Record, stream: TokenStream<'_>) {
    record.correct = stream.correct;
    record.tokens = stream.arrivals;
    record.complete = stream.complete && stream.failure.is_none();
    if let Some(failure) = stream.failure {
        record.run_status = parse_run_status(&failure.run);
        record.code = failure.code;
    }
}

fn record_head(record: &mut Record, headers: &HeaderMap) {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    record.run_status = text("x-run").and_then(parse_run_status);
    let seconds = text("retry-after").and_then(|value| value.parse().ok());
    record.retry_after = seconds.map(Duration::from_secs);
}

/// Records an unstreamed answer.
fn record_body(record: &mut Record, head: &HttpResponseHead, body: &[u8]) {
    record.complete = true;
    // Only error answers of the gateway report whether the request ran.
    if record.run_status.is_some() || !is_service_answer(record) {
        let failure = parse_error(body);
        record.code = failure.code;
        let exact = failure.retry_after_ms.map(Duration::from_millis);
        record.retry_after = exact.or(record.retry_after);
        return;
    }
    record.correct = head.headers.contains_key("x-request-id") && is_correct_body(record, body);
}

/// Returns whether the status is one with which the plain service answers this kind of request.
fn is_service_answer(record: &Record) -> bool {
    match record.kind {
        Kind::Submission => record.status == CREATED,
        Kind::Lookup => LOOKUP_STATUSES.contains(&record.status),
        Kind::ShortPrompt | Kind::LongPrompt | Kind::Chat => false,
    }
}

fn is_correct_body(record: &Record, body: &[u8]) -> bool {
    let value = serde_json::from_slice::<serde_json::Value>(body).unwrap_or_default();
    match (record.kind, record.status) {
        (Kind::Submission, _) => value["id"].is_u64(),
        (Kind::Lookup, 200) => value["reference"].is_string(),
        (Kind::Lookup, _) => true,
        (Kind::ShortPrompt | Kind::LongPrompt | Kind::Chat, _) => false,
    }
}

fn fault_code(fault: &Fault) -> &'static str {
    match fault {
        Fault::Timeout => GAVE_UP,
        Fault::Connect(_)
        | Fault::Closed
        | Fault::Io(_)
        | Fault::Malformed(_)
        | Fault::HeadTooLarge
        | Fault::BodyTooLarge
        | Fault::OutOfMemory => CUT,
    }
}

/// Returns whether a code marks an answer that never ended.
pub(crate) fn is_incomplete(code: &str) -> bool {
    code == CUT || code == GAVE_UP
}

fn parse_run_status(text: &str) -> Option<RunStatus> {
    let all = [RunStatus::NotRun, RunStatus::Ran, RunStatus::Unknown];
    all.into_iter().find(|run| run.to_string() == text)
}
