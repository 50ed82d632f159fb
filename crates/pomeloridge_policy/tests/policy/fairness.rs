//! Tests of fair sharing between client accounts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pomeloridge_base::id::{Incarnation, Name};
use pomeloridge_policy::admission::Admission;
use pomeloridge_policy::capacity::Capacity;
use pomeloridge_policy::estimate::OutputEstimates;
use pomeloridge_policy::peer_usage::ServedTotal;
use pomeloridge_policy::ticket::{AdmissionDecision, TicketKey};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::support::{
    CASES, POOL, admission, admission_request, admitted_ticket, config, name, work,
};

const FAR_DEADLINE: Duration = Duration::from_hours(10);
const TICK: Duration = Duration::from_millis(25);

/// A client account that always has requests waiting.
#[derive(Clone, Copy, Debug)]
struct Client {
    weight: f64,
    prompt: u64,
    output: u64,
    /// Requests that it keeps waiting or running on each node.
    concurrency: usize,
    /// Index of the only node that it sends to; `None` for all nodes.
    node: Option<usize>,
}

struct Request {
    ticket: TicketKey,
    client: usize,
    tokens_left: u64,
}

/// A node whose servers generate one token per tick for each running request.
struct Node {
    admission: Admission,
    running: Vec<Request>,
    waiting: BTreeMap<TicketKey, Request>,
    /// Requests in progress of each client.
    in_progress: Vec<usize>,
}

impl Node {
    fn new(slots: u32, clients: usize) -> Self {
        Self {
            admission: admission(slots),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            in_progress: vec![0; clients],
        }
    }

    /// Sends a client's requests up to its concurrency; returns their prompt tokens.
    fn fill(&mut self, client: usize, spec: Client, rng: &mut StdRng, now: Instant) -> f64 {
        let mut prompt_tokens = 0;
        while self.in_progress[client] < spec.concurrency {
            let prompt = rng.random_range(spec.prompt / 2..=spec.prompt * 3 / 2);
            let output = rng.random_range(spec.output / 2..=spec.output * 3 / 2);
            let mut request = admission_request(
                &format!("c{client}"),
                work(prompt, spec.output),
                now + FAR_DEADLINE,
            );
            request.account_weight = spec.weight;
            let decision = self.admission.arrive(&request, now);
            let ticket = admitted_ticket(decision);
            let tokens_left = output.max(1);
            self.waiting.insert(
                ticket,
                Request {
                    ticket,
                    client,
                    tokens_left,
                },
            );
            if matches!(decision, AdmissionDecision::Start(_)) {
                self.running.extend(self.waiting.remove(&ticket));
            }
            self.in_progress[client] += 1;
            prompt_tokens += prompt;
        }
        prompt_tokens as f64
    }

    /// Generates a token for each running request and adds its charge to `served`.
    fn tick(&mut self, served: &mut [f64], now: Instant) {
        for running in &mut self.running {
            running.tokens_left -= 1;
            self.admission.charge_output(running.ticket, 1, now);
            served[running.client] += 4.0;
            if running.tokens_left == 0 {
                self.admission.finish(running.ticket, now);
                self.in_progress[running.client] -= 1;
            }
        }
        self.running.retain(|running| running.tokens_left > 0);
        while let Some(ticket) = self.admission.start_next(now) {
            self.running.extend(self.waiting.remove(&ticket));
        }
    }
}

/// Runs clients against nodes and returns the service of each, divided by its weight.
fn run(clients: &[Client], nodes: usize, slots: u32, ticks: u32, seed: u64) -> Vec<f64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut now = Instant::now();
    let mut served = vec![0.0; clients.len()];
    let mut fleet: Vec<Node> = (0..nodes)
        .map(|_| Node::new(slots, clients.len()))
        .collect();
    exchange_totals(&mut fleet, now);
    for tick in 0..ticks {
        for (number, node) in fleet.iter_mut().enumerate() {
            for (client, spec) in clients.iter().enumerate() {
                if spec.node.is_none_or(|only| only == number) {
                    served[client] += node.fill(client, *spec, &mut rng, now);
                }
            }
            node.tick(&mut served, now);
        }
        if tick % 10 == 0 {
            exchange_totals(&mut fleet, now);
        }
        now += TICK;
    }
    let pairs = served.iter().zip(clients);
    pairs
        .map(|(served, client)| served / client.weight)
        .collect()
}

