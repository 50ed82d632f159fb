//! Tests of client accounts' allotments over the nodes of a fleet that pass asks and grants.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use pomeloridge_policy::account_quota::{
    ANSWER_TIMEOUT, AccountId, AccountLimit, AccountQuota, Ask, AskId, CREDIT_LIFE, Claim, Denial,
    FleetFacts, FleetView, Grant, KnownNode, LimitChanges, MAX_HOLDERS, NodeId, QuotaTerms,
    QuotaUnit, REPLACE_TIME, SentAsk, StandingChange, Step,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yare::parameterized;

/// Window, factor and slack of the users' rule on allotments.
const WINDOW: Duration = Duration::from_secs(8);
const FACTOR: f64 = 1.1;
const SLACK: f64 = 140_000.0;
const TERMS: QuotaTerms = QuotaTerms {
    slack: SLACK,
    window: WINDOW,
};
const ACCOUNT: AccountId = AccountId(7);
/// Time between two steps of the model, and from a message's sending to its answer.
const STEP: Duration = Duration::from_millis(5);
/// Number of steps between two heartbeats.
const STEPS_PER_BEAT: u32 = 20;
/// Time for which a request waits for credit.
const PATIENCE: Duration = Duration::from_millis(200);
/// Largest share of an allotment that may be refused below it.
const MAX_LOST: f64 = 0.03;

fn tokens(rate: f64, burst: f64) -> AccountLimit {
    let limit = AccountLimit::new(QuotaUnit::Tokens { plain: 200 }, rate, burst);
    limit.unwrap().unwrap()
}

/// A request that waits for credit.
struct Waiting {
    claim: Claim,
    asks: Vec<SentAsk>,
    until: Instant,
}

struct Node {
    quota: AccountQuota,
    /// When each other node was last heard, or became known.
    heard: HashMap<usize, Instant>,
    requests: Vec<Waiting>,
    is_restarted: bool,
    process: Process,
    is_cut: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Process {
    Running,
    Paused,
    Lost,
}

impl Node {
    fn new(index: usize, limit: Option<AccountLimit>, now: Instant) -> Self {
        let mut quota = AccountQuota::new(id(index), TERMS);
        quota.set_limits(
            limit.map(|limit| (ACCOUNT, limit)).into_iter().collect(),
            now,
        );
        Self {
            quota,
            heard: HashMap::new(),
            requests: Vec::new(),
            is_restarted: false,
            process: Process::Running,
            is_cut: false,
        }
    }

