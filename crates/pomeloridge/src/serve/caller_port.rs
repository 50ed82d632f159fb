//! Callers' port.

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

use super::lifecycle::Phase;
use super::state::State;
use super::store;

/// Interval between attempts to admit waiting requests.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of announcing suspects to the peers.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum size of a request's body; routes may have lower limits.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Serves callers until the node is closing and the last request has ended.
pub(crate) async fn serve(state: Rc<State>, listener: TcpListener) {
    let frontend = Rc::new(new_frontend(&state));
    let lifecycle = state.lifecycle.clone();
    let draining = state.lifecycle.clone();
    let server = Server {
        limits: read_limits(&state).into(),
        handler: async move |request: Result<Request, Fault>, responder: &mut Responder| {
            let lifecycle = draining.clone();
            responder.close_if(move || lifecycle.is_leaving());
            frontend.handle(request, responder).await;
        },
        stopping: move || lifecycle.phase() == Phase::Closing,
    };
    Rc::new(server).run(listener).await;
}

/// Updates the capacities of the pools and admits waiting requests, until the process ends.
pub(crate) async fn admit_waiting(state: Rc<State>) {
    loop {
        update_capacities(&state);
        state.policy.admit_next(&state.clock);
        monoio::time::sleep(ADMISSION_INTERVAL).await;
    }
}

/// Updates the capacity of each pool for admission.
pub(crate) fn update_capacities(state: &State) {
    let live = |member: &&Member| member.state == MemberState::Live;
    let nodes = state.mesh.members().iter().filter(live).count() as u32 + 1;
    state.policy.nodes.set(nodes);
    for pool in pools(state) {
        state.policy.set_capacity(&pool, &state.clock);
    }
}

/// Returns the pools of all models and services in the configuration.
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

fn read_limits(state: &State) -> Limits {
    Limits {
        head_bytes: state.settings.number("caller", "head_bytes") as usize,
        head_time: state.settings.time("caller", "head_ms"),
        body_time: state.settings.time("caller", "body_ms"),
        body_bytes: MAX_BODY_BYTES,
        ..Limits::default()
    }
}

fn new_frontend(state: &Rc<State>) -> Frontend {
    let settings = &state.settings;
    let secret = &settings.secret.0;
    let [gate, recorder, sharer] = std::array::from_fn(|_| Rc::clone(state));
    Frontend {
        clock: Rc::clone(&state.clock),
        config: Rc::clone(&state.config),
        policy: Rc::clone(&state.policy),
        ids: IdGenerator::new(&settings.name, state.incarnation, secret),
        connect_timeout: settings.time("backend", "connect_ms"),
        gate: Box::new(move || check_connectivity(&gate)),
        record_usage: Box::new(move |usage| record_usage(&recorder, usage)),
        share_suspicions: Box::new(move || share_suspicions(&sharer)),
        node: settings.name.clone(),
        claims: store::claims(state),
        meter: state.metrics.meter.clone(),
    }
}

/// Refuses new requests while the node is isolated, as it could not know of withdrawn keys.
pub(crate) fn check_connectivity(state: &State) -> Result<(), ErrorKind> {
    if state.freshness.is_stale() {
        return Err(ErrorKind::CutOff);
    }
    match state.mesh.connectivity(state.freshness.silence()) {
        Connectivity::Connected | Connectivity::ThroughPeers | Connectivity::Outage => Ok(()),
        Connectivity::CutOff => Err(ErrorKind::CutOff),
    }
}

/// Announces suspects to the peers without waiting for the next heartbeat.
fn share_suspicions(state: &Rc<State>) -> LocalFuture<()> {
    let mesh = state.mesh.clone();
    Box::pin(async move { mesh.exchange_heartbeats(SUSPICION_TIMEOUT).await })
}

/// Records the usage of a request; completes when a peer has stored it or after a timeout.
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
