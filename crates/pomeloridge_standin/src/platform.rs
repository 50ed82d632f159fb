//! A fake platform: versioned objects, VMs, backend servers, orders and usage.

mod calls;
mod control;
mod objects;
mod orders;
mod servers;
mod usage;
mod vms;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use clap::Args;
use http::Method;
use pomeloridge_base::clock::{SharedClock, SystemClock};
use pomeloridge_base::http::{Request, Responder, Response};
use serde_json::json;

use crate::history::History;
use crate::listen::{error, reply, serve, take_fault};
use crate::signal::Signal;
use calls::Call;

/// Command line of the platform.
#[derive(Clone, Debug, Args)]
pub struct PlatformArgs {
    /// Address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Time from the start of an ordered backend server until it is ready, in ms.
    #[arg(long, default_value_t = 1000)]
    pub delivery_ms: u64,
    /// Time from a release until the backend server is removed, in ms.
    #[arg(long, default_value_t = 1000)]
    pub release_ms: u64,
    /// Time from the reclaim of a data centre until its preemptible servers are removed, in ms.
    #[arg(long, default_value_t = 1000)]
    pub reclaim_ms: u64,
    /// Delay of the list of VMs, in ms.
    #[arg(long, default_value_t = 0)]
    pub vms_lag_ms: u64,
    /// Spare addresses for ordered backend servers: `POOL=IP:PORT,...`; may be repeated.
    #[arg(long = "spare", value_parser = parse_spare)]
    pub spares: Vec<(String, Vec<String>)>,
    /// File to which the history is also appended.
    #[arg(long)]
    pub history: Option<PathBuf>,
}

fn parse_spare(text: &str) -> Result<(String, Vec<String>), String> {
    let (pool, list) = text.split_once('=').ok_or("expected POOL=IP:PORT,...")?;
    Ok((
        pool.to_owned(),
        list.split(',').map(str::to_owned).collect(),
    ))
}

#[derive(Debug, Default)]
struct State {
    objects: objects::Objects,
    servers: servers::Servers,
    orders: orders::Orders,
    usage: usage::Usage,
    vms: vms::Vms,
    faults: control::Faults,
    /// Number of calls by name.
    calls: BTreeMap<&'static str, u64>,
}

struct Platform {
    args: PlatformArgs,
    clock: SharedClock,
    history: History,
    state: RefCell<State>,
    /// Notified of every write and control call.
    changed: Signal,
}

/// Runs the platform.
pub(crate) async fn run(args: PlatformArgs) -> io::Result<()> {
    let clock: SharedClock = Rc::new(SystemClock);
    let history = History::new(Rc::clone(&clock), args.history.as_deref())?;
    let mut state = State::default();
    let mut spares = BTreeMap::<String, Vec<String>>::new();
    for (pool, list) in &args.spares {
        spares.entry(pool.clone()).or_default().extend(list.clone());
    }
    state.servers.set_spares(spares);
    let platform = Platform {
        clock,
        history,
        state: RefCell::new(state),
        changed: Signal::default(),
        args,
    };
    let listen = platform.args.listen;
    serve(listen, async move |request, responder: &mut Responder| {
        reply(request, responder, async |request, responder| {
            platform.answer(request, responder).await
        })
        .await;
    })
    .await
}

impl Platform {
    async fn answer(&self, request: &Request, responder: &mut Responder) -> Option<Response> {
        match (&request.method, request.path()) {
            (&Method::GET, "/history") => return Some(self.history.response()),
            (&Method::GET, "/calls") => return Some(self.call_counts()),
            (&Method::POST, "/control") => {
                return Some(control::control(self, request).unwrap_or_else(Response::from));
            }
            _ => {}
        }
        let Some(call) = Call::from_request(request) else {
            return Some(error(404, "no such call"));
        };
        self.answer_counted(&call, request, responder).await
    }

    /// Counts a call and handles it, subject to the active faults.
    async fn answer_counted(
        &self,
        call: &Call,
        request: &Request,
        responder: &mut Responder,
    ) -> Option<Response> {
        let arrived = self.clock.unix_ms();
        *self
            .state
            .borrow_mut()
            .calls
            .entry(call.name())
            .or_default() += 1;
        let slow_ms = self.state.borrow().faults.slow_ms;
        if slow_ms > 0 {
            monoio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
        let outage = self.state.borrow().faults.outage;
        let response = if outage {
            error(503, "outage")
        } else {
            let answer = calls::answer(self, call, request, responder).await?;
            answer.unwrap_or_else(Response::from)
        };
        if !call.is_write() {
            return Some(response);
        }
        let lost = response.status.is_success() && self.loses_answer();
        self.record(call, request, &response, arrived, lost);
        (!lost).then_some(response)
    }

    fn record(
        &self,
        call: &Call,
        request: &Request,
        response: &Response,
        arrived: u64,
        lost: bool,
    ) {
        let mut fields = call.history_fields(request);
        fields["status"] = json!(response.status.as_u16());
        fields["lost"] = json!(lost);
        fields["effect_at"] = json!(self.clock.unix_ms());
        if let Ok(answer) = serde_json::from_slice(&response.body) {
            fields["answer"] = answer;
        }
        self.history.record_at(arrived, call.name(), fields);
    }

    fn loses_answer(&self) -> bool {
        take_fault(&mut self.state.borrow_mut().faults.lose_answers)
    }

    fn call_counts(&self) -> Response {
        let state = self.state.borrow();
        let total: u64 = state.calls.values().sum();
        let mut calls = json!(state.calls);
        calls["total"] = json!(total);
        Response::json(200, &calls)
    }

    fn delays(&self) -> orders::Delays {
        orders::Delays {
            delivery_ms: self.args.delivery_ms,
            release_ms: self.args.release_ms,
        }
    }

    /// Advances servers and waiting orders to the current time.
    fn advance(&self) {
        let now = self.clock.unix_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.servers.advance(now);
        state.orders.deliver(&mut state.servers, self.delays(), now);
    }
}
