//! Histories of holders that crash, repeat themselves and come late, checked as a whole.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pomeloridge_duties::usage::{
    BatchInventory, BatchPage, Included, Ledger, PendingBatches, Retention, StoredRange,
    UsageSource, WindowDraft, draft_window, gather, window_id,
};
use pomeloridge_platform::usage::Seal;
use proptest::prelude::*;
use serde_json::Value;

use crate::support::{batch, block_on, config, line, start};

const NODES: usize = 3;
const HOLDERS: usize = 2;
const RETENTION: Retention = Retention {
    windows: 1000,
    time: std::time::Duration::ZERO,
};

/// What goes on in a history; nodes and holders are taken modulo their number.
#[derive(Clone, Debug)]
enum Step {
    /// A node serves requests and has the batch kept by the peers in a bit mask.
    Serve(usize, Vec<u8>, u8),
    /// A node dies; a copy of each of its batches is elsewhere.
    Restart(usize),
    /// A node can't be asked, or can be again.
    Cut(usize, bool),
    /// A holder gathers.
    Gather(usize),
    /// A holder drafts and seals.
    Seal(usize, Fate),
    /// A write that was late takes effect now.
    Deliver,
    /// A holder reports its oldest window; the answer may be lost.
    Report(usize, bool),
    /// A holder lets the nodes drop what is sealed.
    Drop(usize),
    /// A new holder begins from what the service has.
    Begin(usize),
}

/// What becomes of the write of a seal.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    /// It takes effect; the holder hears nothing.
    Unheard,
    /// It takes effect later, if at all.
    Late,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let fate = prop_oneof![
        3 => Just(Fate::Answered),
        1 => Just(Fate::Unheard),
        1 => Just(Fate::Late),
    ];
    let requests = prop::collection::vec(0_u8..40, 1..4);
    let step = prop_oneof![
        5 => (0..NODES, requests, 1_u8..8).prop_map(|(n, r, c)| Step::Serve(n, r, c)),
        1 => (0..NODES).prop_map(Step::Restart),
        1 => (0..NODES, any::<bool>()).prop_map(|(n, cut)| Step::Cut(n, cut)),
        4 => (0..HOLDERS).prop_map(Step::Gather),
        4 => (0..HOLDERS, fate).prop_map(|(h, f)| Step::Seal(h, f)),
        1 => Just(Step::Deliver),
        2 => (0..HOLDERS, any::<bool>()).prop_map(|(h, lost)| Step::Report(h, lost)),
        1 => (0..HOLDERS).prop_map(Step::Drop),
        2 => (0..HOLDERS).prop_map(Step::Begin),
    ];
    prop::collection::vec(step, 1..60)
}

#[derive(Default)]
struct Node {
    incarnation: u64,
    number: u64,
    kept: BTreeMap<(UsageSource, u64), pomeloridge_duties::usage::Batch>,
    cut: bool,
}

struct Holder {
    ledger: Ledger,
    pending: PendingBatches,
    seen: BatchInventory,
    unreported: VecDeque<Seal>,
}

/// Whether a new holder reads what the sealed windows have counted.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mechanism {
    On,
    Off,
}

struct World {
    mechanism: Mechanism,
    nodes: Vec<Node>,
    served: BTreeSet<u8>,
    sealed: BTreeMap<u64, Seal>,
    late: Vec<(u64, Seal)>,
    reports: Vec<(String, Value)>,
    holders: Vec<Holder>,
}

/// Each request has one account and one set of figures, wherever it is served.
fn figures(request: u8) -> (String, u64, u64) {
    let n = u64::from(request);
    (format!("account-{}", request % 5), 1 + n, 100 + 7 * n)
}

impl World {
    fn new(mechanism: Mechanism) -> Self {
        let mut world = Self {
            mechanism,
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            served: BTreeSet::new(),
            sealed: BTreeMap::new(),
            late: Vec::new(),
            reports: Vec::new(),
            holders: Vec::new(),
        };
        world.holders = (0..HOLDERS).map(|_| world.begin()).collect();
        world
    }

