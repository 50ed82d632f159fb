//! Tests of the choice among servers of several software versions.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::{
    AnswerNeeds, DispatchRequest, Dispatcher, EngineModel, NodeLoad, PeerLoad, Plan, PromptShape,
    Stage, TargetInfo, TargetKey,
};
use pomeloridge_policy::prompt_cache::PromptPart;
use yare::parameterized;

const SERVICE: &str = "model";
const SEED: u64 = 7;
/// Tokens of a prompt that is worth a separate prefill.
const LONG: u64 = 12_000;

fn server(id: &str, stage: Stage, version: &str) -> TargetInfo {
    TargetInfo {
        id: Name::from(id),
        started_unix_ms: 1,
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: Name::from("a"),
        service: Name::from(SERVICE),
        version: Name::from(version),
        slots: 8,
        kv_capacity: 500_000,
        stage,
        leaving: false,
        leaves_in: None,
        preemptible: false,
    }
}

fn dispatcher(servers: &[(&str, Stage, &str)]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Name::from("a"), EngineModel::default(), SEED);
    let list = servers.iter();
    let list = list.map(|(id, stage, version)| server(id, *stage, version));
    dispatcher.sync(list.collect());
    dispatcher
}

fn key(dispatcher: &Dispatcher, id: &str) -> TargetKey {
    let mut targets = dispatcher.targets();
    let found = targets.find(|(_, target)| target.info.id.as_str() == id);
    found.unwrap().0
}

fn version(dispatcher: &Dispatcher, key: TargetKey) -> &str {
    dispatcher.target(key).unwrap().info.version.as_str()
}

/// Lets a peer put more work on a server than any choice would add.
fn overload(dispatcher: &mut Dispatcher, ids: &[&str], now: Instant) {
    let load = PeerLoad {
        load: NodeLoad {
            prefill_tokens: 400_000,
            running: 60,
            ..NodeLoad::default()
        },
        at: now,
    };
    let hash = |id: &&str| dispatcher.target(key(dispatcher, id)).unwrap().hash();
    let loads: Vec<_> = ids.iter().map(|id| (hash(id), load)).collect();
    dispatcher.set_peer_loads(&Name::from("peer"), &loads);
}

fn shared(tokens: u64) -> PromptShape {
    let part = |id, tokens| PromptPart { id, tokens };
    PromptShape {
        tokens,
        parts: vec![part(1, tokens - 100), part(2, 100)],
    }
}

struct Choice<'a> {
    prompt: Option<&'a PromptShape>,
    version: Option<&'a str>,
    tried: &'a [TargetKey],
}

fn with_request<T>(choice: &Choice<'_>, act: impl FnOnce(&DispatchRequest<'_>) -> T) -> T {
    let service = Name::from(SERVICE);
    let version = choice.version.map(Name::from);
    act(&DispatchRequest {
        service: &service,
        prompt: choice.prompt,
        tried: choice.tried,
        allow_separate_prefill: true,
        version: version.as_ref(),
        needs: AnswerNeeds::default(),
    })
}

fn choose(dispatcher: &mut Dispatcher, choice: &Choice<'_>, now: Instant) -> Option<Plan> {
    with_request(choice, |request| dispatcher.choose(request, now))
}

/// Guards against a stream that goes on at a server of another version because that one has less
/// to do.
#[parameterized(
    plain = { Stage::Unified, None },
    short_prompt = { Stage::Decode, Some(shared(300)) },
    long_prompt = { Stage::Decode, Some(shared(LONG)) },
)]
fn a_bound_request_waits_for_its_version(stage: Stage, prompt: Option<PromptShape>) {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[("old", stage, "v1"), ("new", stage, "v2")]);
    overload(&mut dispatcher, &["old"], now);
    let choice = |version| Choice {
        prompt: prompt.as_ref(),
        version,
        tried: &[],
    };
    let bound = choose(&mut dispatcher, &choice(Some("v1")), now).unwrap();
    assert_eq!(bound.server, key(&dispatcher, "old"));
    let free = choose(&mut dispatcher, &choice(None), now).unwrap();
    assert_eq!(free.server, key(&dispatcher, "new"));
}

