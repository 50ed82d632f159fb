//! Random histories of nodes and lease holders with crashes, lost responses and late writes,
//! checked for requests that are billed twice, not at all or under changed totals.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pomeloridge_duties::usage::{
    BatchInventory, BatchPage, Included, Ledger, PendingBatches, Retention, StoredRange,
    UsageSource, WindowDraft, draft_window, gather, window_id,
};
use pomeloridge_platform::usage::Seal;
use proptest::prelude::*;
use serde_json::Value;

use crate::support::{batch, block_on, config, line, source};

const NODES: usize = 3;
const HOLDERS: usize = 2;
const RETENTION: Retention = Retention {
    windows: 1000,
    time: std::time::Duration::ZERO,
};

/// One step of a history. Nodes and holders are given by index.
#[derive(Clone, Debug)]
enum Step {
    /// A node serves requests; the peers in a bit mask store copies of the batch.
    Serve(usize, Vec<u8>, u8),
    /// A node restarts, which loses its batches; a copy of each is stored elsewhere.
    Restart(usize),
    /// A node becomes unreachable, or reachable again.
    SetUnreachable(usize, bool),
    /// A holder fetches batches.
    Gather(usize),
    /// A holder drafts and seals a window.
    Seal(usize, WriteOutcome),
    /// A delayed write takes effect.
    ApplyDelayed,
    /// A holder reports its oldest unreported window; the response may be lost.
    Report(usize, bool),
    /// A holder has the nodes discard sealed batches.
    Discard(usize),
    /// A new holder starts from the stored windows.
    Takeover(usize),
}

/// Outcome of the write that seals a window.
#[derive(Clone, Copy, Debug)]
enum WriteOutcome {
    Confirmed,
    /// It takes effect, but the response is lost.
    ResponseLost,
    /// It takes effect later, if at all.
    Delayed,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        3 => Just(WriteOutcome::Confirmed),
        1 => Just(WriteOutcome::ResponseLost),
        1 => Just(WriteOutcome::Delayed),
    ];
    let requests = prop::collection::vec(0_u8..40, 1..4);
    let step = prop_oneof![
        5 => (0..NODES, requests, 1_u8..8).prop_map(|(n, r, c)| Step::Serve(n, r, c)),
        1 => (0..NODES).prop_map(Step::Restart),
        1 => (0..NODES, any::<bool>()).prop_map(|(n, unreachable)| Step::SetUnreachable(n, unreachable)),
        4 => (0..HOLDERS).prop_map(Step::Gather),
        4 => (0..HOLDERS, outcome).prop_map(|(h, o)| Step::Seal(h, o)),
        1 => Just(Step::ApplyDelayed),
        2 => (0..HOLDERS, any::<bool>()).prop_map(|(h, lost)| Step::Report(h, lost)),
        1 => (0..HOLDERS).prop_map(Step::Discard),
        2 => (0..HOLDERS).prop_map(Step::Takeover),
    ];
    prop::collection::vec(step, 1..60)
}

#[derive(Default)]
struct Node {
    incarnation: u64,
    number: u64,
    stored: BTreeMap<(UsageSource, u64), pomeloridge_duties::usage::Batch>,
    unreachable: bool,
}

struct Holder {
    ledger: Ledger,
    pending: PendingBatches,
    inventory: BatchInventory,
    unreported: VecDeque<Seal>,
}

/// Whether a new holder reads which batches the sealed windows have counted.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadCounted {
    Yes,
    No,
}

struct Simulation {
    read_counted: ReadCounted,
    nodes: Vec<Node>,
    served: BTreeSet<u8>,
    sealed: BTreeMap<u64, Seal>,
    delayed: Vec<(u64, Seal)>,
    reports: Vec<(String, Value)>,
    holders: Vec<Holder>,
}

/// Returns the account, prompt tokens and output tokens of a request, which are the same on
/// every node.
fn request_usage(request: u8) -> (String, u64, u64) {
    let n = u64::from(request);
    (format!("account-{}", request % 5), 1 + n, 100 + 7 * n)
}

