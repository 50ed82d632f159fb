//! A fake model engine: rate-limited event streams, a prefix cache, roles and orders.

mod batch;
mod cache;
mod control;
mod generate;
mod orders;
mod report;
mod role;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use clap::{ArgAction, Args};
use http::Method;
use pomeloridge_base::clock::{SharedClock, SystemClock};
use pomeloridge_base::http::{Fault, Request, Responder, Response};
use serde_json::json;

use crate::history::History;
use crate::listen::{Rejection, error, fault_response, query_number, read_json, serve};
use crate::signal::Signal;
use batch::{Batch, Rates};
use cache::Cache;
pub use cache::{BLOCK_BYTES, block_hashes};
use control::Faults;
use orders::{Action, OrderBody, OrderState, Orders, SubmitOutcome};
use report::Reports;
use role::Role;

/// Exit code of an injected crash.
const CRASH_CODE: i32 = 70;
/// Interval between steps of the batch.
const STEP_INTERVAL: Duration = Duration::from_millis(5);

/// Command line of the engine.
#[derive(Clone, Debug, Args)]
pub struct EngineArgs {
    /// Address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Name of this engine in logs and histories.
    #[arg(long, default_value = "engine")]
    pub id: String,
    /// Model loaded at the start.
    #[arg(long, default_value = "model")]
    pub model: String,
    /// Prompt tokens per second.
    #[arg(long, default_value_t = 4000.0)]
    pub prefill_rate: f64,
    /// Output tokens per second of all streams together.
    #[arg(long, default_value_t = 400.0)]
    pub decode_rate: f64,
    /// Maximum output tokens per second of one stream.
    #[arg(long, default_value_t = 40.0)]
    pub stream_rate: f64,
    /// Maximum number of running streams.
    #[arg(long, default_value_t = 16)]
    pub slots: usize,
    /// Maximum number of queued streams; further ones are refused with 429.
    #[arg(long, default_value_t = 16)]
    pub queue: usize,
    /// Capacity of the KV cache in tokens.
    #[arg(long, default_value_t = 200_000)]
    pub kv_total: u64,
    /// Delay of load reports and cache events, in ms.
    #[arg(long, default_value_t = 0)]
    pub report_lag_ms: u64,
    /// Whether orders with an old fencing token are refused.
    #[arg(long, default_value_t = true, action = ArgAction::Set)]
    pub checks_fence: bool,
    /// Role at the start.
    #[arg(long, value_enum, default_value_t)]
    pub role: Role,
    /// Duration of a role change or a model load, in ms.
    #[arg(long, default_value_t = 2000)]
    pub role_change_ms: u64,
    /// Capacity of the prefix cache in blocks.
    #[arg(long, default_value_t = 1024)]
    pub cache_blocks: usize,
    /// Factor by which all durations are divided.
    #[arg(long, default_value_t = 1.0)]
    pub time_scale: f64,
    /// File to which the history is also appended; it survives a crash.
    #[arg(long)]
    pub history: Option<PathBuf>,
}

pub(crate) struct Engine {
    args: EngineArgs,
    clock: SharedClock,
    history: History,
    batch: RefCell<Batch>,
    cache: RefCell<Cache>,
    orders: RefCell<Orders>,
    faults: RefCell<Faults>,
    reports: RefCell<Reports>,
    /// Notified when the batch receives work.
    wake: Signal,
}

/// Runs the engine.
pub(crate) async fn run(args: EngineArgs) -> io::Result<()> {
    if !(args.time_scale.is_finite() && args.time_scale > 0.0) {
        return Err(io::Error::other("--time-scale is not a positive number"));
    }
    let clock: SharedClock = Rc::new(SystemClock);
    let orders = Orders::new(args.checks_fence, args.role, vec![args.model.clone()]);
    let engine = Rc::new(Engine {
        history: History::new(Rc::clone(&clock), args.history.as_deref())?,
        clock,
        batch: RefCell::new(Batch::new(args.slots, args.queue)),
        cache: RefCell::new(Cache::new(args.cache_blocks)),
        orders: RefCell::new(orders),
        faults: RefCell::default(),
        reports: RefCell::default(),
        wake: Signal::default(),
        args,
    });
    monoio::spawn(Rc::clone(&engine).run_batch());
    monoio::spawn(Rc::clone(&engine).sample_load());
    let listen = engine.args.listen;
    serve(listen, async move |request, responder: &mut Responder| {
        if let Err(fault) = engine.handle(request, responder).await {
            log::debug!("failed to write the response: {fault}");
        }
    })
    .await
}

impl Engine {
    async fn handle(
        self: &Rc<Self>,
        request: Result<Request, Fault>,
        responder: &mut Responder,
    ) -> Result<(), Fault> {
        let request = match request {
            Ok(request) => request,
            Err(fault) => return responder.send(fault_response(&fault)).await,
        };
        match (&request.method, request.path()) {
            (&Method::GET, "/history") => return responder.send(self.history.response()).await,
            (&Method::POST, "/control") => {
                let answer = control::control(self, &request);
                return responder.send(answer.unwrap_or_else(Response::from)).await;
            }
            _ => {}
        }
        if self.faults.borrow().silent {
            responder.closed().await;
            return Ok(());
        }
        let answer = match (&request.method, request.path()) {
            (&Method::POST, "/generate") => {
                return generate::generate(self, &request, responder).await;
            }
            (&Method::GET, "/load") => Ok(self.load()),
            (&Method::GET, "/state") => Ok(self.state()),
            (&Method::GET, "/events") => self.events(&request),
            (&Method::POST, "/orders") => self.order(&request),
            _ => Err(error(404, "no such call").into()),
        };
        responder.send(answer.unwrap_or_else(Response::from)).await
    }

