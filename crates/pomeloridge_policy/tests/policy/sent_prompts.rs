//! Tests of what nodes know of long prompts that others have just sent.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::{
    AnswerNeeds, DispatchRequest, Dispatcher, EngineModel, NodeLoad, PeerLoad, PromptMessageBudget,
    PromptShape, PromptSource, SentPrompt, Stage, TargetInfo, TargetKey,
};
use pomeloridge_policy::prompt_cache::PromptPart;
use yare::parameterized;

use crate::support::ms;

const SERVICE: &str = "model";
/// Read in some 230 ms by an engine that is free.
const LONG_PROMPT: u64 = 20_000;
const ROUND: Duration = Duration::from_millis(100);
const LATENCY: Duration = Duration::from_millis(3);
const PREFILL_ENGINES: u16 = 12;

fn engine(number: u16, stage: Stage) -> TargetInfo {
    TargetInfo {
        id: Name::from(format!("e{number}")),
        started_unix_ms: 1,
        address: ([10, 0, 0, 1], number).into(),
        data_centre: Name::from("a"),
        service: Name::from(SERVICE),
        version: Name::from("v1"),
        slots: 64,
        kv_capacity: 400_000,
        stage,
        leaving: false,
        leaves_in: None,
        preemptible: false,
    }
}

fn dispatcher(seed: u64, is_uneven: bool) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Name::from("a"), EngineModel::default(), seed);
    dispatcher.expect_uneven_servers(is_uneven);
    let prefill = (0..PREFILL_ENGINES).map(|number| engine(number, Stage::Prefill));
    let decode = (100..112).map(|number| engine(number, Stage::Decode));
    dispatcher.sync(prefill.chain(decode).collect());
    dispatcher
}

fn key(dispatcher: &Dispatcher, id: &str) -> TargetKey {
    let mut targets = dispatcher.targets();
    let found = targets.find(|(_, target)| target.info.id.as_str() == id);
    found.unwrap().0
}

fn prompt(id: u64) -> PromptShape {
    PromptShape {
        tokens: LONG_PROMPT,
        parts: vec![PromptPart {
            id,
            tokens: LONG_PROMPT,
        }],
    }
}

/// Sends a long prompt to the engine that the node finds best. Returns that engine, and what the
/// node tells its peers.
fn send_long(node: &mut Dispatcher, id: u64, now: Instant) -> (TargetKey, Option<SentPrompt>) {
    let (service, prompt) = (Name::from(SERVICE), prompt(id));
    let request = DispatchRequest {
        service: &service,
        prompt: Some(&prompt),
        tried: &[],
        allow_separate_prefill: true,
        version: None,
        needs: AnswerNeeds {
            output_tokens: Some(300),
            first_target: Some(ms(1000)),
            gap_target: Some(ms(400)),
            first_within: ms(8000),
            end_within: ms(8000),
            ..AnswerNeeds::default()
        },
    };
    let plan = node.choose(&request, now).unwrap();
    let reader = plan.prefill.unwrap_or(plan.server);
    node.begin(reader, plan.prefill_tokens, Some(&prompt), now);
    let sent = node.long_prompt(reader, plan.prefill_tokens, ROUND, now);
    (reader, sent)
}

fn told_by(peer: &str) -> PromptSource {
    PromptSource::Peer(Name::from(peer))
}

fn load(prefill_tokens: u64, at: Instant) -> PeerLoad {
    PeerLoad {
        load: NodeLoad {
            prefill_tokens,
            running: 1,
            held_tokens: 0,
        },
        at,
    }
}

