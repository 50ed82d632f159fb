//! Tests of the choice of servers by predicted time to first token.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::crashes::ServerIncarnation;
use pomeloridge_policy::dispatch::{
    AnswerNeeds, DispatchRequest, Dispatcher, EngineModel, NodeLoad, PeerLoad, Plan, PromptShape,
    Stage, TargetInfo, TargetKey,
};
use pomeloridge_policy::prompt_cache::PromptPart;
use yare::parameterized;

const CAPACITY: u64 = 500_000;
const SEED: u64 = 7;

fn engine(id: &str, stage: Stage) -> TargetInfo {
    TargetInfo {
        id: Name::from(id),
        started_unix_ms: 1,
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: Name::from("a"),
        service: Name::from("model"),
        version: Name::from("v1"),
        slots: 128,
        kv_capacity: CAPACITY,
        stage,
        leaving: false,
        leaves_in: None,
        preemptible: false,
    }
}

fn dispatcher(engines: &[(&str, Stage)]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Name::from("a"), EngineModel::default(), SEED);
    let list = engines.iter().map(|(id, stage)| engine(id, *stage));
    dispatcher.sync(list.collect());
    dispatcher
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

fn prompt(tokens: u64, shared: Option<(u64, u64)>, private: u64) -> PromptShape {
    let shared = shared.map(|(id, tokens)| PromptPart { id, tokens });
    let last = PromptPart {
        id: private,
        tokens: tokens - shared.map_or(0, |part| part.tokens),
    };
    PromptShape {
        tokens,
        parts: shared.into_iter().chain([last]).collect(),
    }
}

fn choose(dispatcher: &mut Dispatcher, prompt: &PromptShape, tried: &[TargetKey]) -> Option<Plan> {
    let service = Name::from("model");
    let request = DispatchRequest {
        service: &service,
        prompt: Some(prompt),
        tried,
        allow_separate_prefill: true,
        version: None,
        needs: AnswerNeeds::default(),
    };
    dispatcher.choose(&request, Instant::now())
}

#[test]
fn a_long_prompt_is_prefilled_on_a_prefill_engine() {
    let mut dispatcher = dispatcher(&[("p", Stage::Prefill), ("d", Stage::Decode)]);
    let plan = choose(&mut dispatcher, &prompt(12_000, None, 1), &[]).unwrap();
    assert_eq!(name(&dispatcher, plan.server), "d");
    assert_eq!(
        plan.prefill.map(|key| name(&dispatcher, key)),
        Some("p".to_owned())
    );
    assert_eq!(plan.prefill_tokens, 12_000);
}

#[test]
fn a_short_prompt_is_not_split() {
    let mut dispatcher = dispatcher(&[("p", Stage::Prefill), ("d", Stage::Decode)]);
    let plan = choose(&mut dispatcher, &prompt(300, None, 1), &[]).unwrap();
    assert_eq!(plan.prefill, None);
}

#[test]
fn queued_prefill_tokens_divert_requests_to_another_engine() {
    let mut dispatcher = dispatcher(&[
        ("p1", Stage::Prefill),
        ("p2", Stage::Prefill),
        ("d", Stage::Decode),
    ]);
    let now = Instant::now();
    let first = choose(&mut dispatcher, &prompt(12_000, None, 1), &[]).unwrap();
    let busy = first.prefill.unwrap();
    let send = dispatcher.begin(busy, 12_000, None, now);
    let second = choose(&mut dispatcher, &prompt(12_000, None, 2), &[]).unwrap();
    assert_ne!(second.prefill, Some(busy));
    dispatcher.record_prefill_done(send, now);
    dispatcher.end(send);
    assert_eq!(dispatcher.target(busy).unwrap().prefill_tokens(now), 0);
    assert_eq!(dispatcher.target(busy).unwrap().running(now), 0);
}

