//! A node's operator port over an object service in memory.

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
const GENEROUS: Duration = Duration::from_secs(30);

/// The object service in memory, with its failures.
#[derive(Default)]
pub struct Fake {
    pub objects: RefCell<BTreeMap<String, (Revision, Value)>>,
    revision: Cell<u64>,
    reads: Cell<usize>,
    /// Reads that wait for each other.
    pub together: Cell<usize>,
    pub down: Cell<bool>,
    pub history_down: Cell<bool>,
    /// Whether writes take effect and their answer is lost.
    pub lose_answers: Cell<bool>,
    /// Whether the service goes down with the next write.
    pub down_after: Cell<bool>,
}

impl Fake {
    fn up(&self) -> Result<(), ErrorKind> {
        let up = !self.down.get();
        up.then_some(()).ok_or(ErrorKind::PlatformDown)
    }

    async fn get(self: Rc<Self>, key: String) -> Result<Option<(Revision, Value)>, ErrorKind> {
        self.up()?;
        let found = self.objects.borrow().get(&key).cloned();
        self.reads.set(self.reads.get() + 1);
        while self.reads.get() < self.together.get() {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        Ok(found)
    }

    fn put(&self, key: String, value: Value, expect: Revision) -> Result<Revision, ErrorKind> {
        self.up()?;
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
        self.down.set(self.down_after.get());
        if self.lose_answers.get() {
            return Err(ErrorKind::ChangeUnknown);
        }
        Ok(revision)
    }

    fn list(&self, prefix: &str) -> Result<Vec<StoredObject>, ErrorKind> {
        self.up()?;
        let objects = self.objects.borrow();
        let under = objects.iter().filter(|(key, _)| key.starts_with(prefix));
        let found = under.map(|(key, (revision, value))| StoredObject {
            key: key.clone(),
            revision: *revision,
            value: value.clone(),
        });
        Ok(found.collect())
    }

    fn store(self: &Rc<Self>) -> Store {
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

/// A running operator port.
pub struct Node {
    pub address: SocketAddr,
    pub fake: Rc<Fake>,
    pub ready: Rc<Cell<bool>>,
    /// How often a change was looked at before the last node had it.
    pub lag: Rc<Cell<usize>>,
}

impl Node {
    /// Sends `METHOD TARGET` as `anna` and expects a status, or a status and an error code.
    pub async fn expect(&self, line: &str, body: Value, outcome: &str) -> Value {
        let (found, value) = self.call_as(ANNA, line, body).await;
        assert_eq!(found, outcome, "{line}: {value}");
        value
    }

    /// Sends `METHOD TARGET` with a token; gives the status with the code of an error.
    pub async fn call_as(&self, token: &str, line: &str, body: Value) -> (String, Value) {
        let (method, target) = line.split_once(' ').expect("METHOD TARGET");
        let request = OutgoingRequest::new(method.parse().expect("a method"), target).json(&body);
        let bearer = format!("Bearer {token}");
        let response = self
            .send(&request.with_header("authorization", &bearer))
            .await;
        let value: Value = serde_json::from_slice(&response.body).expect("a JSON answer");
        let code = value["error"]["code"].as_str().unwrap_or_default();
        let outcome = format!("{} {code}", response.status.as_u16());
        (outcome.trim_end().to_owned(), value)
    }

    /// Sends a request as it is.
    pub async fn send(&self, request: &OutgoingRequest) -> Response {
        let options = ConnectOptions {
            timeout: GENEROUS,
            ..ConnectOptions::default()
        };
        let mut connection = Connection::open(self.address, options).await.expect("open");
        let deadline = Instant::now() + GENEROUS;
        connection
            .exchange(request, deadline)
            .await
            .expect("an answer")
    }

    /// The value of an object.
    pub fn object(&self, key: &str) -> Value {
        let objects = self.fake.objects.borrow();
        let found = objects.get(key).map(|(_, value)| value.clone());
        found.unwrap_or_default()
    }
}

/// Runs a test in one runtime with a node of a fleet of three.
pub fn with_node(test: impl AsyncFnOnce(Node)) {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("listen");
        let node = Node {
            address: listener.local_addr().expect("an address"),
            fake: Rc::default(),
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
        tokens: vec![token("anna", ANNA), token("boris", BORIS)],
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
        store: node.fake.store(),
        clock: Rc::new(ManualClock::new()),
    }
}
