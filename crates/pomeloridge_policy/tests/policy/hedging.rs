//! Which requests get a second attempt, when, and what stops that under load.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::{
    AnswerNeeds, DispatchRequest, Dispatcher, EngineModel, Stage, TargetInfo, TargetKey,
};
use pomeloridge_policy::hedging::{
    HedgeDenial, HedgeKind, HedgeLimits, HedgeLoad, Hedging, MAX_HEDGE_TIME, SlowAttempt, part_of,
};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use slotmap::SlotMap;
use yare::parameterized;

use crate::support::{CASES, config, ms, name};

const LIMITS: HedgeLimits = HedgeLimits {
    share: 0.05,
    most: 100,
};
const LOAD: HedgeLoad = HedgeLoad {
    service_use: 0.3,
    part: 4,
};
const FAST: Duration = Duration::from_millis(20);
/// Delay where all requests take that long.
const DELAY: Duration = Duration::from_millis(60);
const SLOW: Duration = Duration::from_millis(400);
/// Requests from which on enough latencies are known.
const KNOWN: usize = 40;
/// Requests of which one is cancelled: fewer than the delay's percentile leaves out.
const CANCELLED_EACH: usize = 80;
/// Latencies without which a route has no delay.
const TOO_FEW: usize = 19;

/// A node's hedging, with the servers of one service.
struct Node {
    hedging: Hedging,
    servers: Vec<TargetKey>,
    now: Instant,
}

impl Node {
    fn new(limits: HedgeLimits, servers: usize) -> Self {
        let mut keys = SlotMap::<TargetKey, ()>::with_key();
        Self {
            hedging: Hedging::new(limits),
            servers: (0..servers).map(|_| keys.insert(())).collect(),
            now: Instant::now(),
        }
    }

    fn attempt(&self, server: usize) -> SlowAttempt {
        SlowAttempt {
            server: self.servers[server],
            predicted: Duration::ZERO,
            time_left: ms(300),
        }
    }

    /// Records requests that the servers answer in turn.
    fn answer(&mut self, count: usize, latency: impl Fn(usize) -> Duration) {
        for number in 0..count {
            let server = number % self.servers.len();
            self.now += ms(10);
            self.hedging.record_request();
            let attempt = self.attempt(server);
            self.hedging
                .record_latency(&kind("read"), &attempt, latency(server), self.now);
        }
    }

    fn delay(&self, server: usize) -> Option<Duration> {
        let attempt = self.attempt(server);
        self.hedging.delay(&kind("read"), &attempt, self.now)
    }

    /// Begins a hedge of a request that is due at a server.
    fn begin(&mut self, server: usize, load: HedgeLoad) -> Result<(), HedgeDenial> {
        let (service, server) = (service(), self.servers[server]);
        self.hedging.record_due(&service, server, self.now);
        self.hedging.check(&service, server, load, self.now)?;
        self.hedging.begin();
        Ok(())
    }
}

fn service() -> Name {
    name("filings")
}

fn kind(route: &str) -> HedgeKind {
    HedgeKind {
        service: service(),
        route: name(route),
        is_stream: false,
    }
}

/// Guards against hedges where operators did not ask for them.
#[test]
fn nothing_is_hedged_without_a_share() {
    let off = HedgeLimits {
        share: 0.0,
        ..LIMITS
    };
    let mut node = Node::new(off, 3);
    node.answer(KNOWN * 10, |_| FAST);
    assert_eq!(node.delay(0), None);
    assert_eq!(node.begin(0, LOAD), Err(HedgeDenial::Share));
}

/// The load: one server of a service is slow, the others have room.
#[test]
fn a_request_at_a_slow_server_is_hedged_and_those_at_the_others_are_not() {
    let mut node = Node::new(LIMITS, 4);
    node.answer(KNOWN * 4, |server| if server == 0 { SLOW } else { FAST });
    assert_eq!(node.delay(0), Some(DELAY));
    // What is slow at the first server sets the delay at the others; it leaves them no time.
    assert_eq!(node.delay(1), None);
    assert_eq!(node.begin(0, LOAD), Ok(()));
}

