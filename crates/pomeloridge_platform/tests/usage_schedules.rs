//! On any schedule, every report of a window has the same counts, whichever node sends it and
//! however often, and fencing tokens never decrease.

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
    Release(usize),
    Advance(u64),
    Suspend(usize, u64),
    Lose(Loss, u32),
    Deliver,
    Outage(bool),
    /// A node counts one more request; the nodes' counts always differ.
    Count(usize),
    /// A node reports a window if it holds the lease.
    Report(usize, u64),
    /// A node reports a window while the other node takes over and reports it too.
    Overtake(usize, u64, u64),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let loss = prop_oneof![Just(Loss::Response), Just(Loss::Write), Just(Loss::Late)];
    let op = prop_oneof![
        6 => (0..2usize).prop_map(Op::Step),
        1 => (0..2usize).prop_map(Op::Release),
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

/// Reports a window as sealed, or with the node's own counts if `sealed` is false.
async fn report(node: &Node, count: u64, window: u64, sealed: bool) {
    let Some(permit) = node.lease.authority().permit() else {
        return;
    };
    let counts = UsageCounts {
        requests: count,
        ..UsageCounts::default()
    };
    let counts = BTreeMap::from([(Name::from("anna"), counts)]);
    let own = Seal::new(window.to_string(), &counts, Value::Null).unwrap();
    let reported = if sealed {
        match seal(&node.client, &permit, own).await {
            Ok(seal) => seal,
            // Nothing may be reported before the seal in force is known.
            Err(_) => return,
        }
    } else {
        own
    };
    // A later operation repeats a report that fails.
    let _ = node.client.report_usage(&reported, &permit).await;
}

fn schedule(ops: &[Op], sealed: bool) -> Result<(), TestCaseError> {
    run(async |fake, address| {
        let mut nodes = ["a", "b"].map(|name| Node::new(&fake, address, name));
        let mut counts = [1, 100];
        for op in ops {
            apply(op, &fake, &mut nodes, &mut counts, sealed).await;
        }
        let mut reported: BTreeMap<String, Value> = BTreeMap::new();
        let mut highest_fence = 0;
        for (_, body) in fake.posts.borrow().iter() {
            let window = body["window"].to_string();
            let first = reported.entry(window).or_insert(body["accounts"].clone());
            prop_assert!(*first == body["accounts"], "different counts: {body}");
            let fence = body["fence"].as_u64().unwrap();
            prop_assert!(fence >= highest_fence, "the fence decreased: {body}");
            highest_fence = fence;
        }
        Ok(())
    })
}

async fn apply(op: &Op, fake: &Fake, nodes: &mut [Node; 2], counts: &mut [u64; 2], sealed: bool) {
    let secs = Duration::from_secs;
    match *op {
        Op::Step(node) => nodes[node].lease.step().await,
        Op::Release(node) => nodes[node].lease.release().await,
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
                other.lease.step().await;
                fake.advance(secs(by));
                other.lease.step().await;
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
fn no_schedule_reports_a_window_with_different_counts() {
    schedules(true).unwrap();
}

#[test]
fn schedules_find_different_counts_if_windows_are_not_sealed() {
    let error = schedules(false).unwrap_err();
    assert!(error.contains("different counts"), "{error}");
}
