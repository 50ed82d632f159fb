//! One caller's request: sent, read to the end, and sent once more if it was
//! refused without having run.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use http::HeaderMap;
use pomeloridge_base::clock::SharedClock;
use pomeloridge_base::error::RunStatus;
use pomeloridge_base::http::{ConnectOptions, Connection, Fault, HttpResponseHead};

use crate::arrivals::Arrival;
use crate::balancer::Balancer;
use crate::message::{Message, message};
use crate::plan::{Kind, Plan};
use crate::record::Record;
use crate::run::Endpoints;
use crate::stream::{TokenStream, read_error};

/// Time for connecting to a node; the machine of a trial is busy.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Times that one request is sent at most.
const SENDINGS: u32 = 2;
/// Bytes of an answer that is no stream.
const BODY_BYTES: usize = 1024 * 1024;
/// Code of a request for which no node could be reached.
const NO_NODE: &str = "no_node";
/// Code of an answer that was cut.
const CUT: &str = "cut";
/// Code of an answer whose end the caller waited for in vain.
const GAVE_UP: &str = "gave_up";
/// Statuses of a lookup's right answers; the stand-ins don't share what they store.
const LOOKUP_STATUSES: [u16; 2] = [200, 404];
/// Status of a submission's right answer.
const CREATED: u16 = 201;

/// What the requests of one thread share.
pub(crate) struct Sender {
    pub(crate) plan: Plan,
    pub(crate) endpoints: Endpoints,
    pub(crate) clock: SharedClock,
    pub(crate) origin: Instant,
    pub(crate) balancer: RefCell<Balancer>,
}

impl Sender {
    /// Time since the start of the run.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.origin)
    }

    /// Sends a request, and sends it again after the time that a refusal names.
    pub(crate) async fn serve(&self, arrival: &Arrival) -> Record {
        let account = &self.plan.accounts[arrival.account].name;
        let message = message(&self.plan, arrival, self.endpoints.key(account));
        let mut record = Record::new(arrival, self.now());
        loop {
            record.sent += 1;
            if let Err(fault) = self.exchange(&message, &mut record).await {
                log::debug!("serial={} fault={fault}", arrival.serial);
                record.whole = false;
                code_of(&fault).clone_into(&mut record.code);
            }
            record.end = self.now();
            let wait = record.retry.filter(|_| record.refused());
            let Some(wait) = wait.filter(|_| record.sent < SENDINGS) else {
                return record;
            };
            monoio::time::sleep(wait).await;
            record.clear();
        }
    }

    /// Sends a request once and reads its answer to the end.
    async fn exchange(&self, message: &Message, record: &mut Record) -> Result<(), Fault> {
        let Some(mut connection) = self.connect(record).await else {
            NO_NODE.clone_into(&mut record.code);
            return Ok(());
        };
        let deadline = self.clock.now() + Duration::from_secs_f64(self.plan.patience_s);
        connection.send(&message.request, deadline).await?;
        let head = connection.read_head(deadline).await?;
        record.status = head.status.as_u16();
        take_head(record, &head.headers);
        if record.kind.is_model() && head.status.is_success() {
            let mut stream = TokenStream::new(&message.prompt, message.tokens);
            let read = self.read(&mut stream, record, connection, deadline).await;
            take_stream(record, stream);
            return read;
        }
        let body = connection.read_body(BODY_BYTES, deadline).await?;
        take_body(record, &head, &body);
        Ok(())
    }

    async fn read(
        &self,
        stream: &mut TokenStream<'_>,
        record: &Record,
        mut connection: Connection,
        deadline: Instant,
    ) -> Result<(), Fault> {
        while let Some(piece) = connection.read_chunk(deadline).await? {
            stream.take(&piece, self.now().saturating_sub(record.start));
        }
        stream.finish();
        Ok(())
    }

    /// Connects to the next node that takes the connection.
    async fn connect(&self, record: &mut Record) -> Option<Connection> {
        let options = ConnectOptions {
            timeout: CONNECT_TIME,
            ..ConnectOptions::default()
        };
        loop {
            let address = self.balancer.borrow_mut().pick(self.clock.now())?;
            match Connection::open(address, options).await {
                Ok(connection) => return Some(connection),
                Err(fault) => {
                    log::debug!("node={address} reason=\"{fault}\"");
                    record.unreached += 1;
                    let now = self.clock.now();
                    self.balancer.borrow_mut().leave_out(address, now);
                }
            }
        }
    }
}

fn take_stream(record: &mut Record, stream: TokenStream<'_>) {
    record.right = stream.right;
    record.tokens = stream.arrivals;
    record.whole = stream.whole && stream.failure.is_none();
    if let Some(failure) = stream.failure {
        record.run = run_of(&failure.run);
        record.code = failure.code;
    }
}

fn take_head(record: &mut Record, headers: &HeaderMap) {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    record.run = text("x-run").and_then(run_of);
    let seconds = text("retry-after").and_then(|value| value.parse().ok());
    record.retry = seconds.map(Duration::from_secs);
}

/// Takes an answer that is no stream.
fn take_body(record: &mut Record, head: &HttpResponseHead, body: &[u8]) {
    record.whole = true;
    // Only answers of the system itself say whether the request ran.
    if record.run.is_some() || !service_answer(record) {
        let failure = read_error(body);
        record.code = failure.code;
        let exact = failure.retry_after_ms.map(Duration::from_millis);
        record.retry = exact.or(record.retry);
        return;
    }
    record.right = head.headers.contains_key("x-request-id") && right_body(record, body);
}

/// Whether the answer is one that the plain service gives to such a request.
fn service_answer(record: &Record) -> bool {
    match record.kind {
        Kind::Submission => record.status == CREATED,
        Kind::Lookup => LOOKUP_STATUSES.contains(&record.status),
        Kind::ShortPrompt | Kind::LongPrompt | Kind::Chat => false,
    }
}

fn right_body(record: &Record, body: &[u8]) -> bool {
    let value = serde_json::from_slice::<serde_json::Value>(body).unwrap_or_default();
    match (record.kind, record.status) {
        (Kind::Submission, _) => value["id"].is_u64(),
        (Kind::Lookup, 200) => value["reference"].is_string(),
        (Kind::Lookup, _) => true,
        (Kind::ShortPrompt | Kind::LongPrompt | Kind::Chat, _) => false,
    }
}

fn code_of(fault: &Fault) -> &'static str {
    match fault {
        Fault::Timeout => GAVE_UP,
        Fault::Connect(_)
        | Fault::Closed
        | Fault::Io(_)
        | Fault::Malformed(_)
        | Fault::HeadTooLarge
        | Fault::BodyTooLarge => CUT,
    }
}

/// Whether a code stands for an answer that never ended.
pub(crate) fn never_ended(code: &str) -> bool {
    code == CUT || code == GAVE_UP
}

fn run_of(text: &str) -> Option<RunStatus> {
    let all = [RunStatus::NotRun, RunStatus::Ran, RunStatus::Unknown];
    all.into_iter().find(|run| run.to_string() == text)
}