/// Merges the service totals of each node into all others.
fn exchange_totals(fleet: &mut [Node], now: Instant) {
    let exported: Vec<_> = fleet
        .iter()
        .map(|node| node.admission.export(FAR_DEADLINE, now))
        .collect();
    for (from, totals) in exported.iter().enumerate() {
        let peer = Name::from(format!("vm-{from}"));
        for (to, node) in fleet.iter_mut().enumerate() {
            if from != to {
                node.admission.merge(&peer, Incarnation(1), totals);
            }
        }
    }
}

/// Returns the lowest service divided by the mean.
fn min_over_mean(served: &[f64]) -> f64 {
    let mean = served.iter().sum::<f64>() / served.len() as f64;
    served.iter().copied().fold(f64::INFINITY, f64::min) / mean
}

fn client(prompt: u64, output: u64, concurrency: usize) -> Client {
    Client {
        weight: 1.0,
        prompt,
        output,
        concurrency,
        node: None,
    }
}

proptest! {
    #![proptest_config(config(12))]

    /// Backlogged accounts get at least 90 % of the mean service, whatever the
    /// sizes and numbers of their requests.
    #[test]
    fn backlogged_accounts_get_equal_service(
        seed in any::<u64>(),
        specs in proptest::collection::vec((50_u64..1_000, 10_u64..100, 10_usize..30), 2..7),
    ) {
        let clients: Vec<Client> = specs.into_iter().map(|(p, o, d)| client(p, o, d)).collect();
        let served = run(&clients, 1, 8, 12_000, seed);
        prop_assert!(min_over_mean(&served) >= 0.9, "seed {}: {:?}", seed, served);
    }

    /// Service is proportional to the weights.
    #[test]
    fn service_is_proportional_to_weight(seed in any::<u64>(), weight in 1.0_f64..4.0) {
        let heavy = Client { weight, ..client(200, 40, 20) };
        let served = run(&[heavy, client(200, 40, 20)], 1, 8, 12_000, seed);
        prop_assert!(min_over_mean(&served) >= 0.9, "seed {}: {:?}", seed, served);
    }
}

#[test]
fn service_is_equal_across_nodes() {
    let everywhere = client(300, 40, 20);
    let one_node = Client {
        node: Some(0),
        ..everywhere
    };
    let served = run(&[everywhere, one_node], 2, 8, 12_000, 5);
    assert!(min_over_mean(&served) >= 0.9, "{served:?}");
}

/// Finishes the running request and starts the next one, up to `count` times;
/// returns the started requests in order.
fn finish_and_start(
    admission: &mut Admission,
    running: TicketKey,
    count: usize,
    now: Instant,
) -> Vec<TicketKey> {
    let mut running = running;
    let mut order = Vec::new();
    while order.len() < count {
        admission.charge_output(running, 10, now);
        admission.finish(running, now);
        let Some(next) = admission.start_next(now) else {
            break;
        };
        running = next;
        order.push(next);
    }
    order
}

/// Sends one request per listed account; on an idle pool with one slot, the first
/// one runs.
fn send_requests(
    admission: &mut Admission,
    accounts: &[&str],
    output: u64,
    now: Instant,
) -> Vec<TicketKey> {
    let request = |account: &&str| admission_request(account, work(10, output), now + FAR_DEADLINE);
    let decisions = accounts
        .iter()
        .map(|account| admission.arrive(&request(account), now));
    decisions.map(admitted_ticket).collect()
}