#[test]
fn loads_told_by_peers_count_until_they_expire() {
    let mut dispatcher = dispatcher(&[("d1", Stage::Decode), ("d2", Stage::Decode)]);
    let now = Instant::now();
    let load = PeerLoad {
        load: NodeLoad {
            prefill_tokens: 50_000,
            running: 20,
            ..NodeLoad::default()
        },
        at: now,
    };
    let hash = dispatcher.target(key(&dispatcher, "d1")).unwrap().hash();
    dispatcher.set_peer_loads(&Name::from("b"), &[(hash, load)]);
    let plan = choose(&mut dispatcher, &prompt(800, None, 1), &[]).unwrap();
    assert_eq!(name(&dispatcher, plan.server), "d2");
    let d1 = key(&dispatcher, "d1");
    assert_eq!(dispatcher.target(d1).unwrap().running(now), 20);
    let later = now + Duration::from_secs(2);
    assert_eq!(dispatcher.target(d1).unwrap().running(later), 0);
    dispatcher.set_peer_loads(&Name::from("b"), &[]);
    assert_eq!(dispatcher.target(d1).unwrap().prefill_tokens(now), 0);
}

/// Guards against prefilling a long shared part again: more prompts share it than one
/// engine can prefill.
#[test]
fn shared_parts_are_fetched_from_the_engine_that_cached_them() {
    let mut dispatcher = dispatcher(&[
        ("p1", Stage::Prefill),
        ("p2", Stage::Prefill),
        ("d", Stage::Decode),
    ]);
    let now = Instant::now();
    let first = prompt(12_000, Some((77, 5_000)), 1);
    let holder = choose(&mut dispatcher, &first, &[])
        .unwrap()
        .prefill
        .unwrap();
    dispatcher.begin(holder, 12_000, Some(&first), now);
    let second = choose(&mut dispatcher, &prompt(12_000, Some((77, 5_000)), 2), &[]).unwrap();
    assert_ne!(second.prefill, Some(holder));
    assert_eq!(second.fetch_from, Some(holder));
    assert_eq!(second.prefill_tokens, 7_000);
}

#[test]
fn placements_told_to_peers_are_used_by_their_plans() {
    let engines = [
        ("p1", Stage::Prefill),
        ("p2", Stage::Prefill),
        ("d", Stage::Decode),
    ];
    let (mut one, mut other) = (dispatcher(&engines), dispatcher(&engines));
    let now = Instant::now();
    let first = prompt(12_000, Some((77, 5_000)), 1);
    let holder = choose(&mut one, &first, &[]).unwrap().prefill.unwrap();
    one.begin(holder, 12_000, Some(&first), now);
    let placed = one.recent_placements(Duration::from_secs(1), now);
    assert_eq!(placed.len(), 1);
    other.record_peer_placements(&placed);
    let plan = choose(&mut other, &prompt(12_000, Some((77, 5_000)), 2), &[]).unwrap();
    assert_eq!(plan.prefill_tokens, 7_000);
    let prefill_engine = plan.prefill.map(|key| name(&other, key));
    assert_eq!(prefill_engine, Some(name(&one, holder)));
    assert!(
        one.recent_placements(Duration::from_secs(1), now + Duration::from_secs(2))
            .is_empty()
    );
}

/// Guards against herding: many nodes choose at the same time, with loads of their peers
/// that are a second old.
#[test]
fn nodes_with_old_peer_loads_spread_over_many_engines() {
    let names: Vec<String> = (0..60).map(|index| format!("d{index}")).collect();
    let mut counts = std::collections::HashMap::new();
    for node in 0..60 {
        let mut dispatcher = Dispatcher::new(Name::from("a"), EngineModel::default(), node);
        dispatcher.sync(names.iter().map(|id| engine(id, Stage::Decode)).collect());
        let plan = choose(&mut dispatcher, &prompt(300, None, 1), &[]).unwrap();
        *counts.entry(name(&dispatcher, plan.server)).or_insert(0) += 1;
    }
    let most = counts.values().max().unwrap();
    assert!(*most <= 8, "{counts:?}");
}

