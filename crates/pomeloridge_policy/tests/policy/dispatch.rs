//! Where requests go, by the predicted first piece.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::{
    DispatchRequest, Dispatcher, EngineModel, NodeLoad, PeerLoad, Plan, PromptShape, Stage,
    TargetInfo, TargetKey,
};
use pomeloridge_policy::prompt_cache::PromptPart;

const CAPACITY: u64 = 500_000;
const SEED: u64 = 7;

fn engine(id: &str, stage: Stage) -> TargetInfo {
    TargetInfo {
        id: Name::from(id),
        started_unix_ms: 1,
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: Name::from("a"),
        service: Name::from("model"),
        slots: 128,
        kv_capacity: CAPACITY,
        stage,
        leaving: false,
        leaves_in: None,
        preemptible: false,
    }
}

fn fleet(engines: &[(&str, Stage)]) -> Dispatcher {
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

fn prompt(tokens: u64, shared: Option<(u64, u64)>, own: u64) -> PromptShape {
    let shared = shared.map(|(id, tokens)| PromptPart { id, tokens });
    let last = PromptPart {
        id: own,
        tokens: tokens - shared.map_or(0, |part| part.tokens),
    };
    PromptShape {
        tokens,
        parts: shared.into_iter().chain([last]).collect(),
    }
}

fn choose(dispatcher: &mut Dispatcher, prompt: &PromptShape, tried: &[TargetKey]) -> Option<Plan> {
    let service = Name::from("model");
    let wanted = DispatchRequest {
        service: &service,
        prompt: Some(prompt),
        tried,
        allow_separate_prefill: true,
    };
    dispatcher.choose(&wanted, Instant::now())
}

#[test]
fn a_long_prompt_is_read_on_a_prefill_engine() {
    let mut fleet = fleet(&[("p", Stage::Prefill), ("d", Stage::Decode)]);
    let plan = choose(&mut fleet, &prompt(12_000, None, 1), &[]).unwrap();
    assert_eq!(name(&fleet, plan.server), "d");
    assert_eq!(
        plan.prefill.map(|key| name(&fleet, key)),
        Some("p".to_owned())
    );
    assert_eq!(plan.prefill_tokens, 12_000);
}

#[test]
fn a_short_prompt_stays_whole() {
    let mut fleet = fleet(&[("p", Stage::Prefill), ("d", Stage::Decode)]);
    let plan = choose(&mut fleet, &prompt(300, None, 1), &[]).unwrap();
    assert_eq!(plan.prefill, None);
}

#[test]
fn unread_prompts_ahead_move_work_elsewhere() {
    let mut fleet = fleet(&[
        ("p1", Stage::Prefill),
        ("p2", Stage::Prefill),
        ("d", Stage::Decode),
    ]);
    let now = Instant::now();
    let first = choose(&mut fleet, &prompt(12_000, None, 1), &[]).unwrap();
    let busy = first.prefill.unwrap();
    let send = fleet.begin(busy, 12_000, None, now);
    let second = choose(&mut fleet, &prompt(12_000, None, 2), &[]).unwrap();
    assert_ne!(second.prefill, Some(busy));
    fleet.record_prefill_done(send, now);
    fleet.end(send);
    assert_eq!(fleet.target(busy).unwrap().prefill_tokens(now), 0);
    assert_eq!(fleet.target(busy).unwrap().running(now), 0);
}

#[test]
fn what_peers_sent_counts_for_a_while() {
    let mut fleet = fleet(&[("d1", Stage::Decode), ("d2", Stage::Decode)]);
    let now = Instant::now();
    let load = PeerLoad {
        load: NodeLoad {
            prefill_tokens: 50_000,
            running: 20,
        },
        at: now,
    };
    let hash = fleet.target(key(&fleet, "d1")).unwrap().hash();
    fleet.set_peer_loads(&Name::from("b"), &[(hash, load)]);
    let plan = choose(&mut fleet, &prompt(800, None, 1), &[]).unwrap();
    assert_eq!(name(&fleet, plan.server), "d2");
    let d1 = key(&fleet, "d1");
    assert_eq!(fleet.target(d1).unwrap().running(now), 20);
    let later = now + Duration::from_secs(2);
    assert_eq!(fleet.target(d1).unwrap().running(later), 0);
    fleet.set_peer_loads(&Name::from("b"), &[]);
    assert_eq!(fleet.target(d1).unwrap().prefill_tokens(now), 0);
}

/// Pattern: prompts that share a long part, more than one engine can read.
#[test]
fn shared_parts_are_fetched_from_the_engine_that_holds_them() {
    let mut fleet = fleet(&[
        ("p1", Stage::Prefill),
        ("p2", Stage::Prefill),
        ("d", Stage::Decode),
    ]);
    let now = Instant::now();
    let first = prompt(12_000, Some((77, 5_000)), 1);
    let holder = choose(&mut fleet, &first, &[]).unwrap().prefill.unwrap();
    fleet.begin(holder, 12_000, Some(&first), now);
    let second = choose(&mut fleet, &prompt(12_000, Some((77, 5_000)), 2), &[]).unwrap();
    assert_ne!(second.prefill, Some(holder));
    assert_eq!(second.fetch_from, Some(holder));
    assert_eq!(second.prefill_tokens, 7_000);
}

#[test]
fn peers_learn_who_holds_a_part() {
    let engines = [
        ("p1", Stage::Prefill),
        ("p2", Stage::Prefill),
        ("d", Stage::Decode),
    ];
    let (mut one, mut other) = (fleet(&engines), fleet(&engines));
    let now = Instant::now();
    let first = prompt(12_000, Some((77, 5_000)), 1);
    let holder = choose(&mut one, &first, &[]).unwrap().prefill.unwrap();
    one.begin(holder, 12_000, Some(&first), now);
    let placed = one.recent_placements(Duration::from_secs(1), now);
    assert_eq!(placed.len(), 1);
    other.record_peer_placements(&placed);
    let plan = choose(&mut other, &prompt(12_000, Some((77, 5_000)), 2), &[]).unwrap();
    assert_eq!(plan.prefill_tokens, 7_000);
    let reader = plan.prefill.map(|key| name(&other, key));
    assert_eq!(reader, Some(name(&one, holder)));
    assert!(
        one.recent_placements(Duration::from_secs(1), now + Duration::from_secs(2))
            .is_empty()
    );
}

/// Pattern: many nodes with views that are old by a second choose at the same time.
#[test]
fn nodes_that_have_not_heard_of_one_another_spread_over_many_engines() {
    let names: Vec<String> = (0..60).map(|index| format!("d{index}")).collect();
    let mut counts = std::collections::HashMap::new();
    for node in 0..60 {
        let mut fleet = Dispatcher::new(Name::from("a"), EngineModel::default(), node);
        fleet.sync(names.iter().map(|id| engine(id, Stage::Decode)).collect());
        let plan = choose(&mut fleet, &prompt(300, None, 1), &[]).unwrap();
        *counts.entry(name(&fleet, plan.server)).or_insert(0) += 1;
    }
    let most = counts.values().max().unwrap();
    assert!(*most <= 8, "{counts:?}");
}

/// A large fleet's engines, of both stages in each of four data centres.
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

/// Pattern: a long shared part is asked for at many nodes before they hear of one another.
#[test]
fn a_long_part_is_first_read_at_one_engine() {
    let mut homes = std::collections::HashSet::new();
    for node in 0..60_u64 {
        let centre = ["a", "b", "c", "d"][node as usize % 4];
        let mut fleet = Dispatcher::new(Name::from(centre), EngineModel::default(), node);
        fleet.sync(many_engines());
        let plan = choose(&mut fleet, &prompt(11_000, Some((77, 4800)), node), &[]).unwrap();
        homes.insert(name(&fleet, plan.prefill.unwrap()));
    }
    assert_eq!(homes.len(), 1, "{homes:?}");
}

/// Pattern: one part is so popular that its home cannot read for all who ask.
#[test]
fn a_busy_home_sends_work_elsewhere() {
    let mut fleet = Dispatcher::new(Name::from("a"), EngineModel::default(), SEED);
    fleet.sync(many_engines());
    let shared = Some((77, 4800));
    let mut readers = std::collections::HashSet::new();
    for own in 0..40 {
        let prompt = prompt(11_000, shared, own);
        let plan = choose(&mut fleet, &prompt, &[]).unwrap();
        let reader = plan.prefill.unwrap();
        fleet.begin(reader, plan.prefill_tokens, Some(&prompt), Instant::now());
        readers.insert(reader);
    }
    assert!(readers.len() > 10, "{} engines", readers.len());
}

/// Pattern: memory moved between data centres takes twice as long, and is dear.
#[test]
fn tokens_are_made_near_the_engine_that_read() {
    let mut fleet = Dispatcher::new(Name::from("a"), EngineModel::default(), SEED);
    fleet.sync(many_engines());
    let now = Instant::now();
    let mut far = 0;
    for own in 0..60 {
        let prompt = prompt(8_000, None, own);
        let plan = choose(&mut fleet, &prompt, &[]).unwrap();
        let centre = |key| fleet.target(key).unwrap().info.data_centre.clone();
        far += usize::from(centre(plan.server) != centre(plan.prefill.unwrap()));
        fleet.begin(plan.server, 0, Some(&prompt), now);
    }
    // The fifteen engines that make tokens there hold all of them.
    assert_eq!(far, 0);
}

#[test]
fn leaving_and_tried_engines_get_nothing() {
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

/// Pattern: the engine of a plan starts to leave while a long prompt is read for it.
#[test]
fn a_prompt_that_was_read_runs_on_an_engine_that_stays() {
    let mut fleet = fleet(&[
        ("p", Stage::Prefill),
        ("d1", Stage::Decode),
        ("d2", Stage::Decode),
    ]);
    let prompt = prompt(12_000, None, 1);
    let planned = choose(&mut fleet, &prompt, &[]).unwrap().server;
    let planned = name(&fleet, planned);
    let list = [
        ("p", Stage::Prefill),
        ("d1", Stage::Decode),
        ("d2", Stage::Decode),
    ];
    let list = list.iter().map(|(id, stage)| TargetInfo {
        leaving: *id == planned,
        ..engine(id, *stage)
    });
    fleet.sync(list.collect());
    let service = Name::from("model");
    let wanted = DispatchRequest {
        service: &service,
        prompt: Some(&prompt),
        tried: &[],
        allow_separate_prefill: false,
    };
    let reader = key(&fleet, "p");
    let run = fleet
        .choose_decode_engine(&wanted, reader, Instant::now())
        .unwrap();
    assert_ne!(name(&fleet, run), planned);
    assert_ne!(name(&fleet, run), "p");
}

#[test]
fn a_prefill_engine_alone_runs_nothing() {
    let mut fleet = fleet(&[("p", Stage::Prefill)]);
    assert_eq!(choose(&mut fleet, &prompt(300, None, 1), &[]), None);
}

/// Pattern: the only decode engines were ejected while prefill engines are well.
#[test]
fn with_no_other_left_an_ejected_engine_is_tried() {
    let mut fleet = fleet(&[("p", Stage::Prefill), ("d", Stage::Decode)]);
    let d = key(&fleet, "d");
    assert!(fleet.eject(d, Instant::now()));
    let plan = choose(&mut fleet, &prompt(300, None, 1), &[]).unwrap();
    assert_eq!(plan.server, d);
}

#[test]
fn an_ejected_engine_is_passed_over_until_it_answers() {
    let mut fleet = fleet(&[("d1", Stage::Decode), ("d2", Stage::Decode)]);
    let d1 = key(&fleet, "d1");
    let now = Instant::now();
    fleet.eject(d1, now);
    for own in 0..20 {
        let plan = choose(&mut fleet, &prompt(300, None, own), &[]).unwrap();
        assert_ne!(plan.server, d1);
    }
    assert!(fleet.mark_reachable(d1, now));
    assert!(!fleet.target(d1).unwrap().is_ejected());
}

/// Pattern: an engine that changes its stage refuses everything for seconds.
#[test]
fn an_engine_that_refuses_is_passed_over_for_a_moment() {
    let mut fleet = fleet(&[("d1", Stage::Decode), ("d2", Stage::Decode)]);
    let d1 = key(&fleet, "d1");
    let now = Instant::now();
    fleet.record_refusal(d1, now);
    let plan = choose(&mut fleet, &prompt(300, None, 1), &[]).unwrap();
    assert_ne!(plan.server, d1);
}

/// Pattern: an engine is ordered to another stage; each refusal of it would be a repeat.
#[test]
fn an_engine_in_change_is_passed_over_until_the_list_shows_its_stage() {
    let mut fleet = fleet(&[
        ("p", Stage::Prefill),
        ("d1", Stage::Decode),
        ("d2", Stage::Decode),
    ]);
    let hash = fleet.target(key(&fleet, "p")).unwrap().hash();
    fleet.mark_stage_changing(&[hash], Instant::now());
    let plan = choose(&mut fleet, &prompt(12_000, None, 1), &[]).unwrap();
    assert_eq!(plan.prefill, None);
    let list = ["p", "d1", "d2"].map(|id| engine(id, Stage::Decode));
    fleet.sync(list.to_vec());
    let p = key(&fleet, "p");
    assert!(!fleet.target(p).unwrap().is_changing_stage(Instant::now()));
}

/// Found by a hunt (altiplano, hunt-11d8-51): after the first pause each request tried
/// a prefill engine that went on refusing, which spent the fleet's retry budget.
#[test]
fn a_prefill_engine_that_goes_on_refusing_is_probed_and_not_tried_by_all() {
    let mut fleet = fleet(&[("p", Stage::Prefill), ("d", Stage::Decode)]);
    let p = key(&fleet, "p");
    let service = Name::from("model");
    let start = Instant::now();
    fleet.record_refusal(p, start);
    let mut tries = 0;
    for ms in (0..3000).step_by(10) {
        let now = start + Duration::from_millis(ms);
        let prompt = prompt(12_000, None, ms);
        let wanted = DispatchRequest {
            service: &service,
            prompt: Some(&prompt),
            tried: &[],
            allow_separate_prefill: true,
        };
        if fleet.choose(&wanted, now).unwrap().prefill == Some(p) {
            tries += 1;
            fleet.record_refusal(p, now);
        }
    }
    assert!((1..=4).contains(&tries), "{tries} tries");
}

/// Pattern: a queue makes an engine answer late; it is no reason to take it out.
#[test]
fn a_server_that_answers_others_is_not_silent() {
    let mut fleet = fleet(&[("d", Stage::Decode)]);
    let d = key(&fleet, "d");
    let sent = Instant::now();
    assert!(fleet.is_silent_since(d, sent));
    fleet.record_activity(d, sent + Duration::from_millis(5));
    assert!(!fleet.is_silent_since(d, sent));
}

#[test]
fn a_full_batch_is_predicted_to_wait() {
    let mut fleet = fleet(&[("d", Stage::Decode)]);
    let now = Instant::now();
    let d = key(&fleet, "d");
    let before = choose(&mut fleet, &prompt(300, None, 1), &[]).unwrap().ttft;
    for _ in 0..140 {
        fleet.begin(d, 0, None, now);
    }
    let after = choose(&mut fleet, &prompt(300, None, 1), &[]).unwrap().ttft;
    assert!(
        after > before + Duration::from_millis(300),
        "{before:?} {after:?}"
    );
}

#[test]
fn a_restart_under_the_same_identity_is_another_server() {
    let mut fleet = fleet(&[("d", Stage::Decode)]);
    let now = Instant::now();
    let before = key(&fleet, "d");
    let send = fleet.begin(before, 500, None, now);
    let reborn = TargetInfo {
        started_unix_ms: 2,
        ..engine("d", Stage::Decode)
    };
    fleet.sync(vec![reborn]);
    let after = key(&fleet, "d");
    assert_ne!(before, after);
    assert_eq!(fleet.target(after).unwrap().prefill_tokens(now), 0);
    fleet.end(send);
}

#[test]
fn plain_servers_share_by_load() {
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
        let wanted = DispatchRequest {
            service: &service,
            prompt: None,
            tried: &[],
            allow_separate_prefill: false,
        };
        let plan = dispatcher.choose(&wanted, now).unwrap();
        dispatcher.begin(plan.server, 0, None, now);
        *counts.entry(plan.server).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

/// Pattern: a server turns requests away and says for how long it wants none. It is not
/// even tried as the last one.
#[test]
fn a_server_that_wants_nothing_is_not_tried_as_a_last_resort() {
    let mut fleet = fleet(&[("d1", Stage::Decode), ("d2", Stage::Decode)]);
    let (d1, d2) = (key(&fleet, "d1"), key(&fleet, "d2"));
    let now = Instant::now();
    let service = Name::from("model");
    assert_eq!(fleet.shortest_backoff(&service, now), None);
    fleet.set_backoff(d1, Duration::from_mins(1), now);
    let short = prompt(100, None, 1);
    for _ in 0..20 {
        assert_eq!(choose(&mut fleet, &short, &[]).unwrap().server, d2);
    }
    fleet.set_backoff(d2, Duration::from_secs(30), now);
    assert_eq!(choose(&mut fleet, &short, &[]), None);
    let first = fleet.shortest_backoff(&service, now);
    assert_eq!(first, Some(Duration::from_secs(30)));
    // A shorter word does not take back a longer one; a zero one says nothing.
    fleet.set_backoff(d1, Duration::ZERO, now);
    let later = now + Duration::from_secs(59);
    assert!(fleet.target(d1).unwrap().backoff(later).is_some());
    assert!(fleet.target(d2).unwrap().backoff(later).is_none());
}

/// Pattern: a server says with its answers that it leaves, before its entry does.
#[test]
fn a_server_that_says_that_it_leaves_stays_out_until_it_starts_anew() {
    let mut fleet = fleet(&[("d1", Stage::Decode)]);
    let d1 = key(&fleet, "d1");
    let short = prompt(100, None, 1);
    assert!(fleet.mark_leaving(d1));
    assert!(!fleet.mark_leaving(d1), "it was known");
    // Its entry changes in other respects.
    let changed = TargetInfo {
        slots: 64,
        ..engine("d1", Stage::Decode)
    };
    fleet.sync(vec![changed]);
    assert_eq!(choose(&mut fleet, &short, &[]), None);
    let anew = TargetInfo {
        started_unix_ms: 2,
        ..engine("d1", Stage::Decode)
    };
    let departed = fleet.sync(vec![anew]);
    assert!(departed[0].leaving && departed[0].replaced);
    assert!(choose(&mut fleet, &short, &[]).is_some());
}
