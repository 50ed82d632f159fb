//! Draws faults from a seed; times are in ms after the callers' start.

use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::json;

use super::scenario::{Action, ENGINES, NODES, SERVICES, Step};
use crate::launch::RelayMode;

/// An action at a time.
pub(super) fn step(after_ms: u64, action: Action) -> Step {
    Step { after_ms, action }
}

/// One node, two at once, or all in turn are stopped and replaced.
pub(super) fn stops(rng: &mut StdRng, at: u64) -> Vec<Step> {
    let first = rng.random_range(0..NODES);
    let stop = |after, offset| step(after, Action::StopNode((first + offset) % NODES));
    match rng.random_range(0..3) {
        0 => vec![stop(at, 0)],
        1 => vec![stop(at, 0), stop(at + 10, 1)],
        _ => (0..NODES)
            .map(|offset| stop(at + 900 * offset as u64, offset))
            .collect(),
    }
}

/// One of the ways in which an engine is marked as leaving.
pub(super) fn leave(rng: &mut StdRng) -> Action {
    let engine = rng.random_range(0..ENGINES);
    match rng.random_range(0..3) {
        0 => Action::ListLeaving(engine),
        1 => Action::SayLeaving(engine),
        _ => Action::Drain(engine),
    }
}

/// An engine is killed, or crashes after some tokens, and is started again.
pub(super) fn engine_crash(rng: &mut StdRng, at: u64) -> Vec<Step> {
    let engine = rng.random_range(0..ENGINES);
    let kill = match rng.random_range(0..2) {
        0 => Action::KillEngine(engine),
        _ => Action::Engine(
            engine,
            json!({"crash_after_tokens": rng.random_range(20..120)}),
        ),
    };
    vec![
        step(at, kill),
        step(at + 1500, Action::RestartEngine(engine)),
    ]
}

/// An engine gives broken answers, or none, for a while.
pub(super) fn engine_fault(rng: &mut StdRng, at: u64) -> Vec<Step> {
    let engine = rng.random_range(0..ENGINES);
    let count = rng.random_range(2..8);
    if rng.random_range(0..5) == 0 {
        let long = rng.random_range(300..2500);
        return vec![
            step(at, Action::PauseEngine(engine)),
            step(at + long, Action::ResumeEngine(engine)),
        ];
    }
    let fault = match rng.random_range(0..4) {
        0 => json!({"truncate": count}),
        1 => json!({"cross": count}),
        2 => json!({"refuse": count * 5}),
        _ => json!({"silent": true}),
    };
    let back = Action::Engine(engine, json!({"silent": false}));
    vec![
        step(at, Action::Engine(engine, fault)),
        step(at + 2000, back),
    ]
}

/// A service gives broken answers, or none, or is killed and started again.
pub(super) fn service_fault(rng: &mut StdRng, at: u64) -> Vec<Step> {
    let service = rng.random_range(0..SERVICES);
    let count = rng.random_range(2..8);
    if rng.random_range(0..5) == 0 {
        return vec![
            step(at, Action::KillService(service)),
            step(at + 1500, Action::RestartService(service)),
        ];
    }
    if rng.random_range(0..5) == 0 {
        let long = rng.random_range(300..2500);
        return vec![
            step(at, Action::PauseService(service)),
            step(at + long, Action::ResumeService(service)),
        ];
    }
    let fault = match rng.random_range(0..4) {
        0 => json!({"cut_after_run": count}),
        1 => json!({"cross": count}),
        2 => json!({"refuse": count}),
        _ => json!({"silent": true}),
    };
    let back = Action::Service(service, json!({"silent": false}));
    vec![
        step(at, Action::Service(service, fault)),
        step(at + 1500, back),
    ]
}

/// A node is killed and started again.
pub(super) fn node_crash(rng: &mut StdRng, at: u64) -> Vec<Step> {
    let node = rng.random_range(0..NODES);
    vec![
        step(at, Action::KillNode(node)),
        step(at + rng.random_range(100..1500), Action::RestartNode(node)),
    ]
}

/// A pause past the lease and past the cut-off; a key is withdrawn meanwhile.
pub(super) fn node_pause(rng: &mut StdRng, at: u64, pause: u64) -> Vec<Step> {
    let node = rng.random_range(0..NODES);
    vec![
        step(at, Action::PauseNode(node)),
        step(at + 200, Action::Withdraw),
        step(at + pause, Action::ResumeNode(node)),
    ]
}

/// The platform is down, slow, or loses answers for a while.
pub(super) fn platform(rng: &mut StdRng, at: u64) -> Vec<Step> {
    let long = rng.random_range(500..3500);
    let (fault, back) = match rng.random_range(0..3) {
        0 => (json!({"outage": true}), json!({"outage": false})),
        1 => {
            let slow = rng.random_range(100..1500);
            (json!({"slow_ms": slow}), json!({"slow_ms": 0}))
        }
        _ => (
            json!({"lose_answers": rng.random_range(3..20)}),
            json!({"lose_answers": 0}),
        ),
    };
    vec![
        step(at, Action::Platform(fault)),
        step(at + long, Action::Platform(back)),
    ]
}