/// Returns the engines of a large fleet, of both stages in each of four data centres.
fn many_engines() -> Vec<TargetInfo> {
    let engines = (0..120).map(|index| {
        let stage = if index % 2 == 0 {
            Stage::Prefill
        } else {
            Stage::Decode
        };
        TargetInfo {
            data_centre: Name::from(["a", "b", "c", "d"][index / 2 % 4]),
            slots: 12,
            ..engine(&format!("e{index}"), stage)
        }
    });
    engines.collect()
}

/// Guards against many engines prefilling the same part: requests with it reach many nodes
/// before those learn of each other's placements.
#[test]
fn all_nodes_first_prefill_a_long_shared_part_on_the_same_engine() {
    let mut homes = std::collections::HashSet::new();
    for node in 0..60_u64 {
        let centre = ["a", "b", "c", "d"][node as usize % 4];
        let mut dispatcher = Dispatcher::new(Name::from(centre), EngineModel::default(), node);
        dispatcher.sync(many_engines());
        let plan = choose(
            &mut dispatcher,
            &prompt(11_000, Some((77, 4800)), node),
            &[],
        )
        .unwrap();
        homes.insert(name(&dispatcher, plan.prefill.unwrap()));
    }
    assert_eq!(homes.len(), 1, "{homes:?}");
}

/// Guards against a hot spot: more requests share a part than its home engine can prefill.
#[test]
fn a_busy_home_engine_diverts_prefills_to_others() {
    let mut dispatcher = Dispatcher::new(Name::from("a"), EngineModel::default(), SEED);
    dispatcher.sync(many_engines());
    let shared = Some((77, 4800));
    let mut prefill_engines = std::collections::HashSet::new();
    for private in 0..40 {
        let prompt = prompt(11_000, shared, private);
        let plan = choose(&mut dispatcher, &prompt, &[]).unwrap();
        let prefill_engine = plan.prefill.unwrap();
        dispatcher.begin(
            prefill_engine,
            plan.prefill_tokens,
            Some(&prompt),
            Instant::now(),
        );
        prefill_engines.insert(prefill_engine);
    }
    assert!(
        prefill_engines.len() > 10,
        "{} engines",
        prefill_engines.len()
    );
}

/// Guards against KV cache transfers between data centres, which take twice as long and
/// are expensive.
#[test]
fn decode_runs_in_the_data_centre_of_the_prefill() {
    let mut dispatcher = Dispatcher::new(Name::from("a"), EngineModel::default(), SEED);
    dispatcher.sync(many_engines());
    let now = Instant::now();
    let mut remote = 0;
    for private in 0..60 {
        let prompt = prompt(8_000, None, private);
        let plan = choose(&mut dispatcher, &prompt, &[]).unwrap();
        let centre = |key| dispatcher.target(key).unwrap().info.data_centre.clone();
        remote += usize::from(centre(plan.server) != centre(plan.prefill.unwrap()));
        dispatcher.begin(plan.server, 0, Some(&prompt), now);
    }
    // The fifteen decode engines of one data centre have slots for all of them.
    assert_eq!(remote, 0);
}

#[test]
fn leaving_and_already_tried_engines_are_not_chosen() {
    let mut dispatcher = Dispatcher::new(Name::from("a"), EngineModel::default(), SEED);
    let leaving = TargetInfo {
        leaving: true,
        ..engine("d1", Stage::Decode)
    };
    dispatcher.sync(vec![leaving, engine("d2", Stage::Decode)]);
    let plan = choose(&mut dispatcher, &prompt(300, None, 1), &[]).unwrap();
    assert_eq!(name(&dispatcher, plan.server), "d2");
    assert_eq!(
        choose(&mut dispatcher, &prompt(300, None, 1), &[plan.server]),
        None
    );
}