    fn runs(&self) -> bool {
        self.process == Process::Running
    }
}

fn id(index: usize) -> NodeId {
    NodeId((index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A fleet whose nodes exchange messages at once, except those that are lost or repeated.
struct Fleet {
    nodes: Vec<Node>,
    now: Instant,
    started: Instant,
    steps: u32,
    limit: AccountLimit,
    /// Probabilities that a message is lost and that it arrives twice.
    lost: f64,
    repeated: f64,
    random: StdRng,
    /// Units of the runs, and when they began.
    runs: Vec<(Instant, u64)>,
    refused: u64,
    unanswered: u64,
    /// Units of all refused requests, and when they were refused.
    refusals: Vec<(Instant, u64)>,
    asks: u64,
}

impl Fleet {
    /// Creates a fleet that has served for so long that the whole allotments are there.
    fn new(count: usize, limit: AccountLimit) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            nodes: (0..count)
                .map(|index| Node::new(index, Some(limit), now))
                .collect(),
            now,
            started: now,
            steps: 0,
            limit,
            lost: 0.0,
            repeated: 0.0,
            random: StdRng::seed_from_u64(45),
            runs: Vec::new(),
            refused: 0,
            unanswered: 0,
            refusals: Vec::new(),
            asks: 0,
        };
        for index in 0..count {
            fleet.introduce(index);
        }
        fleet.run(2 * WINDOW, |_| {});
        fleet.started = fleet.now;
        fleet
    }

    /// Lets a node read the list of nodes, as it does when it starts.
    fn introduce(&mut self, index: usize) {
        let now = self.now;
        let others = (0..self.nodes.len()).filter(|other| *other != index);
        self.nodes[index].heard = others.map(|other| (other, now)).collect();
    }

    fn add_node(&mut self) {
        let index = self.nodes.len();
        self.nodes
            .push(Node::new(index, Some(self.limit), self.now));
        self.introduce(index);
    }

    /// Replaces a node's process by a new one.
    fn restart(&mut self, index: usize) {
        self.nodes[index] = Node {
            is_restarted: true,
            ..Node::new(index, Some(self.limit), self.now)
        };
        self.introduce(index);
    }

    fn are_connected(&self, a: usize, b: usize) -> bool {
        a == b || !(self.nodes[a].is_cut || self.nodes[b].is_cut)
    }

    fn run(&mut self, time: Duration, mut act: impl FnMut(&mut Self)) {
        let end = self.now + time;
        while self.now < end {
            if self.steps.is_multiple_of(STEPS_PER_BEAT) {
                self.beat();
            }
            act(self);
            for index in 0..self.nodes.len() {
                if self.nodes[index].runs() {
                    self.advance(index);
                }
            }
            self.steps += 1;
            self.now += STEP;
        }
    }

    /// Sends all heartbeats, and updates the nodes' views.
    fn beat(&mut self) {
        let now = self.now;
        let count = self.nodes.len();
        for (from, to) in (0..count).flat_map(|from| (0..count).map(move |to| (from, to))) {
            let is_sent = from != to && self.nodes[from].runs() && self.are_connected(from, to);
            if is_sent && self.nodes[to].runs() {
                self.nodes[to].heard.insert(from, now);
            }
        }
        for index in 0..count {
            let node = &mut self.nodes[index];
            if !node.runs() {
                continue;
            }
            let silence = |at: &Instant| now.saturating_duration_since(*at);
            let nodes = node.heard.iter().map(|(other, at)| KnownNode {
                id: id(*other),
                is_local: other % 4 == index % 4,
                silence: silence(at),
            });
            let view = FleetView::new(id(index), nodes.collect());
            let heard = node
                .heard
                .values()
                .filter(|at| silence(at) < Duration::from_secs(1));
            let facts = FleetFacts {
                knows_nodes: true,
                is_restarted: node.is_restarted,
                hears_majority: (heard.count() + 1) * 2 > node.heard.len() + 1,
            };
            node.quota.set_view(view, facts, now);
        }
    }

    fn request(&mut self, index: usize, cost: u64) {
        if !self.nodes[index].runs() {
            return;
        }
        let claim = Claim::new(ACCOUNT, cost, self.now + PATIENCE);
        self.nodes[index].requests.push(Waiting {
            claim,
            asks: Vec::new(),
            until: self.now,
        });
    }

    /// Lets the requests of a node go on whose time has come.
    fn advance(&mut self, index: usize) {
        for mut request in std::mem::take(&mut self.nodes[index].requests) {
            let is_answered = self.nodes[index].quota.are_answered(&request.asks);
            let is_asking = !request.asks.is_empty();
            if !(request.until <= self.now || (is_asking && is_answered)) {
                self.nodes[index].requests.push(request);
                continue;
            }
            if is_asking {
                let asks = std::mem::take(&mut request.asks);
                let quota = &mut self.nodes[index].quota;
                quota.finish_asks(&mut request.claim, &asks, self.now);
            }
            let quota = &mut self.nodes[index].quota;
            match quota.next_step(&mut request.claim, self.now) {
                Step::Run(credit) => self.runs.push((self.now, credit.amount)),
                Step::Ask(asks) => {
                    for ask in &asks {
                        self.deliver(index, *ask);
                    }
                    request.asks = asks;
                    request.until = self.now + ANSWER_TIMEOUT;
                    self.nodes[index].requests.push(request);
                }
                Step::Wait(time) => {
                    request.until = self.now + time;
                    self.nodes[index].requests.push(request);
                }
                Step::Refuse(denial) => {
                    let cost = request.claim.cost;
                    let sum = match denial {
                        Denial::Unanswered => &mut self.unanswered,
                        _ => &mut self.refused,
                    };
                    *sum += cost;
                    self.refusals.push((self.now, cost));
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, sent: SentAsk) {
        self.asks += 1;
        let holder = (0..self.nodes.len()).find(|index| id(*index) == sent.holder);
        let holder = holder.expect("holders are nodes");
        if !self.nodes[holder].runs() || !self.are_connected(from, holder) {
            return;
        }
        for _ in 0..self.copies() {
            let grant = self.nodes[holder]
                .quota
                .handle_ask(ACCOUNT, sent.ask, self.now);
            for _ in 0..self.copies() {
                self.nodes[from]
                    .quota
                    .record_grant(sent.id, grant, self.now);
            }
        }
    }

    /// Returns how often a message arrives.
    fn copies(&mut self) -> u32 {
        if self.random.random_bool(self.lost) {
            return 0;
        }
        1 + u32::from(self.random.random_bool(self.repeated))
    }

    fn used(&self) -> u64 {
        let runs = self.runs.iter().filter(|(at, _)| *at >= self.started);
        runs.map(|(_, cost)| *cost).sum()
    }

    /// Returns the units refused in the window from `from`, as far as the limit had room for them,
    /// and what the limit allows in it.
    fn refused_below_limit(&self, burst: f64, from: Instant) -> (f64, f64) {
        let sum = |units: &[(Instant, u64)]| {
            let inside = units.iter();
            let inside = inside.filter(|(at, _)| (from..from + WINDOW).contains(at));
            inside.map(|(_, cost)| *cost).sum::<u64>() as f64
        };
        let allowed = self.limit.rate() * WINDOW.as_secs_f64() + burst;
        let room = (allowed - sum(&self.runs)).max(0.0);
        (sum(&self.refusals).min(room), allowed)
    }

    /// Checks the users' rule for windows that begin at a run. Requests are sent up to `delay` after
    /// their runs were charged.
    fn check(&self, limit: AccountLimit, burst: f64, from: Instant) {
        let bound = (limit.rate() * WINDOW.as_secs_f64() + burst) * FACTOR + SLACK;
        let runs = || self.runs.iter().filter(|(at, _)| *at >= from);
        for (start, _) in runs() {
            let inside = runs().filter(|(at, _)| (*start..*start + WINDOW).contains(at));
            let sum: u64 = inside.map(|(_, cost)| *cost).sum();
            assert!(
                sum as f64 <= bound,
                "{sum} of {bound} after {:?}",
                *start - self.started
            );
        }
    }
}

const RATE: f64 = 100_000.0;

/// Returns a load of `rate` units a second in requests of `cost`, at `nodes` by turns.
fn load(rate: f64, cost: u64, nodes: std::ops::Range<usize>) -> impl FnMut(&mut Fleet) {
    let mut due = 0.0;
    let mut count = 0;
    move |fleet: &mut Fleet| {
        due += rate * STEP.as_secs_f64();
        while due >= cost as f64 {
            due -= cost as f64;
            fleet.request(nodes.start + count % nodes.len(), cost);
            count += 1;
        }
    }
}

#[parameterized(
    at_one_node = { 1, 1_000 },
    at_few_nodes = { 3, 3_000 },
    at_all_nodes = { 60, 3_000 },
    large_requests = { 3, 12_000 },
)]
fn an_account_within_its_allotment_is_not_refused(nodes: usize, cost: u64) {
    let mut fleet = Fleet::new(60, tokens(RATE, RATE));
    fleet.run(Duration::from_secs(20), load(0.95 * RATE, cost, 0..nodes));
    assert_eq!((fleet.refused, fleet.unanswered), (0, 0));
    fleet.check(fleet.limit, RATE, fleet.started);
}

#[parameterized(
    at_one_node = { 1, 1_000 },
    at_few_nodes = { 3, 3_000 },
    at_all_nodes = { 60, 3_000 },
    large_requests = { 3, 12_000 },
    large_requests_at_all_nodes = { 60, 12_000 },
)]
fn an_account_far_over_its_allotment_gets_nearly_all_of_it(nodes: usize, cost: u64) {
    let time = Duration::from_secs(20);
    let mut fleet = Fleet::new(60, tokens(RATE, RATE));
    fleet.run(time, load(7.0 * RATE, cost, 0..nodes));
    let owed = RATE * (time.as_secs_f64() + 1.0);
    let used = fleet.used() as f64;
    assert!(used > owed * (1.0 - MAX_LOST), "{used} of {owed}");
    fleet.check(fleet.limit, RATE, fleet.started);
}

/// Guards against a burst that is used once and then refused although a window has passed.
#[parameterized(small_requests = { 2_000 }, large_requests = { 12_000 })]
fn what_a_window_allows_with_its_burst_is_not_refused(cost: u64) {
    let (rate, burst) = (162_104.0, 583_573.0);
    let mut fleet = Fleet::new(60, tokens(rate, burst));
    let allowed = rate + burst / WINDOW.as_secs_f64();
    let time = Duration::from_secs(40);
    fleet.run(time, load(0.97 * allowed, cost, 0..60));
    let owed = allowed * time.as_secs_f64();
    assert!(
        fleet.refused as f64 <= MAX_LOST * owed,
        "{} of {owed}",
        fleet.refused
    );
    fleet.check(fleet.limit, burst, fleet.started);
}

/// Guards against a large request that asks each holder in turn at a node that knows none of them,
/// and is then refused although they have it together.
#[parameterized(from_several_holders = { 25_950 }, from_one_after_a_wait = { 11_000 })]
fn a_node_that_knows_no_holder_finds_what_they_have(cost: u64) {
    let rate = 214_211.0;
    let mut fleet = Fleet::new(60, tokens(rate, rate));
    fleet.run(Duration::from_secs(4), load(4.0 * rate, 1_000, 1..4));
    // Once the waiting requests have ended, each of eight holders gains 8,000 tokens.
    fleet.run(PATIENCE + Duration::from_millis(300), |_| {});
    let (refused, used) = (fleet.refused, fleet.used());
    fleet.request(30, cost);
    fleet.run(2 * PATIENCE, |_| {});
    assert_eq!((fleet.refused, fleet.used()), (refused, used + cost));
    fleet.check(fleet.limit, rate, fleet.started);
}

/// Tokens of the requests of an account with prompts of three kinds.
const MIXED_COSTS: [u64; 3] = [12_000, 2_400, 850];

/// Returns a load of mixed requests at all nodes by chance, as a multiple of `rate`, in the first
/// `surge` of each window.
fn mixed_load(rate: f64, surge: Duration, started: Instant) -> impl FnMut(&mut Fleet) {
    let (mut due, mut random) = (0.0, StdRng::seed_from_u64(97));
    move |fleet: &mut Fleet| {
        let elapsed = fleet.now.saturating_duration_since(started);
        if elapsed.as_millis() % WINDOW.as_millis() >= surge.as_millis() {
            return;
        }
        due += rate * STEP.as_secs_f64();
        while due > 0.0 {
            let cost = MIXED_COSTS[random.random_range(0..MIXED_COSTS.len())];
            due -= cost as f64;
            fleet.request(random.random_range(0..60), cost);
        }
    }
}

/// Guards against an account whose callers are refused in windows whose limit has room for them:
/// the load is a multiple of what a window allows with its burst.
#[parameterized(
    just_below = { 0.97, 100_000.0, 360_000.0 },
    at_the_limit = { 1.0, 100_000.0, 360_000.0 },
    just_above = { 1.1, 100_000.0, 360_000.0 },
    far_above = { 7.5, 100_000.0, 360_000.0 },
    smallest_account = { 1.0, 36_000.0, 36_000.0 },
    smallest_account_far_above = { 7.5, 36_000.0, 36_000.0 },
    large_account = { 1.0, 500_000.0, 1_800_000.0 },
)]
fn little_is_refused_in_windows_with_room(load: f64, rate: f64, burst: f64) {
    let mut fleet = Fleet::new(60, tokens(rate, burst));
    let allowed = rate + burst / WINDOW.as_secs_f64();
    let started = fleet.now;
    fleet.run(5 * WINDOW, mixed_load(load * allowed, WINDOW, started));
    let windows = (0..4).map(|window| fleet.refused_below_limit(burst, started + window * WINDOW));
    let windows: Vec<(f64, f64)> = windows.collect();
    let lost: f64 = windows.iter().map(|(lost, _)| lost).sum();
    let allowed: f64 = windows.iter().map(|(_, allowed)| allowed).sum();
    assert!(lost <= MAX_LOST * allowed, "{windows:?}");
    fleet.check(fleet.limit, burst, fleet.started);
}