/// The way from one or two nodes to the platform is broken for a while.
pub(super) fn partition(rng: &mut StdRng, at: u64) -> Vec<Step> {
    let long = rng.random_range(1000..4500);
    let fault = match rng.random_range(0..4) {
        0 => RelayMode::Cut,
        1 => RelayMode::Silent,
        2 => RelayMode::Delay(rng.random_range(50..600)),
        _ => RelayMode::Pass,
    };
    let first = rng.random_range(0..NODES);
    let mut nodes = vec![first];
    if rng.random_bool(0.4) {
        nodes.push((first + 1) % NODES);
    }
    let mut steps = vec![step(at + 300, Action::Withdraw)];
    for node in nodes {
        let begin = if fault == RelayMode::Pass {
            Action::Freeze(node)
        } else {
            Action::Relay(node, fault)
        };
        steps.push(step(at, begin));
        steps.push(step(at + long, Action::Relay(node, RelayMode::Pass)));
    }
    steps
}

/// Pins engines to roles and raises the floor of the pool, while the holder of
/// the duty is paused past its lease or killed between.
pub(super) fn duties(rng: &mut StdRng) -> Vec<Step> {
    let pin = |id, rng: &mut StdRng| {
        let role = ["prefill", "decode", "mixed"][rng.random_range(0..3)];
        let engine = format!("engine-{}", rng.random_range(1..=ENGINES));
        Action::Except(id, "pin", engine, role.to_owned())
    };
    let floor =
        |id, count: u32| Action::Except(id, "floor", "assistant".to_owned(), count.to_string());
    let mut steps = vec![
        step(0, floor("floor-1", 4)),
        step(100, pin("pin-1", rng)),
        step(rng.random_range(300..5000), pin("pin-2", rng)),
        step(rng.random_range(300..5000), pin("pin-3", rng)),
        step(rng.random_range(1000..6000), floor("floor-2", 6)),
    ];
    if rng.random_bool(0.5) {
        let at = rng.random_range(200..4000);
        let lost = json!({"lose_answers": rng.random_range(2..10)});
        steps.push(step(at, Action::Platform(lost)));
    }
    // The holder is stopped shortly after something was asked for.
    let asked = steps[rng.random_range(0..steps.len())].after_ms;
    let at = asked + rng.random_range(5..400);
    let stop = match rng.random_range(0..4) {
        0 => Action::RelayHolder(RelayMode::Silent),
        1 => Action::RelayHolder(RelayMode::Cut),
        _ => Action::PauseHolder,
    };
    steps.push(step(at, stop));
    steps.push(step(at + rng.random_range(800..4000), Action::ResumeAll));
    if rng.random_bool(0.5) {
        // Orders to one engine are held up and arrive late.
        let engine = rng.random_range(0..ENGINES);
        let silent = rng.random_range(50..5000);
        let pass = silent + rng.random_range(500..5000);
        steps.push(step(silent, Action::EngineLink(engine, RelayMode::Silent)));
        steps.push(step(pass, Action::EngineLink(engine, RelayMode::Pass)));
    }
    if rng.random_bool(0.6) {
        steps.push(step(rng.random_range(6000..8500), Action::KillHolder));
    }
    steps
}

/// A fault that a run can have besides another one.
type Draw = fn(&mut StdRng, u64) -> Vec<Step>;

/// The way to a backend server is silent for a while, so that what was sent
/// arrives late, or the connections that are open turn silent for good.
pub(super) fn silent_link(rng: &mut StdRng, at: u64) -> Vec<Step> {
    let engine = rng.random_range(0..ENGINES);
    let service = rng.random_range(0..SERVICES);
    let long = rng.random_range(300..2500);
    let for_good = rng.random_bool(0.4);
    let (first, second) = if for_good {
        (Action::FreezeEngine(engine), Action::FreezeService(service))
    } else {
        (
            Action::EngineLink(engine, RelayMode::Silent),
            Action::ServiceLink(service, RelayMode::Silent),
        )
    };
    vec![
        step(at, first),
        step(at + long, Action::EngineLink(engine, RelayMode::Pass)),
        step(at + 300, second),
        step(
            at + 300 + long,
            Action::ServiceLink(service, RelayMode::Pass),
        ),
    ]
}

/// Two faults of different kinds.
pub(super) fn pair(rng: &mut StdRng, at: u64) -> Vec<Step> {
    let pause: Draw = |rng, at| {
        let time = rng.random_range(500..5500);
        node_pause(rng, at, time)
    };
    let draws: [Draw; 9] = [
        stops,
        silent_link,
        engine_crash,
        engine_fault,
        service_fault,
        node_crash,
        pause,
        platform,
        partition,
    ];
    let first = rng.random_range(0..draws.len());
    let second = (first + rng.random_range(1..draws.len())) % draws.len();
    let mut steps = draws[first](rng, at);
    steps.extend(draws[second](rng, at + 400));
    // One key is in use, and it can be withdrawn only once.
    let mut withdrawn = false;
    steps
        .retain(|step| step.action != Action::Withdraw || !std::mem::replace(&mut withdrawn, true));
    steps
}
