//! Tests of the active configuration under any order of reads: stale reads of the object service,
//! late and repeated messages of peers, and restarts.

use std::collections::HashMap;
use std::time::Duration;

use pomeloridge_base::id::Revision;
use pomeloridge_gateway::{ActiveConfig, AdoptOutcome, RequestLimits, ServingConfig};
use pomeloridge_platform::Object;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use serde_json::Value;

/// Seed of the random schedules.
const SEED: u64 = 0x636f_6e66;
const NODES: usize = 3;

fn config(version: u64) -> ServingConfig {
    ServingConfig {
        version,
        routes: Vec::new(),
        services: HashMap::new(),
        limits: RequestLimits {
            max_head_bytes: 1,
            max_body_bytes: 1,
            head_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        accounts: None,
    }
}

fn object(version: u64) -> Object {
    Object {
        key: "config/main".to_owned(),
        version: Revision(version),
        value: Value::Null,
    }
}

#[test]
fn version_is_adopted_only_if_newer() {
    let mut active = ActiveConfig::default();
    assert!(active.config().is_none());
    let mut adopt = |version| active.adopt(config(version), object(version));
    assert_eq!(adopt(5), AdoptOutcome::Adopted(None));
    assert_eq!(adopt(5), AdoptOutcome::NotNewer);
    assert_eq!(adopt(3), AdoptOutcome::NotNewer);
    assert_eq!(adopt(9), AdoptOutcome::Adopted(Some(5)));
    assert_eq!(active.config().unwrap().version, 9);
}

#[derive(Clone, Copy, Debug)]
enum Op {
    /// An operator writes a version that is higher by this number.
    Write(u64),
    /// A node reads the object service as it was this number of writes ago.
    Read(usize, usize),
    /// A node sends its version to a peer; the message arrives at any time, possibly repeatedly.
    Send(usize),
    /// One of the messages in flight arrives at a node, and stays in flight.
    Receive(usize, usize),
    Restart(usize),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let node = 0..NODES;
    let op = prop_oneof![
        2 => (1..5u64).prop_map(Op::Write),
        3 => (node.clone(), 0..4usize).prop_map(|(node, lag)| Op::Read(node, lag)),
        3 => node.clone().prop_map(Op::Send),
        4 => (node.clone(), any::<usize>()).prop_map(|(node, message)| Op::Receive(node, message)),
        1 => node.prop_map(Op::Restart),
    ];
    prop::collection::vec(op, 10..80)
}

/// A node's rule for accepting a version.
trait VersionHolder: Default {
    fn receive(&mut self, version: u64);
    fn version(&self) -> Option<u64>;
}

impl VersionHolder for ActiveConfig {
    fn receive(&mut self, version: u64) {
        self.adopt(config(version), object(version));
    }

    fn version(&self) -> Option<u64> {
        self.config().map(|config| config.version)
    }
}

/// Accepts whatever it reads last.
#[derive(Default)]
struct LastRead(Option<u64>);

impl VersionHolder for LastRead {
    fn receive(&mut self, version: u64) {
        self.0 = Some(version);
    }

    fn version(&self) -> Option<u64> {
        self.0
    }
}

fn run_schedule<H: VersionHolder>(ops: &[Op]) -> Result<(), TestCaseError> {
    let mut written = vec![1];
    let mut messages = Vec::new();
    let mut nodes: [H; NODES] = Default::default();
    for op in ops {
        let before = nodes.each_ref().map(VersionHolder::version);
        let mut restarted = None;
        match *op {
            Op::Write(step) => written.push(written[written.len() - 1] + step),
            Op::Read(node, lag) => {
                let at = written.len().saturating_sub(1 + lag);
                nodes[node].receive(written[at]);
            }
            Op::Send(node) => messages.extend(nodes[node].version()),
            Op::Receive(node, message) if !messages.is_empty() => {
                nodes[node].receive(messages[message % messages.len()]);
            }
            Op::Receive(..) => {}
            Op::Restart(node) => {
                nodes[node] = H::default();
                restarted = Some(node);
            }
        }
        for (node, holder) in nodes.iter().enumerate() {
            let decreased = holder.version() < before[node] && restarted != Some(node);
            prop_assert!(!decreased, "the version decreased after {op:?}");
        }
    }
    let newest = written[written.len() - 1];
    for node in &mut nodes {
        node.receive(newest);
        prop_assert_eq!(node.version(), Some(newest));
    }
    Ok(())
}

fn run_schedules<H: VersionHolder>() -> Result<(), String> {
    println!("seed {SEED:#x}");
    let config = Config {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    TestRunner::new(config)
        .run(&ops(), |ops| run_schedule::<H>(&ops))
        .map_err(|error| error.to_string())
}

#[test]
fn version_never_decreases_between_restarts() {
    run_schedules::<ActiveConfig>().unwrap();
}

#[test]
fn schedules_detect_a_decrease_if_the_last_read_wins() {
    let error = run_schedules::<LastRead>().unwrap_err();
    assert!(error.contains("the version decreased"), "{error}");
}