/// The planned decode engine starts to leave while a long prompt is prefilled for it.
#[test]
fn a_prefilled_prompt_is_decoded_on_an_engine_that_is_not_leaving() {
    let mut dispatcher = dispatcher(&[
        ("p", Stage::Prefill),
        ("d1", Stage::Decode),
        ("d2", Stage::Decode),
    ]);
    let prompt = prompt(12_000, None, 1);
    let planned = choose(&mut dispatcher, &prompt, &[]).unwrap().server;
    let planned = name(&dispatcher, planned);
    let list = [
        ("p", Stage::Prefill),
        ("d1", Stage::Decode),
        ("d2", Stage::Decode),
    ];
    let list = list.iter().map(|(id, stage)| TargetInfo {
        leaving: *id == planned,
        ..engine(id, *stage)
    });
    dispatcher.sync(list.collect());
    let service = Name::from("model");
    let request = DispatchRequest {
        service: &service,
        prompt: Some(&prompt),
        tried: &[],
        allow_separate_prefill: false,
        version: None,
        needs: AnswerNeeds::default(),
    };
    let prefill_engine = key(&dispatcher, "p");
    let run = dispatcher
        .choose_decode_engine(&request, prefill_engine, Instant::now())
        .unwrap();
    assert_ne!(name(&dispatcher, run), planned);
    assert_ne!(name(&dispatcher, run), "p");
}

#[test]
fn without_a_decode_engine_no_plan_is_made() {
    let mut dispatcher = dispatcher(&[("p", Stage::Prefill)]);
    assert_eq!(choose(&mut dispatcher, &prompt(300, None, 1), &[]), None);
}

/// The only decode engine was ejected while the prefill engine is healthy.
#[test]
fn an_ejected_engine_is_used_as_a_last_resort() {
    let mut dispatcher = dispatcher(&[("p", Stage::Prefill), ("d", Stage::Decode)]);
    let d = key(&dispatcher, "d");
    assert!(dispatcher.eject(d, Instant::now()));
    let plan = choose(&mut dispatcher, &prompt(300, None, 1), &[]).unwrap();
    assert_eq!(plan.server, d);
}

#[test]
fn an_ejected_engine_is_not_chosen_until_it_responds() {
    let mut dispatcher = dispatcher(&[("d1", Stage::Decode), ("d2", Stage::Decode)]);
    let d1 = key(&dispatcher, "d1");
    let now = Instant::now();
    dispatcher.eject(d1, now);
    for private in 0..20 {
        let plan = choose(&mut dispatcher, &prompt(300, None, private), &[]).unwrap();
        assert_ne!(plan.server, d1);
    }
    assert!(dispatcher.mark_reachable(d1, now));
    assert!(!dispatcher.target(d1).unwrap().is_ejected());
}

/// An engine that changes its stage refuses all requests for seconds.
#[test]
fn an_engine_is_not_chosen_right_after_a_refusal() {
    let mut dispatcher = dispatcher(&[("d1", Stage::Decode), ("d2", Stage::Decode)]);
    let d1 = key(&dispatcher, "d1");
    let now = Instant::now();
    dispatcher.record_refusal(d1, now);
    let plan = choose(&mut dispatcher, &prompt(300, None, 1), &[]).unwrap();
    assert_ne!(plan.server, d1);
}

/// Guards against retries: an engine that was ordered to change its stage refuses requests,
/// and each refusal costs one.
#[test]
fn an_engine_changing_its_stage_is_not_chosen_until_the_list_shows_the_new_stage() {
    let mut dispatcher = dispatcher(&[
        ("p", Stage::Prefill),
        ("d1", Stage::Decode),
        ("d2", Stage::Decode),
    ]);
    let hash = dispatcher.target(key(&dispatcher, "p")).unwrap().hash();
    dispatcher.mark_stage_changing(&[hash], Instant::now());
    let plan = choose(&mut dispatcher, &prompt(12_000, None, 1), &[]).unwrap();
    assert_eq!(plan.prefill, None);
    let list = ["p", "d1", "d2"].map(|id| engine(id, Stage::Decode));
    dispatcher.sync(list.to_vec());
    let p = key(&dispatcher, "p");
    assert!(
        !dispatcher
            .target(p)
            .unwrap()
            .is_changing_stage(Instant::now())
    );
}

