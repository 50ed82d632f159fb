//! Tests of the learned engine speeds and of the timeouts derived from predictions.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::{
    AnswerNeeds, DispatchRequest, Dispatcher, EngineModel, Plan, PromptShape, Stage, TargetInfo,
};
use pomeloridge_policy::prompt_cache::PromptPart;
use pomeloridge_policy::timeouts::{answer_silence_timeout, caller_ttft_timeout, silence_timeout};
use yare::parameterized;

use crate::support::ms;

const TOKENS: u64 = 12_000;
/// Number of prompts from which the speed is learned.
const PROMPTS: u64 = 12;

fn engine(id: &str, stage: Stage) -> TargetInfo {
    TargetInfo {
        id: Name::from(id),
        started_unix_ms: 1,
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: Name::from("a"),
        service: Name::from("model"),
        version: Name::from("v1"),
        slots: 64,
        kv_capacity: 500_000,
        stage,
        leaving: false,
        leaves_in: None,
        preemptible: false,
    }
}

fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Name::from("a"), EngineModel::default(), 7);
    let list = [("p", Stage::Prefill), ("d", Stage::Decode)];
    dispatcher.sync(list.map(|(id, stage)| engine(id, stage)).to_vec());
    dispatcher
}

fn prompt(private: u64) -> PromptShape {
    PromptShape {
        tokens: TOKENS,
        parts: vec![PromptPart {
            id: private,
            tokens: TOKENS,
        }],
    }
}

fn plan(dispatcher: &mut Dispatcher, prompt: &PromptShape, now: Instant) -> Plan {
    let service = Name::from("model");
    let request = DispatchRequest {
        service: &service,
        prompt: Some(prompt),
        tried: &[],
        allow_separate_prefill: true,
        version: None,
        needs: AnswerNeeds::default(),
    };
    dispatcher.choose(&request, now).unwrap()
}

/// Runs requests one after the other on engines that take `factor` times as long as assumed
/// and returns the time at the end.
fn run_requests(dispatcher: &mut Dispatcher, factor: f64, mut now: Instant) -> Instant {
    let model = EngineModel::default();
    for private in 1..=PROMPTS {
        let prompt = prompt(private);
        let plan = plan(dispatcher, &prompt, now);
        let prefill_engine = plan.prefill.unwrap();
        let prefill = dispatcher.begin(prefill_engine, plan.prefill_tokens, Some(&prompt), now);
        now += model
            .prefill_time(Stage::Prefill, 0, TOKENS)
            .mul_f64(factor);
        dispatcher.record_prefill_done(prefill, now);
        dispatcher.end(prefill);
        let decode = dispatcher.begin(plan.server, 0, Some(&prompt), now);
        now += (model.first_token_delay + model.transfer_time(TOKENS)).mul_f64(factor);
        dispatcher.record_prefill_done(decode, now);
        now += ms(50).mul_f64(factor);
        dispatcher.record_decode(plan.server, 10, ms(50).mul_f64(factor), now);
        dispatcher.record_output_tokens(plan.server, &Name::from("chat"), 40, None);
        dispatcher.end(decode);
    }
    now
}

/// Engines of a deployment may be slower or faster than the base model assumes.
#[parameterized(slower = { 2.5 }, faster = { 0.5 })]
fn predictions_follow_the_measured_engine_speed(factor: f64) {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    let first = plan(&mut dispatcher, &prompt(100), now).ttft;
    let capacity = dispatcher.model(&Name::from("model")).prefill_throughput();
    let now = run_requests(&mut dispatcher, factor, now);
    let later = plan(&mut dispatcher, &prompt(100), now).ttft;
    let ratio = later.as_secs_f64() / first.as_secs_f64();
    assert!((ratio / factor - 1.0).abs() < 0.15, "{first:?} {later:?}");
    let slower = capacity / dispatcher.model(&Name::from("model")).prefill_throughput();
    assert!((slower / factor - 1.0).abs() < 0.05, "{slower}");
}

/// The latency of a queued prompt does not show the speed of the engine.
#[test]
fn queued_prompts_do_not_change_the_learned_speed() {
    let mut now = Instant::now();
    let mut dispatcher = dispatcher();
    let before = *dispatcher.model(&Name::from("model"));
    let ahead = plan(&mut dispatcher, &prompt(1), now).prefill.unwrap();
    dispatcher.begin(ahead, TOKENS, None, now);
    for private in 2..2 + PROMPTS {
        let prefill = dispatcher.begin(ahead, TOKENS, Some(&prompt(private)), now);
        now += Duration::from_secs(3);
        dispatcher.record_prefill_done(prefill, now);
        dispatcher.end(prefill);
    }
    let after = dispatcher.model(&Name::from("model"));
    assert!((after.prefill_throughput() - before.prefill_throughput()).abs() < 1.0);
}

/// A few slow samples, for example from an engine that was paused, are outvoted.
#[test]
fn a_few_outliers_do_not_change_the_learned_speed() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    let now = run_requests(&mut dispatcher, 1.0, now);
    let before = dispatcher.model(&Name::from("model")).prefill_throughput();
    for private in 50..54 {
        let prefill_engine = plan(&mut dispatcher, &prompt(private), now)
            .prefill
            .unwrap();
        let prefill = dispatcher.begin(prefill_engine, TOKENS, Some(&prompt(private)), now);
        dispatcher.record_prefill_done(prefill, now + Duration::from_secs(2));
        dispatcher.end(prefill);
    }
    let after = dispatcher.model(&Name::from("model")).prefill_throughput();
    assert!((after / before - 1.0).abs() < 0.05, "{before} {after}");
}

/// Guards against abandoning overloaded engines that are still working through their queue.
#[test]
fn the_silence_timeout_of_a_queued_engine_exceeds_its_predicted_ttft() {
    let mut dispatcher = dispatcher();
    let now = Instant::now();
    let idle = plan(&mut dispatcher, &prompt(1), now);
    assert!(silence_timeout(idle.ttft) < ms(1300), "{:?}", idle.ttft);
    let prefill_engine = idle.prefill.unwrap();
    for _ in 0..8 {
        dispatcher.begin(prefill_engine, TOKENS, None, now);
    }
    let model = dispatcher.model(&Name::from("model"));
    let target = dispatcher.target(prefill_engine).unwrap();
    let queued = model.ttft(target, target.prefill_tokens(now), now);
    assert!(queued > ms(900), "{queued:?}");
    // The engine may take twice as long as predicted.
    assert!(silence_timeout(queued) > queued * 2);
}

/// Guards against giving up a sound engine that pauses for a second or so amid a stream, and
/// against staying for long at one that is lost.
#[parameterized(
    no_target = { 0 },
    short_gap = { 150 },
    long_gap = { 250 },
)]
fn a_begun_stream_outlasts_a_pause_of_a_second(gap: u64) {
    let timeout = answer_silence_timeout(ms(gap));
    assert!(timeout >= ms(1500) && timeout <= ms(2000), "{timeout:?}");
}

#[parameterized(
    short_targets = { 300, Some(150), 8000, 2000 },
    long_target = { 800, Some(250), 8000, 3200 },
    long_gap = { 300, Some(400), 8000, 3200 },
    short_deadline = { 800, None, 1500, 1500 },
)]
fn caller_ttft_timeout_follows_the_stream_targets(
    target: u64,
    gap: Option<u64>,
    max_timeout: u64,
    expected: u64,
) {
    let timeout = caller_ttft_timeout(ms(target), gap.map(ms), ms(max_timeout));
    assert_eq!(timeout, ms(expected));
}
