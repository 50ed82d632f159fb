//! On any schedule, every report of a window has the same counts, whichever node sends it and
//! however often, and fencing tokens never decrease, even if the platform is restored from an
//! older copy.

mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use pomeloridge_base::id::Name;
use pomeloridge_platform::PlatformError;
use pomeloridge_platform::usage::{Seal, UsageCounts, find_seal, seal};
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
    /// The platform copies its objects.
    Copy,
    /// The platform is restored from the last copy.
    Restore,
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    prop::collection::vec(op(), 10..60)
}

fn ops_with_restores() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![20 => op(), 1 => Just(Op::Copy), 2 => Just(Op::Restore)];
    prop::collection::vec(op, 10..60)
}

fn op() -> impl Strategy<Value = Op> {
    let loss = prop_oneof![Just(Loss::Response), Just(Loss::Write), Just(Loss::Late)];
    prop_oneof![
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
    ]
}

/// Whether a node reports sealed counts, and how it deals with seals that may be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// It reports its own counts.
    Unsealed,
    /// It seals its own counts.
    Sealed,
    /// It seals the counts that it has sealed before. After a restore it reports other windows
    /// only if they have been sealed since.
    Restored,
}

/// A node with the seals that it has confirmed.
struct Reporter {
    node: Node,
    seals: RefCell<BTreeMap<u64, Seal>>,
}

impl Reporter {
    fn new(node: Node) -> Self {
        let seals = RefCell::default();
        Self { node, seals }
    }

    async fn seal(&self, own: Seal, window: u64, mode: Mode) -> Result<Seal, PlatformError> {
        let client = &self.node.client;
        let permit = self.node.lease.authority().permit();
        let permit = permit.ok_or(PlatformError::Lapsed)?;
        let known = self.seals.borrow().get(&window).cloned();
        let sealed = match (mode, known) {
            (Mode::Unsealed, _) => own,
            (Mode::Restored, Some(known)) => seal(client, &permit, known).await?,
            (Mode::Restored, None) if client.lost_before().is_some() => {
                find_seal(client, &permit, &window.to_string()).await?
            }
            (Mode::Sealed | Mode::Restored, _) => seal(client, &permit, own).await?,
        };
        self.seals.borrow_mut().insert(window, sealed.clone());
        Ok(sealed)
    }
}

/// Reports a window.
async fn report(reporter: &Reporter, count: u64, window: u64, mode: Mode) {
    let Some(permit) = reporter.node.lease.authority().permit() else {
        return;
    };
    let counts = UsageCounts {
        requests: count,
        ..UsageCounts::default()
    };
    let counts = BTreeMap::from([(Name::from("anna"), counts)]);
    let own = Seal::new(window.to_string(), &counts, Value::Null).unwrap();
    // Nothing may be reported before the seal in force is known.
    if let Ok(reported) = reporter.seal(own, window, mode).await {
        // A later operation repeats a report that fails.
        let _ = reporter.node.client.report_usage(&reported, &permit).await;
    }
}

/// Runs a schedule on a platform whose first era is `era`; 0 for one without eras.
fn schedule(ops: &[Op], mode: Mode, era: u64) -> Result<(), TestCaseError> {
    run(async |fake, address| {
        fake.era.set(era);
        let node = |name| match era {
            0 => Node::new(&fake, address, name),
            _ => Node::eager(&fake, address, name, 1),
        };
        let mut nodes = ["a", "b"].map(|name| Reporter::new(node(name)));
        let mut counts = [1, 100];
        let mut copy = fake.copy();
        for op in ops {
            match op {
                Op::Copy => copy = fake.copy(),
                Op::Restore => fake.restore(&copy),
                op => apply(op, &fake, &mut nodes, &mut counts, mode).await,
            }
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

async fn apply(op: &Op, fake: &Fake, nodes: &mut [Reporter; 2], counts: &mut [u64; 2], mode: Mode) {
    let secs = Duration::from_secs;
    match *op {
        Op::Step(node) => nodes[node].node.lease.step().await,
        Op::Release(node) => nodes[node].node.lease.release().await,
        Op::Advance(by) => fake.advance(secs(by)),
        Op::Suspend(node, by) => nodes[node].node.clock.suspend(secs(by)),
        Op::Lose(loss, reads) => {
            fake.loss.set(Some(loss));
            fake.lose_reads.set(reads);
        }
        Op::Deliver => fake.deliver(),
        Op::Outage(outage) => fake.outage.set(outage),
        Op::Count(node) => counts[node] += 1,
        Op::Report(node, window) => report(&nodes[node], counts[node], window, mode).await,
        Op::Overtake(node, window, by) => {
            let [a, b] = nodes;
            let (held, other) = if node == 0 { (a, b) } else { (b, a) };
            let meanwhile = async {
                other.node.lease.step().await;
                fake.advance(secs(by));
                other.node.lease.step().await;
                report(other, counts[1 - node], window, mode).await;
            };
            let reporting = report(held, counts[node], window, mode);
            fake.overtake(reporting, meanwhile).await;
        }
        Op::Copy | Op::Restore => {}
    }
}

fn schedules(mode: Mode) -> Result<(), String> {
    runner(200)
        .run(&ops(), |ops| schedule(&ops, mode, 0))
        .map_err(|error| error.to_string())
}

fn schedules_with_restores(mode: Mode) -> Result<(), String> {
    runner(1000)
        .run(&ops_with_restores(), |ops| schedule(&ops, mode, 1))
        .map_err(|error| error.to_string())
}

fn runner(cases: u32) -> TestRunner {
    println!("seed {SEED:#x}");
    TestRunner::new(Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })
}

#[test]
fn no_schedule_reports_a_window_with_different_counts() {
    schedules(Mode::Sealed).unwrap();
}

#[test]
fn schedules_find_different_counts_if_windows_are_not_sealed() {
    let error = schedules(Mode::Unsealed).unwrap_err();
    assert!(error.contains("different counts"), "{error}");
}

/// Guards against a second report of a window with other counts, as the platform has lost the
/// seal that was reported.
#[test]
fn no_schedule_with_restores_reports_a_window_with_different_counts() {
    schedules_with_restores(Mode::Restored).unwrap();
}

#[test]
fn schedules_with_restores_find_different_counts_if_lost_seals_are_replaced() {
    let error = schedules_with_restores(Mode::Sealed).unwrap_err();
    assert!(error.contains("different counts"), "{error}");
}
