//! A callers' port with fake backend servers, all in one runtime.
#![allow(dead_code, reason = "each test file uses its own part of this")]

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderMap, Method, StatusCode};
use pomeloridge_base::clock::{SharedClock, SystemClock};
use pomeloridge_base::config::{ConfigObject, ConfigView, FLEET_KEY, account_key};
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::{
    ConnectOptions, Connection, Fault, Limits, OutgoingRequest, Request, Responder, Response,
    Server,
};
use pomeloridge_base::id::{Incarnation, Name, Revision};
use pomeloridge_base::meter::Meter;
use pomeloridge_base::secret::KeyHash;
use pomeloridge_caller::{
    ClaimStore, CreateOutcome, DecisionLog, Frontend, IdGenerator, Policy, RunningRequests, Usage,
    Waiters,
};
use pomeloridge_policy::admission::Admission;
use pomeloridge_policy::demand::DemandMeter;
use pomeloridge_policy::estimate::OutputEstimates;
use pomeloridge_policy::prefix::PrefixHints;
use pomeloridge_policy::retry::RetryBudget;
use pomeloridge_policy::routing::{Router, RoutingPolicy};
use pomeloridge_policy::server::{ServerInfo, ServerKind, ServerState};
use pomeloridge_policy::server_table::{ServerTable, ServerTableSettings};
use pomeloridge_policy::suspicion::Suspicions;
use pomeloridge_policy::ticket::AdmissionSettings;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::{Value, json};

/// Key of the client account `crew`.
pub const KEY: &str = "sk-crew-0123456789";
/// A key of `crew` that has been withdrawn.
pub const WITHDRAWN: &str = "sk-crew-withdrawn";
/// Seed of the routing's random number generator.
const SEED: u64 = 7;

/// Runs a future on a runtime of its own.
pub fn run<F: Future>(future: F) -> F::Output {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(future)
}

/// What a fake server does with a request. Requests take one action of its script
/// each; the last one is repeated.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends a correct answer.
    Answer,
    /// Sends this many tokens, then closes the connection.
    Disconnect(usize),
    /// Sends this many tokens, then ends the body without an end event.
    Truncate(usize),
    /// Sends an answer with another request's ID.
    Cross,
    /// Refuses before any work.
    Refuse,
    /// Sends one token, then nothing more.
    Stall,
    /// Runs the call, then closes the connection without an answer.
    DisconnectAfterRun,
}

/// A request that a fake server ran.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Value,
}

/// A fake engine or service.
pub struct FakeServer {
    /// Listening address.
    pub address: SocketAddr,
    /// Requests received, without those refused.
    pub received: Rc<RefCell<Vec<ReceivedRequest>>>,
}

impl FakeServer {
    /// Starts a server that follows a script.
    pub fn start(script: Vec<Action>) -> Self {
        let received = Rc::new(RefCell::new(Vec::new()));
        let requests = Rc::clone(&received);
        let step = Cell::new(0);
        let address = serve(async move |request, responder: &mut Responder| {
            let Ok(request) = request else { return };
            let action = script[step.get().min(script.len() - 1)].clone();
            step.set(step.get() + 1);
            if matches!(action, Action::Refuse) {
                let refusal = Response::new(503, "").with_header("x-not-run", "true");
                let _ = responder.send(refusal).await;
                return;
            }
            requests.borrow_mut().push(ReceivedRequest {
                path: request.path().to_owned(),
                headers: request.headers.clone(),
                body: serde_json::from_slice(&request.body).unwrap_or_default(),
            });
            if request.path() == "/generate" {
                generate(&request, &action, responder).await;
            } else {
                call(&request, &action, responder).await;
            }
        });
        Self { address, received }
    }

    /// Returns the number of requests run.
    pub fn runs(&self) -> usize {
        self.received.borrow().len()
    }
}

/// Starts a server and returns its address.
pub fn serve<H>(handler: H) -> SocketAddr
where
    H: AsyncFn(Result<Request, Fault>, &mut Responder) + 'static,
{
    let listener = pomeloridge_base::net::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let limits = Limits {
        head_time: Duration::from_millis(300),
        body_time: Duration::from_millis(300),
        ..Limits::default()
    };
    let server = Server {
        limits: limits.into(),
        handler,
        stopping: || false,
    };
    monoio::spawn(Rc::new(server).run(listener));
    address
}