    fn begin(&self) -> Holder {
        let mut ledger = Ledger::new(RETENTION);
        for (window, seal) in &self.sealed {
            let included = match self.mechanism {
                Mechanism::On => Included::from_value(&seal.included).unwrap(),
                Mechanism::Off => Included::default(),
            };
            ledger.apply(*window, included);
        }
        Holder {
            ledger,
            pending: PendingBatches::default(),
            seen: BatchInventory::default(),
            unreported: self.sealed.values().cloned().collect(),
        }
    }

    async fn step(&mut self, step: Step) {
        match step {
            Step::Serve(node, requests, copies) => self.serve(node, &requests, copies),
            Step::Restart(node) => self.restart(node),
            Step::Cut(node, cut) => self.nodes[node].cut = cut,
            Step::Gather(holder) => self.gather(holder).await,
            Step::Seal(holder, fate) => {
                self.seal(holder, fate);
            }
            Step::Deliver => {
                if let Some((window, seal)) = self.late.pop() {
                    self.sealed.entry(window).or_insert(seal);
                }
            }
            Step::Report(holder, lost) => self.report(holder, lost),
            Step::Drop(holder) => self.drop_sealed(holder),
            Step::Begin(holder) => self.holders[holder] = self.begin(),
        }
    }

    fn serve(&mut self, node: usize, requests: &[u8], copies: u8) {
        let server = &mut self.nodes[node];
        server.number += 1;
        let vm = start(&format!("vm-{node}"), server.incarnation);
        let lines = requests.iter().map(|request| {
            let (account, prompt, output) = figures(*request);
            line(&format!("r-{request}"), &account, prompt, output)
        });
        let made = batch(&vm, server.number, lines.collect());
        for (peer, keeper) in self.nodes.iter_mut().enumerate() {
            if peer == node || copies & (1 << peer) != 0 {
                keeper.kept.insert((vm.clone(), made.number), made.clone());
            }
        }
        self.served.extend(requests);
    }

    /// A node starts anew, and what only it kept goes to a peer before.
    fn restart(&mut self, node: usize) {
        let kept = std::mem::take(&mut self.nodes[node].kept);
        let peer = (node + 1) % NODES;
        for (key, made) in kept {
            if !self.nodes.iter().any(|node| node.kept.contains_key(&key)) {
                self.nodes[peer].kept.insert(key, made);
            }
        }
        self.nodes[node].incarnation += 1;
        self.nodes[node].number = 0;
    }

    fn holdings(&self) -> BatchInventory {
        let mut spans = BTreeMap::<(usize, &UsageSource), (u64, u64)>::new();
        let reached = self.nodes.iter().enumerate().filter(|(_, node)| !node.cut);
        for (keeper, node) in reached {
            for (start, number) in node.kept.keys() {
                let span = spans.entry((keeper, start)).or_insert((*number, *number));
                *span = (span.0.min(*number), span.1.max(*number));
            }
        }
        let holding =
            |((keeper, start), (first, last)): ((usize, &UsageSource), (u64, u64))| StoredRange {
                stored_on: format!("vm-{keeper}").into(),
                source: start.clone(),
                first,
                last,
            };
        BatchInventory {
            ranges: spans.into_iter().map(holding).collect(),
            complete: self.nodes.iter().all(|node| !node.cut),
        }
    }

    async fn gather(&mut self, holder: usize) {
        let gathered = self.holdings();
        let nodes = &self.nodes;
        let fetch = async |holding: &StoredRange, from: u64| {
            let keeper: usize = holding.stored_on.as_str()[3..].parse().unwrap();
            let range = (holding.source.clone(), from)..=(holding.source.clone(), u64::MAX);
            let mut found: Vec<_> = nodes[keeper].kept.range(range).collect();
            let more = found.len() > 2;
            found.truncate(2);
            let batches = found.into_iter().map(|(_, made)| made.clone()).collect();
            Some(BatchPage {
                batches,
                has_more: more,
            })
        };
        let holder = &mut self.holders[holder];
        gather(&holder.ledger, &mut holder.pending, &gathered, fetch).await;
        holder.seen = gathered;
    }