impl Simulation {
    fn new(read_counted: ReadCounted) -> Self {
        let mut simulation = Self {
            read_counted,
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            served: BTreeSet::new(),
            sealed: BTreeMap::new(),
            delayed: Vec::new(),
            reports: Vec::new(),
            holders: Vec::new(),
        };
        simulation.holders = (0..HOLDERS).map(|_| simulation.new_holder()).collect();
        simulation
    }

    fn new_holder(&self) -> Holder {
        let mut ledger = Ledger::new(RETENTION);
        for (window, seal) in &self.sealed {
            let included = match self.read_counted {
                ReadCounted::Yes => Included::from_value(&seal.included).unwrap(),
                ReadCounted::No => Included::default(),
            };
            ledger.apply(*window, included);
        }
        Holder {
            ledger,
            pending: PendingBatches::default(),
            inventory: BatchInventory::default(),
            unreported: self.sealed.values().cloned().collect(),
        }
    }

    async fn step(&mut self, step: Step) {
        match step {
            Step::Serve(node, requests, copies) => self.serve(node, &requests, copies),
            Step::Restart(node) => self.restart(node),
            Step::SetUnreachable(node, unreachable) => self.nodes[node].unreachable = unreachable,
            Step::Gather(holder) => self.gather(holder).await,
            Step::Seal(holder, outcome) => {
                self.seal(holder, outcome);
            }
            Step::ApplyDelayed => {
                if let Some((window, seal)) = self.delayed.pop() {
                    self.sealed.entry(window).or_insert(seal);
                }
            }
            Step::Report(holder, lost) => self.report(holder, lost),
            Step::Discard(holder) => self.discard(holder),
            Step::Takeover(holder) => self.holders[holder] = self.new_holder(),
        }
    }

    fn serve(&mut self, node: usize, requests: &[u8], copies: u8) {
        let serving = &mut self.nodes[node];
        serving.number += 1;
        let source = source(&format!("vm-{node}"), serving.incarnation);
        let lines = requests.iter().map(|request| {
            let (account, prompt, output) = request_usage(*request);
            line(&format!("r-{request}"), &account, prompt, output)
        });
        let batch = batch(&source, serving.number, lines.collect());
        for (index, peer) in self.nodes.iter_mut().enumerate() {
            if index == node || copies & (1 << index) != 0 {
                peer.stored
                    .insert((source.clone(), batch.number), batch.clone());
            }
        }
        self.served.extend(requests);
    }

    /// Restarts a node, after a peer has stored the batches that only this node stored.
    fn restart(&mut self, node: usize) {
        let stored = std::mem::take(&mut self.nodes[node].stored);
        let peer = (node + 1) % NODES;
        for (key, batch) in stored {
            if !self.nodes.iter().any(|node| node.stored.contains_key(&key)) {
                self.nodes[peer].stored.insert(key, batch);
            }
        }
        self.nodes[node].incarnation += 1;
        self.nodes[node].number = 0;
    }

