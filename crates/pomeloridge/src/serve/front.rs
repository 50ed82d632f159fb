//! The callers' port.

use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::{Fault, Limits, Request, Responder, Server};
use pomeloridge_base::id::Name;
use pomeloridge_base::meter::Counter;
use pomeloridge_caller::{Frontend, IdGenerator, LocalFuture, Usage};
use pomeloridge_node::member::{Member, MemberState};
use pomeloridge_node::reach::Connectivity;
use pomeloridge_node::usage::UsageLine;
use pomeloridge_node::usage_sender::Replication;

use super::life::Phase;
use super::state::State;
use super::store;

/// Pause between two looks at who may start.
const PUMP_PAUSE: Duration = Duration::from_millis(20);
/// Time that peers have to take in what is known of suspects.
const SPREAD_TIME: Duration = Duration::from_millis(100);
/// Bytes of the largest body that any route may take.
const BODY_BYTES: usize = 4 * 1024 * 1024;

/// Serves callers until the node has stopped and the last request has ended.
pub(crate) async fn serve(state: Rc<State>, listener: TcpListener) {
    let front = Rc::new(front(&state));
    let life = state.life.clone();
    let draining = state.life.clone();
    let server = Server {
        limits: limits(&state).into(),
        handler: async move |request: Result<Request, Fault>, responder: &mut Responder| {
            if draining.is_leaving() {
                responder.close_after();
            }
            front.handle(request, responder).await;
        },
        stopping: move || life.phase() == Phase::Closing,
    };
    Rc::new(server).run(listener).await;
}

/// Keeps the capacities of the pools current, and starts requests that wait.
pub(crate) async fn pump(state: Rc<State>) {
    loop {
        set_capacities(&state);
        state.policy.admit_next(&state.clock);
        monoio::time::sleep(PUMP_PAUSE).await;
    }
}

/// Tells admission how much each pool can take now.
pub(crate) fn set_capacities(state: &State) {
    let live = |member: &&Member| member.state == MemberState::Live;
    let nodes = state.mesh.members().iter().filter(live).count() as u32 + 1;
    state.policy.nodes.set(nodes);
    for pool in pools(state) {
        state.policy.set_capacity(&pool, &state.clock);
    }
}

/// Every model and service that the configuration names.
fn pools(state: &State) -> Vec<Name> {
    let config = state.config.borrow();
    let routes = config.fleet().routes.iter().map(|route| &route.pool);
    let services = routes.filter(|pool| !pool.is_empty());
    let mut pools: Vec<_> = config
        .fleet()
        .models
        .keys()
        .chain(services)
        .cloned()
        .collect();
    pools.sort();
    pools.dedup();
    pools
}

fn limits(state: &State) -> Limits {
    Limits {
        head_bytes: state.settings.number("caller", "head_bytes") as usize,
        head_time: state.settings.time("caller", "head_ms"),
        body_time: state.settings.time("caller", "body_ms"),
        body_bytes: BODY_BYTES,
        ..Limits::default()
    }
}

fn front(state: &Rc<State>) -> Frontend {
    let settings = &state.settings;
    let secret = &settings.secret.0;
    let [gate, bill, spread] = std::array::from_fn(|_| Rc::clone(state));
    Frontend {
        clock: Rc::clone(&state.clock),
        config: Rc::clone(&state.config),
        policy: Rc::clone(&state.policy),
        ids: IdGenerator::new(&settings.name, state.incarnation, secret),
        connect_timeout: settings.time("backend", "connect_ms"),
        gate: Box::new(move || takes_work(&gate)),
        record_usage: Box::new(move |usage| record_usage(&bill, usage)),
        share_suspicions: Box::new(move || tell_peers(&spread)),
        node: settings.name.clone(),
        claims: store::claims(state),
        meter: state.metrics.meter.clone(),
    }
}

/// A node that is cut off can't know of withdrawn keys, and takes no new work.
pub(crate) fn takes_work(state: &State) -> Result<(), ErrorKind> {
    if state.fresh.is_stale() {
        return Err(ErrorKind::CutOff);
    }
    match state.mesh.connectivity(state.fresh.silence()) {
        Connectivity::Connected | Connectivity::ThroughPeers | Connectivity::Outage => Ok(()),
        Connectivity::CutOff => Err(ErrorKind::CutOff),
    }
}

/// Tells the peers of suspects at once.
fn tell_peers(state: &Rc<State>) -> LocalFuture<()> {
    let mesh = state.mesh.clone();
    Box::pin(async move { mesh.exchange_heartbeats(SPREAD_TIME).await })
}

/// Hands a line of usage to a peer, within a bounded time.
fn record_usage(state: &Rc<State>, usage: Usage) -> LocalFuture<()> {
    let state = Rc::clone(state);
    Box::pin(async move {
        let line = UsageLine {
            request_id: usage.request_id.into(),
            account: usage.account,
            prompt_tokens: usage.prompt_tokens,
            output_tokens: usage.output_tokens,
        };
        if state.usage.record(line).await == Replication::Unreplicated {
            state.metrics.meter.increment(Counter::UnreplicatedUsage);
        }
    })
}