/// Regression test (altiplano, hunt-11d8-51): after the first probe delay every request
/// tried a prefill engine that kept refusing, which used up the fleet's retry budget.
#[test]
fn a_prefill_engine_that_keeps_refusing_is_only_probed() {
    let mut dispatcher = dispatcher(&[("p", Stage::Prefill), ("d", Stage::Decode)]);
    let p = key(&dispatcher, "p");
    let service = Name::from("model");
    let start = Instant::now();
    dispatcher.record_refusal(p, start);
    let mut attempts = 0;
    for ms in (0..3000).step_by(10) {
        let now = start + Duration::from_millis(ms);
        let prompt = prompt(12_000, None, ms);
        let request = DispatchRequest {
            service: &service,
            prompt: Some(&prompt),
            tried: &[],
            allow_separate_prefill: true,
            version: None,
            needs: AnswerNeeds::default(),
        };
        if dispatcher.choose(&request, now).unwrap().prefill == Some(p) {
            attempts += 1;
            dispatcher.record_refusal(p, now);
        }
    }
    assert!((1..=4).contains(&attempts), "{attempts} attempts");
}

/// Guards against ejecting an engine whose responses are late only because of its queue.
#[test]
fn a_server_that_responds_to_other_requests_is_not_silent() {
    let mut dispatcher = dispatcher(&[("d", Stage::Decode)]);
    let d = key(&dispatcher, "d");
    let sent = Instant::now();
    assert!(dispatcher.is_silent_since(d, sent));
    dispatcher.record_activity(d, sent + Duration::from_millis(5));
    assert!(!dispatcher.is_silent_since(d, sent));
}

/// Guards against giving up a server whose answer arrived while this process was paused, and
/// against never giving one up because the process is paused again and again.
#[test]
fn what_arrived_in_a_pause_is_read_within_a_bounded_time() {
    let mut dispatcher = dispatcher(&[("d", Stage::Decode)]);
    let d = key(&dispatcher, "d");
    let sent = Instant::now();
    assert_eq!(dispatcher.read_time_left(sent), Duration::ZERO);
    for pause in 1..=3 {
        let resumed = sent + Duration::from_millis(300) * pause;
        dispatcher.record_resumed(resumed);
        assert_eq!(
            dispatcher.read_time_left(resumed),
            Duration::from_millis(100)
        );
        let later = resumed + Duration::from_millis(100);
        assert_eq!(dispatcher.read_time_left(later), Duration::ZERO);
        assert!(dispatcher.is_silent_since(d, sent));
    }
}

/// Guards against taking an engine for silent that answers other requests, because its entry is
/// gone or shows another start.
#[parameterized(
    removed = { &[] },
    replaced = { &[2] },
)]
fn an_engine_that_is_no_longer_listed_is_heard(starts: &[u64]) {
    let mut dispatcher = dispatcher(&[("d", Stage::Decode)]);
    let d = key(&dispatcher, "d");
    let sent = Instant::now();
    let running = dispatcher.begin(d, 0, None, sent);
    dispatcher.record_activity(d, sent + Duration::from_millis(5));
    let list = |start: &u64| TargetInfo {
        started_unix_ms: *start,
        ..engine("d", Stage::Decode)
    };
    dispatcher.sync(starts.iter().map(list).collect());
    assert!(!dispatcher.is_silent_since(d, sent));
    let later = sent + Duration::from_millis(10);
    assert!(dispatcher.is_silent_since(d, later));
    // The other start is not the one that works on the request.
    let listed: Vec<TargetKey> = dispatcher.targets().map(|(key, _)| key).collect();
    for other in listed {
        dispatcher.record_activity(other, later);
    }
    assert!(dispatcher.is_silent_since(d, later));
    dispatcher.record_activity(d, later);
    assert!(!dispatcher.is_silent_since(d, later));
    // Nothing is kept for it once it has no requests.
    dispatcher.end(running);
    dispatcher.sync(starts.iter().map(list).collect());
    assert!(dispatcher.silence(d, later).is_none());
}