/// Guards against surges that get less than the rate and the burst while they last; the load is a
/// multiple of that.
#[parameterized(below = { 0.97 }, at_the_limit = { 1.0 }, far_above = { 4.0 })]
fn a_surge_gets_the_rate_and_the_burst(load: f64) {
    let (rate, burst, surge) = (100_000.0, 360_000.0, Duration::from_secs(2));
    let mut fleet = Fleet::new(60, tokens(rate, burst));
    let allowed = rate * surge.as_secs_f64() + burst;
    let asked = load * allowed / surge.as_secs_f64();
    let started = fleet.now;
    fleet.run(4 * WINDOW, mixed_load(asked, surge, started));
    let owed = 4.0 * allowed * load.min(1.0);
    let used = fleet.used() as f64;
    assert!(used >= (1.0 - MAX_LOST) * owed, "{used} of {owed}");
    fleet.check(fleet.limit, burst, fleet.started);
}

#[test]
fn a_used_up_allotment_is_not_asked_for_again_and_again() {
    let mut fleet = Fleet::new(60, tokens(RATE, RATE));
    fleet.run(Duration::from_secs(5), load(20.0 * RATE, 1_000, 0..3));
    let before = (fleet.asks, fleet.refused);
    fleet.run(Duration::from_secs(5), load(20.0 * RATE, 1_000, 0..3));
    let refused = (fleet.refused - before.1) / 1_000;
    let asks = fleet.asks - before.0;
    assert!(asks < refused, "{asks} asks for {refused} refused requests");
}

