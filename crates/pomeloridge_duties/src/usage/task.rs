//! Runs the usage duty while this node holds its lease.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Epoch;
use pomeloridge_platform::usage::{Seal, seal};
use pomeloridge_platform::{Authority, Client, Permit, PlatformError};

use super::draft::draft_window;
use super::gather::{BatchInventory, NodeClient, gather, is_full};
use super::store::{load, parse_included, window_id, write_mark};
use super::{BatchPage, Gaps, Ledger, PendingBatches, Ranges, Retention, StoredRange, UsageSource};

/// Interval at which the lease and `stopping` are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a failed round.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Settings of the usage duty.
#[derive(Clone, Copy, Debug)]
pub struct UsageOptions {
    /// Length of a window.
    pub window: Duration,
    /// Retention of the requests of sealed windows.
    pub retention: Retention,
    /// Number of windows for which a source is kept after its last counted batch.
    pub source_retention: u64,
    /// Number of rounds in which every node answered before a missing batch is given up.
    pub gap_rounds: u32,
}

impl Default for UsageOptions {
    fn default() -> Self {
        Self {
            window: Duration::from_mins(1),
            retention: Retention::default(),
            source_retention: 2_000,
            gap_rounds: 10,
        }
    }
}

/// Seals and reports usage windows while the lease is held, until `stopping` returns true.
pub async fn run_usage<S, F, D>(
    client: Client,
    authority: Authority,
    nodes: NodeClient<S, F, D>,
    options: UsageOptions,
    stopping: impl Fn() -> bool,
) where
    S: AsyncFn() -> BatchInventory,
    F: AsyncFn(&StoredRange, u64) -> Option<BatchPage>,
    D: AsyncFn(&UsageSource, u64),
{
    let mut current: Option<Duty> = None;
    while !stopping() {
        monoio::time::sleep(POLL_INTERVAL).await;
        let Some(permit) = authority.permit() else {
            current = None;
            continue;
        };
        let now = client.clock().now();
        let duty = match current.take().filter(|duty| duty.epoch == permit.epoch()) {
            Some(duty) => Ok(duty),
            None => Duty::load(&client, &permit, options).await,
        };
        match duty {
            Ok(mut duty) => {
                duty.step(&client, &permit, &nodes, now).await;
                current = Some(duty);
            }
            Err(error) => {
                log::warn!("usage choice=wait reason=\"sealed windows not read\" error={error:?}");
                monoio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// State of the duty while one holder has the lease.
struct Duty {
    epoch: Epoch,
    options: UsageOptions,
    ledger: Ledger,
    pending: PendingBatches,
    gaps: Gaps,
    unreported: VecDeque<(u64, Seal)>,
    due: Instant,
    /// Whether the last round reached the limit of lines, so that more batches are left.
    truncated: bool,
}

impl Duty {
    /// Continues from the stored windows.
    async fn load(
        client: &Client,
        permit: &Permit,
        options: UsageOptions,
    ) -> Result<Self, PlatformError> {
        let (ledger, unreported) = load(client, options.retention).await?;
        log::info!(
            "usage epoch={} choice=begin window={} unreported={}",
            permit.epoch(),
            ledger.window(),
            unreported.len()
        );
        let end = Duration::from_millis(ledger.end_ms());
        let now = Duration::from_millis(client.clock().unix_ms());
        let elapsed = now.saturating_sub(end).min(options.window);
        Ok(Self {
            epoch: permit.epoch(),
            options,
            ledger,
            pending: PendingBatches::default(),
            gaps: Gaps::default(),
            unreported: unreported.into(),
            truncated: false,
            due: client.clock().now() + (options.window.saturating_sub(elapsed)),
        })
    }

    async fn step<S, F, D>(
        &mut self,
        client: &Client,
        permit: &Permit,
        nodes: &NodeClient<S, F, D>,
        now: Instant,
    ) where
        S: AsyncFn() -> BatchInventory,
        F: AsyncFn(&StoredRange, u64) -> Option<BatchPage>,
        D: AsyncFn(&UsageSource, u64),
    {
        let sealed = if now >= self.due {
            self.due = now + self.options.window;
            let sealed = self.seal_round(client, permit, nodes).await;
            if self.truncated {
                self.due = now;
            }
            sealed
        } else {
            Ok(())
        };
        let reported = self.report(client, permit).await;
        if let Err(error) = sealed.and(reported) {
            log::warn!("usage choice=retry error={error:?}");
            self.due = self.due.min(now + RETRY_DELAY);
            monoio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Fetches batches from the nodes, and seals them in as many windows as they need.
    async fn seal_round<S, F, D>(
        &mut self,
        client: &Client,
        permit: &Permit,
        nodes: &NodeClient<S, F, D>,
    ) -> Result<(), PlatformError>
    where
        S: AsyncFn() -> BatchInventory,
        F: AsyncFn(&StoredRange, u64) -> Option<BatchPage>,
        D: AsyncFn(&UsageSource, u64),
    {
        let inventory = (nodes.list)().await;
        let complete = gather(&self.ledger, &mut self.pending, &inventory, &nodes.fetch).await;
        let full = is_full(&self.pending);
        let before = self.ledger.window();
        let lost = self.record_gaps(complete);
        while self.seal_next(client, permit, &lost).await? {}
        self.truncated = full && self.ledger.window() > before;
        self.discard_sealed(&inventory, &nodes.discard).await;
        Ok(())
    }

    /// Records the gaps in the batch numbers; returns the lost batches.
    fn record_gaps(&mut self, complete: bool) -> BTreeMap<UsageSource, Ranges> {
        if !complete {
            return BTreeMap::new();
        }
        let gap_rounds = self.options.gap_rounds;
        let lost = self
            .gaps
            .record_round(&self.ledger, &self.pending, gap_rounds);
        for (source, numbers) in &lost {
            let numbers: Vec<_> = numbers.iter().collect();
            log::error!(
                "usage start={source} numbers={numbers:?} choice=skip reason=\"no copy is left\""
            );
        }
        lost
    }

    /// Seals the next window; returns false if there is nothing to count.
    async fn seal_next(
        &mut self,
        client: &Client,
        permit: &Permit,
        lost: &BTreeMap<UsageSource, Ranges>,
    ) -> Result<bool, PlatformError> {
        let now_ms = client.clock().unix_ms();
        let source_retention = self.options.source_retention;
        let Some(draft) = draft_window(&self.ledger, &self.pending, lost, source_retention, now_ms)
        else {
            return Ok(false);
        };
        // The stored object may be an earlier holder's whose write took effect late.
        let stored = seal(client, permit, draft.seal()?).await?;
        self.ledger.apply(draft.window, parse_included(&stored)?);
        self.pending.remove_counted(&self.ledger);
        self.unreported.push_back((draft.window, stored));
        Ok(true)
    }

    /// Reports the sealed windows, oldest first.
    async fn report(&mut self, client: &Client, permit: &Permit) -> Result<(), PlatformError> {
        let mut reported = None;
        let mut result = Ok(());
        while let Some((window, seal)) = self.unreported.front() {
            let choice = match client.report_usage(seal, permit).await {
                Ok(receipt) if receipt.repeated => "repeat",
                Ok(_) => "report",
                // The platform has accepted other totals for the window. Neither these nor a
                // retry can correct them.
                Err(PlatformError::Differs) => "give_up",
                Err(error) => {
                    result = Err(error);
                    break;
                }
            };
            log::info!("usage window={} choice={choice}", window_id(*window));
            reported = Some(*window);
            self.unreported.pop_front();
        }
        if let Some(window) = reported {
            // If the mark is not written, the windows are only reported again.
            if let Err(error) = write_mark(client, window).await {
                log::warn!(
                    "usage window={} mark=old error={error:?}",
                    window_id(window)
                );
            }
        }
        result
    }

    /// Has the nodes discard the sealed batches that no gap precedes.
    async fn discard_sealed(
        &self,
        inventory: &BatchInventory,
        discard: impl AsyncFn(&UsageSource, u64),
    ) {
        let mut discarded = BTreeMap::new();
        for range in &inventory.ranges {
            let up_to = self.ledger.prefix(&range.source);
            if range.first <= up_to && discarded.insert(&range.source, up_to).is_none() {
                discard(&range.source, up_to).await;
            }
        }
    }
}