    fn list(&self) -> BatchInventory {
        let mut ranges = BTreeMap::<(usize, &UsageSource), (u64, u64)>::new();
        let reachable = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| !node.unreachable);
        for (index, node) in reachable {
            for (source, number) in node.stored.keys() {
                let range = ranges.entry((index, source)).or_insert((*number, *number));
                *range = (range.0.min(*number), range.1.max(*number));
            }
        }
        let range =
            |((node, source), (first, last)): ((usize, &UsageSource), (u64, u64))| StoredRange {
                stored_on: format!("vm-{node}").into(),
                source: source.clone(),
                first,
                last,
            };
        BatchInventory {
            ranges: ranges.into_iter().map(range).collect(),
            complete: self.nodes.iter().all(|node| !node.unreachable),
        }
    }

    async fn gather(&mut self, holder: usize) {
        let inventory = self.list();
        let nodes = &self.nodes;
        let fetch = async |range: &StoredRange, from: u64| {
            let node: usize = range.stored_on.as_str()[3..].parse().unwrap();
            let keys = (range.source.clone(), from)..=(range.source.clone(), u64::MAX);
            let mut found: Vec<_> = nodes[node].stored.range(keys).collect();
            let has_more = found.len() > 2;
            found.truncate(2);
            let batches = found.into_iter().map(|(_, batch)| batch.clone()).collect();
            Some(BatchPage { batches, has_more })
        };
        let holder = &mut self.holders[holder];
        gather(&holder.ledger, &mut holder.pending, &inventory, fetch).await;
        holder.inventory = inventory;
    }

    /// Seals the next window of a holder; returns false if there is nothing to seal.
    fn seal(&mut self, holder: usize, outcome: WriteOutcome) -> bool {
        let holder = &mut self.holders[holder];
        let draft = draft_window(&holder.ledger, &holder.pending, &BTreeMap::new(), 1000, 0);
        let Some(WindowDraft { window, .. }) = draft else {
            return false;
        };
        let seal = draft.unwrap().seal().unwrap();
        match outcome {
            WriteOutcome::Delayed => self.delayed.push((window, seal)),
            WriteOutcome::ResponseLost => {
                self.sealed.entry(window).or_insert(seal);
            }
            WriteOutcome::Confirmed => {
                let stored = self.sealed.entry(window).or_insert(seal).clone();
                let included = Included::from_value(&stored.included).unwrap();
                holder.ledger.apply(window, included);
                holder.pending.remove_counted(&holder.ledger);
                holder.unreported.push_back(stored);
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

    fn discard(&mut self, holder: usize) {
        let ledger = &self.holders[holder].ledger;
        for node in self.nodes.iter_mut().filter(|node| !node.unreachable) {
            node.stored
                .retain(|(source, number), _| *number > ledger.prefix(source));
        }
    }

    /// Makes every node reachable; a last holder seals and reports the remaining batches.
    async fn finish(&mut self) {
        for node in &mut self.nodes {
            node.unreachable = false;
        }
        self.holders[0] = self.new_holder();
        self.gather(0).await;
        while self.seal(0, WriteOutcome::Confirmed) {}
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
            let (account, prompt, output) = request_usage(*request);
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

/// Returns an error if a window was reported with two different bodies.
fn check_reports(reports: &[(String, Value)]) -> Result<(), String> {
    let mut first = BTreeMap::new();
    for (window, body) in reports {
        if first.entry(window).or_insert(body) != &body {
            return Err(format!("window {window} has two bodies"));
        }
    }
    Ok(())
}

fn run(read_counted: ReadCounted, steps: Vec<Step>) -> Result<(), String> {
    block_on(async {
        let mut simulation = Simulation::new(read_counted);
        for step in steps {
            simulation.step(step).await;
        }
        simulation.finish().await;
        simulation.check()
    })
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn every_request_is_billed_exactly_once(steps in steps()) {
        let result = run(ReadCounted::Yes, steps);
        prop_assert!(result.is_ok(), "{:?}", result);
    }
}

#[test]
fn check_fails_if_new_holders_ignore_counted_batches() {
    let history = vec![
        Step::Serve(0, vec![1, 2], 2),
        Step::Gather(0),
        Step::Seal(0, WriteOutcome::Confirmed),
        Step::Takeover(1),
        Step::Gather(1),
        Step::Seal(1, WriteOutcome::Confirmed),
    ];
    assert_eq!(run(ReadCounted::Yes, history.clone()), Ok(()));
    let error = run(ReadCounted::No, history).unwrap_err();
    assert!(error.starts_with("counted"), "{error}");
}

#[test]
fn check_fails_if_a_window_is_reported_with_two_bodies() {
    let id = window_id(7);
    let bad = [(id.clone(), Value::from(1)), (id, Value::from(2))];
    assert!(check_reports(&bad).is_err());
}
