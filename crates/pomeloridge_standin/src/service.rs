//! A fake plain service that stores request bodies.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use clap::Args;
use http::Method;
use pomeloridge_base::clock::{SharedClock, SystemClock};
use pomeloridge_base::http::{Request, Responder, Response};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::history::History;
use crate::leak::{header_names, leaks_key};
use crate::listen::{Rejection, error, read_json, reply, serve, take_fault};
use crate::signal::Signal;

/// Command line of the plain service.
#[derive(Clone, Debug, Args)]
pub struct ServiceArgs {
    /// Address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Path prefix of the service's routes.
    #[arg(long, default_value = "/filings")]
    pub prefix: String,
    /// Maximum number of running requests.
    #[arg(long, default_value_t = 16)]
    pub slots: usize,
    /// Maximum number of queued requests; further ones are refused with 429.
    #[arg(long, default_value_t = 64)]
    pub queue: usize,
    /// Duration of a request, in ms.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
    /// File to which the history is also appended.
    #[arg(long)]
    pub history: Option<PathBuf>,
}

#[derive(Debug, Default)]
struct Faults {
    refuse: u64,
    cut_after_run: u64,
    silent: bool,
    cross: u64,
    delay_ms: u64,
    leaving: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Control {
    refuse: Option<u64>,
    cut_after_run: Option<u64>,
    silent: Option<bool>,
    cross: Option<u64>,
    delay_ms: Option<u64>,
    leaving: Option<bool>,
}

struct Service {
    args: ServiceArgs,
    clock: SharedClock,
    history: History,
    faults: RefCell<Faults>,
    stored: RefCell<BTreeMap<u64, Bytes>>,
    last_id: Cell<u64>,
    running: Cell<usize>,
    queued: Cell<usize>,
    /// Notified when a request leaves the queue or its slot.
    freed: Signal,
}

/// Includes one request in a count until dropped.
struct CountGuard<'a> {
    count: &'a Cell<usize>,
    freed: &'a Signal,
}

impl<'a> CountGuard<'a> {
    fn new(count: &'a Cell<usize>, freed: &'a Signal) -> Self {
        count.set(count.get() + 1);
        Self { count, freed }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
        self.freed.notify();
    }
}

/// Runs the plain service.
pub(crate) async fn run(args: ServiceArgs) -> io::Result<()> {
    let clock: SharedClock = Rc::new(SystemClock);
    let service = Service {
        history: History::new(Rc::clone(&clock), args.history.as_deref())?,
        clock,
        faults: RefCell::new(Faults {
            delay_ms: args.delay_ms,
            ..Faults::default()
        }),
        stored: RefCell::default(),
        last_id: Cell::new(0),
        running: Cell::new(0),
        queued: Cell::new(0),
        freed: Signal::default(),
        args,
    };
    let listen = service.args.listen;
    serve(listen, async move |request, responder: &mut Responder| {
        reply(request, responder, async |request, responder| {
            service.answer(request, responder).await
        })
        .await;
    })
    .await
}

impl Service {
    async fn answer(&self, request: &Request, responder: &mut Responder) -> Option<Response> {
        match (&request.method, request.path()) {
            (&Method::GET, "/history") => return Some(self.history.response()),
            (&Method::POST, "/control") => {
                return Some(self.control(request).unwrap_or_else(Response::from));
            }
            _ => {}
        }
        if self.faults.borrow().silent {
            responder.closed().await;
            return None;
        }
        if (&request.method, request.path()) == (&Method::GET, "/load") {
            return Some(self.load());
        }
        let Some(rest) = self.path_under_prefix(request.path()) else {
            return Some(error(404, "the path is not under the service's prefix"));
        };
        if take_fault(&mut self.faults.borrow_mut().refuse) {
            self.record("refused", request);
            return Some(error(503, "refused").with_header("x-not-run", "true"));
        }
        let response = self.run(request, rest).await;
        self.apply_faults(request, response, responder).await
    }

