//! Runs a gateway: all tasks share one thread, with one task for each connection and peer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use pomeloridge_base::http::{Fault, Limits, Request, Responder, Response, Server};
use pomeloridge_base::net::{listen, listen_with_datagrams};
use pomeloridge_base::task::{catch_panic, keep_running};

use crate::state::{GatewayParts, State};
use crate::{
    crash_detection, duties, ingress, internal, lifecycle, peers, slow_readers, versions, watch,
};

/// Interval of the housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for reading a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a gateway until it has shut down gracefully.
pub fn run(parts: GatewayParts) -> Result<(), String> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .map_err(|error| format!("the runtime cannot start: {error}"))?;
    runtime.block_on(serve(parts))
}

async fn serve(parts: GatewayParts) -> Result<(), String> {
    let settings = &parts.settings;
    let open = |key: &'static str| -> Result<_, String> {
        let address = settings.address("listen", key);
        listen(address).map_err(|error| listen_error(key, address, &error))
    };
    let (caller, ready) = (open("caller")?, open("ready")?);
    let peer_address = settings.address("listen", "peer");
    let (peer, socket) = listen_with_datagrams(peer_address)
        .map_err(|error| listen_error("peer", peer_address, &error))?;
    let (socket, metrics) = (Rc::new(socket), open("metrics")?);
    let address_of = |listener: &TcpListener| {
        let address = listener.local_addr();
        address.map_err(|error| format!("cannot read a listener's address: {error}"))
    };
    let [caller_at, ready_at, peer_at, metrics_at] =
        [&caller, &ready, &peer, &metrics].map(address_of);
    let (caller_at, ready_at) = (caller_at?, ready_at?);
    let (peer_at, metrics_at) = (peer_at?, metrics_at?);
    let state = State::new(parts, peer_at);
    log::info!(
        "start node={} data_centre={} store={} caller={caller_at} ready={ready_at} \
         peer={peer_at} metrics={metrics_at}",
        state.name,
        state.settings().text("node", "data_centre"),
        state.settings().text("platform", "store")
    );
    *state.socket.borrow_mut() = Some(Rc::clone(&socket));
    lifecycle::watch_signals(&state)?;
    spawn(&state, "follow_config", watch::follow_config);
    let is_restarted = Cell::new(false);
    spawn(&state, "follow_servers", move |state| {
        watch::follow_server_list(state, is_restarted.replace(true))
    });
    spawn(&state, "expire_servers", watch::expire_servers);
    spawn(&state, "follow_versions", versions::follow_table);
    spawn(&state, "watch_pauses", lifecycle::watch_pauses);
    if state.transfers.is_some() {
        spawn(&state, "cut_slow_readers", slow_readers::watch);
    }
    spawn(&state, "discover_nodes", peers::discover);
    let sender = Rc::clone(&socket);
    spawn(&state, "send_heartbeats", move |state| {
        peers::send_heartbeats(state, Rc::clone(&sender))
    });
    let receiver = Rc::clone(&socket);
    spawn(&state, "receive_datagrams", move |state| {
        peers::receive(state, Rc::clone(&receiver))
    });
    duties::start(&state);
    for listener in [peer, metrics] {
        let internal_state = Rc::clone(&state);
        let server = server(&state, async move |request, responder: &mut Responder| {
            internal::handle(&internal_state, request, responder).await;
        });
        monoio::spawn(Rc::new(server).run(listener));
    }
    let readiness_state = Rc::clone(&state);
    let readiness = server(&state, async move |request, responder: &mut Responder| {
        answer_readiness(&readiness_state, request, responder).await;
    });
    monoio::spawn(Rc::new(readiness).run(ready));
    serve_callers(&state, caller).await;
    peers::send_usage(&state, &socket).await;
    versions::write_last_record(&state).await;
    log::info!(
        "stop phase=stopped store_calls=\"{}\"",
        store_call_counts(&state)
    );
    Ok(())
}

