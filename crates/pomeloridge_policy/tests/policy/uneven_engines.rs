//! Tests of the choice among engines that differ in speed, at all times or for a moment.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::{
    AnswerNeeds, DispatchRequest, Dispatcher, EngineModel, NodeLoad, PeerLoad, Plan, PromptShape,
    ReportedLoad, SpeedReport, Stage, TargetInfo, TargetKey, TimeRatio, Work,
};
use pomeloridge_policy::prompt_cache::PromptPart;
use yare::parameterized;

use crate::support::ms;

const SERVICE: &str = "model";
/// Factor by which work takes longer on the slow engines.
const SLOW: f64 = 2.4;
/// Measurements after which an engine's speed counts as known.
const SAMPLES: usize = 15;

fn engine(id: &str, stage: Stage) -> TargetInfo {
    TargetInfo {
        id: Name::from(id),
        started_unix_ms: 1,
        address: "10.0.0.1:80".parse().unwrap(),
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

fn dispatcher(list: &[TargetInfo], seed: u64) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Name::from("a"), EngineModel::default(), seed);
    dispatcher.expect_uneven_servers(true);
    dispatcher.sync(list.to_vec());
    dispatcher
}

fn decode_engines(ids: &[&str]) -> Vec<TargetInfo> {
    ids.iter().map(|id| engine(id, Stage::Decode)).collect()
}

fn key(dispatcher: &Dispatcher, id: &str) -> TargetKey {
    let mut targets = dispatcher.targets();
    targets
        .find(|(_, target)| target.info.id.as_str() == id)
        .unwrap()
        .0
}

fn name(dispatcher: &Dispatcher, key: TargetKey) -> String {
    dispatcher.target(key).unwrap().info.id.to_string()
}

fn needs(output_tokens: u32) -> AnswerNeeds {
    AnswerNeeds {
        output_tokens: Some(output_tokens),
        first_target: Some(ms(800)),
        gap_target: Some(ms(400)),
        first_within: ms(3000),
        end_within: ms(6000),
        ..AnswerNeeds::default()
    }
}

fn prompt(tokens: u64) -> PromptShape {
    PromptShape {
        tokens,
        parts: vec![PromptPart { id: 1, tokens }],
    }
}

fn choose(
    dispatcher: &mut Dispatcher,
    tokens: u64,
    needs: AnswerNeeds,
    now: Instant,
) -> Option<Plan> {
    let service = Name::from(SERVICE);
    let request = DispatchRequest {
        service: &service,
        prompt: Some(&prompt(tokens)),
        tried: &[],
        allow_separate_prefill: true,
        version: None,
        needs,
    };
    dispatcher.choose(&request, now)
}

/// Lets a peer report that decoding takes `factor` times as long on an engine as predicted.
fn tell_speed(dispatcher: &mut Dispatcher, id: &str, factor: f64, now: Instant) {
    let server = dispatcher
        .target(key(dispatcher, id))
        .unwrap()
        .info
        .incarnation()
        .short();
    let report = SpeedReport {
        server,
        work: Work::Decode,
        ratio: TimeRatio::of(ms(100).mul_f64(factor), ms(100)).unwrap(),
    };
    dispatcher.record_peer_speeds(&[report; SAMPLES], now);
}

/// Sets the number of requests that a peer has on an engine.
fn put_load(dispatcher: &mut Dispatcher, id: &str, running: u32, now: Instant) {
    let hash = dispatcher.target(key(dispatcher, id)).unwrap().hash();
    let load = PeerLoad {
        load: NodeLoad {
            prefill_tokens: 0,
            running,
            ..NodeLoad::default()
        },
        at: now,
    };
    dispatcher.set_peer_loads(&Name::from(format!("peer of {id}")), &[(hash, load)]);
}

/// A third of the engines takes more than twice as long. A long answer there ends after its
/// caller has left, although its first event comes in time.
#[test]
fn long_answers_go_to_fast_engines_even_if_those_are_busier() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&decode_engines(&["fast", "slow"]), 7);
    tell_speed(&mut dispatcher, "fast", 1.0, now);
    tell_speed(&mut dispatcher, "slow", SLOW, now);
    put_load(&mut dispatcher, "fast", 20, now);
    let plan = choose(&mut dispatcher, 300, needs(900), now).unwrap();
    assert_eq!(name(&dispatcher, plan.server), "fast");
}