#[test]
fn a_request_larger_than_the_burst_is_served_from_several_holders() {
    let rate = 36_000.0;
    let mut fleet = Fleet::new(60, tokens(rate, rate));
    for _ in 0..10 {
        fleet.request(5, 55_000);
        fleet.run(Duration::from_secs(2), |_| {});
    }
    assert_eq!(
        (fleet.refused, fleet.unanswered, fleet.used()),
        (0, 0, 550_000)
    );
    fleet.check(fleet.limit, rate, fleet.started);
}

#[test]
fn large_requests_far_over_a_small_allotment_get_most_of_it() {
    let rate = 36_000.0;
    let time = Duration::from_secs(30);
    let mut fleet = Fleet::new(60, tokens(rate, rate));
    fleet.run(time, load(3.0 * rate, 30_000, 0..10));
    let used = fleet.used() as f64;
    assert!(used > 0.8 * rate * time.as_secs_f64(), "{used}");
    fleet.check(fleet.limit, rate, fleet.started);
}

#[test]
fn a_request_larger_than_the_whole_allotment_is_refused_for_good() {
    let mut fleet = Fleet::new(3, tokens(1_000.0, 1_000.0));
    let mut claim = Claim::new(ACCOUNT, 1_000_000, fleet.now + PATIENCE);
    let step = fleet.nodes[0].quota.next_step(&mut claim, fleet.now);
    assert_eq!(step, Step::Refuse(Denial::TooLarge));
}

