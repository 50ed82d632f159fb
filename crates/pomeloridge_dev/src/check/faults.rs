//! Faults drawn from a seed; times are in ms after the callers' start.

use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::json;

use super::scenario::{Action, ENGINES, NODES, SERVICES, Step};
use crate::launch::RelayMode;

/// Returns a step.
pub(super) fn step(after_ms: u64, action: Action) -> Step {
    Step { after_ms, action }
}

/// Stops and replaces one node, two at once, or all in turn.
pub(super) fn stop_nodes(rng: &mut StdRng, at: u64) -> Vec<Step> {
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

/// Marks an engine as leaving, in one of three ways.
pub(super) fn mark_leaving(rng: &mut StdRng) -> Action {
    let engine = rng.random_range(0..ENGINES);
    match rng.random_range(0..3) {
        0 => Action::ListLeaving(engine),
        1 => Action::SayLeaving(engine),
        _ => Action::Drain(engine),
    }
}

/// Kills an engine, or lets it crash after some tokens, and restarts it.
pub(super) fn crash_engine(rng: &mut StdRng, at: u64) -> Vec<Step> {
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

/// Makes an engine send broken responses, or none, for a while.
pub(super) fn break_engine(rng: &mut StdRng, at: u64) -> Vec<Step> {
    let engine = rng.random_range(0..ENGINES);
    let count = rng.random_range(2..8);
    if rng.random_range(0..5) == 0 {
        let duration = rng.random_range(300..2500);
        return vec![
            step(at, Action::PauseEngine(engine)),
            step(at + duration, Action::ResumeEngine(engine)),
        ];
    }
    let fault = match rng.random_range(0..4) {
        0 => json!({"truncate": count}),
        1 => json!({"cross": count}),
        2 => json!({"refuse": count * 5}),
        _ => json!({"silent": true}),
    };
    let restore = Action::Engine(engine, json!({"silent": false}));
    vec![
        step(at, Action::Engine(engine, fault)),
        step(at + 2000, restore),
    ]
}

/// Makes a service send broken responses, or none, for a while, or kills and restarts it.
pub(super) fn break_service(rng: &mut StdRng, at: u64) -> Vec<Step> {
    let service = rng.random_range(0..SERVICES);
    let count = rng.random_range(2..8);
    if rng.random_range(0..5) == 0 {
        return vec![
            step(at, Action::KillService(service)),
            step(at + 1500, Action::RestartService(service)),
        ];
    }
    if rng.random_range(0..5) == 0 {
        let duration = rng.random_range(300..2500);
        return vec![
            step(at, Action::PauseService(service)),
            step(at + duration, Action::ResumeService(service)),
        ];
    }
    let fault = match rng.random_range(0..4) {
        0 => json!({"cut_after_run": count}),
        1 => json!({"cross": count}),
        2 => json!({"refuse": count}),
        _ => json!({"silent": true}),
    };
    let restore = Action::Service(service, json!({"silent": false}));
    vec![
        step(at, Action::Service(service, fault)),
        step(at + 1500, restore),
    ]
}

/// Kills and restarts a node.
pub(super) fn crash_node(rng: &mut StdRng, at: u64) -> Vec<Step> {
    let node = rng.random_range(0..NODES);
    vec![
        step(at, Action::KillNode(node)),
        step(at + rng.random_range(100..1500), Action::RestartNode(node)),
    ]
}

/// Pauses a node and withdraws a key meanwhile; a long pause outlasts the lease and the
/// cut-off.
pub(super) fn pause_node(rng: &mut StdRng, at: u64, pause: u64) -> Vec<Step> {
    let node = rng.random_range(0..NODES);
    vec![
        step(at, Action::PauseNode(node)),
        step(at + 200, Action::Withdraw),
        step(at + pause, Action::ResumeNode(node)),
    ]
}

/// Makes the platform fail, respond slowly, or lose responses for a while.
pub(super) fn break_platform(rng: &mut StdRng, at: u64) -> Vec<Step> {
    let duration = rng.random_range(500..3500);
    let (fault, restore) = match rng.random_range(0..3) {
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
        step(at + duration, Action::Platform(restore)),
    ]
}

/// Breaks the link between one or two nodes and the platform for a while, and withdraws a
/// key meanwhile.
pub(super) fn partition_nodes(rng: &mut StdRng, at: u64) -> Vec<Step> {
    let duration = rng.random_range(1000..4500);
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
        steps.push(step(at + duration, Action::Relay(node, RelayMode::Pass)));
    }
    steps
}

/// Pins engines to roles and raises the pool's floor, while the lease holder is paused past
/// its lease, cut off or killed.
pub(super) fn disturb_duties(rng: &mut StdRng) -> Vec<Step> {
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
    // The holder is stopped shortly after an order was requested.
    let requested_at = steps[rng.random_range(0..steps.len())].after_ms;
    let at = requested_at + rng.random_range(5..400);
    let stop = match rng.random_range(0..4) {
        0 => Action::RelayHolder(RelayMode::Silent),
        1 => Action::RelayHolder(RelayMode::Cut),
        _ => Action::PauseHolder,
    };
    steps.push(step(at, stop));
    steps.push(step(at + rng.random_range(800..4000), Action::ResumeAll));
    if rng.random_bool(0.5) {
        // Orders to one engine are delayed.
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

/// Draws the steps of a fault that starts at a time in ms.
type DrawFault = fn(&mut StdRng, u64) -> Vec<Step>;

/// Silences the links to an engine and a service for a while, which delays messages, or
/// their open connections for good.
pub(super) fn silence_links(rng: &mut StdRng, at: u64) -> Vec<Step> {
    let engine = rng.random_range(0..ENGINES);
    let service = rng.random_range(0..SERVICES);
    let duration = rng.random_range(300..2500);
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
        step(at + duration, Action::EngineLink(engine, RelayMode::Pass)),
        step(at + 300, second),
        step(
            at + 300 + duration,
            Action::ServiceLink(service, RelayMode::Pass),
        ),
    ]
}

/// Draws two faults of different kinds.
pub(super) fn draw_pair(rng: &mut StdRng, at: u64) -> Vec<Step> {
    let pause: DrawFault = |rng, at| {
        let duration = rng.random_range(500..5500);
        pause_node(rng, at, duration)
    };
    let draws: [DrawFault; 9] = [
        stop_nodes,
        silence_links,
        crash_engine,
        break_engine,
        break_service,
        crash_node,
        pause,
        break_platform,
        partition_nodes,
    ];
    let first = rng.random_range(0..draws.len());
    let second = (first + rng.random_range(1..draws.len())) % draws.len();
    let mut steps = draws[first](rng, at);
    steps.extend(draws[second](rng, at + 400));
    // There is one key to withdraw, which works only once.
    let mut withdrawn = false;
    steps
        .retain(|step| step.action != Action::Withdraw || !std::mem::replace(&mut withdrawn, true));
    steps
}
