//! Tests of a server's limit over the nodes of a fleet, none of which asks another one.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::crashes::ServerIncarnation;
use pomeloridge_policy::dispatch::{
    AnswerNeeds, DispatchRequest, Dispatcher, EngineModel, Stage, TargetInfo, TargetKey,
};
use pomeloridge_policy::rate_limit::{LimitReport, RateLimit, sender_place, turn_at};
use proptest::prelude::*;
use yare::parameterized;

use crate::support::{CASES, config};

const SERVICE: &str = "filings";
/// Window, factor and slack of the users' rule on limits.
const WINDOW: Duration = Duration::from_secs(4);
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Pause between two attempts of a node to send.
const STEP: Duration = Duration::from_millis(20);
/// Number of these after which it updates its place.
const STEPS_PER_UPDATE: u128 = 5;
/// Least part of a limit that greedy nodes use.
const MIN_USED: f64 = 0.8;

fn limit(per_second: f64) -> RateLimit {
    RateLimit::try_from(per_second).unwrap()
}

fn server(name: &str) -> TargetInfo {
    TargetInfo {
        id: Name::from(name),
        started_unix_ms: 1000,
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: Name::from("tln-a"),
        service: Name::from(SERVICE),
        version: Name::from("v1"),
        slots: 8,
        kv_capacity: 0,
        stage: Stage::Unified,
        leaving: false,
        leaves_in: None,
        preemptible: false,
    }
}

/// A node with one server.
struct Node {
    dispatcher: Dispatcher,
    server: TargetKey,
    incarnation: ServerIncarnation,
    hash: u64,
    /// Difference of the node's clock to the true time, in milliseconds.
    skew_ms: u64,
}

impl Node {
    fn new(hash: u64) -> Self {
        let mut dispatcher = Dispatcher::new(Name::from("tln-a"), EngineModel::default(), hash);
        dispatcher.sync(vec![server("s-1")]);
        let (key, target) = dispatcher.targets().next().unwrap();
        let incarnation = target.info.incarnation();
        Self {
            dispatcher,
            server: key,
            incarnation,
            hash,
            skew_ms: 0,
        }
    }

    fn is_told(&mut self, limit: Option<RateLimit>, now: Instant) -> bool {
        let key = self.server;
        self.dispatcher.record_limit(key, limit, now, now)
    }

    /// Updates the node's place among itself and `peers`.
    fn update(&mut self, peers: &[u64], unix_ms: u64, now: Instant) {
        let (own, turn) = (self.hash, turn_at(unix_ms + self.skew_ms));
        self.dispatcher
            .set_sender_places(|server| Some(sender_place(own, peers, server, turn)), now);
    }

    fn try_send(&mut self, now: Instant) -> bool {
        self.dispatcher.try_send(self.server, now)
    }

    fn report(&self, limit: Option<RateLimit>, age: Duration) -> LimitReport {
        LimitReport {
            server: self.incarnation,
            limit,
            age,
        }
    }

    fn limit(&self) -> Option<RateLimit> {
        self.dispatcher.target(self.server).unwrap().rate_limit()
    }
}

/// Lets nodes that each know all nodes, and `vanished` ones, send as much as they may. Returns
/// the times of the requests.
fn send_greedily(
    nodes: &mut [Node],
    vanished: &[u64],
    limit: RateLimit,
    time: Duration,
) -> Vec<Duration> {
    let start = Instant::now();
    let hashes: Vec<u64> = nodes.iter().map(|node| node.hash).collect();
    let mut sent = Vec::new();
    let mut at = Duration::ZERO;
    for node in nodes.iter_mut() {
        node.is_told(Some(limit), start);
    }
    while at < time {
        let now = start + at;
        for node in nodes.iter_mut() {
            if (at.as_millis() / STEP.as_millis()).is_multiple_of(STEPS_PER_UPDATE) {
                let peers = hashes.iter().copied().filter(|hash| *hash != node.hash);
                let peers: Vec<u64> = peers.chain(vanished.iter().copied()).collect();
                node.update(&peers, at.as_millis() as u64, now);
            }
            while node.try_send(now) {
                sent.push(at);
                if sent.len() > 100_000 {
                    return sent;
                }
            }
        }
        at += STEP;
    }
    sent
}

/// Returns the highest number of requests in a window.
fn most_in_window(sent: &[Duration]) -> usize {
    let windows = sent.iter().enumerate().map(|(index, from)| {
        let in_window = |at: &&Duration| **at < *from + WINDOW;
        sent[index..].iter().take_while(in_window).count()
    });
    windows.max().unwrap_or(0)
}

fn allowed(limit: RateLimit) -> usize {
    (WINDOW.as_secs_f64() * FACTOR * limit.per_second() + SLACK) as usize
}

