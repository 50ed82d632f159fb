//! Shares of client accounts over long runs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pomeloridge_base::id::{Incarnation, Name};
use pomeloridge_policy::admission::Admission;
use pomeloridge_policy::capacity::Capacity;
use pomeloridge_policy::estimate::OutputEstimates;
use pomeloridge_policy::ledger::ServiceTotal;
use pomeloridge_policy::ticket::{AdmissionDecision, TicketKey};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::support::{CASES, POOL, accepted, admission, ask, config, name, work};

const FAR: Duration = Duration::from_hours(10);
const TICK: Duration = Duration::from_millis(25);

/// A client account that always has requests waiting.
#[derive(Clone, Copy, Debug)]
struct Client {
    weight: f64,
    prompt: u64,
    output: u64,
    /// Requests that it keeps waiting or running on a node.
    depth: usize,
    /// Node that it sends to; `None` for all.
    node: Option<usize>,
}

struct Request {
    ticket: TicketKey,
    client: usize,
    left: u64,
}

/// One node whose servers make a token a tick for each running request.
struct Node {
    admission: Admission,
    running: Vec<Request>,
    waits: BTreeMap<TicketKey, Request>,
    open: Vec<usize>,
}

impl Node {
    fn new(slots: u32, clients: usize) -> Self {
        Self {
            admission: admission(slots),
            running: Vec::new(),
            waits: BTreeMap::new(),
            open: vec![0; clients],
        }
    }

    /// Sends a client's requests up to its depth; returns their prompt tokens.
    fn fill(&mut self, client: usize, spec: Client, rng: &mut StdRng, now: Instant) -> f64 {
        let mut sent = 0;
        while self.open[client] < spec.depth {
            let prompt = rng.random_range(spec.prompt / 2..=spec.prompt * 3 / 2);
            let output = rng.random_range(spec.output / 2..=spec.output * 3 / 2);
            let mut asked = ask(&format!("c{client}"), work(prompt, spec.output), now + FAR);
            asked.account_weight = spec.weight;
            let admit = self.admission.arrive(&asked, now);
            let ticket = accepted(admit);
            let left = output.max(1);
            self.waits.insert(
                ticket,
                Request {
                    ticket,
                    client,
                    left,
                },
            );
            if matches!(admit, AdmissionDecision::Start(_)) {
                self.running.extend(self.waits.remove(&ticket));
            }
            self.open[client] += 1;
            sent += prompt;
        }
        sent as f64
    }

    /// Makes a token of each running request; adds to what clients were served.
    fn tick(&mut self, served: &mut [f64], now: Instant) {
        for running in &mut self.running {
            running.left -= 1;
            self.admission.charge_output(running.ticket, 1, now);
            served[running.client] += 4.0;
            if running.left == 0 {
                self.admission.finish(running.ticket, now);
                self.open[running.client] -= 1;
            }
        }
        self.running.retain(|running| running.left > 0);
        while let Some(ticket) = self.admission.start_next(now) {
            self.running.extend(self.waits.remove(&ticket));
        }
    }
}

/// Runs clients against nodes; returns the service of each, divided by weight.
fn run(clients: &[Client], nodes: usize, slots: u32, ticks: u32, seed: u64) -> Vec<f64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut now = Instant::now();
    let mut served = vec![0.0; clients.len()];
    let mut fleet: Vec<Node> = (0..nodes)
        .map(|_| Node::new(slots, clients.len()))
        .collect();
    exchange(&mut fleet, now);
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
            exchange(&mut fleet, now);
        }
        now += TICK;
    }
    let pairs = served.iter().zip(clients);
    pairs
        .map(|(served, client)| served / client.weight)
        .collect()
}

/// Tells every node what the others served.
fn exchange(fleet: &mut [Node], now: Instant) {
    let told: Vec<_> = fleet
        .iter()
        .map(|node| node.admission.export(FAR, now))
        .collect();
    for (from, totals) in told.iter().enumerate() {
        let peer = Name::from(format!("vm-{from}"));
        for (to, node) in fleet.iter_mut().enumerate() {
            if from != to {
                node.admission.merge(&peer, Incarnation(1), totals);
            }
        }
    }
}

/// The least share over the mean.
fn worst(served: &[f64]) -> f64 {
    let mean = served.iter().sum::<f64>() / served.len() as f64;
    served.iter().copied().fold(f64::INFINITY, f64::min) / mean
}

fn client(prompt: u64, output: u64, depth: usize) -> Client {
    Client {
        weight: 1.0,
        prompt,
        output,
        depth,
        node: None,
    }
}

proptest! {
    #![proptest_config(config(12))]

    /// Accounts that always want more than their share get it, whatever the
    /// size of their requests and the length of their lines.
    #[test]
    fn the_worst_served_has_its_share(
        seed in any::<u64>(),
        specs in proptest::collection::vec((50_u64..1_000, 10_u64..100, 10_usize..30), 2..7),
    ) {
        let clients: Vec<Client> = specs.into_iter().map(|(p, o, d)| client(p, o, d)).collect();
        let served = run(&clients, 1, 8, 12_000, seed);
        prop_assert!(worst(&served) >= 0.9, "seed {}: {:?}", seed, served);
    }

    /// Weights divide the service.
    #[test]
    fn weights_count(seed in any::<u64>(), weight in 1.0_f64..4.0) {
        let heavy = Client { weight, ..client(200, 40, 20) };
        let served = run(&[heavy, client(200, 40, 20)], 1, 8, 12_000, seed);
        prop_assert!(worst(&served) >= 0.9, "seed {}: {:?}", seed, served);
    }
}