/// Load: 48 nodes get a long prompt each within 48 ms, and none hears the others' loads meanwhile.
/// Each engine is to read four of them.
#[test]
fn prompts_of_one_round_spread_over_the_engines() {
    const NODES: u16 = 48;
    for seed in 1..=5 {
        println!("seed {seed}");
        let started = Instant::now();
        let mut nodes: Vec<Dispatcher> = (0..NODES)
            .map(|number| {
                let mut node = dispatcher(seed * 1000 + u64::from(number), true);
                node.set_peer_count(usize::from(NODES) - 1);
                node
            })
            .collect();
        let mut told: Vec<(Instant, u16, SentPrompt)> = Vec::new();
        let mut by_engine: HashMap<Name, u32> = HashMap::new();
        for number in 0..NODES {
            let now = started + Duration::from_millis(u64::from(number));
            let node = &mut nodes[usize::from(number)];
            let arrived = told.iter().filter(|(at, ..)| *at + LATENCY <= now);
            for (at, sender, sent) in arrived {
                let source = told_by(&format!("node{sender}"));
                node.record_peer_prompt(source, *sent, *at + LATENCY);
            }
            let (reader, sent) = send_long(node, u64::from(number), now);
            let id = node.target(reader).unwrap().info.id.clone();
            *by_engine.entry(id).or_default() += 1;
            told.extend(sent.map(|sent| (now, number, sent)));
        }
        let most = by_engine.values().max().unwrap();
        assert!(*most <= 6, "{most} prompts on one engine: {by_engine:?}");
    }
}

#[test]
fn only_a_prompt_that_takes_longer_than_a_round_is_told() {
    let now = Instant::now();
    let node = dispatcher(1, true);
    let reader = key(&node, "e0");
    assert!(node.long_prompt(reader, LONG_PROMPT, ROUND, now).is_some());
    assert!(node.long_prompt(reader, 1000, ROUND, now).is_none());
}

/// Deployments whose servers are alike keep the traffic that they had.
#[test]
fn nothing_is_told_of_servers_that_are_alike() {
    let now = Instant::now();
    let node = dispatcher(1, false);
    let reader = key(&node, "e0");
    assert!(node.long_prompt(reader, LONG_PROMPT, ROUND, now).is_none());
}

fn sent(node: &Dispatcher, tokens: u64) -> SentPrompt {
    SentPrompt {
        server: node.target(key(node, "e0")).unwrap().hash(),
        tokens,
        read_in: ms(200),
    }
}

fn known_tokens(node: &Dispatcher, now: Instant) -> u64 {
    node.target(key(node, "e0")).unwrap().prefill_tokens(now)
}

/// A peer that dies or is cut off tells no further load.
#[test]
fn a_prompt_counts_until_it_is_expected_to_be_read() {
    let now = Instant::now();
    let mut node = dispatcher(1, true);
    node.record_peer_prompt(told_by("b"), sent(&node, 5000), now);
    assert_eq!(known_tokens(&node, now + ms(199)), 5000);
    assert_eq!(known_tokens(&node, now + ms(200)), 0);
}

#[test]
fn the_next_load_of_the_sender_includes_the_prompt() {
    let now = Instant::now();
    let mut node = dispatcher(1, true);
    let server = sent(&node, 0).server;
    node.set_peer_loads(&Name::from("b"), &[(server, load(1000, now))]);
    node.record_peer_prompt(told_by("b"), sent(&node, 5000), now);
    node.record_peer_prompt(told_by("c"), sent(&node, 7000), now);
    assert_eq!(known_tokens(&node, now), 13_000);
    node.set_peer_loads(&Name::from("b"), &[(server, load(6000, now))]);
    assert_eq!(known_tokens(&node, now), 13_000);
    node.set_peer_loads(&Name::from("b"), &[]);
    assert_eq!(known_tokens(&node, now), 7000);
}

#[parameterized(
    sum_is_older = { 3000, 5000 },
    sum_includes_more = { 9000, 9000 },
)]
fn prompts_of_another_data_centre_count_beside_its_sum_once(sum: u64, expected: u64) {
    let now = Instant::now();
    let mut node = dispatcher(1, true);
    let centre = Name::from("centre/1");
    let server = sent(&node, 0).server;
    for tokens in [2000, 3000] {
        let source = PromptSource::DataCentre(centre.clone());
        node.record_peer_prompt(source, sent(&node, tokens), now);
    }
    node.set_peer_loads(&centre, &[(server, load(sum, now))]);
    assert_eq!(known_tokens(&node, now), expected);
}

#[test]
fn a_prompt_for_an_unknown_server_is_ignored() {
    let now = Instant::now();
    let mut node = dispatcher(1, true);
    let unknown = SentPrompt {
        server: 7,
        ..sent(&node, 5000)
    };
    node.record_peer_prompt(told_by("b"), unknown, now);
    assert_eq!(known_tokens(&node, now), 0);
}