/// Guards against giving up a silent engine for one that can't take its requests.
#[test]
fn an_ejected_engine_takes_no_request_over() {
    let mut dispatcher = dispatcher(&[("d", Stage::Decode), ("e", Stage::Decode)]);
    let (d, e) = (key(&dispatcher, "d"), key(&dispatcher, "e"));
    let now = Instant::now();
    let (service, prompt) = (Name::from("model"), prompt(200, None, 1));
    let (one, both) = ([d], [d, e]);
    let request = |tried| DispatchRequest {
        service: &service,
        prompt: Some(&prompt),
        tried,
        allow_separate_prefill: false,
        version: None,
        needs: AnswerNeeds::default(),
    };
    assert!(dispatcher.has_server(&request(&one), now));
    assert!(!dispatcher.has_server(&request(&both), now));
    dispatcher.eject(e, now);
    assert!(!dispatcher.has_server(&request(&one), now));
    // As a last resort, a new request is still sent to an ejected engine.
    assert!(dispatcher.choose(&request(&one), now).is_some());
}

#[test]
fn a_full_batch_raises_the_predicted_ttft() {
    let mut dispatcher = dispatcher(&[("d", Stage::Decode)]);
    let now = Instant::now();
    let d = key(&dispatcher, "d");
    let before = choose(&mut dispatcher, &prompt(300, None, 1), &[])
        .unwrap()
        .ttft;
    for _ in 0..140 {
        dispatcher.begin(d, 0, None, now);
    }
    let after = choose(&mut dispatcher, &prompt(300, None, 1), &[])
        .unwrap()
        .ttft;
    assert!(
        after > before + Duration::from_millis(300),
        "{before:?} {after:?}"
    );
}

#[test]
fn a_restart_under_the_same_identity_is_a_new_target() {
    let mut dispatcher = dispatcher(&[("d", Stage::Decode)]);
    let now = Instant::now();
    let before = key(&dispatcher, "d");
    let send = dispatcher.begin(before, 500, None, now);
    let restarted = TargetInfo {
        started_unix_ms: 2,
        ..engine("d", Stage::Decode)
    };
    dispatcher.sync(vec![restarted]);
    let after = key(&dispatcher, "d");
    assert_ne!(before, after);
    assert_eq!(dispatcher.target(after).unwrap().prefill_tokens(now), 0);
    dispatcher.end(send);
}