#[test]
fn shares_hold_over_the_whole_fleet() {
    let everywhere = client(300, 40, 20);
    let one_node = Client {
        node: Some(0),
        ..everywhere
    };
    let served = run(&[everywhere, one_node], 2, 8, 12_000, 5);
    assert!(worst(&served) >= 0.9, "{served:?}");
}

/// Ends what runs and starts what is next, so many times; returns the started.
fn starts(
    admission: &mut Admission,
    last: TicketKey,
    count: usize,
    now: Instant,
) -> Vec<TicketKey> {
    let mut running = last;
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

/// Sends a request for each name; the first one runs.
fn line(admission: &mut Admission, accounts: &[&str], output: u64, now: Instant) -> Vec<TicketKey> {
    let asked = |account: &&str| ask(account, work(10, output), now + FAR);
    let admits = accounts
        .iter()
        .map(|account| admission.arrive(&asked(account), now));
    admits.map(accepted).collect()
}

#[test]
fn being_idle_earns_no_credit() {
    let now = Instant::now();
    let mut admission = admission(1);
    // The idle account was here once; then the other one is served alone for long.
    for account in std::iter::once("idle").chain(std::iter::repeat_n("busy", 500)) {
        let sent = line(&mut admission, &[account], 10, now);
        starts(&mut admission, sent[0], 1, now);
    }
    let sent = line(&mut admission, &["busy", "idle"].repeat(60), 10, now);
    let order = starts(&mut admission, sent[0], 40, now);
    let is_idle = |ticket: &&TicketKey| sent.iter().skip(1).step_by(2).any(|key| key == *ticket);
    let count = order.iter().filter(is_idle).count();
    assert!((19..=21).contains(&count), "{count} of 40");
}

#[test]
fn expected_output_counts_until_the_answer_ends() {
    let now = Instant::now();
    let mut admission = admission(1);
    let first = line(&mut admission, &["x"], 0, now);
    let long = line(&mut admission, &["a", "a", "a"], 1_000, now);
    let short = line(&mut admission, &["b", "b", "b"], 0, now);
    let capacity = Capacity { slots: 5, peers: 0 };
    admission.set_capacity(&name(POOL), capacity, 1);
    let at_once: Vec<_> = std::iter::from_fn(|| admission.start_next(now)).collect();
    assert_eq!(at_once, [long[0], short[0], short[1], short[2]]);
    for ticket in [first[0], long[0]] {
        admission.cancel(ticket);
    }
    let late = line(&mut admission, &["b"], 0, now)[0];
    let after: Vec<_> = std::iter::from_fn(|| admission.start_next(now)).collect();
    assert_eq!(
        after,
        [long[1], late],
        "what was expected of a is taken back"
    );
}

proptest! {
    #![proptest_config(config(CASES))]

    /// However long the others' lines are, a newcomer's request waits for at
    /// most two requests of each.
    #[test]
    fn no_account_starves(lines in proptest::collection::vec(1_usize..40, 1..6)) {
        let now = Instant::now();
        let mut admission = admission(1);
        let names: Vec<String> = (0..lines.len()).map(|n| format!("c{n}")).collect();
        let pairs = names.iter().zip(&lines);
        let others = pairs.flat_map(|(name, length)| std::iter::repeat_n(name.as_str(), *length));
        let sent = line(&mut admission, &others.collect::<Vec<_>>(), 10, now);
        let order = starts(&mut admission, sent[0], lines.len() * 3, now);
        let newcomer = line(&mut admission, &["newcomer"], 10, now)[0];
        if order.len() == lines.len() * 3 {
            let order = starts(&mut admission, order[order.len() - 1], lines.len() * 2 + 1, now);
            prop_assert!(order.contains(&newcomer));
        }
    }
}

#[test]
fn the_history_of_a_peer_is_not_held_against_accounts() {
    let now = Instant::now();
    let mut admission = admission(1);
    let peer = name("vm-2");
    for total in [1e6, f64::NAN, 1e6 + 80.0, 1e6 + 80.0] {
        let total = ServiceTotal {
            pool: name(POOL),
            account: name("a"),
            total,
        };
        admission.merge(&peer, Incarnation(1), &[total]);
    }
    let sent = line(&mut admission, &["x", "a", "b", "b", "b"], 0, now);
    let order = starts(&mut admission, sent[0], 4, now);
    // Each request of b counts 51.
    assert_eq!(order, [sent[2], sent[3], sent[1], sent[4]]);
}

#[test]
fn the_expected_output_is_that_of_the_account() {
    let (pool, a, b) = (name(POOL), name("a"), name("b"));
    let mut estimates = OutputEstimates::default();
    assert_eq!(estimates.expected(&pool, &a, 4_096), 128);
    estimates.learn(&pool, &a, 20);
    estimates.learn(&pool, &name("c"), 500);
    assert_eq!(estimates.expected(&pool, &a, 4_096), 20);
    assert_eq!(estimates.expected(&pool, &a, 5), 5);
    assert_eq!(estimates.expected(&pool, &b, 4_096), 116, "like the others");
}
