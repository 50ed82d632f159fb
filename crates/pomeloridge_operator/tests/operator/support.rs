//! An operator port with an in-memory object service.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::ready;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::clock::ManualClock;
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::{
    ConnectOptions, Connection, Limits, OutgoingRequest, Responder, Response, Server,
};
use pomeloridge_base::id::{Name, Revision};
use pomeloridge_base::net::listen;
use pomeloridge_base::secret::KeyHash;
use pomeloridge_operator::{OperatorState, Store, StoreFuture, StoredObject, handle};
use serde_json::{Value, json};

/// Token of the operator `anna`.
pub const ANNA: &str = "token-of-anna";
/// Token of the operator `boris`.
pub const BORIS: &str = "token-of-boris";
/// Generous timeout of connections and responses.
const TIMEOUT: Duration = Duration::from_secs(30);

/// In-memory object service that can fail.
#[derive(Default)]
pub struct FakeStore {
    pub objects: RefCell<BTreeMap<String, (Revision, Value)>>,
    revision: Cell<u64>,
    reads: Cell<usize>,
    /// Reads wait until this many have started, so that concurrent changes see one revision.
    pub read_barrier: Cell<usize>,
    pub down: Cell<bool>,
    pub history_down: Cell<bool>,
    /// Whether writes take effect but their responses are lost.
    pub lose_responses: Cell<bool>,
    /// Whether the service goes down after the next write.
    pub down_after_write: Cell<bool>,
}

impl FakeStore {
    fn ensure_up(&self) -> Result<(), ErrorKind> {
        let up = !self.down.get();
        up.then_some(()).ok_or(ErrorKind::PlatformDown)
    }

    async fn get(self: Rc<Self>, key: String) -> Result<Option<(Revision, Value)>, ErrorKind> {
        self.ensure_up()?;
        let found = self.objects.borrow().get(&key).cloned();
        self.reads.set(self.reads.get() + 1);
        while self.reads.get() < self.read_barrier.get() {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        Ok(found)
    }

    fn put(&self, key: String, value: Value, expect: Revision) -> Result<Revision, ErrorKind> {
        self.ensure_up()?;
        if self.history_down.get() && key.starts_with("history/") {
            return Err(ErrorKind::PlatformDown);
        }
        let current = self.objects.borrow().get(&key).map(|(found, _)| *found);
        if current.unwrap_or_default() != expect {
            return Err(ErrorKind::Conflict);
        }
        let revision = Revision(self.revision.get() + 1);
        self.revision.set(revision.0);
        self.objects.borrow_mut().insert(key, (revision, value));
        self.down.set(self.down_after_write.get());
        if self.lose_responses.get() {
            return Err(ErrorKind::ChangeUnknown);
        }
        Ok(revision)
    }

    fn list(&self, prefix: &str) -> Result<Vec<StoredObject>, ErrorKind> {
        self.ensure_up()?;
        let objects = self.objects.borrow();
        let under = objects.iter().filter(|(key, _)| key.starts_with(prefix));
        let found = under.map(|(key, (revision, value))| StoredObject {
            key: key.clone(),
            revision: *revision,
            value: value.clone(),
        });
        Ok(found.collect())
    }

    fn client(self: &Rc<Self>) -> Store {
        let [get, put, list] = [0; 3].map(|_| Rc::clone(self));
        Store {
            get: Box::new(move |key| Box::pin(Rc::clone(&get).get(key))),
            put: Box::new(move |key, value, expect| -> StoreFuture<Revision> {
                Box::pin(ready(put.put(key, value, expect)))
            }),
            list: Box::new(move |prefix| Box::pin(ready(list.list(&prefix)))),
        }
    }
}

/// A node with a running operator port.
pub struct Node {
    pub address: SocketAddr,
    pub store: Rc<FakeStore>,
    pub ready: Rc<Cell<bool>>,
    /// Number of polls until a change is in force on the last node.
    pub lag: Rc<Cell<usize>>,
}

impl Node {
    /// Sends `METHOD TARGET` as `anna` and expects a status, or a status and an error code.
    pub async fn expect(&self, line: &str, body: Value, outcome: &str) -> Value {
        let (found, value) = self.send_as(ANNA, line, body).await;
        assert_eq!(found, outcome, "{line}: {value}");
        value
    }

    /// Sends `METHOD TARGET` with a token; returns the status, with the error code if any, and
    /// the body.
    pub async fn send_as(&self, token: &str, line: &str, body: Value) -> (String, Value) {
        let (method, target) = line.split_once(' ').expect("METHOD TARGET");
        let request = OutgoingRequest::new(method.parse().expect("a method"), target).json(&body);
        let bearer = format!("Bearer {token}");
        let response = self
            .send(&request.with_header("authorization", &bearer))
            .await;
        let value: Value = serde_json::from_slice(&response.body).expect("a JSON response");
        let code = value["error"]["code"].as_str().unwrap_or_default();
        let outcome = format!("{} {code}", response.status.as_u16());
        (outcome.trim_end().to_owned(), value)
    }

    /// Sends a request without adding a token.
    pub async fn send(&self, request: &OutgoingRequest) -> Response {
        let options = ConnectOptions {
            timeout: TIMEOUT,
            ..ConnectOptions::default()
        };
        let mut connection = Connection::open(self.address, options).await.expect("open");
        let deadline = Instant::now() + TIMEOUT;
        connection
            .exchange(request, deadline)
            .await
            .expect("a response")
    }

    /// Returns the value of an object, or null.
    pub fn object(&self, key: &str) -> Value {
        let objects = self.store.objects.borrow();
        let found = objects.get(key).map(|(_, value)| value.clone());
        found.unwrap_or_default()
    }
}

/// Runs a test with a node that is one of three.
pub fn with_node(test: impl AsyncFnOnce(Node)) {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("listen");
        let node = Node {
            address: listener.local_addr().expect("an address"),
            store: Rc::default(),
            ready: Rc::new(Cell::new(true)),
            lag: Rc::default(),
        };
        let state = state(&node);
        let server = Rc::new(Server {
            limits: Limits::default().into(),
            handler: async move |request, responder: &mut Responder| {
                handle(&state, request, responder).await;
            },
            stopping: || false,
        });
        monoio::spawn(server.run(listener));
        test(node).await;
    });
}

fn state(node: &Node) -> OperatorState {
    let (is_ready, lag) = (Rc::clone(&node.ready), Rc::clone(&node.lag));
    let token = |name: &str, token: &str| (Name::from(name), KeyHash::of(token.as_bytes()));
    OperatorState {
        tokens: vec![token("anna", ANNA), token("boris", BORIS)].into(),
        ready: Box::new(move || is_ready.get().then_some(()).ok_or("cut off".to_owned())),
        metrics: Box::new(|| "requests_total 7\n".to_owned()),
        status: Box::new(|| json!({"node": "vm-1", "nodes": [{"name": "vm-1"}]})),
        explain: Box::new(|id| (id == "r 1").then(|| json!({"request_id": id, "decisions": []}))),
        usage: Box::new(|| Box::pin(async { Ok(json!({"windows": []})) })),
        in_force: Box::new(move |_, _| {
            let left = lag.get();
            lag.set(left.saturating_sub(1));
            if left == 0 { (3, 3) } else { (2, 3) }
        }),
        in_force_wait: Duration::from_millis(200),
        store: node.store.client(),
        clock: Rc::new(ManualClock::new()),
    }
}