#[test]
fn lost_and_repeated_messages_never_add_credit() {
    let mut fleet = Fleet::new(20, tokens(RATE, RATE));
    (fleet.lost, fleet.repeated) = (0.1, 0.2);
    fleet.run(Duration::from_secs(20), load(5.0 * RATE, 2_000, 0..20));
    fleet.check(fleet.limit, RATE, fleet.started);
    assert!(fleet.used() as f64 > 0.5 * RATE * 20.0, "{}", fleet.used());
}

#[parameterized(short = { 5 }, longer_than_the_replacement = { 40 })]
fn nodes_that_are_cut_off_grant_no_more_than_their_part(seconds: u64) {
    let mut fleet = Fleet::new(20, tokens(RATE, RATE));
    let mut load = load(5.0 * RATE, 2_000, 0..20);
    fleet.run(Duration::from_secs(10), &mut load);
    for index in 0..6 {
        fleet.nodes[index].is_cut = true;
    }
    fleet.run(Duration::from_secs(seconds), &mut load);
    for index in 0..6 {
        fleet.nodes[index].is_cut = false;
    }
    fleet.run(Duration::from_secs(30), &mut load);
    fleet.check(fleet.limit, RATE, fleet.started);
}

#[parameterized(short = { 3 }, longer_than_the_replacement = { 40 })]
fn nodes_that_were_paused_grant_no_more_than_their_part(seconds: u64) {
    let mut fleet = Fleet::new(20, tokens(RATE, RATE));
    let mut load = load(5.0 * RATE, 2_000, 0..20);
    fleet.run(Duration::from_secs(10), &mut load);
    for index in 0..8 {
        fleet.nodes[index].process = Process::Paused;
    }
    fleet.run(Duration::from_secs(seconds), &mut load);
    for index in 0..8 {
        fleet.nodes[index].process = Process::Running;
    }
    fleet.run(Duration::from_secs(30), &mut load);
    fleet.check(fleet.limit, RATE, fleet.started);
}