    /// Gives false if there was nothing to seal.
    fn seal(&mut self, holder: usize, fate: Fate) -> bool {
        let holder = &mut self.holders[holder];
        let draft = draft_window(&holder.ledger, &holder.pending, &BTreeMap::new(), 1000, 0);
        let Some(WindowDraft { window, .. }) = draft else {
            return false;
        };
        let seal = draft.unwrap().seal().unwrap();
        match fate {
            Fate::Late => self.late.push((window, seal)),
            Fate::Unheard => {
                self.sealed.entry(window).or_insert(seal);
            }
            Fate::Answered => {
                let stands = self.sealed.entry(window).or_insert(seal).clone();
                let included = Included::from_value(&stands.included).unwrap();
                holder.ledger.apply(window, included);
                holder.pending.remove_counted(&holder.ledger);
                holder.unreported.push_back(stands);
            }
        }
        true
    }

    fn report(&mut self, holder: usize, lost: bool) {
        let unreported = &mut self.holders[holder].unreported;
        let Some(seal) = unreported.front().cloned() else {
            return;
        };
        if !lost {
            unreported.pop_front();
        }
        self.reports.push((seal.window, seal.accounts));
    }

    fn drop_sealed(&mut self, holder: usize) {
        let ledger = &self.holders[holder].ledger;
        for node in self.nodes.iter_mut().filter(|node| !node.cut) {
            node.kept
                .retain(|(start, number), _| *number > ledger.prefix(start));
        }
    }

    /// Every node is reached again, and a last holder seals and reports what is left.
    async fn finish(&mut self) {
        for node in &mut self.nodes {
            node.cut = false;
        }
        self.holders[0] = self.begin();
        self.gather(0).await;
        while self.seal(0, Fate::Answered) {}
        while !self.holders[0].unreported.is_empty() {
            self.report(0, false);
        }
    }

    fn check(&self) -> Result<(), String> {
        check_reports(&self.reports)?;
        let mut counted = BTreeMap::new();
        for window in self.sealed.values() {
            for (account, used) in window.counts().unwrap() {
                let sum = counted.entry(account.to_string()).or_insert((0, 0, 0));
                sum.0 += used.requests;
                sum.1 += used.prompt_tokens;
                sum.2 += used.output_tokens;
            }
        }
        let mut served = BTreeMap::new();
        for request in &self.served {
            let (account, prompt, output) = figures(*request);
            let sum = served.entry(account).or_insert((0, 0, 0));
            *sum = (sum.0 + 1, sum.1 + prompt, sum.2 + output);
        }
        let windows: Vec<_> = self.sealed.keys().copied().collect();
        let expected: Vec<_> = (1..=self.sealed.len() as u64).collect();
        if windows != expected {
            return Err(format!("windows {windows:?}"));
        }
        if self
            .reports
            .iter()
            .map(|(window, _)| window)
            .collect::<BTreeSet<_>>()
            .len()
            < windows.len()
        {
            return Err("a window was not reported".to_owned());
        }
        if counted == served {
            Ok(())
        } else {
            Err(format!("counted {counted:?}, served {served:?}"))
        }
    }
}

/// No window may be reported with two different bodies.
fn check_reports(reports: &[(String, Value)]) -> Result<(), String> {
    let mut first = BTreeMap::new();
    for (window, body) in reports {
        if first.entry(window).or_insert(body) != &body {
            return Err(format!("window {window} has two bodies"));
        }
    }
    Ok(())
}

fn run(mechanism: Mechanism, steps: Vec<Step>) -> Result<(), String> {
    block_on(async {
        let mut world = World::new(mechanism);
        for step in steps {
            world.step(step).await;
        }
        world.finish().await;
        world.check()
    })
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn every_request_is_billed_once_whatever_happens(steps in steps()) {
        let result = run(Mechanism::On, steps);
        prop_assert!(result.is_ok(), "{:?}", result);
    }
}

#[test]
fn the_check_fails_without_the_numbers_of_sealed_batches() {
    let history = vec![
        Step::Serve(0, vec![1, 2], 2),
        Step::Gather(0),
        Step::Seal(0, Fate::Answered),
        Step::Begin(1),
        Step::Gather(1),
        Step::Seal(1, Fate::Answered),
    ];
    assert_eq!(run(Mechanism::On, history.clone()), Ok(()));
    let error = run(Mechanism::Off, history).unwrap_err();
    assert!(error.starts_with("counted"), "{error}");
}

#[test]
fn the_check_fails_on_a_window_with_two_bodies() {
    let id = window_id(7);
    let bad = [(id.clone(), Value::from(1)), (id, Value::from(2))];
    assert!(check_reports(&bad).is_err());
}
