//! Claims of idempotency keys: a request whose key was used before gets the
//! stored answer and is not run again.
//!
//! A claim is an object that is created, if absent, before the request is sent
//! to a backend server. If two nodes receive the same key, the object service
//! decides between them. While it is down, requests with a key are refused as not
//! run.

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

/// Maximum body size of an answer stored with its claim, in bytes.
const MAX_STORED_ANSWER_BYTES: usize = 256 * 1024;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Interval between attempts to store an outcome or remove a claim.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum attempts in the background to store an outcome or remove a claim.
const MAX_STORE_ATTEMPTS: u32 = 120;

/// Result of creating a claim.
#[derive(Clone, Debug)]
pub enum CreateOutcome {
    /// Created, at this version.
    Created(Revision),
    /// Already present, with this value.
    Exists(Value),
    /// Not confirmed by the object service; it may have been created.
    Unconfirmed,
}

type Create = dyn Fn(String, Value) -> LocalFuture<CreateOutcome>;
type Replace = dyn Fn(String, Value, Revision) -> LocalFuture<Result<(), ErrorKind>>;
type Remove = dyn Fn(String, Value) -> LocalFuture<Result<(), ErrorKind>>;

/// Access to the claims in the object service.
#[derive(Clone)]
pub struct ClaimStore {
    /// Creates an object if it is absent.
    pub create: Rc<Create>,
    /// Replaces an object at a version.
    pub replace: Rc<Replace>,
    /// Removes an object unless another request owns it.
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
    /// Time by which a running request has ended, in ms since the Unix epoch.
    until: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    answer: Option<WireAnswer>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct WireAnswer {
    status: u16,
    headers: Vec<(String, String)>,
    /// Hexadecimal.
    body: String,
}

/// A claim held by this node.
pub(crate) struct Claim {
    store: ClaimStore,
    key: String,
    version: Revision,
    value: WireClaim,
}

/// How a request with an idempotency key proceeds.
pub(crate) enum ClaimOutcome {
    /// It runs under this claim.
    Run(Claim),
    /// It ran before and gets the stored answer.
    Replay(Response),
}

/// A request with an idempotency key.
pub(crate) struct ClaimRequest<'a> {
    pub(crate) account: &'a Name,
    pub(crate) key: &'a str,
    pub(crate) fingerprint: &'a [u8; 32],
    pub(crate) request_id: &'a str,
    /// Current time, in ms since the Unix epoch.
    pub(crate) now_ms: u64,
    /// Time by which the request has ended, in ms since the Unix epoch.
    pub(crate) until_ms: u64,
}

/// Claims an idempotency key, or returns the outcome of its first use.
pub(crate) async fn claim_key(
    store: &ClaimStore,
    request: &ClaimRequest<'_>,
) -> Result<ClaimOutcome, Refusal> {
    if request.key.is_empty() || request.key.len() > MAX_KEY_BYTES {
        let detail = format!("the idempotency key must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(Refusal::with_detail(ErrorKind::BadRequest, detail));
    }
    let key = object_key(request.account, request.key);
    let value = WireClaim {
        owner: request.request_id.to_owned(),
        request: hex::encode(request.fingerprint),
        state: State::Running,
        until: request.until_ms,
        answer: None,
    };
    match (store.create)(key.clone(), encode(&value)).await {
        CreateOutcome::Created(version) => Ok(ClaimOutcome::Run(Claim {
            store: store.clone(),
            key,
            version,
            value,
        })),
        CreateOutcome::Exists(found) => resolve_existing(&found, request),
        CreateOutcome::Unconfirmed => {
            // The claim may have been created, although its request is not run.
            monoio::spawn(remove_with_retries(store.clone(), key, encode(&value)));
            Err(ErrorKind::ClaimsDown.into())
        }
    }
}

/// Resolves a request whose key is already claimed.
fn resolve_existing(found: &Value, request: &ClaimRequest<'_>) -> Result<ClaimOutcome, Refusal> {
    let Ok(claim) = serde_json::from_value::<WireClaim>(found.clone()) else {
        return Err(ErrorKind::ClaimUnknown.into());
    };
    if claim.request != hex::encode(request.fingerprint) {
        return Err(ErrorKind::ClaimMismatch.into());
    }
    match (claim.state, claim.answer) {
        (State::Done, Some(answer)) => Ok(ClaimOutcome::Replay(answer.into())),
        (State::Running, _) if request.now_ms < claim.until => Err(ErrorKind::ClaimRunning.into()),
        (State::Done, None) => Err(Refusal::with_detail(
            ErrorKind::ClaimUnknown,
            "the request ran; its answer was too large to be kept",
        )),
        (State::Running | State::Unknown, _) => Err(ErrorKind::ClaimUnknown.into()),
    }
}

impl Claim {
    /// Stores the answer for repeated requests.
    pub(crate) async fn store_answer(mut self, response: &Response) {
        self.value.state = State::Done;
        if response.body.len() <= MAX_STORED_ANSWER_BYTES {
            self.value.answer = Some(response.into());
        }
        self.store_outcome().await;
    }

    /// Records that the request was sent and its outcome is unknown.
    pub(crate) async fn store_unknown(mut self) {
        self.value.state = State::Unknown;
        self.store_outcome().await;
    }

    /// Removes the claim of a request that was not run, so that a repeat can run.
    pub(crate) async fn release(self) {
        let value = encode(&self.value);
        let removed = (self.store.remove)(self.key.clone(), value.clone()).await;
        if removed.is_err() {
            monoio::spawn(remove_with_retries(self.store, self.key, value));
        }
    }

    async fn store_outcome(self) {
        let value = encode(&self.value);
        let stored = (self.store.replace)(self.key.clone(), value.clone(), self.version).await;
        if stored.is_ok() {
            return;
        }
        // Retries in the background, so that the caller need not wait.
        monoio::spawn(async move {
            for _ in 0..MAX_STORE_ATTEMPTS {
                monoio::time::sleep(STORE_RETRY_INTERVAL).await;
                let replace = (self.store.replace)(self.key.clone(), value.clone(), self.version);
                if !matches!(replace.await, Err(ErrorKind::PlatformDown)) {
                    return;
                }
            }
            log::error!(
                "the outcome of a claim could not be stored; repeats are answered with an unknown outcome"
            );
        });
    }
}

async fn remove_with_retries(store: ClaimStore, key: String, value: Value) {
    for _ in 0..MAX_STORE_ATTEMPTS {
        monoio::time::sleep(STORE_RETRY_INTERVAL).await;
        if (store.remove)(key.clone(), value.clone()).await.is_ok() {
            return;
        }
    }
    log::error!(
        "failed to remove the claim of a request that was not run; repeats are answered with an unknown outcome"
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