#[test]
fn all_nodes_that_restart_begin_with_nothing_and_serve_at_once() {
    let mut fleet = Fleet::new(20, tokens(RATE, RATE));
    let mut load = load(5.0 * RATE, 2_000, 0..20);
    fleet.run(Duration::from_secs(10), &mut load);
    for index in 0..20 {
        fleet.restart(index);
    }
    let before = fleet.used();
    fleet.run(Duration::from_secs(4), &mut load);
    let used = (fleet.used() - before) as f64;
    assert!(used > 0.8 * RATE * 4.0, "{used}");
    fleet.check(fleet.limit, RATE, fleet.started);
}

#[test]
fn nodes_that_join_by_dozens_do_not_add_to_the_allotment() {
    let mut fleet = Fleet::new(20, tokens(RATE, RATE));
    let mut load = load(5.0 * RATE, 2_000, 0..20);
    fleet.run(Duration::from_secs(10), &mut load);
    for _ in 0..24 {
        fleet.add_node();
    }
    fleet.run(Duration::from_secs(20), &mut load);
    fleet.check(fleet.limit, RATE, fleet.started);
    // After the window all parts have holders again.
    let before = fleet.used();
    fleet.run(Duration::from_secs(10), &mut load);
    let used = (fleet.used() - before) as f64;
    assert!(used > (1.0 - MAX_LOST) * RATE * 10.0, "{used}");
}

#[test]
fn nodes_lost_for_good_are_replaced() {
    let mut fleet = Fleet::new(20, tokens(RATE, RATE));
    let mut load = load(5.0 * RATE, 2_000, 12..20);
    fleet.run(Duration::from_secs(5), &mut load);
    for index in 0..8 {
        fleet.nodes[index].process = Process::Lost;
    }
    fleet.run(REPLACE_TIME + 2 * WINDOW, &mut load);
    fleet.check(fleet.limit, RATE, fleet.started);
    let (used, unanswered) = (fleet.used(), fleet.unanswered);
    fleet.run(Duration::from_secs(10), &mut load);
    let used = (fleet.used() - used) as f64;
    assert!(used > (1.0 - MAX_LOST) * RATE * 10.0, "{used}");
    assert_eq!(fleet.unanswered, unanswered);
}

#[test]
fn a_lower_limit_binds_one_window_after_all_nodes_know_it() {
    let mut fleet = Fleet::new(20, tokens(RATE, RATE));
    let mut load = load(5.0 * RATE, 2_000, 0..20);
    fleet.run(Duration::from_secs(10), &mut load);
    let lower = tokens(RATE / 10.0, RATE / 10.0);
    for index in 0..20 {
        let limits = HashMap::from([(ACCOUNT, lower)]);
        fleet.nodes[index].quota.set_limits(limits, fleet.now);
        fleet.run(Duration::from_millis(100), &mut load);
    }
    let known = fleet.now;
    fleet.run(Duration::from_secs(20), &mut load);
    fleet.check(fleet.limit, RATE, fleet.started);
    fleet.check(lower, RATE / 10.0, known);
}