/// The load: a few requests are slow wherever they run.
#[test]
fn the_delay_is_a_high_percentile_over_the_prediction() {
    let mut node = Node::new(LIMITS, 2);
    // Half of the excesses are 10 ms, the others reach from 51 to 100 ms.
    for number in 0..100 {
        let attempt = SlowAttempt {
            predicted: ms(50),
            ..node.attempt(1)
        };
        let latency = ms(if number < 50 { 60 } else { 51 + number });
        node.hedging
            .record_latency(&kind("read"), &attempt, latency, node.now);
    }
    let delay = |predicted, time_left| {
        let attempt = SlowAttempt {
            predicted: ms(predicted),
            time_left: ms(time_left),
            ..node.attempt(0)
        };
        node.hedging.delay(&kind("read"), &attempt, node.now)
    };
    assert_eq!(delay(0, 10_000), Some(ms(95)));
    assert_eq!(delay(20, 10_000), Some(ms(115)));
    // A request that takes twice as long as half of them is not slow.
    assert_eq!(delay(60, 10_000), Some(ms(3 * 70)));
    // Where that leaves the other server too little time it is shorter, but never so short that
    // many requests are due.
    assert_eq!(delay(0, 10 + 90), Some(ms(90)));
    assert_eq!(delay(0, 10 + 80), Some(ms(80)));
    assert_eq!(delay(0, 10 + 79), None);
}

#[test]
fn too_few_or_old_latencies_give_no_delay() {
    let mut node = Node::new(LIMITS, 2);
    node.answer(TOO_FEW, |_| FAST);
    assert_eq!(node.delay(0), None);
    node.answer(1, |_| FAST);
    assert_eq!(node.delay(0), Some(DELAY));
    node.now += Duration::from_mins(1);
    assert_eq!(node.delay(0), None);
}

/// Guards against routes with few requests at each of many nodes that are never hedged.
#[test]
fn a_route_with_few_requests_uses_the_latencies_of_its_service() {
    let mut node = Node::new(LIMITS, 2);
    node.answer(KNOWN, |_| FAST);
    let attempt = node.attempt(0);
    let delay = |kind: &HedgeKind| node.hedging.delay(kind, &attempt, node.now);
    assert_eq!(delay(&kind("other")), Some(DELAY));
    let stream = HedgeKind {
        is_stream: true,
        ..kind("other")
    };
    assert_eq!(delay(&stream), None);
}

/// Guards against requests that are never hedged since their prompts keep them at one server.
#[test]
fn where_one_server_gets_all_requests_its_own_latencies_count() {
    let mut node = Node::new(LIMITS, 1);
    node.answer(KNOWN, |_| FAST);
    assert_eq!(node.delay(0), Some(DELAY));
}

/// Guards against a delay that creeps down as the attempts that it cancels are recorded.
#[test]
fn cancelled_attempts_leave_the_delay_as_it_is() {
    let mut node = Node::new(LIMITS, 2);
    node.answer(KNOWN * 2, |_| FAST);
    for _ in 0..KNOWN * 2 {
        let delay = node.delay(0).unwrap();
        assert_eq!(delay, DELAY);
        let attempt = node.attempt(1);
        node.hedging
            .record_latency(&kind("read"), &attempt, delay + ms(5), node.now);
        node.answer(CANCELLED_EACH, |_| FAST);
    }
}

/// The load: all servers become slow at once. Guards against a storm of second attempts.
#[test]
fn nothing_is_hedged_when_all_servers_are_slow() {
    let all = HedgeLimits {
        share: 1.0,
        ..LIMITS
    };
    let mut node = Node::new(all, 4);
    node.answer(KNOWN * 4, |_| FAST);
    node.now += Duration::from_secs(5);
    node.answer(20, |_| FAST);
    let load = HedgeLoad { part: 100, ..LOAD };
    let mut denials = Vec::new();
    for number in 0..100 {
        node.hedging.record_request();
        denials.extend(node.begin(number % 4, load).err());
    }
    assert!(denials.len() >= 90, "{}", denials.len());
    let slow = denials
        .iter()
        .filter(|denial| **denial == HedgeDenial::Slow);
    assert_eq!(slow.count(), denials.len());
    // Later, latencies show that this is how long requests take now.
    node.answer(KNOWN * 8, |_| SLOW);
    assert_eq!(node.delay(0), None);
}

