//! Claims of idempotency keys: a request with a key that was used before gets
//! the stored answer, never a second run.
//!
//! A claim is an object that is created, if absent, before the request is sent
//! to a backend server. The object service decides between two nodes that are
//! given the same key; while it is down such requests are refused as not run.

use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::Response;
use pomeloridge_base::id::{Name, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::frontend::LocalFuture;
use crate::refusal::Refusal;

/// Bytes of an answer that are kept with its claim.
const KEPT_ANSWER_BYTES: usize = 256 * 1024;
/// Bytes that an idempotency key may have.
const KEY_BYTES: usize = 256;
/// Pauses between attempts to store an outcome while the service is down.
const STORE_PAUSE: Duration = Duration::from_millis(500);
/// Attempts to store an outcome.
const STORE_ATTEMPTS: u32 = 120;

/// What came of creating a claim.
#[derive(Clone, Debug)]
pub enum CreateOutcome {
    /// It was created, at this version.
    Created(Revision),
    /// It was there already.
    Exists(Value),
    /// The object service did not confirm it; it may have been created.
    Unconfirmed,
}

type Create = dyn Fn(String, Value) -> LocalFuture<CreateOutcome>;
type Replace = dyn Fn(String, Value, Revision) -> LocalFuture<Result<(), ErrorKind>>;
type Remove = dyn Fn(String, Value) -> LocalFuture<Result<(), ErrorKind>>;

/// Where claims are kept.
#[derive(Clone)]
pub struct ClaimStore {
    /// Creates an object if there is none.
    pub create: Rc<Create>,
    /// Replaces an object at a version.
    pub replace: Rc<Replace>,
    /// Removes an object if it still has this value.
    pub remove: Rc<Remove>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Running,
    Done,
    Unknown,
}

/// The value of a claim object.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct WireClaim {
    owner: String,
    request: String,
    state: State,
    /// When a running request is sure to have ended, in ms since the Unix epoch.
    until: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    answer: Option<WireAnswer>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct WireAnswer {
    status: u16,
    headers: Vec<(String, String)>,
    /// In hexadecimal.
    body: String,
}

/// A claim that this node holds.
pub(crate) struct Claim {
    store: ClaimStore,
    key: String,
    version: Revision,
    value: WireClaim,
}

/// What a request with an idempotency key may do.
pub(crate) enum Claimed {
    /// It may run.
    Run(Claim),
    /// It ran before; this was the answer.
    Answer(Response),
}

/// The request that a claim is for.
pub(crate) struct Subject<'a> {
    pub(crate) account: &'a Name,
    pub(crate) key: &'a str,
    pub(crate) fingerprint: &'a [u8; 32],
    pub(crate) request_id: &'a str,
    /// Time now and time at which the request is sure to have ended, in ms.
    pub(crate) now_ms: u64,
    pub(crate) until_ms: u64,
}

/// Claims an idempotency key, or says what came of its first use.
pub(crate) async fn claim(store: &ClaimStore, subject: &Subject<'_>) -> Result<Claimed, Refusal> {
    if subject.key.is_empty() || subject.key.len() > KEY_BYTES {
        let detail = format!("the idempotency key must have 1 to {KEY_BYTES} bytes");
        return Err(Refusal::with_detail(ErrorKind::BadRequest, detail));
    }
    let key = object_key(subject.account, subject.key);
    let value = WireClaim {
        owner: subject.request_id.to_owned(),
        request: hex::encode(subject.fingerprint),
        state: State::Running,
        until: subject.until_ms,
        answer: None,
    };
    match (store.create)(key.clone(), encode(&value)).await {
        CreateOutcome::Created(version) => Ok(Claimed::Run(Claim {
            store: store.clone(),
            key,
            version,
            value,
        })),
        CreateOutcome::Exists(found) => repeat(&found, subject),
        CreateOutcome::Unconfirmed => {
            // The claim may have been created although nothing runs under it.
            monoio::spawn(remove(store.clone(), key, encode(&value)));
            Err(ErrorKind::ClaimsDown.into())
        }
    }
}