/// Guards against a stream that goes on at another version once no server of its own is left, by
/// leaving, by failing this request or, as a last resort, by failing others.
#[test]
fn a_bound_request_has_no_server_without_its_version() {
    let now = Instant::now();
    let mut dispatcher =
        dispatcher(&[("old", Stage::Unified, "v1"), ("new", Stage::Unified, "v2")]);
    let (old, new) = (key(&dispatcher, "old"), key(&dispatcher, "new"));
    let tried = [old];
    let choice = Choice {
        prompt: None,
        version: Some("v1"),
        tried: &tried,
    };
    assert_eq!(choose(&mut dispatcher, &choice, now), None);
    assert!(!with_request(&choice, |request| dispatcher.has_server(request, now)));
    let untried = Choice {
        tried: &[],
        ..choice
    };
    dispatcher.eject(old, now);
    assert_eq!(choose(&mut dispatcher, &untried, now).unwrap().server, old);
    dispatcher.mark_leaving(old);
    assert_eq!(choose(&mut dispatcher, &untried, now), None);
    let other = Choice {
        version: Some("v2"),
        ..untried
    };
    assert_eq!(choose(&mut dispatcher, &other, now).unwrap().server, new);
}

/// Guards against a prompt that is prefilled by an engine of another version than the one that
/// generates, which can't read that memory.
#[parameterized(
    bound = { Some("v1") },
    unbound = { None },
)]
fn prefill_and_decode_run_at_one_version(bound: Option<&str>) {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[("p2", Stage::Prefill, "v2"), ("d1", Stage::Decode, "v1")]);
    let prompt = shared(LONG);
    let choice = Choice {
        prompt: Some(&prompt),
        version: bound,
        tried: &[],
    };
    let plan = choose(&mut dispatcher, &choice, now).unwrap();
    assert_eq!(plan.server, key(&dispatcher, "d1"));
    assert_eq!(plan.prefill, None);
}

/// Guards against a separate prefill that is given up, or split between versions, while both
/// versions have engines of both stages.
#[parameterized(
    old_decode_busy = { &["d1"], "v2" },
    new_decode_busy = { &["d2"], "v1" },
    crosswise = { &["p1", "d2"], "v1" },
)]
fn the_best_plan_of_one_version_is_chosen(busy: &[&str], expected: &str) {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[
        ("p1", Stage::Prefill, "v1"),
        ("d1", Stage::Decode, "v1"),
        ("p2", Stage::Prefill, "v2"),
        ("d2", Stage::Decode, "v2"),
    ]);
    overload(&mut dispatcher, busy, now);
    let prompt = shared(LONG);
    let choice = Choice {
        prompt: Some(&prompt),
        version: None,
        tried: &[],
    };
    let plan = choose(&mut dispatcher, &choice, now).unwrap();
    assert_eq!(version(&dispatcher, plan.server), expected);
    let prefill = plan.prefill.map(|key| version(&dispatcher, key));
    assert!(prefill.is_none_or(|version| version == expected));
}

/// Guards against a prompt that is generated at another version than the one that prefilled it,
/// when the planned engine has become busy or has left meanwhile.
#[test]
fn a_prefilled_prompt_stays_at_its_version() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[
        ("p1", Stage::Prefill, "v1"),
        ("d1", Stage::Decode, "v1"),
        ("d2", Stage::Decode, "v2"),
    ]);
    overload(&mut dispatcher, &["d1"], now);
    let prompt = shared(LONG);
    let choice = Choice {
        prompt: Some(&prompt),
        version: None,
        tried: &[],
    };
    let p1 = key(&dispatcher, "p1");
    let decode = |dispatcher: &Dispatcher| {
        with_request(&choice, |request| {
            dispatcher.choose_decode_engine(request, p1, now)
        })
    };
    assert_eq!(decode(&dispatcher), Some(key(&dispatcher, "d1")));
    dispatcher.mark_leaving(key(&dispatcher, "d1"));
    assert_eq!(decode(&dispatcher), None);
}

