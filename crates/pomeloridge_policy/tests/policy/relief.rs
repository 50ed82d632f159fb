//! Tests of moving runs to other engines, each under the load that it answers.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::{
    AnswerNeeds, DispatchRequest, Dispatcher, EngineModel, PromptShape, ReportedLoad, Stage,
    TargetInfo, TargetKey,
};
use pomeloridge_policy::relief::{Move, ReliefEngine, ReliefReason, RunProgress, decide};
use yare::parameterized;

use crate::support::ms;

/// Time to move a run's KV cache.
const TRANSFER: Duration = Duration::from_millis(10);

/// Returns a run with a gap of 250 ms that needs five seconds more and has four left.
fn slow_run() -> RunProgress {
    RunProgress {
        gaps: 4,
        gap: ms(250),
        events_left: 20.0,
        time_left: ms(4000),
        engine_left: None,
        gap_target: Some(ms(400)),
    }
}

fn engine(number: u32, gap: Duration) -> ReliefEngine<u32> {
    ReliefEngine {
        engine: number,
        transfer: TRANSFER,
        gap,
    }
}

/// Returns engines of the same speed.
fn engines(gap: Duration) -> Vec<ReliefEngine<u32>> {
    (0..8).map(|number| engine(number, gap)).collect()
}

fn reason(chosen: Option<Move<u32>>) -> Option<ReliefReason> {
    chosen.map(|chosen| chosen.reason)
}

/// Load: one slow engine among fast ones. Its runs move to the fastest of those compared.
#[test]
fn a_run_on_a_slow_engine_moves_to_the_fastest() {
    let mut fast = engines(ms(60));
    fast.push(engine(9, ms(40)));
    let chosen = decide(&slow_run(), fast).unwrap();
    assert_eq!((chosen.engine, chosen.reason), (9, ReliefReason::Deadline));
    assert_eq!(chosen.stay, ms(5000));
    assert_eq!(chosen.end, TRANSFER + ms(800));
}

/// Load: all engines are slow, as after the loss of a data centre. Moves would only shift the load.
#[parameterized(
    alike = { 250 },
    slightly_faster = { 130 },
)]
fn no_run_moves_while_all_engines_are_slow(gap: u64) {
    assert_eq!(decide(&slow_run(), engines(ms(gap))), None);
}

/// Load: servers of a data centre are reclaimed. Their runs move though they are on time.
#[test]
fn a_run_on_a_leaving_engine_moves() {
    let on_time = RunProgress {
        gap: ms(50),
        ..slow_run()
    };
    assert_eq!(decide(&on_time, engines(ms(50))), None);
    let leaving = RunProgress {
        engine_left: Some(ms(600)),
        ..on_time
    };
    let chosen = decide(&leaving, engines(ms(50)));
    assert_eq!(reason(chosen), Some(ReliefReason::Leaving));
    let long_notice = RunProgress {
        engine_left: Some(ms(1500)),
        ..on_time
    };
    assert_eq!(decide(&long_notice, engines(ms(50))), None);
}

/// Load: no engine has room.
#[test]
fn a_run_stays_without_an_engine_that_has_room() {
    assert_eq!(decide::<u32>(&slow_run(), []), None);
}

/// Load: the caller is about to leave; no engine ends the run in time.
#[test]
fn a_run_stays_once_it_is_too_late() {
    let late = RunProgress {
        time_left: ms(900),
        ..slow_run()
    };
    assert_eq!(decide(&late, engines(ms(50))), None);
}

/// Load: moments in which an engine is slow near the end of its runs.
#[test]
fn a_run_that_is_nearly_finished_stays() {
    let nearly_finished = RunProgress {
        events_left: 1.0,
        time_left: ms(200),
        ..slow_run()
    };
    let slow_link = ReliefEngine {
        transfer: ms(80),
        ..engine(1, ms(20))
    };
    assert_eq!(decide(&nearly_finished, [slow_link]), None);
}

/// Load: slow links between engines. The transfer itself would break the gap target.
#[test]
fn a_run_stays_if_its_transfer_takes_too_long() {
    let slow_link = ReliefEngine {
        transfer: ms(300),
        ..engine(1, ms(40))
    };
    assert_eq!(decide(&slow_run(), [slow_link]), None);
}

