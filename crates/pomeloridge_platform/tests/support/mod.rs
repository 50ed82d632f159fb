//! Fake platform for tests, with lost, late and delayed writes and manual clocks.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::clock::{Clock as _, ManualClock};
use pomeloridge_base::http::{Limits, Request, Responder, Response, Server};
use pomeloridge_base::id::{Era, Incarnation, Name, Revision};
use pomeloridge_platform::lease::LeaseConfig;
use pomeloridge_platform::{Client, LeaseManager, ObjectCodec};
use serde_json::{Value, json};

/// Long enough that call deadlines, which are fractions of it in real time, never pass.
pub const TERM: Duration = Duration::from_mins(1);
pub const MARGIN: Duration = Duration::from_secs(20);
/// Timeout of a call in real time; no test waits for it.
const CALL_TIME: Duration = Duration::from_secs(20);

/// Failure of the next write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// It takes effect but its response is lost.
    Response,
    /// It never takes effect and gets no response.
    Write,
    /// It gets no response and takes effect only when [`Fake::deliver`] is called.
    Late,
}

/// Holds one call back while others proceed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Gate {
    #[default]
    Open,
    /// The next call will be held.
    Armed,
    /// A call is held: a read before it is processed, a write after it took effect.
    Closed,
}

/// Header of the responses that names the era.
const ERA: &str = "era";

/// A copy of the objects.
#[derive(Clone, Debug, Default)]
pub struct Copied {
    objects: BTreeMap<String, (u64, Value)>,
    revision: u64,
}

#[derive(Default)]
pub struct Fake {
    pub objects: RefCell<BTreeMap<String, (u64, Value)>>,
    pub revision: Cell<u64>,
    /// Era that all responses name; 0 if they name none.
    pub era: Cell<u64>,
    pub outage: Cell<bool>,
    pub loss: Cell<Option<Loss>>,
    pub lose_reads: Cell<u32>,
    pub gate: Cell<Gate>,
    /// Response to all calls, if set.
    pub fixed: RefCell<Option<Response>>,
    /// Whether no call gets a response.
    pub silent: Cell<bool>,
    /// Paths and bodies of `POST` calls.
    pub posts: RefCell<Vec<(String, Value)>>,
    pub writes: Cell<u32>,
    late: RefCell<Vec<Request>>,
    clocks: RefCell<Vec<Rc<ManualClock>>>,
}

impl Fake {
    /// Starts the server and returns its address.
    pub fn start() -> (Rc<Self>, SocketAddr) {
        let fake = Rc::new(Self::default());
        let listener = pomeloridge_base::net::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Rc::clone(&fake);
        let server = Rc::new(Server {
            limits: Limits::default().into(),
            handler: async move |request, responder: &mut Responder| {
                let Ok::<Request, _>(request) = request else {
                    return;
                };
                if shared.silent.get() {
                    monoio::time::sleep(Duration::from_hours(1)).await;
                }
                let (held, read) = (shared.close_gate(), request.method == "GET");
                if held && read {
                    shared.wait_for(Gate::Open).await;
                }
                let response = shared.respond(request);
                if held && !read {
                    shared.wait_for(Gate::Open).await;
                }
                if let Some(response) = response {
                    let _ = responder.send(shared.in_era(response)).await;
                }
            },
            stopping: || false,
        });
        monoio::spawn(server.run(listener));
        (fake, address)
    }

    /// Returns a clock that [`Self::advance`] moves together with all others of this platform.
    pub fn clock(&self) -> Rc<ManualClock> {
        let clock = Rc::new(ManualClock::new());
        self.clocks.borrow_mut().push(Rc::clone(&clock));
        clock
    }

    pub fn advance(&self, by: Duration) {
        for clock in self.clocks.borrow().iter() {
            clock.advance(by);
        }
    }

    /// Delivers the late writes.
    pub fn deliver(&self) {
        for request in self.late.take() {
            self.apply(&request);
        }
    }

    pub fn value(&self, key: &str) -> Value {
        let objects = self.objects.borrow();
        objects
            .get(key)
            .map_or(Value::Null, |stored| stored.1.clone())
    }

    pub fn set(&self, key: &str, value: Value) -> Revision {
        self.revision.set(self.revision.get() + 1);
        let version = self.revision.get();
        let mut objects = self.objects.borrow_mut();
        objects.insert(key.to_owned(), (version, value));
        Revision(version)
    }

    /// Returns a copy of the objects.
    pub fn copy(&self) -> Copied {
        Copied {
            objects: self.objects.borrow().clone(),
            revision: self.revision.get(),
        }
    }

    /// Comes back from a copy, in a new era.
    pub fn restore(&self, copy: &Copied) {
        *self.objects.borrow_mut() = copy.objects.clone();
        self.revision.set(copy.revision);
        self.era.set(self.era.get() + 1);
    }

    fn in_era(&self, response: Response) -> Response {
        match self.era.get() {
            0 => response,
            era => response.with_header(ERA, &era.to_string()),
        }
    }

    fn close_gate(&self) -> bool {
        let armed = self.gate.get() == Gate::Armed;
        if armed {
            self.gate.set(Gate::Closed);
        }
        armed
    }

