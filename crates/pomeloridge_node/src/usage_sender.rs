//! Numbers a node's usage batches and replicates them to another node before responses
//! end.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use local_sync::oneshot;
use pomeloridge_base::id::{Incarnation, Name};

use crate::mesh::Mesh;
use crate::usage::{UsageBatch, UsageLine};

/// Number of peers that a batch is sent to, one after the other, until one acknowledges it.
const ACK_ATTEMPTS: usize = 2;
/// Number of lines at which a batch is sent without waiting for `batch_delay`.
const BATCH_LINES: usize = 1024;

/// Time limits of a sender.
#[derive(Clone, Copy, Debug)]
pub struct UsageOptions {
    /// Time for which lines are collected into one batch.
    pub batch_delay: Duration,
    /// Time within which a peer must acknowledge a batch.
    pub ack_timeout: Duration,
}

impl Default for UsageOptions {
    fn default() -> Self {
        Self {
            batch_delay: Duration::from_millis(5),
            ack_timeout: Duration::from_millis(50),
        }
    }
}

/// Whether usage would survive the loss of this node.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Replication {
    /// Stored on another node too.
    #[display("replicated")]
    Replicated,
    /// Stored on this node only.
    #[display("unreplicated")]
    Unreplicated,
}

/// Collects usage lines into numbered batches and sends them; clones share the state.
#[derive(Clone)]
pub struct UsageSender(Rc<Inner>);

struct Inner {
    mesh: Mesh,
    node: Name,
    incarnation: Incarnation,
    options: UsageOptions,
    state: RefCell<State>,
}

/// Batch being collected, and state of the earlier ones.
#[derive(Default)]
struct State {
    lines: Vec<UsageLine>,
    waiters: Vec<oneshot::Sender<Replication>>,
    /// Number of the last batch that was closed.
    number: u64,
    /// Line counts of the batches stored on this node only, by number.
    unreplicated: BTreeMap<u64, usize>,
}

impl UsageSender {
    /// Creates a sender for the usage of the mesh's own node.
    pub fn new(mesh: Mesh, options: UsageOptions) -> Self {
        let own = mesh.view(|membership| membership.own().clone());
        Self(Rc::new(Inner {
            mesh,
            node: own.name,
            incarnation: own.incarnation,
            options,
            state: RefCell::default(),
        }))
    }

    /// Records the usage of a request. Returns within a bounded time, once another node
    /// has acknowledged the line or all attempts have failed.
    pub async fn record(&self, line: UsageLine) -> Replication {
        let (sender, receiver) = oneshot::channel();
        let lines = {
            let mut state = self.0.state.borrow_mut();
            state.lines.push(line);
            state.waiters.push(sender);
            state.lines.len()
        };
        if lines == 1 {
            let this = self.clone();
            monoio::spawn(async move {
                monoio::time::sleep(this.0.options.batch_delay).await;
                this.flush().await;
            });
        } else if lines == BATCH_LINES {
            let this = self.clone();
            monoio::spawn(async move { this.flush().await });
        }
        receiver.await.unwrap_or(Replication::Unreplicated)
    }

    /// Returns the number of lines stored on this node only.
    pub fn unreplicated_lines(&self) -> usize {
        self.0.state.borrow().unreplicated.values().sum()
    }

    /// Sends the unreplicated batches again. Returns whether none is left.
    pub async fn retry(&self) -> bool {
        let numbers: Vec<_> = self.0.state.borrow().unreplicated.keys().copied().collect();
        for number in numbers {
            let page = (self.0.mesh).read_usage(&self.0.node, self.0.incarnation, number);
            let batch = page.batches.into_iter().next();
            // A batch that is no longer stored has been sealed.
            if let Some(batch) = batch.filter(|batch| batch.number == number)
                && self.send(batch).await == Replication::Unreplicated
            {
                return false;
            }
            self.0.state.borrow_mut().unreplicated.remove(&number);
        }
        true
    }

    /// Returns the number of the last batch, or 0 if there was none.
    pub fn last_number(&self) -> u64 {
        self.0.state.borrow().number
    }

    async fn flush(&self) {
        let Some((batch, waiters)) = self.take_batch() else {
            return;
        };
        let (number, lines) = (batch.number, batch.lines.len());
        // The own copy is stored first, so the numbers stored on this node have no gaps.
        let stored = self.0.mesh.store_usage(batch.clone());
        if !stored.can_acknowledge() {
            log::error!("usage batch={number} state=not_kept reason={stored}");
        }
        let outcome = self.send(batch).await;
        if outcome == Replication::Unreplicated {
            log::warn!("usage batch={number} lines={lines} state=unreplicated");
            self.0.state.borrow_mut().unreplicated.insert(number, lines);
        }
        for sender in waiters {
            // The receiver is gone if the caller was dropped.
            let _ = sender.send(outcome);
        }
    }

    fn take_batch(&self) -> Option<(UsageBatch, Vec<oneshot::Sender<Replication>>)> {
        let mut state = self.0.state.borrow_mut();
        if state.lines.is_empty() {
            return None;
        }
        state.number += 1;
        let batch = UsageBatch {
            node: self.0.node.clone(),
            incarnation: self.0.incarnation,
            number: state.number,
            lines: std::mem::take(&mut state.lines),
        };
        Some((batch, std::mem::take(&mut state.waiters)))
    }

    async fn send(&self, batch: UsageBatch) -> Replication {
        let number = batch.number;
        for link in self.0.mesh.usage_peers(number).iter().take(ACK_ATTEMPTS) {
            match link
                .ack_usage(batch.clone(), self.0.options.ack_timeout)
                .await
            {
                Ok(()) => return Replication::Replicated,
                Err(error) => {
                    let peer = &link.name;
                    log::warn!(
                        "usage batch={number} peer={peer} state=unacknowledged reason={error}"
                    );
                }
            }
        }
        Replication::Unreplicated
    }
}