#[test]
fn plain_servers_are_balanced_by_load() {
    let mut dispatcher = Dispatcher::new(Name::from("a"), EngineModel::default(), SEED);
    let server = |id: &str| TargetInfo {
        slots: 6,
        kv_capacity: 0,
        ..engine(id, Stage::Unified)
    };
    dispatcher.sync(vec![server("s1"), server("s2"), server("s3")]);
    let now = Instant::now();
    let service = Name::from("model");
    let mut counts = std::collections::HashMap::new();
    for _ in 0..30 {
        let request = DispatchRequest {
            service: &service,
            prompt: None,
            tried: &[],
            allow_separate_prefill: false,
            version: None,
            needs: AnswerNeeds::default(),
        };
        let plan = dispatcher.choose(&request, now).unwrap();
        dispatcher.begin(plan.server, 0, None, now);
        *counts.entry(plan.server).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

/// A server that rejects requests and asks for a backoff is not used even if no other is
/// left.
#[test]
fn a_server_in_backoff_is_not_used_as_a_last_resort() {
    let mut dispatcher = dispatcher(&[("d1", Stage::Decode), ("d2", Stage::Decode)]);
    let (d1, d2) = (key(&dispatcher, "d1"), key(&dispatcher, "d2"));
    let now = Instant::now();
    let service = Name::from("model");
    assert_eq!(dispatcher.shortest_wait(&service, None, now), None);
    dispatcher.set_backoff(d1, Duration::from_mins(1), now);
    let short = prompt(100, None, 1);
    for _ in 0..20 {
        assert_eq!(choose(&mut dispatcher, &short, &[]).unwrap().server, d2);
    }
    dispatcher.set_backoff(d2, Duration::from_secs(30), now);
    assert_eq!(choose(&mut dispatcher, &short, &[]), None);
    let first = dispatcher.shortest_wait(&service, None, now);
    assert_eq!(first, Some(Duration::from_secs(30)));
    // A shorter backoff does not replace a longer one, and zero has no effect.
    dispatcher.set_backoff(d1, Duration::ZERO, now);
    let later = now + Duration::from_secs(59);
    assert!(dispatcher.target(d1).unwrap().backoff(later).is_some());
    assert!(dispatcher.target(d2).unwrap().backoff(later).is_none());
}

/// A server announces in its responses that it is leaving before its entry shows it.
#[test]
fn a_server_that_announced_leaving_is_not_chosen_until_it_restarts() {
    let mut dispatcher = dispatcher(&[("d1", Stage::Decode)]);
    let d1 = key(&dispatcher, "d1");
    let short = prompt(100, None, 1);
    assert!(dispatcher.mark_leaving(d1));
    assert!(!dispatcher.mark_leaving(d1), "it was announced before");
    // Another property of its entry changes.
    let changed = TargetInfo {
        slots: 64,
        ..engine("d1", Stage::Decode)
    };
    dispatcher.sync(vec![changed]);
    assert_eq!(choose(&mut dispatcher, &short, &[]), None);
    let restarted = TargetInfo {
        started_unix_ms: 2,
        ..engine("d1", Stage::Decode)
    };
    let removed = dispatcher.sync(vec![restarted]);
    assert!(removed[0].leaving && removed[0].replaced);
    assert!(choose(&mut dispatcher, &short, &[]).is_some());
}

/// Returns the processor time of this thread so far.
fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    let nanos = text.split_whitespace().next().unwrap();
    Duration::from_nanos(nanos.parse().unwrap())
}

/// Load: one of 3,000 servers comes or leaves, and every node takes over the new list. Guards
/// against comparing each server with each other one.
#[test]
fn a_changed_list_costs_no_more_for_each_server_of_a_large_fleet() {
    let cost = |count: usize, rounds: usize| {
        let names = (0..count).map(|index| format!("engine-{index}"));
        let engines = names.map(|name| engine(&name, Stage::Unified));
        let list: Vec<TargetInfo> = engines.collect();
        let mut dispatcher = dispatcher(&[]);
        let start = processor_time();
        for _ in 0..rounds {
            dispatcher.sync(list.clone());
        }
        processor_time().saturating_sub(start)
    };
    let (small, large) = (cost(300, 200), cost(3000, 20));
    assert!(large < small * 4, "{small:?} for 300, {large:?} for 3,000");
}

const CRASH_AGE: Duration = Duration::from_millis(300);

fn incarnation(dispatcher: &Dispatcher, key: TargetKey) -> ServerIncarnation {
    dispatcher.target(key).unwrap().info.incarnation()
}

/// Many engines crash at once under requests of many nodes, each of which loses requests on all
/// of them until it knows.
#[test]
fn engines_that_crashed_at_other_nodes_get_no_requests() {
    let mut dispatcher = dispatcher(&[
        ("d1", Stage::Decode),
        ("d2", Stage::Decode),
        ("d3", Stage::Decode),
    ]);
    let [d1, d2, d3] = ["d1", "d2", "d3"].map(|id| key(&dispatcher, id));
    let crashes = [d1, d2].map(|key| (incarnation(&dispatcher, key), CRASH_AGE));
    let now = Instant::now();
    let before_crash = now.checked_sub(CRASH_AGE * 2).unwrap();
    dispatcher.record_activity(d1, before_crash);
    let mut ejected = dispatcher.eject_crashed(crashes, now);
    ejected.sort_unstable();
    assert_eq!(ejected, [d1, d2]);
    for private in 0..20 {
        let plan = choose(&mut dispatcher, &prompt(300, None, private), &[]).unwrap();
        assert_eq!(plan.server, d3);
    }
    // Other peers tell the same.
    assert!(dispatcher.eject_crashed(crashes, now).is_empty());
}

/// Peers repeat crashes for as long as a request or prompt part is quarantined for them.
#[test]
fn old_crash_news_ejects_no_server() {
    let mut dispatcher = dispatcher(&[("d", Stage::Decode)]);
    let d = key(&dispatcher, "d");
    let crash = (incarnation(&dispatcher, d), Duration::from_secs(2));
    assert!(dispatcher.eject_crashed([crash], Instant::now()).is_empty());
    assert!(!dispatcher.target(d).unwrap().is_ejected());
}

/// The server is back, and the list shows its new start before the news of its crash arrives.
#[test]
fn crash_news_of_an_earlier_start_ejects_no_server() {
    let mut dispatcher = dispatcher(&[("d", Stage::Decode)]);
    let crashed = incarnation(&dispatcher, key(&dispatcher, "d"));
    dispatcher.sync(vec![TargetInfo {
        started_unix_ms: 2,
        ..engine("d", Stage::Decode)
    }]);
    let d = key(&dispatcher, "d");
    assert!(
        dispatcher
            .eject_crashed([(crashed, CRASH_AGE)], Instant::now())
            .is_empty()
    );
    assert!(!dispatcher.target(d).unwrap().is_ejected());
}

/// A peer is wrong about a crash, and several messages repeat it, the later ones with its age then.
#[test]
fn crash_news_ejects_no_server_that_was_heard_since() {
    let mut dispatcher = dispatcher(&[("d", Stage::Decode)]);
    let d = key(&dispatcher, "d");
    let server = incarnation(&dispatcher, d);
    let now = Instant::now();
    assert_eq!(dispatcher.eject_crashed([(server, CRASH_AGE)], now), [d]);
    // A probe finds it running.
    let probed = now + Duration::from_millis(500);
    assert!(dispatcher.mark_reachable(d, probed));
    let later = probed + Duration::from_millis(100);
    let age = CRASH_AGE + (later - now);
    assert!(dispatcher.eject_crashed([(server, age)], later).is_empty());
    // The oldest of several ages counts.
    let ages = [(server, age), (server, Duration::from_millis(50))];
    assert!(dispatcher.eject_crashed(ages, later).is_empty());
    assert!(!dispatcher.target(d).unwrap().is_ejected());
}

/// What the server has sent during a pause of this process is not yet read when the news is.
#[test]
fn crash_news_read_right_after_a_pause_ejects_no_server() {
    let mut dispatcher = dispatcher(&[("d", Stage::Decode)]);
    let d = key(&dispatcher, "d");
    let crash = (incarnation(&dispatcher, d), CRASH_AGE);
    let resumed = Instant::now();
    dispatcher.record_resumed(resumed);
    assert!(dispatcher.eject_crashed([crash], resumed).is_empty());
    let read = resumed + Duration::from_millis(100);
    assert_eq!(dispatcher.eject_crashed([crash], read), [d]);
}