/// Guards against hedges that take the room or the retries that others need.
#[parameterized(
    busy_servers = { HedgeLoad { service_use: 0.61, ..LOAD }, false, HedgeDenial::Load },
    no_part = { HedgeLoad { part: 0, ..LOAD }, false, HedgeDenial::Most },
    denied_retry = { LOAD, true, HedgeDenial::Budget },
)]
fn hedging_stops_first_under_load(load: HedgeLoad, denied: bool, expected: HedgeDenial) {
    let mut node = Node::new(LIMITS, 4);
    node.answer(KNOWN * 4, |_| FAST);
    if denied {
        let (service, now) = (service(), node.now);
        node.hedging.record_retry_denied(&service, now);
    }
    assert_eq!(node.begin(0, load), Err(expected));
    node.now += Duration::from_secs(6);
    assert_eq!(node.begin(0, LOAD), Ok(()));
}

#[test]
fn running_hedges_are_within_the_part_of_the_node() {
    let all = HedgeLimits {
        share: 1.0,
        ..LIMITS
    };
    let mut node = Node::new(all, 4);
    node.answer(KNOWN * 4, |_| FAST);
    let load = HedgeLoad { part: 2, ..LOAD };
    assert_eq!(node.begin(0, load), Ok(()));
    assert_eq!(node.begin(0, load), Ok(()));
    assert_eq!(node.begin(0, load), Err(HedgeDenial::Most));
    node.hedging.end();
    assert_eq!(node.begin(0, load), Ok(()));
}

/// Guards against more hedges than the operators' share, however requests and slow ones come.
#[test]
fn hedges_are_within_the_share_of_the_requests() {
    let events = proptest::collection::vec(any::<bool>(), 1..2000);
    let check = |events: Vec<bool>| {
        let mut node = Node::new(LIMITS, 4);
        let (mut requests, mut hedges) = (0_u32, 0_u32);
        for is_request in events {
            node.now += Duration::from_secs(6);
            if is_request {
                node.hedging.record_request();
                requests += 1;
            } else if node.begin(0, LOAD).is_ok() {
                hedges += 1;
                node.hedging.end();
            }
        }
        prop_assert!(f64::from(hedges) <= f64::from(requests) * LIMITS.share + 1e-6);
        Ok(())
    };
    let mut runner = TestRunner::new(config(CASES));
    runner.run(&events, check).unwrap();
}

/// Guards against more hedges at once than the operators' number where it can't be divided among
/// the nodes, and against a number that nobody may use.
#[parameterized(
    below_one = { 3, 20 },
    one = { 1, 20 },
    with_rest = { 50, 20 },
    equal = { 40, 20 },
    alone = { 7, 1 },
)]
fn the_parts_of_all_nodes_add_up_to_the_number(most: u64, nodes: u64) {
    let hashes: Vec<u64> = (0..nodes).map(|node| node * 0x9e37_79b9).collect();
    let parts = |unix_ms: u64| -> Vec<u64> {
        let part = |own: &u64| {
            let peers = hashes.iter().copied().filter(|peer| peer != own);
            part_of(most, *own, &peers.collect::<Vec<_>>(), unix_ms)
        };
        hashes.iter().map(part).collect()
    };
    let mut used = vec![false; nodes as usize];
    for turn in 0..200 {
        let start = turn * 8000;
        let begun = parts(start);
        assert_eq!(begun.iter().sum::<u64>(), most);
        for (used, part) in used.iter_mut().zip(&begun) {
            *used |= *part > 0;
        }
        // What only some nodes have ends before others have it.
        let last = parts(start + 8000 - MAX_HEDGE_TIME.as_millis() as u64);
        assert!(last.iter().all(|part| *part == most / nodes));
    }
    assert!(used.iter().all(|used| *used), "some never have a turn");
}