async fn generate(request: &Request, action: &Action, responder: &mut Responder) {
    let body: Value = serde_json::from_slice(&request.body).unwrap();
    let id = match action {
        Action::Cross => "another",
        _ => body["request_id"].as_str().unwrap(),
    };
    let first = body["resume"].as_array().unwrap().len();
    let end = body["max_tokens"].as_u64().unwrap() as usize;
    let stop = match action {
        Action::Disconnect(tokens) | Action::Truncate(tokens) => first + tokens,
        Action::Stall => first + 1,
        _ => end,
    };
    responder
        .start(StatusCode::OK, &HeaderMap::new())
        .await
        .unwrap();
    for index in first..stop.min(end) {
        let token = json!({"request_id": id, "index": index, "text": format!(" t{index}")});
        let _ = responder
            .send_chunk(format!("data: {token}\n\n").as_bytes())
            .await;
    }
    match action {
        Action::Disconnect(_) | Action::DisconnectAfterRun => {}
        Action::Stall => drop(responder.closed().await),
        Action::Truncate(_) => responder.finish().await.unwrap(),
        Action::Answer | Action::Cross | Action::Refuse => {
            let done = json!({"request_id": id, "done": true});
            let _ = responder
                .send_chunk(format!("data: {done}\n\n").as_bytes())
                .await;
            let _ = responder.finish().await;
        }
    }
}

async fn call(request: &Request, action: &Action, responder: &mut Responder) {
    let id = request.header("x-request-id").unwrap_or_default();
    let id = if matches!(action, Action::Cross) {
        "another"
    } else {
        id
    };
    if matches!(action, Action::DisconnectAfterRun) {
        return;
    }
    let answer = Response::new(201, request.body.clone()).with_header("x-request-id", id);
    let _ = responder.send(answer).await;
}

/// An object service in memory.
#[derive(Default)]
pub struct Objects {
    claims: RefCell<BTreeMap<String, (Revision, Value)>>,
    /// Whether every call fails.
    pub down: Cell<bool>,
    writes: Cell<u64>,
}

impl Objects {
    fn next(&self) -> Revision {
        self.writes.set(self.writes.get() + 1);
        Revision(self.writes.get())
    }

    fn create(&self, key: String, value: Value) -> CreateOutcome {
        if self.down.get() {
            return CreateOutcome::Unconfirmed;
        }
        let found = self.claims.borrow().get(&key).cloned();
        if let Some((_, found)) = found {
            return CreateOutcome::Exists(found);
        }
        let version = self.next();
        self.claims.borrow_mut().insert(key, (version, value));
        CreateOutcome::Created(version)
    }

    fn replace(&self, key: &str, value: Value, version: Revision) -> Result<(), ErrorKind> {
        if self.down.get() {
            return Err(ErrorKind::PlatformDown);
        }
        let next = self.next();
        let mut claims = self.claims.borrow_mut();
        match claims.get_mut(key) {
            Some(object) if object.0 == version => {
                *object = (next, value);
                Ok(())
            }
            _ => Err(ErrorKind::Conflict),
        }
    }

    fn remove(&self, key: &str) -> Result<(), ErrorKind> {
        if self.down.get() {
            return Err(ErrorKind::PlatformDown);
        }
        self.claims.borrow_mut().remove(key);
        Ok(())
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.borrow().len()
    }
}

/// A frontend on loopback and its dependencies.
pub struct Deployment {
    /// Address of the callers' port.
    pub caller: SocketAddr,
    /// State of the policies.
    pub policy: Rc<Policy>,
    /// Claims.
    pub objects: Rc<Objects>,
    /// Recorded usage.
    pub usage: Rc<RefCell<Vec<Usage>>>,
    /// Error returned by the gate, if any.
    pub gate: Rc<Cell<Option<ErrorKind>>>,
    /// Configuration in force.
    pub config: Rc<RefCell<ConfigView>>,
    /// Number of times suspicions were shared with the peers.
    pub suspicion_shares: Rc<Cell<usize>>,
}

impl Deployment {
    /// Starts a frontend for these engines and services.
    pub fn start(engines: &[&FakeServer], services: &[&FakeServer]) -> Self {
        let clock: SharedClock = Rc::new(SystemClock);
        let config = Rc::new(RefCell::new(config()));
        let policy = Rc::new(policy(&clock));
        let pools = [
            ("assistant", engines, ServerKind::Engine),
            ("filings", services, ServerKind::Service),
        ];
        let mut infos = Vec::new();
        for (pool, servers, kind) in pools {
            for (index, server) in servers.iter().enumerate() {
                infos.push(info(pool, index, server.address, kind));
            }
        }
        policy.servers.borrow_mut().sync(infos);
        for pool in ["assistant", "filings"].map(Name::from) {
            let capacity = policy.servers.borrow().capacity(&pool, clock.now());
            policy
                .admission
                .borrow_mut()
                .set_capacity(&pool, capacity, 1);
        }
        let objects = Rc::new(Objects::default());
        let usage = Rc::new(RefCell::new(Vec::new()));
        let gate = Rc::new(Cell::new(None::<ErrorKind>));
        let (recorded, closed) = (Rc::clone(&usage), Rc::clone(&gate));
        let suspicion_shares = Rc::new(Cell::new(0));
        let shares = Rc::clone(&suspicion_shares);
        let frontend = Frontend {
            clock: Rc::clone(&clock),
            config: Rc::clone(&config),
            policy: Rc::clone(&policy),
            ids: IdGenerator::new(&Name::from("node"), Incarnation(1), b"0123456789abcdef"),
            connect_timeout: Duration::from_millis(500),
            gate: Box::new(move || closed.get().map_or(Ok(()), Err)),
            record_usage: Box::new(move |usage| {
                recorded.borrow_mut().push(usage);
                Box::pin(async {})
            }),
            share_suspicions: Box::new(move || {
                shares.set(shares.get() + 1);
                Box::pin(async {})
            }),
            node: Name::from("node"),
            claims: claims(&objects),
            meter: Meter::noop(),
        };
        let caller = serve(async move |request, responder: &mut Responder| {
            frontend.handle(request, responder).await;
        });
        Self {
            caller,
            policy,
            objects,
            usage,
            gate,
            config,
            suspicion_shares,
        }
    }

