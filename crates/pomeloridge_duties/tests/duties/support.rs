//! Shared test support: seeds, a runtime, and a fake platform.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use pomeloridge_base::clock::SystemClock;
use pomeloridge_base::http::{Limits, Request, Responder, Response, Server};
use pomeloridge_base::id::Incarnation;
use pomeloridge_duties::usage::{Batch, Line, UsageSource};
use pomeloridge_platform::lease::LeaseConfig;
use pomeloridge_platform::{Client, LeaseManager};
use proptest::test_runner::{Config, RngSeed};
use serde_json::{Value, json};

const SEED: u64 = 4_122_026;

/// Returns the settings of a property test, and prints the seed.
pub(crate) fn config(cases: u32) -> Config {
    println!("seed {SEED}");
    Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Runs a future to completion.
pub(crate) fn block_on<F: Future>(future: F) -> F::Output {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .unwrap()
        .block_on(future)
}

pub(crate) fn source(node: &str, incarnation: u64) -> UsageSource {
    UsageSource {
        node: node.into(),
        incarnation: Incarnation(incarnation),
    }
}

pub(crate) fn line(request: &str, account: &str, prompt: u64, output: u64) -> Line {
    Line {
        request_id: Bytes::copy_from_slice(request.as_bytes()),
        account: account.into(),
        prompt_tokens: prompt,
        output_tokens: output,
    }
}

pub(crate) fn batch(source: &UsageSource, number: u64, lines: Vec<Line>) -> Batch {
    Batch {
        source: source.clone(),
        number,
        lines,
    }
}

/// Returns a client whose timeout is long enough for a busy machine.
pub(crate) fn client(address: SocketAddr) -> Client {
    Client::new(address, Duration::from_secs(5), Rc::new(SystemClock))
}

/// Acquires a lease that was released.
pub(crate) async fn acquire(client: &Client, duty: &str, holder: &str) -> LeaseManager {
    let config = LeaseConfig {
        duty: duty.into(),
        holder: holder.into(),
        incarnation: Incarnation(1),
        term: Duration::from_hours(1),
        margin: Duration::from_secs(1),
        when_missing: pomeloridge_platform::lease::MissingLease::Deleted,
    };
    let mut lease = LeaseManager::new(client, config);
    lease.step().await;
    lease
}

/// Fake platform with an object service, fixed responses to other `GET` requests, and a
/// record of `POST` requests.
#[derive(Default)]
pub(crate) struct FakePlatform {
    pub(crate) objects: RefCell<BTreeMap<String, (u64, Value)>>,
    revision: Cell<u64>,
    /// Number of further writes whose response is dropped after they have taken effect.
    pub(crate) drop_responses: Cell<u32>,
    /// Responses to `GET` by path.
    pub(crate) lists: RefCell<BTreeMap<String, Value>>,
    /// Path and body of each `POST` request.
    pub(crate) posts: RefCell<Vec<(String, Value)>>,
}

impl FakePlatform {
    pub(crate) fn start() -> (Rc<Self>, SocketAddr) {
        let fake = Rc::new(Self::default());
        let listener = pomeloridge_base::net::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Rc::clone(&fake);
        let server = Rc::new(Server {
            limits: Limits::default().into(),
            handler: async move |request, responder: &mut Responder| {
                let Ok(request) = request else { return };
                if let Some(response) = shared.respond(&request) {
                    let _ = responder.send(response).await;
                }
            },
            stopping: || false,
        });
        monoio::spawn(server.run(listener));
        (fake, address)
    }

    /// Adds a released lease, which can be acquired at once.
    pub(crate) fn free_lease(&self, duty: &str) {
        let lease = json!({
            "holder": "", "incarnation": 0, "epoch": 0, "term_ms": 1000, "nonce": "free",
        });
        let key = format!("lease/{duty}");
        self.objects.borrow_mut().insert(key, (1, lease));
        self.revision.set(1);
    }

    /// Returns the value of an object.
    pub(crate) fn object(&self, key: &str) -> Option<Value> {
        let objects = self.objects.borrow();
        objects.get(key).map(|(_, value)| value.clone())
    }

    /// Returns the bodies posted to a path.
    pub(crate) fn posted(&self, path: &str) -> Vec<Value> {
        let posts = self.posts.borrow();
        let matching = posts.iter().filter(|(to, _)| to == path);
        matching.map(|(_, body)| body.clone()).collect()
    }

    fn respond(&self, request: &Request) -> Option<Response> {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let path = request.path().to_owned();
        let response = match (request.method.as_str(), path.strip_prefix("/objects/")) {
            ("GET", Some(key)) => return Some(self.get(key)),
            ("GET", None) if path == "/list" => return Some(self.list(request)),
            ("GET", None) => {
                let lists = self.lists.borrow();
                let list = lists.get(&path).map(|list| Response::json(200, list));
                return Some(list.unwrap_or_else(|| Response::new(404, "")));
            }
            ("PUT", Some(key)) => self.put(key, request, body),
            _ => self.post(path, body),
        };
        let to_drop = self.drop_responses.get();
        if response.status.is_success() && to_drop > 0 {
            self.drop_responses.set(to_drop - 1);
            return None;
        }
        Some(response)
    }

    fn get(&self, key: &str) -> Response {
        match self.objects.borrow().get(key) {
            Some((version, value)) => Response::json(
                200,
                &json!({"key": key, "version": version, "value": value}),
            ),
            None => Response::new(404, ""),
        }
    }

    fn list(&self, request: &Request) -> Response {
        let prefix = request.query("prefix").unwrap_or_default();
        let objects = self.objects.borrow();
        let matching = objects.iter().filter(|(key, _)| key.starts_with(prefix));
        let listed: Vec<_> = matching
            .map(|(key, (version, value))| json!({"key": key, "version": version, "value": value}))
            .collect();
        Response::json(
            200,
            &json!({"revision": self.revision.get(), "objects": listed}),
        )
    }

    fn put(&self, key: &str, request: &Request, value: Value) -> Response {
        let current = self
            .objects
            .borrow()
            .get(key)
            .map_or(0, |(version, _)| *version);
        let expect = request
            .query("expect")
            .map(|text| text.parse::<u64>().unwrap());
        if expect.is_some_and(|expect| expect != current) {
            return Response::json(409, &json!({"version": current}));
        }
        let version = self.revision.get() + 1;
        self.revision.set(version);
        self.objects
            .borrow_mut()
            .insert(key.to_owned(), (version, value));
        Response::json(200, &json!({"version": version}))
    }

    fn post(&self, path: String, body: Value) -> Response {
        let repeated = self.posts.borrow().contains(&(path.clone(), body.clone()));
        let mut reply = json!({"repeated": repeated, "state": "done"});
        for field in ["window", "order_id"] {
            reply[field] = body[field].clone();
        }
        self.posts.borrow_mut().push((path, body));
        Response::json(200, &reply)
    }
}