/// Slow engines are not left idle while requests wait at the fast ones, whose batch is full.
#[test]
fn short_answers_use_slow_engines_while_the_fast_ones_are_busy() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&decode_engines(&["fast", "slow"]), 7);
    tell_speed(&mut dispatcher, "fast", 1.0, now);
    tell_speed(&mut dispatcher, "slow", SLOW, now);
    put_load(&mut dispatcher, "fast", 80, now);
    let plan = choose(&mut dispatcher, 300, needs(15), now).unwrap();
    assert_eq!(name(&dispatcher, plan.server), "slow");
}

/// In a service whose servers report no slowdown, engines are compared as if they were alike. The
/// first report of one of them shows that they share their hosts with others.
#[test]
fn engines_are_taken_to_be_alike_until_one_reports_a_slowdown() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&decode_engines(&["fast", "slow"]), 7);
    dispatcher.expect_uneven_servers(false);
    tell_speed(&mut dispatcher, "fast", 1.0, now);
    tell_speed(&mut dispatcher, "slow", SLOW, now);
    put_load(&mut dispatcher, "fast", 20, now);
    let plan = choose(&mut dispatcher, 300, needs(900), now).unwrap();
    assert_eq!(name(&dispatcher, plan.server), "slow");
    let report = |slowdown| ReportedLoad {
        running: 20,
        waiting: 0,
        slowdown,
        at: now,
    };
    let fast = key(&dispatcher, "fast");
    dispatcher.record_load_report(fast, report(None));
    let plan = choose(&mut dispatcher, 300, needs(900), now).unwrap();
    assert_eq!(name(&dispatcher, plan.server), "slow");
    dispatcher.record_load_report(fast, report(Some(1.0)));
    let plan = choose(&mut dispatcher, 300, needs(900), now).unwrap();
    assert_eq!(name(&dispatcher, plan.server), "fast");
}

/// Many answers are decoded at engines that are alike. The gap between the events is the same whether
/// a prompt is prefilled there or apart, where it comes sooner.
#[test]
fn a_busy_batch_of_like_engines_keeps_no_prompt_from_the_prefill_engine() {
    let now = Instant::now();
    let list = [
        engine("read", Stage::Prefill),
        engine("write", Stage::Decode),
    ];
    let mut dispatcher = dispatcher(&list, 7);
    dispatcher.expect_uneven_servers(false);
    put_load(&mut dispatcher, "write", 60, now);
    let plan = choose(&mut dispatcher, 700, needs(300), now).unwrap();
    assert_eq!(plan.prefill, Some(key(&dispatcher, "read")));
}

/// A restarted engine may run on other hardware.
#[test]
fn a_new_incarnation_starts_at_the_speed_of_its_service() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&decode_engines(&["a"]), 7);
    tell_speed(&mut dispatcher, "a", SLOW, now);
    let known = dispatcher.known_speed(key(&dispatcher, "a"), now).factor;
    assert!(known > 1.8, "{known}");
    dispatcher.sync(vec![TargetInfo {
        started_unix_ms: 2,
        ..engine("a", Stage::Decode)
    }]);
    let known = dispatcher.known_speed(key(&dispatcher, "a"), now).factor;
    assert!((known - 1.0).abs() < f64::EPSILON, "{known}");
}

/// A server that was slow gets no requests that would show that it has recovered.
#[test]
fn an_estimate_without_new_measurements_fades() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&decode_engines(&["a"]), 7);
    tell_speed(&mut dispatcher, "a", SLOW, now);
    let later = now + Duration::from_mins(2);
    let known = dispatcher.known_speed(key(&dispatcher, "a"), later).factor;
    assert!(known < 1.05, "{known}");
}

/// Engines are slow for moments. Measurements from such a moment are outvoted.
#[test]
fn a_slow_moment_is_not_taken_for_a_slow_engine() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&decode_engines(&["a"]), 7);
    let server = dispatcher
        .target(key(&dispatcher, "a"))
        .unwrap()
        .info
        .incarnation()
        .short();
    let report = |factor: f64| SpeedReport {
        server,
        work: Work::Decode,
        ratio: TimeRatio::of(ms(100).mul_f64(factor), ms(100)).unwrap(),
    };
    dispatcher.record_peer_speeds(&[report(1.0); 12], now);
    dispatcher.record_peer_speeds(&[report(2.5); 3], now);
    let known = dispatcher.known_speed(key(&dispatcher, "a"), now).factor;
    assert!((known - 1.0).abs() < 0.1, "{known}");
}

