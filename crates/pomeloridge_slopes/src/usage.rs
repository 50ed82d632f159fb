//! Usage: lines kept by a node, and windows merged and sealed by the duty.

use std::collections::BTreeMap;

use bytes::Bytes;
use pomeloridge_base::id::Incarnation;
use pomeloridge_duties::usage::{Batch, Ledger, Line, PendingBatches, UsageSource, draft_window};
use pomeloridge_node::usage::{UsageBatch, UsageLine};
use pomeloridge_node::usage_store::UsageStore;

use crate::fixture::{account, node};
use crate::meter::{bytes as memory, nanoseconds};
use crate::row::{Row, Unit};

/// Numbers of lines.
const LINES: [usize; 4] = [1_000, 4_000, 16_000, 40_000];
/// Numbers of lines that fit into one sealed window.
const SEALED_LINES: [usize; 3] = [1_000, 4_000, 16_000];
/// Numbers of nodes whose batches are in one sealed window.
const SEALED_NODES: [usize; 4] = [7, 70, 700, 1_200];
/// Lines of a sealed window in which the number of nodes varies.
const STARTS_LINES: usize = 12_000;
/// Lines that are offered to one window, more than fit.
const OFFERED_LINES: usize = 48_000;
/// Lines of one batch.
const BATCH_LINES: usize = 10;
/// Nodes that the lines come from.
const NODES: usize = 100;
/// Windows after which a silent start is forgotten.
const FORGET: u64 = 2_000;
/// End of the drafted window, in ms since the Unix epoch.
const NOW_MS: u64 = 1_790_000_060_000;

/// Measures usage.
pub fn rows() -> Vec<Row> {
    let row = |what, unit, measure: fn(usize) -> f64| {
        Row::measure("usage", what, "line", unit, &LINES, measure)
    };
    let sealed_row = |what, unit, measure: fn(usize) -> f64| {
        Row::measure("usage", what, "line", unit, &SEALED_LINES, measure)
    };
    let starts = |what, unit, measure: fn(usize) -> f64| {
        Row::measure("usage", what, "node", unit, &SEALED_NODES, measure)
    };
    vec![
        row("memory kept, 10 lines a batch", Unit::Bytes, |lines| {
            memory(|| store(lines, BATCH_LINES))
        }),
        row("memory kept, 1 line a batch", Unit::Bytes, |lines| {
            memory(|| store(lines, 1))
        }),
        row("keep, with the batch made", Unit::Nanoseconds, |lines| {
            nanoseconds(|| store(lines, BATCH_LINES))
        }),
        row("gather, with the batch made", Unit::Nanoseconds, |lines| {
            nanoseconds(|| pending(lines, NODES, BATCH_LINES))
        }),
        row("memory gathered", Unit::Bytes, |lines| {
            memory(|| pending(lines, NODES, BATCH_LINES))
        }),
        sealed_row("draft and seal", Unit::Nanoseconds, seal),
        sealed_row("sealed window as JSON", Unit::Bytes, |lines| {
            sealed_bytes(lines, NODES)
        }),
        starts("sealed window of 12,000 lines", Unit::Bytes, |nodes| {
            sealed_bytes(STARTS_LINES, nodes)
        }),
        starts("lines that fit, 1 a batch", Unit::Lines, |nodes| {
            fitting_lines(nodes, 1)
        }),
        starts("lines that fit, 10 a batch", Unit::Lines, |nodes| {
            fitting_lines(nodes, BATCH_LINES)
        }),
    ]
}

fn request_id(index: usize) -> Bytes {
    Bytes::from(format!("r-{index:021x}-{index:016x}"))
}

fn store(lines: usize, each: usize) -> UsageStore {
    let mut store = UsageStore::new(lines);
    for number in 0..lines / each {
        let line = |n: usize| UsageLine {
            request_id: request_id(number * each + n),
            account: account(n),
            prompt_tokens: 1_000,
            output_tokens: 330,
        };
        store.insert(UsageBatch {
            node: node(0),
            incarnation: Incarnation(1),
            number: number as u64 + 1,
            lines: (0..each).map(line).collect(),
        });
    }
    store
}

fn pending(lines: usize, nodes: usize, each: usize) -> PendingBatches {
    let mut pending = PendingBatches::default();
    for batch in 0..lines / each {
        let line = |n: usize| {
            let index = batch * each + n;
            Line {
                request_id: request_id(index),
                account: account(index % 1_000),
                prompt_tokens: 1_000,
                output_tokens: 330,
            }
        };
        pending.add(Batch {
            source: UsageSource {
                node: node(batch % nodes),
                incarnation: Incarnation(1),
            },
            number: (batch / nodes) as u64 + 1,
            lines: (0..each).map(line).collect(),
        });
    }
    pending
}

fn seal(lines: usize) -> f64 {
    let (pending, ledger) = (pending(lines, NODES, BATCH_LINES), Ledger::default());
    nanoseconds(|| sealed(&ledger, &pending))
}

fn sealed_bytes(lines: usize, nodes: usize) -> f64 {
    sealed(&Ledger::default(), &pending(lines, nodes, BATCH_LINES)) as f64
}

/// Bytes of the sealed window.
fn sealed(ledger: &Ledger, pending: &PendingBatches) -> usize {
    let draft = draft_window(ledger, pending, &BTreeMap::new(), FORGET, NOW_MS);
    let seal = draft.and_then(|draft| draft.seal().ok());
    seal.map_or(0, |seal| {
        seal.accounts.to_string().len() + seal.included.to_string().len()
    })
}

/// Lines that one window takes of those that are offered.
fn fitting_lines(nodes: usize, each: usize) -> f64 {
    let pending = pending(OFFERED_LINES, nodes, each);
    let draft = draft_window(
        &Ledger::default(),
        &pending,
        &BTreeMap::new(),
        FORGET,
        NOW_MS,
    );
    draft.map_or(0.0, |draft| draft.included.requests.len() as f64)
}