#[test]
fn without_any_holder_a_request_is_refused_as_unanswered() {
    let mut fleet = Fleet::new(20, tokens(RATE, RATE));
    for index in 1..20 {
        fleet.nodes[index].process = Process::Lost;
    }
    fleet.run(Duration::from_secs(40), |_| {});
    fleet.request(0, 1_000);
    fleet.run(Duration::from_secs(1), |_| {});
    assert_eq!((fleet.refused, fleet.unanswered), (0, 1_000));
}

#[test]
fn a_new_node_does_not_grant_before_the_others_know_it() {
    let now = Instant::now();
    let mut node = Node::new(0, Some(tokens(RATE, RATE)), now);
    let facts = FleetFacts {
        knows_nodes: true,
        is_restarted: false,
        hears_majority: true,
    };
    let ask = Ask {
        needed: 1,
        extra: 0,
    };
    let view = || FleetView::new(id(0), Vec::new());
    assert_eq!(node.quota.set_view(view(), facts, now), None);
    assert_eq!(node.quota.handle_ask(ACCOUNT, ask, now), Grant::CLOSED);
    let later = now + WINDOW;
    let change = node.quota.set_view(view(), facts, later);
    assert_eq!(change, Some(StandingChange::Granting));
    // What it holds fills from then on.
    assert_eq!(node.quota.handle_ask(ACCOUNT, ask, later).amount, 0);
    let later = later + Duration::from_secs(1);
    assert_eq!(node.quota.handle_ask(ACCOUNT, ask, later).amount, 1);
}

/// Guards against a fleet that refuses an account for a window after its first limit came.
#[test]
fn a_node_known_for_long_grants_as_soon_as_a_limit_comes() {
    let now = Instant::now();
    let mut node = Node::new(0, None, now);
    node.quota.record_known(now);
    let later = now + WINDOW;
    let limits = HashMap::from([(ACCOUNT, tokens(RATE, RATE))]);
    node.quota.set_limits(limits, later);
    let facts = FleetFacts {
        knows_nodes: true,
        is_restarted: false,
        hears_majority: true,
    };
    let view = FleetView::new(id(0), Vec::new());
    let change = node.quota.set_view(view, facts, later);
    assert_eq!(change, Some(StandingChange::Granting));
}

#[test]
fn an_answer_counts_once_and_its_credit_lapses() {
    let mut fleet = Fleet::new(20, tokens(RATE, RATE));
    let now = fleet.now;
    let quota = &mut fleet.nodes[0].quota;
    let mut claim = Claim::new(ACCOUNT, 5_000, now + PATIENCE);
    let Step::Ask(asks) = quota.next_step(&mut claim, now) else {
        panic!("no ask");
    };
    let grant = Grant {
        amount: 5_000,
        balance: 0,
        is_closed: false,
    };
    assert!(quota.record_grant(asks[0].id, grant, now));
    assert!(!quota.record_grant(asks[0].id, grant, now));
    assert!(!quota.record_grant(AskId(u64::MAX), grant, now));
    assert_eq!(quota.at_hand(ACCOUNT, now), 5_000);
    let Step::Run(credit) = quota.next_step(&mut claim, now) else {
        panic!("no credit");
    };
    assert_eq!(quota.at_hand(ACCOUNT, now), 0);
    quota.give_back(credit, now);
    assert_eq!(quota.at_hand(ACCOUNT, now), 5_000);
    let late = now + CREDIT_LIFE;
    assert!(credit.has_lapsed(late));
    assert_eq!(quota.at_hand(ACCOUNT, late), 0);
    quota.give_back(credit, late);
    assert_eq!(quota.at_hand(ACCOUNT, late), 0);
}