#[test]
fn idle_accounts_earn_no_credit() {
    let now = Instant::now();
    let mut admission = admission(1);
    // The idle account sends one request, then the busy one is served 500 times.
    for account in std::iter::once("idle").chain(std::iter::repeat_n("busy", 500)) {
        let sent = send_requests(&mut admission, &[account], 10, now);
        finish_and_start(&mut admission, sent[0], 1, now);
    }
    let sent = send_requests(&mut admission, &["busy", "idle"].repeat(60), 10, now);
    let order = finish_and_start(&mut admission, sent[0], 40, now);
    let is_idle = |ticket: &&TicketKey| sent.iter().skip(1).step_by(2).any(|key| key == *ticket);
    let count = order.iter().filter(is_idle).count();
    assert!((19..=21).contains(&count), "{count} of 40");
}

#[test]
fn expected_output_is_reserved_until_the_request_ends() {
    let now = Instant::now();
    let mut admission = admission(1);
    let first = send_requests(&mut admission, &["x"], 0, now);
    let long = send_requests(&mut admission, &["a", "a", "a"], 1_000, now);
    let short = send_requests(&mut admission, &["b", "b", "b"], 0, now);
    let capacity = Capacity { slots: 5, peers: 0 };
    admission.set_capacity(&name(POOL), capacity, 1);
    let at_once: Vec<_> = std::iter::from_fn(|| admission.start_next(now)).collect();
    assert_eq!(at_once, [long[0], short[0], short[1], short[2]]);
    for ticket in [first[0], long[0]] {
        admission.cancel(ticket);
    }
    let late = send_requests(&mut admission, &["b"], 0, now)[0];
    let after: Vec<_> = std::iter::from_fn(|| admission.start_next(now)).collect();
    assert_eq!(
        after,
        [long[1], late],
        "the reservation of a must be released"
    );
}

proptest! {
    #![proptest_config(config(CASES))]

    /// However many requests the other accounts have queued, a new account's
    /// request waits for at most two requests of each.
    #[test]
    fn no_account_starves(queue_lengths in proptest::collection::vec(1_usize..40, 1..6)) {
        let now = Instant::now();
        let mut admission = admission(1);
        let names: Vec<String> = (0..queue_lengths.len()).map(|n| format!("c{n}")).collect();
        let pairs = names.iter().zip(&queue_lengths);
        let others = pairs.flat_map(|(name, length)| std::iter::repeat_n(name.as_str(), *length));
        let sent = send_requests(&mut admission, &others.collect::<Vec<_>>(), 10, now);
        let order = finish_and_start(&mut admission, sent[0], queue_lengths.len() * 3, now);
        let newcomer = send_requests(&mut admission, &["newcomer"], 10, now)[0];
        if order.len() == queue_lengths.len() * 3 {
            let order = finish_and_start(&mut admission, order[order.len() - 1], queue_lengths.len() * 2 + 1, now);
            prop_assert!(order.contains(&newcomer));
        }
    }
}

#[test]
fn service_by_a_peer_counts_only_from_its_second_report() {
    let now = Instant::now();
    let mut admission = admission(1);
    let peer = name("vm-2");
    for total in [1e6, f64::NAN, 1e6 + 80.0, 1e6 + 80.0] {
        let total = ServedTotal {
            pool: name(POOL),
            account: name("a"),
            total,
        };
        admission.merge(&peer, Incarnation(1), &[total]);
    }
    let sent = send_requests(&mut admission, &["x", "a", "b", "b", "b"], 0, now);
    let order = finish_and_start(&mut admission, sent[0], 4, now);
    // Each request of b is charged 51 virtual tokens.
    assert_eq!(order, [sent[2], sent[3], sent[1], sent[4]]);
}

#[test]
fn output_estimates_are_per_account() {
    let (pool, a, b) = (name(POOL), name("a"), name("b"));
    let mut estimates = OutputEstimates::default();
    assert_eq!(estimates.expected(&pool, &a, 4_096), 128);
    estimates.learn(&pool, &a, 20);
    estimates.learn(&pool, &name("c"), 500);
    assert_eq!(estimates.expected(&pool, &a, 4_096), 20);
    assert_eq!(estimates.expected(&pool, &a, 5), 5);
    assert_eq!(
        estimates.expected(&pool, &b, 4_096),
        116,
        "an unknown account gets the pool's estimate"
    );
}
