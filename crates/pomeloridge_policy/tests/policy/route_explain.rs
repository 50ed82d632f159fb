//! Tests of the explanation of a choice: it is the next choice, names what bars each server, and
//! changes nothing.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::{
    AnswerNeeds, Bar, Candidate, DispatchRequest, Dispatcher, EngineModel, Explanation,
    PromptShape, ReportedLoad, Stage, TargetInfo, TargetKey,
};
use pomeloridge_policy::prompt_cache::PromptPart;
use pomeloridge_policy::rate_limit::RateLimit;
use yare::parameterized;

const SEED: u64 = 11;
/// More servers than are compared for one request.
const MANY: usize = 90;
/// Requests in flight at a time; few enough for the memory of the engines.
const IN_FLIGHT: usize = 12;

fn server(number: usize, stage: Stage) -> TargetInfo {
    TargetInfo {
        id: Name::from(format!("s{number}")),
        started_unix_ms: 1,
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: Name::from(if number.is_multiple_of(2) { "a" } else { "b" }),
        service: Name::from("service"),
        version: Name::from("v1"),
        slots: 6,
        kv_capacity: 100_000,
        stage,
        leaving: false,
        leaves_in: None,
        preemptible: false,
    }
}

fn dispatcher(count: usize, stage: impl Fn(usize) -> Stage) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Name::from("a"), EngineModel::default(), SEED);
    dispatcher.expect_uneven_servers(true);
    let list = (0..count).map(|number| server(number, stage(number)));
    dispatcher.sync(list.collect());
    dispatcher
}

fn key(dispatcher: &Dispatcher, number: usize) -> TargetKey {
    let id = format!("s{number}");
    let mut targets = dispatcher.targets();
    let found = targets.find(|(_, target)| target.info.id.as_str() == id);
    found.unwrap().0
}

fn request<'a>(service: &'a Name, prompt: Option<&'a PromptShape>) -> DispatchRequest<'a> {
    DispatchRequest {
        service,
        prompt,
        tried: &[],
        allow_separate_prefill: true,
        version: None,
        needs: AnswerNeeds::default(),
    }
}

fn prompt() -> PromptShape {
    let part = |id, tokens| PromptPart { id, tokens };
    PromptShape {
        tokens: 9000,
        parts: vec![part(1, 5000), part(2, 4000)],
    }
}

fn find(explanation: &Explanation, server: TargetKey) -> &Candidate {
    let mut candidates = explanation.candidates.iter();
    candidates.find(|found| found.server == server).unwrap()
}

#[parameterized(
    plain_few = { 4, false },
    plain_many = { MANY, false },
    engines_few = { 4, true },
    engines_many = { MANY, true },
)]
fn an_explanation_is_the_next_choice_and_changes_nothing(count: usize, has_prompt: bool) {
    let stage = |number: usize| match (has_prompt, number % 3) {
        (false, _) => Stage::Unified,
        (true, 0) => Stage::Prefill,
        (true, _) => Stage::Decode,
    };
    let mut dispatcher = dispatcher(count, stage);
    let service = Name::from("service");
    let prompt = has_prompt.then(prompt);
    let now = Instant::now();
    let mut in_flight = VecDeque::new();
    for round in 0..200 {
        let now = now + Duration::from_millis(round);
        let request = request(&service, prompt.as_ref());
        let before = format!("{dispatcher:?}");
        let explanation = dispatcher.explain(&request, now);
        assert_eq!(explanation, dispatcher.explain(&request, now));
        assert_eq!(format!("{dispatcher:?}"), before);
        assert_eq!(explanation.candidates.len(), count);
        let plan = dispatcher.choose(&request, now).unwrap();
        assert_eq!(explanation.plan, Some(plan), "round {round}");
        assert!(find(&explanation, plan.server).is_compared);
        assert!(find(&explanation, plan.server).bars.is_empty());
        let sent = dispatcher.begin(plan.server, plan.prefill_tokens, prompt.as_ref(), now);
        in_flight.push_back(sent);
        if in_flight.len() > IN_FLIGHT {
            dispatcher.end(in_flight.pop_front().unwrap());
        }
    }
}

#[test]
fn every_bar_of_a_server_is_named() {
    let mut dispatcher = dispatcher(6, |_| Stage::Unified);
    let (service, now) = (Name::from("service"), Instant::now());
    let keys: Vec<TargetKey> = (0..6).map(|number| key(&dispatcher, number)).collect();
    dispatcher.mark_leaving(keys[0]);
    dispatcher.set_backoff(keys[1], Duration::from_secs(2), now);
    dispatcher.eject(keys[2], now);
    dispatcher.eject(keys[3], now);
    dispatcher.set_backoff(keys[3], Duration::from_secs(2), now);
    let limit = RateLimit::try_from(1.0).unwrap();
    dispatcher.record_limit(keys[4], Some(limit), now, now);
    dispatcher.set_sender_places(|_| None, now);
    let tried = [keys[5]];
    let request = DispatchRequest {
        tried: &tried,
        ..request(&service, None)
    };
    let explanation = dispatcher.explain(&request, now);
    let bars = |number: usize| find(&explanation, keys[number]).bars.clone();
    assert_eq!(bars(0), [Bar::Leaving]);
    assert_eq!(bars(1), [Bar::Backoff]);
    assert_eq!(bars(2), [Bar::Ejected]);
    assert_eq!(bars(3), [Bar::Backoff, Bar::Ejected]);
    assert_eq!(bars(4), [Bar::Limit]);
    assert_eq!(bars(5), [Bar::Tried]);
    // The ejected server without another bar is left as the last resort.
    assert!(explanation.is_last_resort);
    assert_eq!(explanation.plan.unwrap().server, keys[2]);
    assert_eq!(dispatcher.choose(&request, now), explanation.plan);
}

#[test]
fn a_service_without_servers_has_no_plan() {
    let dispatcher = dispatcher(2, |_| Stage::Unified);
    let service = Name::from("other");
    let explanation = dispatcher.explain(&request(&service, None), Instant::now());
    assert_eq!(explanation.plan, None);
    assert!(explanation.candidates.is_empty() && !explanation.is_last_resort);
}

#[test]
fn the_latest_report_is_shown_however_old() {
    let mut dispatcher = dispatcher(2, |_| Stage::Unified);
    let (service, at) = (Name::from("service"), Instant::now());
    let server = key(&dispatcher, 1);
    let report = ReportedLoad {
        running: 5,
        waiting: 2,
        slowdown: None,
        at,
    };
    dispatcher.record_load_report(server, report);
    let now = at + Duration::from_secs(9);
    let explanation = dispatcher.explain(&request(&service, None), now);
    let candidate = find(&explanation, server);
    assert_eq!(candidate.report, Some(report));
    assert_eq!(candidate.running, 0);
}

#[test]
fn an_engine_without_room_for_the_tokens_is_barred() {
    let dispatcher = dispatcher(2, |_| Stage::Decode);
    let service = Name::from("service");
    let long = PromptShape {
        tokens: 100_001,
        ..prompt()
    };
    let explanation = dispatcher.explain(&request(&service, Some(&long)), Instant::now());
    assert_eq!(explanation.plan, None);
    let mut candidates = explanation.candidates.iter();
    assert!(candidates.all(|candidate| candidate.bars == [Bar::Memory]));
}