    /// Runs a request in a slot, or refuses it if the queue is full.
    async fn run(&self, request: &Request, rest: &str) -> Response {
        if self.running.get() >= self.args.slots {
            if self.queued.get() >= self.args.queue {
                self.record("refused", request);
                return error(429, "too many requests wait");
            }
            let _queued = CountGuard::new(&self.queued, &self.freed);
            loop {
                let seen = self.freed.count();
                if self.running.get() < self.args.slots {
                    break;
                }
                self.freed.wait(seen).await;
            }
        }
        let _running = CountGuard::new(&self.running, &self.freed);
        self.record("run", request);
        let delay_ms = self.faults.borrow().delay_ms;
        if delay_ms > 0 {
            monoio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        self.execute(request, rest)
    }

    fn execute(&self, request: &Request, rest: &str) -> Response {
        let mut stored = self.stored.borrow_mut();
        let id = rest.trim_start_matches('/').parse::<u64>().ok();
        let missing = || error(404, "nothing is stored under this number");
        match (&request.method, id) {
            (&Method::POST, None) => {
                let id = self.last_id.get() + 1;
                self.last_id.set(id);
                stored.insert(id, request.body.clone());
                Response::json(201, &json!({ "id": id }))
            }
            (&Method::GET, Some(id)) => stored
                .get(&id)
                .map_or_else(missing, |body| Response::new(200, body.clone())),
            (&Method::PUT, Some(id)) => {
                self.last_id.set(self.last_id.get().max(id));
                stored.insert(id, request.body.clone());
                Response::json(200, &json!({ "id": id }))
            }
            (&Method::DELETE, Some(id)) => stored
                .remove(&id)
                .map_or_else(missing, |_| Response::json(200, &json!({ "id": id }))),
            (&Method::GET, None) => missing(),
            _ => error(405, "no such call"),
        }
    }

    /// Applies the faults that take effect after a request has run; `None` closes the
    /// connection.
    async fn apply_faults(
        &self,
        request: &Request,
        response: Response,
        responder: &mut Responder,
    ) -> Option<Response> {
        if response.status.as_u16() != 429
            && take_fault(&mut self.faults.borrow_mut().cut_after_run)
        {
            return None;
        }
        if self.faults.borrow().silent {
            responder.closed().await;
            return None;
        }
        let id = request.header("x-request-id").unwrap_or_default();
        let crossed = take_fault(&mut self.faults.borrow_mut().cross);
        Some(match (id, crossed) {
            (id, true) => response.with_header("x-request-id", &format!("{id}-other")),
            ("", false) => response,
            (id, false) => response.with_header("x-request-id", id),
        })
    }

    fn record(&self, what: &str, request: &Request) {
        let body = String::from_utf8_lossy(&request.body);
        let fields = json!({
            "request_id": request.header("x-request-id"),
            "method": request.method.as_str(),
            "path": request.uri.to_string(),
            "body": body,
            "idempotency_key": request.header("idempotency-key"),
            "leaks_key": leaks_key(&request.headers, &body),
            "header_names": header_names(&request.headers),
        });
        self.history.record(what, fields);
    }

    /// Returns the part of a path after the prefix; `None` if the prefix differs.
    fn path_under_prefix<'a>(&self, path: &'a str) -> Option<&'a str> {
        let rest = path.strip_prefix(self.args.prefix.as_str())?;
        (rest.is_empty() || rest.starts_with('/')).then_some(rest)
    }

    fn load(&self) -> Response {
        let load = json!({
            "at": self.clock.unix_ms(),
            "running": self.running.get(),
            "queued": self.queued.get(),
            "slots": self.args.slots,
            "leaving": self.faults.borrow().leaving,
        });
        Response::json(200, &load)
    }

    fn control(&self, request: &Request) -> Result<Response, Rejection> {
        let control: Control = read_json(request)?;
        let body: Value = read_json(request)?;
        self.history.record("control", json!({ "control": body }));
        let mut faults = self.faults.borrow_mut();
        faults.refuse = control.refuse.unwrap_or(faults.refuse);
        faults.cut_after_run = control.cut_after_run.unwrap_or(faults.cut_after_run);
        faults.silent = control.silent.unwrap_or(faults.silent);
        faults.cross = control.cross.unwrap_or(faults.cross);
        faults.delay_ms = control.delay_ms.unwrap_or(faults.delay_ms);
        faults.leaving = control.leaving.unwrap_or(faults.leaving);
        Ok(Response::json(200, &json!({})))
    }
}
