//! Usage windows under any schedule: whoever reports a window, and however often, the
//! platform is told one set of figures, by holders in the order of their epochs.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use pomeloridge_base::id::Name;
use pomeloridge_platform::usage::{Seal, UsageCounts, seal};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use serde_json::Value;
use support::{Fake, Loss, Node, run};

/// Seed of the schedules.
const SEED: u64 = 0x7573_6167;
/// Windows that are reported.
const WINDOWS: u64 = 3;

#[derive(Clone, Copy, Debug)]
enum Op {
    Step(usize),
    GiveUp(usize),
    Advance(u64),
    Suspend(usize, u64),
    Lose(Loss, u32),
    Deliver,
    Outage(bool),
    /// A node counts one more request; nodes never agree on the counts.
    Count(usize),
    /// A node reports a window if it holds the duty.
    Report(usize, u64),
    /// The same, while the other node takes over and reports.
    Overtake(usize, u64, u64),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let loss = prop_oneof![Just(Loss::Answer), Just(Loss::Write), Just(Loss::Late)];
    let op = prop_oneof![
        6 => (0..2usize).prop_map(Op::Step),
        1 => (0..2usize).prop_map(Op::GiveUp),
        4 => (1..90u64).prop_map(Op::Advance),
        1 => (0..2usize, 0..90u64).prop_map(|(node, by)| Op::Suspend(node, by)),
        3 => (loss, 0..2u32).prop_map(|(loss, reads)| Op::Lose(loss, reads)),
        1 => Just(Op::Deliver),
        1 => any::<bool>().prop_map(Op::Outage),
        4 => (0..2usize).prop_map(Op::Count),
        6 => (0..2usize, 0..WINDOWS).prop_map(|(node, window)| Op::Report(node, window)),
        2 => (0..2usize, 0..WINDOWS, 0..95u64)
            .prop_map(|(node, window, by)| Op::Overtake(node, window, by)),
    ];
    prop::collection::vec(op, 10..60)
}

/// Reports a window as it stands sealed, or by the node's own counts if `sealed` is false.
async fn report(node: &Node, count: u64, window: u64, sealed: bool) {
    let Some(permit) = node.keeper.authority().permit() else {
        return;
    };
    let figures = UsageCounts {
        requests: count,
        ..UsageCounts::default()
    };
    let figures = BTreeMap::from([(Name::from("anna"), figures)]);
    let own = Seal::new(window.to_string(), &figures, Value::Null).unwrap();
    let stands = if sealed {
        match seal(&node.client, &permit, own).await {
            Ok(stands) => stands,
            // Nothing may be reported before it is known what stands.
            Err(_) => return,
        }
    } else {
        own
    };
    // A report without an answer is repeated by a later one.
    let _ = node.client.report_usage(&stands, &permit).await;
}

fn schedule(ops: &[Op], sealed: bool) -> Result<(), TestCaseError> {
    run(async |fake, address| {
        let mut nodes = ["a", "b"].map(|name| Node::new(&fake, address, name));
        let mut counts = [1, 100];
        for op in ops {
            apply(op, &fake, &mut nodes, &mut counts, sealed).await;
        }
        let mut told: BTreeMap<String, Value> = BTreeMap::new();
        let mut newest = 0;
        for (_, body) in fake.posts.borrow().iter() {
            let window = body["window"].to_string();
            let first = told.entry(window).or_insert(body["accounts"].clone());
            prop_assert!(*first == body["accounts"], "two figures: {body}");
            let fence = body["fence"].as_u64().unwrap();
            prop_assert!(fence >= newest, "the fence fell: {body}");
            newest = fence;
        }
        Ok(())
    })
}

async fn apply(op: &Op, fake: &Fake, nodes: &mut [Node; 2], counts: &mut [u64; 2], sealed: bool) {
    let secs = Duration::from_secs;
    match *op {
        Op::Step(node) => nodes[node].keeper.step().await,
        Op::GiveUp(node) => nodes[node].keeper.release().await,
        Op::Advance(by) => fake.advance(secs(by)),
        Op::Suspend(node, by) => nodes[node].clock.suspend(secs(by)),
        Op::Lose(loss, reads) => {
            fake.loss.set(Some(loss));
            fake.lose_reads.set(reads);
        }
        Op::Deliver => fake.deliver(),
        Op::Outage(outage) => fake.outage.set(outage),
        Op::Count(node) => counts[node] += 1,
        Op::Report(node, window) => report(&nodes[node], counts[node], window, sealed).await,
        Op::Overtake(node, window, by) => {
            let [a, b] = nodes;
            let (held, other) = if node == 0 { (a, b) } else { (b, a) };
            let meanwhile = async {
                other.keeper.step().await;
                fake.advance(secs(by));
                other.keeper.step().await;
                report(other, counts[1 - node], window, sealed).await;
            };
            let reporting = report(held, counts[node], window, sealed);
            fake.overtake(reporting, meanwhile).await;
        }
    }
}

fn schedules(sealed: bool) -> Result<(), String> {
    println!("seed {SEED:#x}");
    let config = Config {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    TestRunner::new(config)
        .run(&ops(), |ops| schedule(&ops, sealed))
        .map_err(|error| error.to_string())
}

#[test]
fn a_window_is_told_with_one_set_of_figures_on_any_schedule() {
    schedules(true).unwrap();
}

#[test]
fn schedules_find_two_sets_of_figures_where_nothing_is_sealed() {
    let error = schedules(false).unwrap_err();
    assert!(error.contains("two figures"), "{error}");
}