    /// Sends a request on a new connection.
    pub async fn send(&self, request: &OutgoingRequest) -> Result<Response, Fault> {
        let mut connection = Connection::open(self.caller, ConnectOptions::default()).await?;
        let deadline = Instant::now() + Duration::from_secs(20);
        connection.exchange(request, deadline).await
    }
}

fn info(pool: &str, index: usize, address: SocketAddr, kind: ServerKind) -> ServerInfo {
    ServerInfo {
        id: Name::from(format!("{pool}-{index}")),
        address,
        data_centre: Name::from("dc-a"),
        pool: Name::from(pool),
        kind,
        preemptible: false,
        state: ServerState::Ready,
    }
}

fn policy(clock: &SharedClock) -> Policy {
    Policy {
        servers: RefCell::new(ServerTable::new(ServerTableSettings::new(Name::from(
            "dc-a",
        )))),
        hints: RefCell::new(PrefixHints::new(1024)),
        router: RefCell::new(Router::new(RoutingPolicy::RoundRobin)),
        admission: RefCell::new(Admission::new(AdmissionSettings::default())),
        nodes: Cell::new(1),
        waiters: Waiters::default(),
        running: RunningRequests::default(),
        demand: RefCell::new(DemandMeter::default()),
        estimates: RefCell::new(OutputEstimates::default()),
        budget: RefCell::new(RetryBudget::new(10, clock.now())),
        suspicions: RefCell::new(Suspicions::default()),
        rng: RefCell::new(StdRng::seed_from_u64(SEED)),
        decisions: RefCell::new(DecisionLog::new(Rc::clone(clock))),
    }
}

fn config() -> ConfigView {
    let mut view = ConfigView::default();
    view.adopt(ConfigObject {
        key: FLEET_KEY.to_owned(),
        revision: Revision(1),
        value: json!({
            "models": {"assistant": {}},
            "routes": [
                {"path": "/v1/completions", "kind": "completions", "body_bytes": 2000,
                 "first_byte_ms": 500, "gap_ms": 300, "deadline_ms": 10000},
                {"path": "/v1/chat/completions", "kind": "chat"},
                {"path": "/v1/short", "kind": "completions", "deadline_ms": 400},
                {"path": "/filings", "kind": "service", "pool": "filings", "methods": ["GET", "POST"],
                 "idempotent": ["GET"], "first_byte_ms": 500, "deadline_ms": 5000},
                {"path": "/public", "kind": "service", "pool": "filings", "methods": ["GET"],
                 "idempotent": ["GET"], "open": true},
            ],
        }),
    });
    let account = Name::from("crew");
    let key = |id: &str, key: &str, withdrawn: bool| {
        let hash = KeyHash::of(key.as_bytes()).to_hex();
        json!({"id": id, "sha256": hash, "withdrawn": withdrawn})
    };
    view.adopt(ConfigObject {
        key: account_key(&account),
        revision: Revision(2),
        value: json!({"accounts": {"crew": {"keys": [
            key("k1", KEY, false), key("k2", WITHDRAWN, true)
        ]}}}),
    });
    view
}

fn claims(objects: &Rc<Objects>) -> ClaimStore {
    let [create, replace, remove] = std::array::from_fn(|_| Rc::clone(objects));
    ClaimStore {
        create: Rc::new(move |key, value| {
            let created = create.create(key, value);
            Box::pin(async move { created })
        }),
        replace: Rc::new(move |key, value, version| {
            let replaced = replace.replace(&key, value, version);
            Box::pin(async move { replaced })
        }),
        remove: Rc::new(move |key, _| {
            let removed = remove.remove(&key);
            Box::pin(async move { removed })
        }),
    }
}

/// Returns a completion request with the key of `crew`.
pub fn completion(body: &Value) -> OutgoingRequest {
    let request = OutgoingRequest::new(Method::POST, "/v1/completions").json(body);
    with_key(request, KEY)
}

/// Adds a key to a request.
pub fn with_key(request: OutgoingRequest, key: &str) -> OutgoingRequest {
    request.with_header("authorization", &format!("Bearer {key}"))
}

/// Returns the JSON body of a response, or null.
pub fn body_of(response: &Response) -> Value {
    serde_json::from_slice(&response.body).unwrap_or_default()
}