fn fleet(count: usize) -> Vec<Node> {
    (0..count)
        .map(|index| Node::new(index as u64 * 7919 + 1))
        .collect()
}

/// Guards against a fleet that sends a multiple of the limit, since each of its nodes has a
/// part, however small (incident LIMIT).
#[parameterized(
    incident = { 7, 3.7 },
    one_node = { 1, 3.0 },
    hundreds_of_nodes = { 300, 3.0 },
    slow_server = { 300, 0.4 },
    zero = { 60, 0.0 },
    more_than_one_each = { 7, 60.0 },
)]
fn nodes_that_do_not_ask_one_another_share_a_limit(count: usize, per_second: f64) {
    let limit = limit(per_second);
    let time = Duration::from_secs(45);
    let sent = send_greedily(&mut fleet(count), &[], limit, time);
    let most = most_in_window(&sent);
    assert!(most <= allowed(limit), "{most}");
    let used = sent.len() as f64 / time.as_secs_f64();
    assert!(used >= per_second * MIN_USED, "{used} a second");
}

proptest! {
    #![proptest_config(config(CASES / 16))]

    /// The parts of nodes that vanished stay unused, and clocks that differ change nothing.
    #[test]
    fn a_limit_holds_with_vanished_nodes_and_skewed_clocks(
        count in 1_usize..40,
        vanished in prop::collection::vec(any::<u64>(), 0..20),
        per_second in 0.0_f64..30.0,
        skews in prop::collection::vec(0_u64..1500, 40),
    ) {
        let mut nodes = fleet(count);
        for (node, skew) in nodes.iter_mut().zip(skews) {
            node.skew_ms = skew;
        }
        let limit = limit(per_second);
        let sent = send_greedily(&mut nodes, &vanished, limit, Duration::from_secs(45));
        let most = most_in_window(&sent);
        prop_assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
    }
}

/// Guards against a server that nobody asks any more, because the nodes that may have vanished.
#[test]
fn other_nodes_may_send_in_later_turns() {
    let vanished: Vec<u64> = (1000..1010).collect();
    let time = Duration::from_mins(10);
    let sent = send_greedily(&mut fleet(2), &vanished, limit(0.0), time);
    assert!(!sent.is_empty());
}

#[test]
fn a_huge_limit_does_not_bind() {
    let sent = send_greedily(&mut fleet(7), &[], limit(1e18), Duration::from_secs(1));
    assert!(sent.len() > 100_000);
}

/// Guards against a burst of the nodes that have just been told, on top of what is on its way.
#[test]
fn a_node_that_was_just_told_sends_nothing_at_first() {
    let (mut node, now) = (Node::new(1), Instant::now());
    assert!(node.try_send(now));
    assert!(node.is_told(Some(limit(2.0)), now));
    assert!(!node.try_send(now));
    node.update(&[], 0, now);
    assert!(!node.try_send(now));
    assert!(node.try_send(now + Duration::from_millis(510)));
}

#[test]
fn a_node_without_a_place_sends_nothing() {
    let (mut node, now) = (Node::new(1), Instant::now());
    node.is_told(Some(limit(50.0)), now);
    node.update(&[], 0, now);
    let later = now + Duration::from_secs(5);
    assert!(
        node.dispatcher
            .target(node.server)
            .unwrap()
            .is_within_limit(later)
    );
    node.dispatcher.set_sender_places(|_| None, later);
    assert!(!node.try_send(later + Duration::from_mins(1)));
}

/// Guards against lower limits that let what a higher one allowed go out.
#[test]
fn a_lower_limit_holds_at_once() {
    let (mut node, now) = (Node::new(1), Instant::now());
    node.is_told(Some(limit(400.0)), now);
    node.update(&[], 0, now);
    let later = now + Duration::from_secs(1);
    assert!(node.is_told(Some(limit(1.0)), later));
    node.update(&[], 0, later);
    let sent = std::iter::repeat_with(|| node.try_send(later)).take_while(|sent| *sent);
    assert_eq!(sent.count(), 1);
}

/// Guards against taking a response that is late for the end of a limit.
#[test]
fn only_a_response_to_a_later_request_ends_a_limit() {
    let (mut node, now) = (Node::new(1), Instant::now());
    let key = node.server;
    let told = now + Duration::from_secs(1);
    node.is_told(Some(limit(1.0)), told);
    let late = told + Duration::from_millis(200);
    assert!(!node.dispatcher.record_limit(key, None, now, late));
    assert_eq!(node.limit(), Some(limit(1.0)));
    let sent_at = told + Duration::from_millis(1);
    assert!(node.dispatcher.record_limit(key, None, sent_at, late));
    assert_eq!(node.limit(), None);
    assert!(node.try_send(late));
}