/// The answer to a key that was used before.
fn repeat(found: &Value, subject: &Subject<'_>) -> Result<Claimed, Refusal> {
    let Ok(claim) = serde_json::from_value::<WireClaim>(found.clone()) else {
        return Err(ErrorKind::ClaimUnknown.into());
    };
    if claim.request != hex::encode(subject.fingerprint) {
        return Err(ErrorKind::ClaimMismatch.into());
    }
    match (claim.state, claim.answer) {
        (State::Done, Some(answer)) => Ok(Claimed::Answer(answer.into())),
        (State::Running, _) if subject.now_ms < claim.until => Err(ErrorKind::ClaimRunning.into()),
        (State::Done, None) => Err(Refusal::with_detail(
            ErrorKind::ClaimUnknown,
            "the request ran; its answer was too large to be kept",
        )),
        (State::Running | State::Unknown, _) => Err(ErrorKind::ClaimUnknown.into()),
    }
}

impl Claim {
    /// Stores the answer, so that a repeat gets it.
    pub(crate) async fn done(mut self, response: &Response) {
        self.value.state = State::Done;
        if response.body.len() <= KEPT_ANSWER_BYTES {
            self.value.answer = Some(response.into());
        }
        self.store_outcome().await;
    }

    /// Stores that the request was sent and its outcome is unknown.
    pub(crate) async fn unknown(mut self) {
        self.value.state = State::Unknown;
        self.store_outcome().await;
    }

    /// Gives the claim up: the request was not run, and a repeat may run.
    pub(crate) async fn release(self) {
        let value = encode(&self.value);
        let removed = (self.store.remove)(self.key.clone(), value.clone()).await;
        if removed.is_err() {
            monoio::spawn(remove(self.store, self.key, value));
        }
    }

    async fn store_outcome(self) {
        let value = encode(&self.value);
        let stored = (self.store.replace)(self.key.clone(), value.clone(), self.version).await;
        if stored.is_ok() {
            return;
        }
        // The caller is not kept waiting for a service that is down.
        monoio::spawn(async move {
            for _ in 0..STORE_ATTEMPTS {
                monoio::time::sleep(STORE_PAUSE).await;
                let replace = (self.store.replace)(self.key.clone(), value.clone(), self.version);
                if !matches!(replace.await, Err(ErrorKind::PlatformDown)) {
                    return;
                }
            }
            log::error!(
                "the outcome of a claim could not be stored; a repeat is told that it is unknown"
            );
        });
    }
}

async fn remove(store: ClaimStore, key: String, value: Value) {
    for _ in 0..STORE_ATTEMPTS {
        monoio::time::sleep(STORE_PAUSE).await;
        if (store.remove)(key.clone(), value.clone()).await.is_ok() {
            return;
        }
    }
    log::error!(
        "a claim under which nothing ran could not be removed; a repeat is told that its outcome is unknown"
    );
}

fn encode(claim: &WireClaim) -> Value {
    serde_json::to_value(claim).unwrap_or_default()
}

fn object_key(account: &Name, key: &str) -> String {
    let account = hex::encode(account.as_bytes());
    let hash = hex::encode(Sha256::digest(key.as_bytes()));
    format!("claim/{account}/{hash}")
}

impl From<&Response> for WireAnswer {
    fn from(response: &Response) -> Self {
        let headers = response.headers.iter().filter_map(|(name, value)| {
            Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
        });
        Self {
            status: response.status.as_u16(),
            headers: headers.collect(),
            body: hex::encode(&response.body),
        }
    }
}

impl From<WireAnswer> for Response {
    fn from(wire: WireAnswer) -> Self {
        let body = hex::decode(&wire.body).unwrap_or_default();
        let mut response = Self::new(wire.status, body);
        for (name, value) in wire.headers {
            let name = http::HeaderName::from_bytes(name.as_bytes());
            let value = http::HeaderValue::from_str(&value);
            if let (Ok(name), Ok(value)) = (name, value) {
                response.headers.append(name, value);
            }
        }
        response.with_header("x-idempotent-replay", "true")
    }
}