/// Load: an engine that reads long prompts between its steps. The gaps near the target, which a
/// run can miss only once.
#[test]
fn a_run_moves_before_its_gaps_miss_their_target() {
    let slow = RunProgress {
        gap: ms(350),
        time_left: ms(20_000),
        ..slow_run()
    };
    let chosen = decide(&slow, engines(ms(60)));
    assert_eq!(reason(chosen), Some(ReliefReason::Gap));
    let missed = RunProgress {
        gap_target: None,
        ..slow
    };
    assert_eq!(decide(&missed, engines(ms(60))), None);
}

/// Load: one slow moment. Its first gap alone moves no run.
#[test]
fn the_pace_of_a_new_run_is_not_known() {
    let new = RunProgress {
        gaps: 1,
        ..slow_run()
    };
    assert_eq!(decide(&new, engines(ms(50))), None);
}

const SERVICE: &str = "model";

fn server(id: &str) -> TargetInfo {
    TargetInfo {
        id: Name::from(id),
        started_unix_ms: 1,
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: Name::from("a"),
        service: Name::from(SERVICE),
        version: Name::from("v1"),
        slots: 64,
        kv_capacity: 400_000,
        stage: Stage::Decode,
        leaving: false,
        leaves_in: None,
        preemptible: false,
    }
}

fn dispatcher(list: Vec<TargetInfo>) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Name::from("a"), EngineModel::default(), 7);
    dispatcher.expect_uneven_servers(true);
    dispatcher.sync(list);
    dispatcher
}

fn key(dispatcher: &Dispatcher, id: &str) -> TargetKey {
    let mut targets = dispatcher.targets();
    let found = targets.find(|(_, target)| target.info.id.as_str() == id);
    found.unwrap().0
}

/// Returns the names of the engines that may continue a run of 2,000 tokens on the engine `source`.
fn continuing(dispatcher: &Dispatcher, now: Instant) -> Vec<String> {
    let service = Name::from(SERVICE);
    let prompt = PromptShape::default();
    let request = DispatchRequest {
        service: &service,
        prompt: Some(&prompt),
        tried: &[],
        allow_separate_prefill: false,
        version: None,
        needs: AnswerNeeds::default(),
    };
    let engines = dispatcher.relief_engines(key(dispatcher, "source"), &request, 2000, now);
    let name = |engine: ReliefEngine<TargetKey>| {
        dispatcher
            .target(engine.engine)
            .unwrap()
            .info
            .id
            .to_string()
    };
    let mut names: Vec<String> = engines.into_iter().map(name).collect();
    names.sort();
    names
}

/// Load: a release, with servers of two versions, leaving and full ones beside each other.
#[test]
fn only_sound_engines_of_the_same_version_and_data_centre_continue_a_run() {
    let now = Instant::now();
    let list = vec![
        server("source"),
        server("sound"),
        TargetInfo {
            version: Name::from("v2"),
            ..server("newer")
        },
        TargetInfo {
            leaving: true,
            ..server("leaving")
        },
        TargetInfo {
            stage: Stage::Prefill,
            ..server("prefill")
        },
        TargetInfo {
            data_centre: Name::from("b"),
            ..server("far")
        },
        TargetInfo {
            kv_capacity: 1000,
            ..server("small")
        },
        server("full"),
    ];
    let mut dispatcher = dispatcher(list);
    let full = key(&dispatcher, "full");
    let report = ReportedLoad {
        running: 64,
        waiting: 0,
        slowdown: None,
        at: now,
    };
    dispatcher.record_load_report(full, report);
    assert_eq!(continuing(&dispatcher, now), ["sound"]);
}

/// Load: many runs leave one engine at once. Each counts at its target from its decision on, so
/// that the target is full for the next.
#[test]
fn runs_that_move_fill_their_target() {
    let now = Instant::now();
    let small = TargetInfo {
        slots: 2,
        ..server("target")
    };
    let mut dispatcher = dispatcher(vec![server("source"), small]);
    let target = key(&dispatcher, "target");
    for _ in 0..2 {
        assert_eq!(continuing(&dispatcher, now), ["target"]);
        dispatcher.begin(target, 0, None, now);
    }
    assert!(continuing(&dispatcher, now).is_empty());
}
