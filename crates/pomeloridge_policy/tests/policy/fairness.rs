//! Shares of client accounts over long runs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pomeloridge_base::id::{Incarnation, Name};
use pomeloridge_policy::admission::Admission;
use pomeloridge_policy::ticket::{Admit, TicketKey};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::support::{CASES, admission, ask, config, ms, name, work};

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

struct Running {
    ticket: TicketKey,
    client: usize,
    left: u64,
}

/// One node whose servers make a token a tick for each running request.
struct Node {
    admission: Admission,
    running: Vec<Running>,
    /// Client and output of each request that waits.
    waits: BTreeMap<TicketKey, (usize, u64)>,
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

    fn fill(&mut self, client: usize, spec: Client, rng: &mut StdRng, now: Instant) -> f64 {
        let mut served = 0.0;
        while self.open[client] < spec.depth {
            let prompt = rng.random_range(spec.prompt / 2..=spec.prompt * 3 / 2);
            let output = rng
                .random_range(spec.output / 2..=spec.output * 3 / 2)
                .max(1);
            let mut asked = ask(&format!("c{client}"), work(prompt, spec.output), now + FAR);
            asked.account_weight = spec.weight;
            self.open[client] += 1;
            match self.admission.arrive(&asked, now) {
                Admit::Now(ticket) => {
                    self.running.push(Running {
                        ticket,
                        client,
                        left: output,
                    });
                    served += prompt as f64;
                }
                Admit::Wait(ticket) => {
                    self.waits.insert(ticket, (client, output));
                    served += prompt as f64;
                }
                Admit::Refuse(refusal) => panic!("refused: {refusal:?}"),
            }
        }
        served
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
        while let Some(ticket) = self.admission.next(now) {
            let (client, left) = self.waits.remove(&ticket).expect("it waited");
            self.running.push(Running {
                ticket,
                client,
                left,
            });
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

/// Starts requests one after the other; returns the accounts in order.
fn starts(
    admission: &mut Admission,
    held: &mut Vec<TicketKey>,
    count: usize,
    now: Instant,
) -> Vec<TicketKey> {
    let mut order = Vec::new();
    while order.len() < count {
        for ticket in held.drain(..) {
            admission.charge_output(ticket, 10, now);
            admission.finish(ticket, now);
        }
        let Some(ticket) = admission.next(now) else {
            break;
        };
        held.push(ticket);
        order.push(ticket);
    }
    order
}

#[test]
fn being_idle_earns_no_credit() {
    let mut now = Instant::now();
    let mut admission = admission(1);
    let asked = |account: &str, now: Instant| ask(account, work(100, 10), now + FAR);
    // The idle account was here once; then the other one is served alone for long.
    let mut held = Vec::new();
    for account in std::iter::once("idle").chain(std::iter::repeat_n("busy", 500)) {
        let Admit::Now(ticket) = admission.arrive(&asked(account, now), now) else {
            panic!("nothing else runs");
        };
        now += ms(100);
        admission.charge_output(ticket, 10, now);
        admission.finish(ticket, now);
    }
    let mut idle = Vec::new();
    for _ in 0..60 {
        match admission.arrive(&asked("busy", now), now) {
            Admit::Now(ticket) => held.push(ticket),
            Admit::Wait(_) => {}
            Admit::Refuse(refusal) => panic!("refused: {refusal:?}"),
        }
        if let Admit::Wait(ticket) = admission.arrive(&asked("idle", now), now) {
            idle.push(ticket);
        }
    }
    let order = starts(&mut admission, &mut held, 40, now);
    let count = order.iter().filter(|ticket| idle.contains(ticket)).count();
    assert!((19..=21).contains(&count), "{count} of 40");
}

proptest! {
    #![proptest_config(config(CASES))]

    /// However long the others' lines are, a newcomer's request waits for at
    /// most two requests of each.
    #[test]
    fn no_account_starves(lines in proptest::collection::vec(1_usize..40, 1..6)) {
        let now = Instant::now();
        let mut admission = admission(1);
        let mut held = Vec::new();
        for (number, length) in lines.iter().enumerate() {
            for _ in 0..*length {
                let asked = ask(&format!("c{number}"), work(100, 10), now + FAR);
                if let Admit::Now(ticket) = admission.arrive(&asked, now) {
                    held.push(ticket);
                }
            }
        }
        starts(&mut admission, &mut held, lines.len() * 3, now);
        let last = admission.arrive(&ask("newcomer", work(100, 10), now + FAR), now);
        if let Admit::Wait(ticket) = last {
            let order = starts(&mut admission, &mut held, lines.len() * 2 + 1, now);
            prop_assert!(order.contains(&ticket));
        }
    }
}

#[test]
fn the_history_of_a_peer_is_not_held_against_accounts() {
    let now = Instant::now();
    let mut admission = admission(1);
    let total = |total: f64| pomeloridge_policy::ledger::ServiceTotal {
        pool: name("assistant"),
        account: name("a"),
        total,
    };
    let peer = name("vm-2");
    admission.merge(&peer, Incarnation(1), &[total(1e6)]);
    admission.merge(&peer, Incarnation(1), &[total(1e6 + 80.0), total(f64::NAN)]);
    admission.merge(&peer, Incarnation(1), &[total(1e6 + 80.0)]);
    let mut held = Vec::new();
    for account in ["x", "a", "b", "b"] {
        match admission.arrive(&ask(account, work(10, 0), now + FAR), now) {
            Admit::Now(ticket) | Admit::Wait(ticket) => held.push(ticket),
            Admit::Refuse(refusal) => panic!("refused: {refusal:?}"),
        }
    }
    let (a, b) = (held[1], held[2]);
    let mut running = vec![held[0]];
    let order = starts(&mut admission, &mut running, 3, now);
    assert_eq!(order, [b, held[3], a], "a is ahead by 80, not by a million");
}
