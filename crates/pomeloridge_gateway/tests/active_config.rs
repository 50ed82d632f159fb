//! The configuration in force under any order of reads: stale ones of the object service,
//! late and repeated ones of peers, and restarts.

use std::collections::HashMap;
use std::time::Duration;

use pomeloridge_base::id::Revision;
use pomeloridge_gateway::{ActiveConfig, AdoptOutcome, RequestLimits, ServingConfig};
use pomeloridge_platform::Object;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use serde_json::Value;

/// Seed of the schedules.
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
fn a_version_is_adopted_once_and_only_if_it_is_newer() {
    let mut register = ActiveConfig::default();
    assert!(register.config().is_none());
    let mut adopt = |version| register.adopt(config(version), object(version));
    assert_eq!(adopt(5), AdoptOutcome::Adopted(None));
    assert_eq!(adopt(5), AdoptOutcome::NotNewer);
    assert_eq!(adopt(3), AdoptOutcome::NotNewer);
    assert_eq!(adopt(9), AdoptOutcome::Adopted(Some(5)));
    assert_eq!(register.config().unwrap().version, 9);
}

#[derive(Clone, Copy, Debug)]
enum Op {
    /// An operator writes a version that is higher by so much.
    Write(u64),
    /// A node reads the object service, as it was so many writes ago.
    Read(usize, usize),
    /// A node hands what it has to a peer; it arrives some time, or several times.
    Tell(usize),
    /// One of the words under way arrives at a node, and stays under way.
    Hear(usize, usize),
    Restart(usize),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let node = 0..NODES;
    let op = prop_oneof![
        2 => (1..5u64).prop_map(Op::Write),
        3 => (node.clone(), 0..4usize).prop_map(|(node, lag)| Op::Read(node, lag)),
        3 => node.clone().prop_map(Op::Tell),
        4 => (node.clone(), any::<usize>()).prop_map(|(node, word)| Op::Hear(node, word)),
        1 => node.prop_map(Op::Restart),
    ];
    prop::collection::vec(op, 10..80)
}

/// A node's way to take a version.
trait Taking: Default {
    fn take(&mut self, version: u64);
    fn version(&self) -> Option<u64>;
}

impl Taking for ActiveConfig {
    fn take(&mut self, version: u64) {
        self.adopt(config(version), object(version));
    }

    fn version(&self) -> Option<u64> {
        self.config().map(|config| config.version)
    }
}

/// Takes whatever it reads last.
#[derive(Default)]
struct LastRead(Option<u64>);

impl Taking for LastRead {
    fn take(&mut self, version: u64) {
        self.0 = Some(version);
    }

    fn version(&self) -> Option<u64> {
        self.0
    }
}

fn schedule<T: Taking>(ops: &[Op]) -> Result<(), TestCaseError> {
    let mut written = vec![1];
    let mut words = Vec::new();
    let mut nodes: [T; NODES] = Default::default();
    for op in ops {
        let before = nodes.each_ref().map(Taking::version);
        let mut restarted = None;
        match *op {
            Op::Write(step) => written.push(written[written.len() - 1] + step),
            Op::Read(node, lag) => {
                let at = written.len().saturating_sub(1 + lag);
                nodes[node].take(written[at]);
            }
            Op::Tell(node) => words.extend(nodes[node].version()),
            Op::Hear(node, word) if !words.is_empty() => {
                nodes[node].take(words[word % words.len()]);
            }
            Op::Hear(..) => {}
            Op::Restart(node) => {
                nodes[node] = T::default();
                restarted = Some(node);
            }
        }
        for (node, taking) in nodes.iter().enumerate() {
            let fell = taking.version() < before[node] && restarted != Some(node);
            prop_assert!(!fell, "the version fell after {op:?}");
        }
    }
    let newest = written[written.len() - 1];
    for node in &mut nodes {
        node.take(newest);
        prop_assert_eq!(node.version(), Some(newest));
    }
    Ok(())
}

fn schedules<T: Taking>() -> Result<(), String> {
    println!("seed {SEED:#x}");
    let config = Config {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    TestRunner::new(config)
        .run(&ops(), |ops| schedule::<T>(&ops))
        .map_err(|error| error.to_string())
}

#[test]
fn a_version_never_falls_in_one_life_on_any_schedule() {
    schedules::<ActiveConfig>().unwrap();
}

#[test]
fn schedules_find_a_version_that_falls_where_the_last_read_wins() {
    let error = schedules::<LastRead>().unwrap_err();
    assert!(error.contains("the version fell"), "{error}");
}