/// One measurement says little about an engine.
#[test]
fn few_measurements_count_less() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&decode_engines(&["a"]), 7);
    let server = dispatcher
        .target(key(&dispatcher, "a"))
        .unwrap()
        .info
        .incarnation()
        .short();
    let report = SpeedReport {
        server,
        work: Work::Prefill,
        ratio: TimeRatio::of(ms(250), ms(100)).unwrap(),
    };
    dispatcher.record_peer_speeds(&[report], now);
    let known = dispatcher.known_speed(key(&dispatcher, "a"), now).factor;
    assert!(known > 1.0 && known < 1.4, "{known}");
}

/// The speeds that one node measures are used by its peers, each measurement once.
#[test]
fn measurements_are_told_to_peers_for_a_span() {
    let now = Instant::now();
    let list = decode_engines(&["a", "b"]);
    let mut one = dispatcher(&list, 1);
    let mut other = dispatcher(&list, 2);
    let a = key(&one, "a");
    let sent = one.begin(a, 0, None, now);
    for _ in 0..SAMPLES {
        one.record_decode(a, 300, Duration::from_secs(4), now);
    }
    one.end(sent);
    let reports = one.recent_speeds(ms(500), now + ms(400));
    assert_eq!(reports.after(0).len(), SAMPLES);
    other.record_peer_speeds(reports.after(0), now);
    let factor = other.known_speed(key(&other, "a"), now).factor;
    assert!(factor > 2.0, "{factor}");
    assert_eq!(reports.after(reports.end()), []);
    assert_eq!(reports.after(10).len(), SAMPLES - 10);
    let later = one.recent_speeds(ms(500), now + ms(600));
    assert_eq!((later.first, later.after(0).len()), (SAMPLES as u64, 0));
}

/// Guards the size of a heartbeat at a node that measures much.
#[test]
fn the_measurements_of_a_heartbeat_are_bounded() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&decode_engines(&["a"]), 7);
    let a = key(&dispatcher, "a");
    for _ in 0..1000 {
        dispatcher.record_decode(a, 300, Duration::from_secs(1), now);
    }
    assert_eq!(dispatcher.recent_speeds(ms(500), now).after(0).len(), 16);
}

#[parameterized(too_small = { -127 }, too_large = { 127 })]
fn an_implausible_ratio_is_not_decoded(steps: i8) {
    assert_eq!(TimeRatio::from_steps(steps), None);
}

#[test]
fn a_ratio_survives_quantisation() {
    for factor in [0.2, 0.7, 1.0, 1.7, 12.0] {
        let ratio = TimeRatio::of(ms(1000).mul_f64(factor), ms(1000)).unwrap();
        assert_eq!(TimeRatio::from_steps(ratio.steps()), Some(ratio));
    }
}

/// At any moment a few engines are slow. The word of the engine itself counts while it is
/// fresh.
#[parameterized(fresh = { 100, "b" }, old = { 1000, "a" })]
fn an_engine_that_says_it_is_slow_is_avoided_for_a_moment(age: u64, expected: &str) {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&decode_engines(&["a", "b"]), 7);
    put_load(&mut dispatcher, "b", 10, now + ms(age));
    let report = ReportedLoad {
        running: 1,
        waiting: 0,
        slowdown: Some(2.5),
        at: now,
    };
    dispatcher.record_load_report(key(&dispatcher, "a"), report);
    let plan = choose(&mut dispatcher, 300, needs(600), now + ms(age)).unwrap();
    assert_eq!(name(&dispatcher, plan.server), expected);
}

/// A long prompt that a decode engine reads between its steps stretches the gaps of all
/// answers that run there.
#[parameterized(idle = { 0, false }, busy = { 20, true })]
fn a_prompt_is_read_apart_if_answers_run_on_the_decode_engines(running: u32, is_split: bool) {
    let now = Instant::now();
    let list = [engine("p", Stage::Prefill), engine("d", Stage::Decode)];
    let mut dispatcher = dispatcher(&list, 7);
    put_load(&mut dispatcher, "d", running, now);
    let plan = choose(&mut dispatcher, 900, needs(300), now).unwrap();
    assert_eq!(plan.prefill.is_some(), is_split);
}