#[test]
fn the_latest_statement_counts_whichever_node_heard_it() {
    let (mut node, start) = (Node::new(1), Instant::now());
    let now = start + Duration::from_secs(10);
    let secs = Duration::from_secs;
    let mut merge = |limit, age| {
        let report = node.report(limit, age);
        let changed = node.dispatcher.merge_limits(&[report], now);
        (changed.len(), node.limit())
    };
    let (lower, higher) = (Some(limit(1.0)), Some(limit(2.0)));
    assert_eq!(merge(lower, secs(5)), (1, lower));
    assert_eq!(merge(higher, secs(6)), (0, lower));
    assert_eq!(merge(higher, secs(4)), (1, higher));
    assert_eq!(merge(None, secs(3)), (1, None));
    assert_eq!(merge(higher, secs(4)), (0, None));
    let reports = node.dispatcher.limit_reports(now);
    assert_eq!(reports, [node.report(None, secs(3))]);
    assert_eq!(node.dispatcher.limit_reports(now + secs(60)), []);
}

/// Guards against limits that nodes tell one another for ever: each relay takes time.
#[test]
fn relays_do_not_make_a_statement_younger() {
    let (mut node, start) = (Node::new(1), Instant::now());
    let told = start + Duration::from_secs(1);
    node.is_told(Some(limit(1.0)), told);
    let mut now = told;
    for _ in 0..400 {
        let reports = node.dispatcher.limit_reports(now);
        now += Duration::from_millis(100);
        node.dispatcher.merge_limits(&reports, now);
    }
    assert_eq!(node.dispatcher.limit_reports(now), []);
}

#[test]
fn a_new_incarnation_has_no_limit() {
    let (mut node, now) = (Node::new(1), Instant::now());
    node.is_told(Some(limit(1.0)), now);
    node.dispatcher.sync(vec![TargetInfo {
        started_unix_ms: 2000,
        ..server("s-1")
    }]);
    let (_, target) = node.dispatcher.targets().next().unwrap();
    assert_eq!(target.rate_limit(), None);
}

/// Guards against requests that wait for, or are sent to, a server whose limit is used up.
#[test]
fn a_server_over_its_limit_is_not_chosen() {
    let now = Instant::now();
    let service = Name::from(SERVICE);
    let mut node = Node::new(1);
    node.dispatcher.sync(vec![server("s-1"), server("s-2")]);
    let request = DispatchRequest {
        service: &service,
        prompt: None,
        tried: &[],
        allow_separate_prefill: false,
        version: None,
        needs: AnswerNeeds::default(),
    };
    node.is_told(Some(limit(1.0)), now);
    node.update(&[], 0, now);
    let chosen = (0..20).map(|_| node.dispatcher.choose(&request, now).unwrap().server);
    assert!(
        chosen
            .collect::<Vec<_>>()
            .iter()
            .all(|key| *key != node.server)
    );
    node.dispatcher.sync(vec![server("s-1")]);
    assert_eq!(node.dispatcher.choose(&request, now), None);
    assert_eq!(node.dispatcher.over_limit_count(&service, now), 1);
    let wait = node.dispatcher.shortest_wait(&service, None, now).unwrap();
    assert!(wait <= Duration::from_secs(1), "{wait:?}");
    assert!(node.dispatcher.choose(&request, now + wait).is_some());
}

/// Guards against engines that get no orders, or no shared prompts, for a limit that does not
/// bind, and against orders that depend on which nodes are the senders.
#[parameterized(
    fewer_than_nodes = { 6.0, true },
    one_for_each_node = { 6.1, false },
    huge = { 1e18, false },
    zero = { 0.0, true },
)]
fn a_limit_is_scarce_if_not_all_nodes_send_in_a_turn(per_second: f64, scarce: bool) {
    let (mut node, now) = (Node::new(1), Instant::now());
    let is_scarce = |node: &Node| node.dispatcher.target(node.server).unwrap().is_scarce();
    assert!(!is_scarce(&node));
    node.is_told(Some(limit(per_second)), now);
    assert!(is_scarce(&node), "its place is not known yet");
    for turn in 0..10 {
        node.update(&[2, 3, 4, 5, 6, 7], turn * 20_000, now);
        assert_eq!(is_scarce(&node), scarce);
    }
}

/// Guards against a log line for each response with a malformed limit.
#[test]
fn a_malformed_limit_is_reported_once() {
    let (mut node, now) = (Node::new(1), Instant::now());
    let key = node.server;
    node.is_told(Some(limit(3.0)), now);
    assert!(node.dispatcher.record_malformed_limit(key));
    assert!(!node.dispatcher.record_malformed_limit(key));
    assert_eq!(node.limit(), Some(limit(3.0)));
    node.is_told(Some(limit(3.0)), now);
    assert!(node.dispatcher.record_malformed_limit(key));
}
