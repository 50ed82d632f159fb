//! Measures usage: the lines that a node stores, and the windows that the duty merges and seals.

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
/// Numbers of nodes with batches in one sealed window.
const SEALED_NODES: [usize; 4] = [7, 70, 700, 1_200];
/// Lines of a sealed window in which the number of nodes varies.
const WINDOW_LINES: usize = 12_000;
/// Lines pending for one window; more than fit.
const PENDING_LINES: usize = 48_000;
/// Lines per batch.
const BATCH_LINES: usize = 10;
/// Nodes that report the lines.
const NODES: usize = 100;
/// Windows after which a source without counted batches is dropped.
const SOURCE_RETENTION: u64 = 2_000;
/// End of the drafted window, in ms since the Unix epoch.
const NOW_MS: u64 = 1_790_000_060_000;

/// Returns the measurements of usage.
pub fn rows() -> Vec<Row> {
    let row = |what, unit, measure: fn(usize) -> f64| {
        Row::measure("usage", what, "line", unit, &LINES, measure)
    };
    let sealed_row = |what, unit, measure: fn(usize) -> f64| {
        Row::measure("usage", what, "line", unit, &SEALED_LINES, measure)
    };
    let node_row = |what, unit, measure: fn(usize) -> f64| {
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
        node_row("sealed window of 12,000 lines", Unit::Bytes, |nodes| {
            sealed_bytes(WINDOW_LINES, nodes)
        }),
        node_row("lines that fit, 1 a batch", Unit::Lines, |nodes| {
            fitting_lines(nodes, 1)
        }),
        node_row("lines that fit, 10 a batch", Unit::Lines, |nodes| {
            fitting_lines(nodes, BATCH_LINES)
        }),
    ]
}

fn request_id(index: usize) -> Bytes {
    Bytes::from(format!("r-{index:021x}-{index:016x}"))
}

fn store(lines: usize, per_batch: usize) -> UsageStore {
    let mut store = UsageStore::new(lines);
    for number in 0..lines / per_batch {
        let line = |n: usize| UsageLine {
            request_id: request_id(number * per_batch + n),
            account: account(n),
            prompt_tokens: 1_000,
            output_tokens: 330,
        };
        store.insert(UsageBatch {
            node: node(0),
            incarnation: Incarnation(1),
            number: number as u64 + 1,
            lines: (0..per_batch).map(line).collect(),
        });
    }
    store
}

fn pending(lines: usize, nodes: usize, per_batch: usize) -> PendingBatches {
    let mut pending = PendingBatches::default();
    for batch in 0..lines / per_batch {
        let line = |n: usize| {
            let index = batch * per_batch + n;
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
            lines: (0..per_batch).map(line).collect(),
        });
    }
    pending
}

fn seal(lines: usize) -> f64 {
    let (pending, ledger) = (pending(lines, NODES, BATCH_LINES), Ledger::default());
    nanoseconds(|| seal_window(&ledger, &pending))
}

fn sealed_bytes(lines: usize, nodes: usize) -> f64 {
    seal_window(&Ledger::default(), &pending(lines, nodes, BATCH_LINES)) as f64
}

/// Drafts and seals a window and returns its size in bytes.
fn seal_window(ledger: &Ledger, pending: &PendingBatches) -> usize {
    let draft = draft_window(ledger, pending, &BTreeMap::new(), SOURCE_RETENTION, NOW_MS);
    let seal = draft.and_then(|draft| draft.seal().ok());
    seal.map_or(0, |seal| {
        seal.accounts.to_string().len() + seal.included.to_string().len()
    })
}

/// Returns how many of the pending lines fit into one window.
fn fitting_lines(nodes: usize, per_batch: usize) -> f64 {
    let pending = pending(PENDING_LINES, nodes, per_batch);
    let draft = draft_window(
        &Ledger::default(),
        &pending,
        &BTreeMap::new(),
        SOURCE_RETENTION,
        NOW_MS,
    );
    draft.map_or(0.0, |draft| draft.included.requests.len() as f64)
}