/// Runs a task until the process ends, also after a panic in it.
fn spawn<F>(state: &Rc<State>, name: &'static str, start: impl Fn(Rc<State>) -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let state = Rc::clone(state);
    monoio::spawn(async move {
        keep_running(name, &state.meter, || start(Rc::clone(&state))).await;
    });
}

/// Formats the number of calls to the object service by kind.
fn store_call_counts(state: &State) -> String {
    let counts = state.store.calls().all();
    let counts = counts.filter(|(_, count)| *count > 0);
    let counts = counts.map(|(kind, count)| format!("{kind}={count}"));
    counts.collect::<Vec<_>>().join(" ")
}

fn listen_error(key: &str, address: SocketAddr, error: &std::io::Error) -> String {
    format!("[listen] {key}: cannot listen on {address}: {error}; choose a free address")
}

/// Returns a server that goes on after a panic in its handler. Responses that begin after a stop
/// signal say that their connections close.
fn server<H>(
    state: &Rc<State>,
    handler: H,
) -> Server<
    impl AsyncFn(Result<Request, Fault>, &mut Responder) + 'static + use<H>,
    impl Fn() -> bool + 'static + use<H>,
>
where
    H: AsyncFn(Result<Request, Fault>, &mut Responder) + 'static,
{
    let lifecycle = state.lifecycle.clone();
    let announced = lifecycle.clone();
    let meter = state.meter.clone();
    let handler = async move |request, responder: &mut Responder| {
        let lifecycle = announced.clone();
        responder.close_if(move || lifecycle.is_stopping());
        let outcome = catch_panic("request", &meter, handler(request, responder)).await;
        if outcome.is_none() && !responder.started() {
            // The request may have run; no status of a refusal says so.
            responder.close_after();
            if let Err(fault) = responder.send(Response::new(500, "")).await {
                log::debug!("answer after a panic not delivered: {fault}");
            }
        }
    };
    Server {
        limits: Cell::new(Limits::default()),
        handler,
        stopping: move || lifecycle.is_closing(),
    }
}

async fn serve_callers(state: &Rc<State>, listener: TcpListener) {
    let caller_state = Rc::clone(state);
    let callers = server(state, async move |request, responder: &mut Responder| {
        ingress::handle(&caller_state, request, responder).await;
    });
    let callers = Rc::new(callers);
    monoio::spawn(run_housekeeping(Rc::clone(state), {
        let callers = Rc::clone(&callers);
        move |limits| callers.limits.set(limits)
    }));
    monoio::select! {
        () = callers.run(listener) => {}
        () = state.lifecycle.must_end() => {
            log::info!("stop choice=end running={}", state.in_flight.get());
        }
    }
}

/// Periodically closes expired connections, removes expired records and applies the request
/// limits of the configuration.
async fn run_housekeeping(state: Rc<State>, set_limits: impl Fn(Limits)) {
    loop {
        state.pool.sweep(state.now());
        crash_detection::sweep(&state);
        versions::sweep(&state);
        if let Some(config) = state.config() {
            let limits = config.limits;
            set_limits(Limits {
                head_bytes: limits.max_head_bytes,
                body_bytes: limits.max_body_bytes,
                head_time: limits.head_timeout,
                body_time: BODY_TIMEOUT,
                idle_time: limits.idle_timeout,
                ..Limits::default()
            });
        }
        monoio::time::sleep(HOUSEKEEPING_INTERVAL).await;
    }
}

async fn answer_readiness(
    state: &State,
    request: Result<Request, Fault>,
    responder: &mut Responder,
) {
    let status = match request {
        Ok(request) if !(state.ports.ingress.is_readiness)(&request) => 404,
        Ok(_) if state.is_ready() => 200,
        Ok(_) => 503,
        Err(_) => 400,
    };
    if let Err(fault) = responder.send(Response::new(status, "")).await {
        log::debug!("answer to a readiness check not delivered: {fault}");
    }
}