/// Load: 100 long prompts in a second at one of 9, 74 and 1,000 nodes.
#[parameterized(
    small = { 8, 400 },
    medium = { 73, 400 },
    large = { 999, 400 },
)]
fn messages_are_bounded_at_any_number_of_nodes(peers: usize, most: usize) {
    const PER_SECOND: f64 = 80.0;
    let started = Instant::now();
    let mut budget = PromptMessageBudget::new(started);
    let counts = (0..100).map(|number| budget.take(peers, PER_SECOND, started + ms(number * 10)));
    let counts: Vec<usize> = counts.collect();
    assert_eq!(counts[0], peers.min(80));
    assert!(counts.iter().sum::<usize>() <= most);
}

/// Load: the sums of another data centre come once in more than a second, while each engine reads
/// what it had within some 350 ms. Engines that have read it are idle again.
#[test]
fn engines_that_have_read_their_prompts_are_not_avoided() {
    let started = Instant::now();
    let mut node = dispatcher(1, true);
    let hash = |id: &str| node.target(key(&node, id)).unwrap().hash();
    let mut loads: Vec<(u32, PeerLoad)> = (1..PREFILL_ENGINES)
        .map(|number| (hash(&format!("e{number}")), load(30_000, started)))
        .collect();
    let busy = hash("e0");
    loads.push((busy, load(0, started)));
    node.set_peer_loads(&Name::from("centre/1"), &loads);
    // All but one had to read 30,000 tokens. Now that one has 10,000, and all others are free.
    let now = started + ms(600);
    node.set_peer_loads(&Name::from("b"), &[(busy, load(10_000, now))]);
    let (reader, _) = send_long(&mut node, 1, now);
    assert_ne!(reader, key(&node, "e0"));
}

#[parameterized(
    at_once = { 0, 30_000..=30_000 },
    halfway = { 175, 13_000..=17_000 },
    read = { 400, 0..=0 },
)]
fn the_load_of_a_peer_lessens_as_the_engine_reads(
    after_ms: u64,
    expected: std::ops::RangeInclusive<u64>,
) {
    let now = Instant::now();
    let mut node = dispatcher(1, true);
    let server = sent(&node, 0).server;
    node.set_peer_loads(&Name::from("b"), &[(server, load(30_000, now))]);
    let known = known_tokens(&node, now + ms(after_ms));
    assert!(expected.contains(&known), "{known}");
}

/// Deployments whose servers are alike are served as before.
#[test]
fn the_load_on_servers_that_are_alike_stays_until_it_expires() {
    let now = Instant::now();
    let mut node = dispatcher(1, false);
    let server = sent(&node, 0).server;
    node.set_peer_loads(&Name::from("b"), &[(server, load(30_000, now))]);
    assert_eq!(known_tokens(&node, now + ms(1499)), 30_000);
    assert_eq!(known_tokens(&node, now + ms(1500)), 0);
}

/// Load: messages whose sizes no engine could hold.
#[parameterized(
    of_peers = { PromptSource::Peer },
    of_data_centres = { PromptSource::DataCentre },
)]
fn sizes_beyond_any_engine_do_not_overflow(source: fn(Name) -> PromptSource) {
    let now = Instant::now();
    let mut node = dispatcher(1, true);
    let huge = SentPrompt {
        read_in: Duration::from_millis(u64::MAX),
        ..sent(&node, u64::MAX)
    };
    for _ in 0..2 {
        node.record_peer_prompt(source(Name::from("b")), huge, now);
    }
    let load = PeerLoad {
        load: NodeLoad {
            prefill_tokens: u64::MAX,
            running: u32::MAX,
            held_tokens: u64::MAX,
        },
        at: now,
    };
    let decode = node.target(key(&node, "e100")).unwrap().hash();
    for peer in ["c", "d"] {
        let loads = [(huge.server, load), (decode, load)];
        node.set_peer_loads(&Name::from(peer), &loads);
    }
    assert!(known_tokens(&node, now) > 1_000_000);
    send_long(&mut node, 1, now);
}

/// Guards against prompts that count where servers are alike, as another node takes them to differ.
#[test]
fn a_node_whose_servers_are_alike_counts_no_prompt_that_it_is_told() {
    let now = Instant::now();
    let mut node = dispatcher(1, false);
    node.record_peer_prompt(told_by("b"), sent(&node, 5_000), now);
    assert_eq!(known_tokens(&node, now), 0);
}