/// All nodes send at once, and what they know of each other's load is a heartbeat old: one
/// engine looks free to all of them.
#[parameterized(few_engines = { 15 }, many_engines = { 60 })]
fn the_engine_that_looks_free_does_not_get_the_requests_of_all_nodes(engines: usize) {
    const NODES: usize = 74;
    let now = Instant::now();
    let ids: Vec<String> = (0..engines).map(|index| format!("d{index}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut counts: HashMap<String, usize> = HashMap::new();
    for node in 0..NODES {
        let mut dispatcher = dispatcher(&decode_engines(&ids), node as u64);
        dispatcher.set_peer_count(NODES - 1);
        for id in &ids[1..] {
            put_load(&mut dispatcher, id, 30, now);
        }
        let plan = choose(&mut dispatcher, 300, needs(300), now).unwrap();
        *counts.entry(name(&dispatcher, plan.server)).or_default() += 1;
    }
    let most = counts.values().max().unwrap();
    // Three of the engines are compared for a request, with some luck of the draw.
    let expected = NODES * 3 / engines;
    assert!(*most <= expected * 2, "{counts:?}");
}

/// A request is not given up for servers that were not drawn.
#[test]
fn an_idle_engine_is_found_however_many_are_overloaded() {
    let now = Instant::now();
    let ids: Vec<String> = (0..60).map(|index| format!("d{index}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut dispatcher = dispatcher(&decode_engines(&ids), 7);
    dispatcher.set_peer_count(73);
    for id in &ids[1..] {
        put_load(&mut dispatcher, id, 500, now);
    }
    for _ in 0..20 {
        let plan = choose(&mut dispatcher, 300, needs(300), now).unwrap();
        assert_eq!(name(&dispatcher, plan.server), "d0");
    }
}

/// An engine whose requests exceed its memory crashes, and all that it runs is lost.
#[test]
fn an_engine_gets_no_more_tokens_than_it_has_room_for() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&decode_engines(&["full", "free"]), 7);
    let hash = dispatcher.target(key(&dispatcher, "full")).unwrap().hash();
    let load = NodeLoad {
        running: 1,
        held_tokens: 395_000,
        ..NodeLoad::default()
    };
    dispatcher.set_peer_loads(&Name::from("peer"), &[(hash, PeerLoad { load, at: now })]);
    let free = key(&dispatcher, "free");
    let mut sent = Vec::new();
    while let Some(plan) = choose(&mut dispatcher, 12_000, needs(300), now) {
        assert_eq!(plan.server, free);
        sent.push(dispatcher.begin(plan.server, 12_000, Some(&prompt(12_000)), now));
    }
    // Each holds its prompt and the expected output.
    assert_eq!(sent.len(), 32);
    dispatcher.end(sent[0]);
    assert!(choose(&mut dispatcher, 12_000, needs(300), now).is_some());
}

/// Where engines have slow moments, a prompt that is read between the decode steps makes answers
/// late that would stay within their targets on steady engines.
#[parameterized(
    steady = { &[960], false },
    with_slow_moments = { &[480, 960, 1920], true },
)]
fn a_prompt_waits_for_a_prefill_engine_if_gaps_are_uncertain(times: &[u64], is_split: bool) {
    let now = Instant::now();
    let list = [engine("p", Stage::Prefill), engine("d", Stage::Decode)];
    let mut dispatcher = dispatcher(&list, 7);
    let decode = key(&dispatcher, "d");
    for time in times.iter().cycle().take(15) {
        dispatcher.record_decode(decode, 300, ms(*time), now);
    }
    put_load(&mut dispatcher, "d", 20, now);
    let prefill = key(&dispatcher, "p");
    dispatcher.begin(prefill, 30_000, None, now);
    let plan = choose(&mut dispatcher, 6_000, needs(300), now).unwrap();
    assert_eq!(plan.prefill.is_some(), is_split);
}

/// The fast engine has a queue. It is left to the answers that end in time only there: one that is
/// far too long for any engine gains nothing by waiting for it.
#[parameterized(
    only_there = { 250, "fast" },
    nowhere = { 4_000, "slow" },
)]
fn fast_engines_are_left_to_the_answers_that_they_help(output_tokens: u32, expected: &str) {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&decode_engines(&["fast", "slow"]), 7);
    tell_speed(&mut dispatcher, "fast", 1.0, now);
    tell_speed(&mut dispatcher, "slow", 4.0, now);
    put_load(&mut dispatcher, "fast", 70, now);
    let needs = AnswerNeeds {
        length_spread: 0.3,
        end_within: ms(3000),
        ..needs(output_tokens)
    };
    let plan = choose(&mut dispatcher, 300, needs, now).unwrap();
    assert_eq!(name(&dispatcher, plan.server), expected);
}