/// Guards against a server that hangs and is never ejected, as each request there is cancelled
/// before it counts as silent.
#[test]
fn silence_adds_up_over_cancelled_attempts() {
    let mut node = Node::new(LIMITS, 2);
    let server = node.servers[0];
    let start = node.now;
    let mut cancel = |after: u64, heard: Option<u64>| {
        let is_silent = |since| heard.is_none_or(|heard| start + ms(heard) < since);
        let (sent_at, now) = (start + ms(after), start + ms(after + 60));
        node.hedging
            .record_cancelled(server, sent_at, is_silent, now)
    };
    assert_eq!(cancel(0, None), ms(60));
    // Nothing was asked of it meanwhile.
    assert_eq!(cancel(5000, None), ms(120));
    // It was heard at 5.5 s, and is silent since the next attempt.
    assert_eq!(cancel(6000, Some(5500)), ms(60));
    assert_eq!(cancel(7000, Some(5500)), ms(120));
    assert_eq!(cancel(7000, Some(7050)), ms(0));
}

/// Guards against as many log lines as there are slow requests.
#[test]
fn denials_are_logged_once_a_second_with_their_number() {
    let mut node = Node::new(LIMITS, 2);
    let start = node.now;
    let mut logged = |after: u64| node.hedging.record_denial(start + ms(after));
    assert_eq!(logged(0), Some(1));
    assert_eq!([logged(10), logged(20), logged(999)], [None; 3]);
    assert_eq!(logged(1000), Some(4));
}

/// Returns a dispatcher for two plain servers, with their keys: one that runs a request, and one
/// that may run it, too.
fn two_servers() -> (Dispatcher, [TargetKey; 2]) {
    let mut dispatcher = Dispatcher::new(name("a"), EngineModel::default(), 7);
    let server = |number: u16| TargetInfo {
        id: Name::from(format!("s{number}")),
        started_unix_ms: 1,
        address: ([10, 0, 0, 1], number).into(),
        data_centre: name("a"),
        service: service(),
        version: name("v1"),
        slots: 6,
        kv_capacity: 0,
        stage: Stage::Unified,
        leaving: false,
        leaves_in: None,
        preemptible: false,
    };
    dispatcher.sync(vec![server(1), server(2)]);
    let keys: Vec<TargetKey> = dispatcher.targets().map(|(key, _)| key).collect();
    (dispatcher, [keys[0], keys[1]])
}

/// Guards against second attempts at servers that must not have them, or are needed by others.
#[parameterized(
    idle = { |_, _, _| {}, true },
    in_use = { |servers, other, now| begin(servers, other, 2, now), true },
    busy = { |servers, other, now| begin(servers, other, 3, now), false },
    leaving = { |servers, other, _| assert!(servers.mark_leaving(other)), false },
    asked_for_a_pause = { |servers, other, now| servers.set_backoff(other, ms(500), now), false },
    ejected = { |servers, other, now| assert!(servers.eject(other, now)), false },
    ejected_and_due_for_a_probe = {
        |servers, other, now| assert!(servers.eject(other, now.checked_sub(Duration::from_secs(5)).unwrap())),
        false
    },
)]
fn a_second_attempt_goes_to_a_sound_server_with_room(
    change: fn(&mut Dispatcher, TargetKey, Instant),
    is_allowed: bool,
) {
    let now = Instant::now();
    let (mut dispatcher, [first, other]) = two_servers();
    begin(&mut dispatcher, first, 1, now);
    change(&mut dispatcher, other, now);
    let (service, tried) = (service(), [first]);
    let request = DispatchRequest {
        service: &service,
        prompt: None,
        tried: &tried,
        allow_separate_prefill: false,
        version: None,
        needs: AnswerNeeds::default(),
    };
    let plan = dispatcher.plan_second(&request, now);
    let expected = is_allowed.then_some(other);
    assert_eq!(plan.map(|plan| plan.server), expected);
}

fn begin(dispatcher: &mut Dispatcher, server: TargetKey, count: usize, now: Instant) {
    for _ in 0..count {
        dispatcher.begin(server, 0, None, now);
    }
}