#[test]
fn refused_requests_are_told_to_return_one_after_the_other() {
    let mut fleet = Fleet::new(1, tokens(10_000.0, 10_000.0));
    fleet.run(WINDOW, |_| {});
    fleet.request(0, 121_000);
    fleet.run(STEP * 4, |_| {});
    let now = fleet.now;
    let mut delay = || {
        let mut claim = Claim::new(ACCOUNT, 2_000, now);
        let quota = &mut fleet.nodes[0].quota;
        loop {
            match quota.next_step(&mut claim, now) {
                Step::Refuse(Denial::Exhausted { retry_after }) => return retry_after,
                Step::Ask(asks) => {
                    for ask in &asks {
                        let grant = quota.handle_ask(ACCOUNT, ask.ask, now);
                        quota.record_grant(ask.id, grant, now);
                    }
                    quota.finish_asks(&mut claim, &asks, now);
                }
                step => panic!("{step:?}"),
            }
        }
    };
    let delays = [delay(), delay(), delay()];
    assert!(delays.is_sorted_by(|a, b| a < b), "{delays:?}");
    let distant = Duration::from_secs(3);
    assert!((0..100).all(|_| delay() <= distant));
}

#[test]
fn limits_that_come_change_and_go_are_counted_and_leave_nothing() {
    let now = Instant::now();
    let mut node = Node::new(0, None, now);
    let quota = &mut node.quota;
    let limits = |rate: f64| HashMap::from([(ACCOUNT, tokens(rate, rate))]);
    let changes = |added, changed, removed| LimitChanges {
        added,
        changed,
        removed,
    };
    assert_eq!(quota.set_limits(limits(1.0), now), changes(1, 0, 0));
    assert_eq!(quota.set_limits(limits(1.0), now), changes(0, 0, 0));
    assert_eq!(quota.set_limits(limits(2.0), now), changes(0, 1, 0));
    let mut claim = Claim::new(ACCOUNT, 1, now);
    quota.next_step(&mut claim, now);
    assert_eq!(quota.kept_accounts(), 1);
    assert_eq!(quota.set_limits(HashMap::new(), now), changes(0, 0, 1));
    assert_eq!(quota.kept_accounts(), 0);
    assert!(!quota.has_limits());
}

#[parameterized(
    none = { 0.0, 5.0, Ok(None) },
    negative_rate = { -1.0, 5.0, Err(()) },
    negative_burst = { 1.0, -5.0, Err(()) },
    not_a_number = { f64::NAN, 5.0, Err(()) },
    infinite = { f64::INFINITY, 5.0, Err(()) },
)]
fn a_limit_is_valid_or_absent(rate: f64, burst: f64, expected: Result<Option<()>, ()>) {
    let limit = AccountLimit::new(QuotaUnit::Requests, rate, burst);
    assert_eq!(
        limit.map(|limit| limit.map(|_| ())).map_err(|_| ()),
        expected
    );
}

#[test]
fn a_request_counts_by_the_unit_of_the_limit() {
    let limit = |unit| AccountLimit::new(unit, 1.0, 1.0).unwrap().unwrap();
    assert_eq!(limit(QuotaUnit::Requests).cost(Some(5_000)), 1);
    assert_eq!(
        limit(QuotaUnit::Tokens { plain: 200 }).cost(Some(5_000)),
        5_000
    );
    assert_eq!(limit(QuotaUnit::Tokens { plain: 200 }).cost(None), 200);
}

#[parameterized(
    large = { 1e6, 60, MAX_HOLDERS },
    small = { 36_000.0, 60, 4 },
    tiny = { 1.0, 60, 3 },
    few_nodes = { 1e6, 2, 2 },
)]
fn a_small_allotment_and_a_small_fleet_have_fewer_holders(
    rate: f64,
    nodes: usize,
    expected: usize,
) {
    assert_eq!(tokens(rate, rate).holders(TERMS, nodes), expected);
}

#[test]
fn nodes_that_know_the_same_nodes_choose_the_same_holders() {
    let fleet = Fleet::new(60, tokens(RATE, RATE));
    let mut asked: HashSet<NodeId> = HashSet::new();
    let mut fleet = fleet;
    for index in 0..60 {
        let mut claim = Claim::new(ACCOUNT, 200_000, fleet.now + PATIENCE);
        let step = fleet.nodes[index].quota.next_step(&mut claim, fleet.now);
        let Step::Ask(asks) = step else {
            panic!("{step:?}");
        };
        asked.extend(asks.iter().map(|ask| ask.holder));
    }
    let holders = fleet.limit.holders(TERMS, 60);
    assert_eq!(asked.len(), holders);
}