    /// Advances the batch in steps; waits while it is idle.
    async fn run_batch(self: Rc<Self>) {
        loop {
            let seen = self.wake.count();
            if self.batch.borrow().is_idle() {
                self.wake.wait(seen).await;
            }
            let started = self.clock.now();
            monoio::time::sleep(STEP_INTERVAL).await;
            let elapsed = self.clock.now().saturating_duration_since(started);
            let elapsed = elapsed.mul_f64(self.args.time_scale);
            let generated = self.batch.borrow_mut().advance(elapsed, self.rates());
            self.count_down_to_crash(generated as u64);
        }
    }

    fn rates(&self) -> Rates {
        let role = self.orders.borrow().role;
        Rates {
            prefill: self.args.prefill_rate * role.prefill_factor(),
            decode: self.args.decode_rate * role.decode_factor(),
            stream: self.args.stream_rate,
        }
    }

    /// Crashes once the requested number of tokens has been generated.
    fn count_down_to_crash(&self, generated: u64) {
        let mut faults = self.faults.borrow_mut();
        let Some(left) = faults.crash_after_tokens else {
            return;
        };
        if generated >= left {
            self.crash("crash_after_tokens");
        }
        faults.crash_after_tokens = Some(left - generated);
    }

    /// Exits the process without finishing any response.
    fn crash(&self, why: &str) -> ! {
        let running = self.batch.borrow().counts().running;
        let fields = json!({ "why": why, "running": running });
        self.history.record("crashed", fields);
        std::process::exit(CRASH_CODE)
    }

    /// Returns a duration divided by the time scale.
    fn scaled(&self, ms: u64) -> Duration {
        Duration::from_millis(ms).div_f64(self.args.time_scale)
    }

    fn state(&self) -> Response {
        let orders = self.orders.borrow();
        let state = json!({
            "role": orders.role,
            "models": orders.models,
            "order": orders.running(),
            "fence": orders.fence,
        });
        Response::json(200, &state)
    }

    fn events(&self, request: &Request) -> Result<Response, Rejection> {
        let after = query_number(request, "after")?.unwrap_or(0);
        let lag = self.scaled(self.args.report_lag_ms).as_millis() as u64;
        let until = self.clock.unix_ms().saturating_sub(lag);
        let cache = self.cache.borrow();
        let (next, events) = cache.events(after, until);
        let body = json!({ "next": next, "events": events });
        Ok(Response::json(200, &body))
    }

    fn order(self: &Rc<Self>, request: &Request) -> Result<Response, Rejection> {
        let order: OrderBody = read_json(request)?;
        let outcome = self.orders.borrow_mut().submit(&order);
        let mut fields = json!(order);
        fields["engine"] = json!(self.args.id);
        fields["applied"] = json!(outcome == SubmitOutcome::New);
        fields["refused"] = json!(!matches!(
            outcome,
            SubmitOutcome::New | SubmitOutcome::Repeated(_)
        ));
        self.history.record("order", fields);
        let id = order.order_id.clone();
        let (repeated, state) = match outcome {
            SubmitOutcome::New => {
                monoio::spawn(Rc::clone(self).execute(order));
                (false, OrderState::Running)
            }
            SubmitOutcome::Repeated(state) => (true, state),
            SubmitOutcome::Stale(fence) => {
                return Err(Response::json(409, &json!({ "fence": fence })).into());
            }
            SubmitOutcome::Busy(other) => {
                return Err(Response::json(409, &json!({ "busy": other })).into());
            }
            SubmitOutcome::Incomplete => {
                return Err(error(400, "the order lacks its role or model").into());
            }
        };
        let body = json!({ "order_id": id, "repeated": repeated, "state": state });
        Ok(Response::json(200, &body))
    }

    /// Executes an order; a role change first waits until the batch is idle.
    async fn execute(self: Rc<Self>, order: OrderBody) {
        let same_role = order.role == Some(self.orders.borrow().role);
        match order.action {
            Action::Role if !same_role => {
                self.orders.borrow_mut().reconfiguring = true;
                while !self.batch.borrow().is_idle() {
                    monoio::time::sleep(STEP_INTERVAL).await;
                }
                monoio::time::sleep(self.scaled(self.args.role_change_ms)).await;
            }
            Action::Load => monoio::time::sleep(self.scaled(self.args.role_change_ms)).await,
            Action::Role | Action::Drain | Action::ResumeService => {}
        }
        self.orders.borrow_mut().finish(&order);
        let fields = json!({ "order_id": order.order_id, "fence": order.fence });
        self.history.record("order_done", fields);
    }
}