    async fn wait_for(&self, gate: Gate) {
        while self.gate.get() != gate {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Runs `call`, and runs `meanwhile` while the platform holds its first request.
    pub async fn overtake(&self, call: impl Future, meanwhile: impl Future) {
        self.gate.set(Gate::Armed);
        let called = async {
            call.await;
            self.gate.set(Gate::Open);
        };
        let overtaking = async {
            while self.gate.get() == Gate::Armed {
                monoio::time::sleep(Duration::from_millis(1)).await;
            }
            if self.gate.get() == Gate::Closed {
                meanwhile.await;
                self.gate.set(Gate::Open);
            }
        };
        monoio::join!(called, overtaking);
    }

    fn respond(&self, request: Request) -> Option<Response> {
        if let Some(response) = self.fixed.borrow().clone() {
            return Some(response);
        }
        if self.outage.get() {
            return Some(Response::new(503, ""));
        }
        match request.method.as_str() {
            "GET" => self.read(&request),
            "POST" => {
                let body = serde_json::from_slice(&request.body).unwrap();
                let path = request.path().to_owned();
                self.posts.borrow_mut().push((path, body));
                let receipt = json!({"order_id": "x", "window": "w", "repeated": false});
                Some(Response::json(200, &receipt))
            }
            _ => self.write(request),
        }
    }

    fn read(&self, request: &Request) -> Option<Response> {
        if self.lose_reads.get() > 0 {
            self.lose_reads.set(self.lose_reads.get() - 1);
            return None;
        }
        let objects = self.objects.borrow();
        let encode = |(key, stored): (&String, &(u64, Value))| json!({"key": key, "version": stored.0, "value": stored.1});
        if let Some(key) = request.path().strip_prefix("/objects/") {
            let object = objects.get_key_value(key).map(encode);
            return Some(object.map_or(Response::new(404, ""), |body| Response::json(200, &body)));
        }
        let prefix = request.query("prefix").unwrap_or_default();
        let matching = objects.iter().filter(|(key, _)| key.starts_with(prefix));
        let list: Vec<Value> = matching.map(encode).collect();
        let body = json!({"revision": self.revision.get(), "objects": list, "events": list});
        Some(Response::json(200, &body))
    }

    fn write(&self, request: Request) -> Option<Response> {
        self.writes.set(self.writes.get() + 1);
        let loss = self.loss.take();
        let response = match loss {
            Some(Loss::Write) => return None,
            Some(Loss::Late) => {
                self.late.borrow_mut().push(request);
                return None;
            }
            Some(Loss::Response) | None => self.apply(&request),
        };
        loss.is_none().then_some(response)
    }

    fn apply(&self, request: &Request) -> Response {
        let key = request.path().strip_prefix("/objects/").unwrap().to_owned();
        let current = self.objects.borrow().get(&key).map_or(0, |stored| stored.0);
        let expect = request.query("expect").map(|text| text.parse().unwrap());
        if expect.is_some_and(|expect: u64| expect != current) {
            return Response::json(409, &json!({"version": current}));
        }
        if request.method == "DELETE" {
            self.objects.borrow_mut().remove(&key);
            self.revision.set(self.revision.get() + 1);
            return Response::json(200, &json!({"version": self.revision.get()}));
        }
        let version = self.set(&key, serde_json::from_slice(&request.body).unwrap());
        Response::json(200, &json!({"version": version}))
    }
}

/// Runs a test with a platform of its own.
pub fn run<F: Future>(test: impl FnOnce(Rc<Fake>, SocketAddr) -> F) -> F::Output {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let (fake, address) = Fake::start();
        test(fake, address).await
    })
}

pub fn client(address: SocketAddr, clock: &Rc<ManualClock>) -> Client {
    let codec = ObjectCodec {
        era: |response| {
            response
                .headers
                .get(ERA)?
                .to_str()
                .ok()?
                .parse()
                .ok()
                .map(Era)
        },
        ..ObjectCodec::native()
    };
    Client::with_codec(address, CALL_TIME, Rc::clone(clock) as _, codec)
}

pub fn config(holder: &str) -> LeaseConfig {
    LeaseConfig {
        duty: Name::from("placement"),
        holder: Name::from(holder),
        incarnation: Incarnation(1),
        term: TERM,
        margin: MARGIN,
        when_missing: pomeloridge_platform::lease::MissingLease::Deleted,
    }
}

/// A node that competes for the lease.
pub struct Node {
    pub clock: Rc<ManualClock>,
    pub client: Client,
    pub lease: LeaseManager,
    /// Version of the lease in the message that was sent to this node last.
    pub told: Option<Revision>,
}

impl Node {
    pub fn new(fake: &Fake, address: SocketAddr, name: &str) -> Self {
        Self::with_config(fake, address, config(name))
    }

    /// Creates an incarnation of a node that takes a missing lease at once, as gateways do.
    pub fn eager(fake: &Fake, address: SocketAddr, name: &str, incarnation: u64) -> Self {
        let config = LeaseConfig {
            incarnation: Incarnation(incarnation),
            when_missing: pomeloridge_platform::lease::MissingLease::NeverHeld,
            ..config(name)
        };
        Self::with_config(fake, address, config)
    }

    fn with_config(fake: &Fake, address: SocketAddr, config: LeaseConfig) -> Self {
        let clock = fake.clock();
        let client = client(address, &clock);
        let lease = LeaseManager::new(&client, config);
        Self {
            clock,
            client,
            lease,
            told: None,
        }
    }

    pub fn holds(&self) -> bool {
        self.lease.authority().holds()
    }

    /// Receives a message about the lease, as if some time ago.
    pub fn hear(&mut self, version: Revision, ago: Duration) {
        let now = self.clock.now();
        let heard = now.checked_sub(ago).unwrap_or(now);
        self.lease.record_told(version, heard);
    }

    pub fn epoch(&self) -> u64 {
        self.lease.authority().epoch().0
    }

    /// Takes a lease that no node holds.
    pub async fn take(&mut self, fake: &Fake) {
        self.lease.step().await;
        fake.advance(TERM + MARGIN);
        self.lease.step().await;
        assert!(self.holds(), "a free lease was not taken");
    }
}
