//! Measures what a gateway does for each message of a peer and each change of the server list.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_gateway::ServerRegistry;
use pomeloridge_policy::dispatch::{
    AnswerNeeds, DispatchRequest, Dispatcher, EngineModel, NodeLoad, PeerLoad, PromptShape, Stage,
    TargetInfo,
};
use pomeloridge_policy::prompt_cache::PromptPart;

use crate::fixture::{SEED, SERVERS, address, data_centre, node, pool, server_id};
use crate::meter::nanoseconds;
use crate::row::{Row, Unit};

/// Number of servers on which a peer has requests in flight.
const LOADS: usize = 64;
/// Peers that report loads.
const PEERS: usize = 16;
/// Capacity of an engine's KV cache, in tokens.
const KV_CAPACITY: u64 = 500_000;

/// Returns the measurements of the gateway.
pub fn rows() -> Vec<Row> {
    let row = |what, measure: fn(usize) -> f64| {
        Row::measure(
            "gateway",
            what,
            "server",
            Unit::Nanoseconds,
            &SERVERS,
            measure,
        )
    };
    vec![
        row("replace an unchanged list", replace),
        row("sync an unchanged list", sync),
        row("take the loads of a peer", peer_loads),
        row("take a message without orders", no_orders),
        row("choose engines for a prompt", choose),
    ]
}

fn info(index: usize) -> TargetInfo {
    TargetInfo {
        id: server_id(index),
        started_unix_ms: 1,
        address: address(index),
        data_centre: data_centre(index),
        service: pool(index),
        version: Name::from("v1"),
        slots: 128,
        kv_capacity: KV_CAPACITY,
        stage: if index.is_multiple_of(3) {
            Stage::Prefill
        } else {
            Stage::Decode
        },
        leaving: false,
        leaves_in: None,
        preemptible: false,
    }
}

fn dispatcher(count: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(data_centre(0), EngineModel::default(), SEED);
    dispatcher.sync((0..count).map(info).collect());
    let now = Instant::now();
    for peer in 0..PEERS {
        dispatcher.set_peer_loads(&node(peer), &loads(&dispatcher, peer, now));
    }
    dispatcher
}

fn loads(dispatcher: &Dispatcher, peer: usize, now: Instant) -> Vec<(u32, PeerLoad)> {
    let targets = dispatcher.targets().skip(peer).step_by(PEERS).take(LOADS);
    let load = PeerLoad {
        load: NodeLoad {
            prefill_tokens: 100,
            running: 1,
            held_tokens: 1_000,
        },
        at: now,
    };
    targets.map(|(_, target)| (target.hash(), load)).collect()
}

fn replace(count: usize) -> f64 {
    let list = || (0..count).map(|index| (server_id(index), info(index)));
    let mut registry = ServerRegistry::default();
    let now = Instant::now();
    registry.replace(list().collect(), now);
    let list: Vec<_> = list().collect();
    nanoseconds(|| registry.replace(list.clone(), now))
}

fn sync(count: usize) -> f64 {
    let mut dispatcher = dispatcher(count);
    let list: Vec<TargetInfo> = (0..count).map(info).collect();
    nanoseconds(|| dispatcher.sync(list.clone()))
}

fn peer_loads(count: usize) -> f64 {
    let mut dispatcher = dispatcher(count);
    let loads = loads(&dispatcher, 0, Instant::now());
    nanoseconds(|| dispatcher.set_peer_loads(&node(0), &loads))
}

fn no_orders(count: usize) -> f64 {
    let mut dispatcher = dispatcher(count);
    nanoseconds(|| dispatcher.mark_stage_changing(&[], Instant::now()))
}

fn choose(count: usize) -> f64 {
    let mut dispatcher = dispatcher(count);
    let service = pool(0);
    let part = |id, tokens| PromptPart { id, tokens };
    let prompt = PromptShape {
        tokens: 2_000,
        parts: vec![part(1, 1_500), part(2, 500)],
    };
    let request = DispatchRequest {
        service: &service,
        prompt: Some(&prompt),
        tried: &[],
        allow_separate_prefill: true,
        version: None,
        needs: AnswerNeeds::default(),
    };
    let start = Instant::now();
    let mut step = 0;
    nanoseconds(|| {
        step += 1;
        dispatcher.choose(&request, start + Duration::from_micros(step))
    })
}