/// Guards against cached parts that are fetched from an engine of another version.
#[parameterized(
    bound = { Some("v1") },
    unbound = { None },
)]
fn parts_are_fetched_from_the_same_version(bound: Option<&str>) {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[
        ("d1", Stage::Decode, "v1"),
        ("e1", Stage::Decode, "v1"),
        ("d2", Stage::Decode, "v2"),
    ]);
    let prompt = shared(LONG);
    let d2 = key(&dispatcher, "d2");
    let sent = dispatcher.begin(d2, LONG, Some(&prompt), now);
    dispatcher.record_prefill_done(sent, now);
    dispatcher.end(sent);
    overload(&mut dispatcher, &["d2"], now);
    let choice = Choice {
        prompt: Some(&prompt),
        version: bound,
        tried: &[],
    };
    let first = choose(&mut dispatcher, &choice, now).unwrap();
    assert_eq!(version(&dispatcher, first.server), "v1");
    assert_eq!((first.fetch_from, first.prefill_tokens), (None, LONG));
    let sent = dispatcher.begin(first.server, LONG, Some(&prompt), now);
    dispatcher.record_prefill_done(sent, now);
    dispatcher.end(sent);
    let tried = [first.server];
    let choice = Choice {
        tried: &tried,
        ..choice
    };
    let second = choose(&mut dispatcher, &choice, now).unwrap();
    assert_eq!(version(&dispatcher, second.server), "v1");
    assert_eq!(second.fetch_from, Some(first.server));
}

/// Guards against a refusal that makes a caller wait for a server of another version.
#[test]
fn the_wait_is_that_of_the_version() {
    let now = Instant::now();
    let mut dispatcher =
        dispatcher(&[("old", Stage::Unified, "v1"), ("new", Stage::Unified, "v2")]);
    let new = key(&dispatcher, "new");
    dispatcher.set_backoff(new, Duration::from_secs(9), now);
    let service = Name::from(SERVICE);
    let wait = |version: &str| {
        let version = Name::from(version);
        dispatcher.shortest_wait(&service, Some(&version), now)
    };
    assert_eq!(wait("v1"), None);
    assert_eq!(wait("v2"), Some(Duration::from_secs(9)));
}

/// Guards against a server that was started again with another version and counts as the same
/// one, so that streams of the old version go on there.
#[test]
fn another_version_is_another_incarnation() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[("a", Stage::Unified, "v1")]);
    let old = key(&dispatcher, "a");
    let info = dispatcher.target(old).unwrap().info.clone();
    assert!(!dispatcher.has_other_version(old, &info));
    let restarted = server("a", Stage::Unified, "v2");
    assert!(!info.is_same_incarnation(&restarted));
    let removed = dispatcher.sync(vec![restarted]);
    assert!(removed.len() == 1 && removed[0].replaced);
    assert!(dispatcher.target(old).is_none());
    assert!(dispatcher.has_other_version(old, &info));
    let choice = Choice {
        prompt: None,
        version: Some("v1"),
        tried: &[],
    };
    assert_eq!(choose(&mut dispatcher, &choice, now), None);
}

/// Guards against a stream that is broken off because its server left the list, or came back at
/// the same version or elsewhere.
#[parameterized(
    left = { None },
    same_version = { Some(TargetInfo { started_unix_ms: 2, ..server("a", Stage::Unified, "v1") }) },
    elsewhere = { Some(TargetInfo { address: "10.0.0.2:80".parse().unwrap(), ..server("a", Stage::Unified, "v2") }) },
    other_server = { Some(server("b", Stage::Unified, "v2")) },
)]
fn only_another_version_in_its_place_takes_a_server_over(list: Option<TargetInfo>) {
    let mut dispatcher = dispatcher(&[("a", Stage::Unified, "v1")]);
    let old = key(&dispatcher, "a");
    let info = dispatcher.target(old).unwrap().info.clone();
    dispatcher.sync(list.into_iter().collect());
    assert!(dispatcher.target(old).is_none());
    assert!(!dispatcher.has_other_version(old, &info));
}
