//! Engines of another speed than predictions start from, and patience with them.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::{
    DispatchRequest, Dispatcher, EngineModel, Plan, PromptShape, Stage, TargetInfo,
};
use pomeloridge_policy::prompt_cache::PromptPart;
use pomeloridge_policy::timeouts::{caller_ttft_timeout, silence_timeout};
use yare::parameterized;

use crate::support::ms;

const TOKENS: u64 = 12_000;
/// Prompts from which the speed is learnt.
const PROMPTS: u64 = 12;

fn engine(id: &str, stage: Stage) -> TargetInfo {
    TargetInfo {
        id: Name::from(id),
        started_unix_ms: 1,
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: Name::from("a"),
        service: Name::from("model"),
        slots: 64,
        kv_capacity: 500_000,
        stage,
        leaving: false,
        leaves_in: None,
        preemptible: false,
    }
}

fn fleet() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Name::from("a"), EngineModel::default(), 7);
    let list = [("p", Stage::Prefill), ("d", Stage::Decode)];
    dispatcher.sync(list.map(|(id, stage)| engine(id, stage)).to_vec());
    dispatcher
}

fn prompt(own: u64) -> PromptShape {
    PromptShape {
        tokens: TOKENS,
        parts: vec![PromptPart {
            id: own,
            tokens: TOKENS,
        }],
    }
}

fn plan(fleet: &mut Dispatcher, prompt: &PromptShape, now: Instant) -> Plan {
    let service = Name::from("model");
    let wanted = DispatchRequest {
        service: &service,
        prompt: Some(prompt),
        tried: &[],
        allow_separate_prefill: true,
    };
    fleet.choose(&wanted, now).unwrap()
}

/// Reads prompts one after the other on engines that take `factor` times as long; gives
/// the time.
fn read_prompts(fleet: &mut Dispatcher, factor: f64, mut now: Instant) -> Instant {
    let model = EngineModel::default();
    for own in 1..=PROMPTS {
        let prompt = prompt(own);
        let plan = plan(fleet, &prompt, now);
        let reader = plan.prefill.unwrap();
        let read = fleet.begin(reader, plan.prefill_tokens, Some(&prompt), now);
        now += model
            .prefill_time(Stage::Prefill, 0, TOKENS)
            .mul_f64(factor);
        fleet.record_prefill_done(read, now);
        fleet.end(read);
        let run = fleet.begin(plan.server, 0, Some(&prompt), now);
        now += (model.first_token_delay + model.transfer_time(TOKENS)).mul_f64(factor);
        fleet.record_prefill_done(run, now);
        now += ms(50).mul_f64(factor);
        fleet.record_decode(plan.server, 10, ms(50).mul_f64(factor), now);
        fleet.record_output_tokens(plan.server, 40);
        fleet.end(run);
    }
    now
}

/// Pattern: a deployment whose engines are slower, or faster, than those known so far.
#[parameterized(slower = { 2.5 }, faster = { 0.5 })]
fn predictions_follow_the_engines_speed(factor: f64) {
    let now = Instant::now();
    let mut learnt = fleet();
    let first = plan(&mut learnt, &prompt(100), now).ttft;
    let capacity = learnt.model(&Name::from("model")).prefill_throughput();
    let now = read_prompts(&mut learnt, factor, now);
    let later = plan(&mut learnt, &prompt(100), now).ttft;
    let ratio = later.as_secs_f64() / first.as_secs_f64();
    assert!((ratio / factor - 1.0).abs() < 0.15, "{first:?} {later:?}");
    let slower = capacity / learnt.model(&Name::from("model")).prefill_throughput();
    assert!((slower / factor - 1.0).abs() < 0.05, "{slower}");
}

/// Pattern: a queue at the engine, of which the time of its prompts says nothing of speed.
#[test]
fn prompts_that_waited_do_not_change_the_speed() {
    let mut now = Instant::now();
    let mut fleet = fleet();
    let before = *fleet.model(&Name::from("model"));
    let ahead = plan(&mut fleet, &prompt(1), now).prefill.unwrap();
    fleet.begin(ahead, TOKENS, None, now);
    for own in 2..2 + PROMPTS {
        let read = fleet.begin(ahead, TOKENS, Some(&prompt(own)), now);
        now += Duration::from_secs(3);
        fleet.record_prefill_done(read, now);
        fleet.end(read);
    }
    let after = fleet.model(&Name::from("model"));
    assert!((after.prefill_throughput() - before.prefill_throughput()).abs() < 1.0);
}

/// A few odd samples, such as of an engine that was frozen, change nothing.
#[test]
fn single_odd_samples_are_passed_over() {
    let now = Instant::now();
    let mut fleet = fleet();
    let now = read_prompts(&mut fleet, 1.0, now);
    let before = fleet.model(&Name::from("model")).prefill_throughput();
    for own in 50..54 {
        let reader = plan(&mut fleet, &prompt(own), now).prefill.unwrap();
        let read = fleet.begin(reader, TOKENS, Some(&prompt(own)), now);
        fleet.record_prefill_done(read, now + Duration::from_secs(2));
        fleet.end(read);
    }
    let after = fleet.model(&Name::from("model")).prefill_throughput();
    assert!((after / before - 1.0).abs() < 0.05, "{before} {after}");
}

/// Guards against overloaded engines that are given up in the middle of their queue.
#[test]
fn an_engine_with_a_queue_is_not_given_up_as_silent() {
    let mut fleet = fleet();
    let now = Instant::now();
    let idle = plan(&mut fleet, &prompt(1), now);
    assert!(silence_timeout(idle.ttft) < ms(1300), "{:?}", idle.ttft);
    let reader = idle.prefill.unwrap();
    for _ in 0..8 {
        fleet.begin(reader, TOKENS, None, now);
    }
    let model = fleet.model(&Name::from("model"));
    let target = fleet.target(reader).unwrap();
    let queued = model.ttft(target, target.prefill_tokens(now), now);
    assert!(queued > ms(900), "{queued:?}");
    // It may take twice as long as predicted.
    assert!(silence_timeout(queued) > queued * 2);
}

#[parameterized(
    short_targets = { 300, Some(150), 8000, 2000 },
    long_target = { 800, Some(250), 8000, 3200 },
    long_gap = { 300, Some(400), 8000, 3200 },
    short_deadline = { 800, None, 1500, 1500 },
)]
fn callers_wait_for_a_first_piece(target: u64, gap: Option<u64>, longest: u64, patience: u64) {
    let waits = caller_ttft_timeout(ms(target), gap.map(ms), ms(longest));
    assert_eq!(waits, ms(patience));
}
