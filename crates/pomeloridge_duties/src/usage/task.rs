//! The task of the usage duty.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Epoch;
use pomeloridge_platform::usage::{Seal, seal};
use pomeloridge_platform::{Authority, Client, Permit, PlatformError};

use super::draft::draft_window;
use super::gather::{BatchInventory, NodeClient, gather, is_full};
use super::store::{load, read_included, window_id, write_mark};
use super::{BatchPage, Gaps, Ledger, PendingBatches, Ranges, Retention, StoredRange, UsageSource};

/// Time between two looks at the authority and the stop.
const PAUSE: Duration = Duration::from_millis(100);
/// Pause after a round that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Settings of the usage duty.
#[derive(Clone, Copy, Debug)]
pub struct UsageOptions {
    /// Length of a window.
    pub window: Duration,
    /// For how long requests are remembered.
    pub retention: Retention,
    /// Windows after which a start that counted nothing more is forgotten.
    pub source_retention: u64,
    /// Rounds in which all nodes are asked for a missing batch before it is given up.
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

/// Seals and reports usage windows while the authority holds, until `stopping`.
pub async fn run_usage<S, F, D>(
    client: Client,
    authority: Authority,
    peers: NodeClient<S, F, D>,
    options: UsageOptions,
    stopping: impl Fn() -> bool,
) where
    S: AsyncFn() -> BatchInventory,
    F: AsyncFn(&StoredRange, u64) -> Option<BatchPage>,
    D: AsyncFn(&UsageSource, u64),
{
    let mut holding: Option<Duty> = None;
    while !stopping() {
        monoio::time::sleep(PAUSE).await;
        let Some(permit) = authority.permit() else {
            holding = None;
            continue;
        };
        let now = client.clock().now();
        let duty = match holding.take().filter(|duty| duty.epoch == permit.epoch()) {
            Some(duty) => Ok(duty),
            None => Duty::begin(&client, &permit, options).await,
        };
        match duty {
            Ok(mut duty) => {
                duty.step(&client, &permit, &peers, now).await;
                holding = Some(duty);
            }
            Err(error) => {
                log::warn!("usage choice=wait reason=\"sealed windows not read\" error={error:?}");
                monoio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// The duty in one holding of its lease.
struct Duty {
    epoch: Epoch,
    options: UsageOptions,
    ledger: Ledger,
    pending: PendingBatches,
    gaps: Gaps,
    unreported: VecDeque<(u64, Seal)>,
    due: Instant,
    /// Whether the last round had to leave batches to the next.
    cut: bool,
}

impl Duty {
    /// Goes on from what the service has.
    async fn begin(
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
        let wall = Duration::from_millis(client.clock().unix_ms());
        let passed = wall.saturating_sub(end).min(options.window);
        Ok(Self {
            epoch: permit.epoch(),
            options,
            ledger,
            pending: PendingBatches::default(),
            gaps: Gaps::default(),
            unreported: unreported.into(),
            cut: false,
            due: client.clock().now() + (options.window.saturating_sub(passed)),
        })
    }

    async fn step<S, F, D>(
        &mut self,
        client: &Client,
        permit: &Permit,
        peers: &NodeClient<S, F, D>,
        now: Instant,
    ) where
        S: AsyncFn() -> BatchInventory,
        F: AsyncFn(&StoredRange, u64) -> Option<BatchPage>,
        D: AsyncFn(&UsageSource, u64),
    {
        let sealed = if now >= self.due {
            self.due = now + self.options.window;
            let sealed = self.seal_round(client, permit, peers).await;
            if self.cut {
                // More is waiting than one round takes.
                self.due = now;
            }
            sealed
        } else {
            Ok(())
        };
        let reported = self.report(client, permit).await;
        if let Err(error) = sealed.and(reported) {
            log::warn!("usage choice=retry error={error:?}");
            self.due = self.due.min(now + RETRY_PAUSE);
            monoio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Gathers what the nodes keep and seals it, in as many windows as it takes.
    async fn seal_round<S, F, D>(
        &mut self,
        client: &Client,
        permit: &Permit,
        peers: &NodeClient<S, F, D>,
    ) -> Result<(), PlatformError>
    where
        S: AsyncFn() -> BatchInventory,
        F: AsyncFn(&StoredRange, u64) -> Option<BatchPage>,
        D: AsyncFn(&UsageSource, u64),
    {
        let gathered = (peers.list)().await;
        let complete = gather(&self.ledger, &mut self.pending, &gathered, &peers.fetch).await;
        let full = is_full(&self.pending);
        let before = self.ledger.window();
        let lost = self.lost(complete);
        while self.seal_next(client, permit, &lost).await? {}
        self.cut = full && self.ledger.window() > before;
        self.let_drop(&gathered, &peers.discard).await;
        Ok(())
    }

    fn lost(&mut self, complete: bool) -> BTreeMap<UsageSource, Ranges> {
        if !complete {
            return BTreeMap::new();
        }
        let gap_rounds = self.options.gap_rounds;
        let lost = self
            .gaps
            .record_round(&self.ledger, &self.pending, gap_rounds);
        for (start, numbers) in &lost {
            let numbers: Vec<_> = numbers.iter().collect();
            log::error!(
                "usage start={start} numbers={numbers:?} choice=skip reason=\"no copy is left\""
            );
        }
        lost
    }

    /// Seals the next window; false if there is nothing to count.
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
        // Whatever stands under this id is the window, also if an earlier
        // holder's write took effect late.
        let stands = seal(client, permit, draft.seal()?).await?;
        self.ledger.apply(draft.window, read_included(&stands)?);
        self.pending.remove_counted(&self.ledger);
        self.unreported.push_back((draft.window, stands));
        Ok(true)
    }

    /// Reports what is sealed, oldest first.
    async fn report(&mut self, client: &Client, permit: &Permit) -> Result<(), PlatformError> {
        let mut reported = None;
        let mut result = Ok(());
        while let Some((window, seal)) = self.unreported.front() {
            let choice = match client.report_usage(seal, permit).await {
                Ok(receipt) if receipt.repeated => "repeat",
                Ok(_) => "report",
                // Other figures can't be put right from here, and sending these
                // again would change nothing.
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
            // A mark that is not written costs a repeated report, no more.
            if let Err(error) = write_mark(client, window).await {
                log::warn!(
                    "usage window={} mark=old error={error:?}",
                    window_id(window)
                );
            }
        }
        result
    }

    /// Lets the nodes drop the batches that are sealed without a gap before them.
    async fn let_drop(&self, gathered: &BatchInventory, sealed: impl AsyncFn(&UsageSource, u64)) {
        let mut told = BTreeMap::new();
        for holding in &gathered.ranges {
            let up_to = self.ledger.prefix(&holding.source);
            if holding.first <= up_to && told.insert(&holding.source, up_to).is_none() {
                sealed(&holding.source, up_to).await;
            }
        }
    }
}
