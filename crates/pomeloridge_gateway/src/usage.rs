//! Counts of requests that began to run, by usage window and client account.
//!
//! Each node sends the counts of its latest windows to its peers, so that the node that
//! reports them knows them even if another node was killed. The counts of one node
//! incarnation only grow, so the greatest count received is the latest.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;

/// Number of latest windows that are kept and sent to peers.
pub(crate) const WINDOWS_KEPT: u64 = 4;
/// Number of windows after the present one whose counts are accepted, as clocks differ.
const WINDOWS_AHEAD: u64 = 4;

/// Time after a window's end by which the counts of all reachable nodes have arrived.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time before a window's report deadline from which it is reported without the counts of
/// silent nodes.
const FINAL_REPORT_MARGIN: Duration = Duration::from_millis(2500);
/// Difference allowed between two nodes' estimates of the time of day.
const CLOCK_MARGIN: Duration = Duration::from_secs(1);

/// Times of a peer's messages that decide whether a window is reportable.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerTimes {
    /// When any message was last received.
    pub last_heard: Option<Instant>,
    /// When its counts of the window were last received.
    pub counts_received: Option<Instant>,
}

/// A usage window that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedWindow {
    /// Start of the window.
    pub start: Instant,
    /// End of the window.
    pub end: Instant,
    /// Time after the end within which the window must be reported.
    pub report_deadline: Duration,
}

impl EndedWindow {
    /// Returns the window of this index at `now`, which is `now_ms` milliseconds since the Unix
    /// epoch, or `None` if the window has not ended.
    pub fn new(
        index: u64,
        length: Duration,
        report_deadline: Duration,
        now: Instant,
        now_ms: u64,
    ) -> Option<Self> {
        let end_ms = index
            .checked_add(1)?
            .checked_mul(length.as_millis() as u64)?;
        let elapsed = Duration::from_millis(now_ms.checked_sub(end_ms)?);
        let end = now.checked_sub(elapsed)?;
        Some(Self {
            start: end.checked_sub(length).unwrap_or(end),
            end,
            report_deadline,
        })
    }

    /// Returns whether the window may be reported: each peer that was heard during or after it
    /// has sent its counts, or the deadline is too close to wait for unreachable peers.
    pub fn is_reportable(&self, mut peers: impl Iterator<Item = PeerTimes>, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.end);
        if elapsed < SETTLE_TIME || elapsed > self.report_deadline {
            return false;
        }
        let has_counts = |peer: PeerTimes| peer.counts_received.is_some_and(|at| at > self.end);
        let was_live = |peer: PeerTimes| peer.last_heard.is_some_and(|at| at > self.start);
        elapsed + FINAL_REPORT_MARGIN >= self.report_deadline
            || peers.all(|peer| has_counts(peer) || !was_live(peer))
    }
}

impl EndedWindow {
    /// Returns whether another node may have sealed the window and the object service may have
    /// lost the seal. The service may lack what was written before `lost_before`; this node alone
    /// may have sealed windows since `held_since`.
    pub fn may_lack_seal(&self, lost_before: Option<Instant>, held_since: Option<Instant>) -> bool {
        let sealed_from = self.end + SETTLE_TIME;
        let may_be_lost = lost_before.is_some_and(|lost| sealed_from < lost + CLOCK_MARGIN);
        may_be_lost && held_since.is_none_or(|held| sealed_from < held + CLOCK_MARGIN)
    }
}

/// The source of counts: one incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UsageSource {
    /// Name of the node.
    pub node: Name,
    /// Incarnation of the node.
    pub incarnation: u64,
}

/// Request counts of one window by client account.
pub type Counts = BTreeMap<Name, u64>;

/// The usage counts of this node and those received from its peers.
#[derive(Debug)]
pub struct UsageLedger {
    own: UsageSource,
    windows: BTreeMap<u64, HashMap<UsageSource, Counts>>,
}

impl UsageLedger {
    /// Creates an empty ledger.
    pub fn new(own: UsageSource) -> Self {
        Self {
            own,
            windows: BTreeMap::new(),
        }
    }

    /// Counts a request that began to run.
    pub fn count(&mut self, window: u64, account: &Name) {
        let source = self.own.clone();
        let counts = self.windows.entry(window).or_default();
        let counts = counts.entry(source).or_default();
        *counts.entry(account.clone()).or_default() += 1;
        self.drop_old(window);
    }

    /// Merges a peer's counts of one window; `current` is the present window by this node's
    /// clock. Returns whether they were merged: windows that are too old or too far ahead are not.
    pub fn merge(
        &mut self,
        source: &UsageSource,
        window: u64,
        received: Counts,
        current: u64,
    ) -> bool {
        if *source == self.own
            || is_old(window, current)
            || window > current.saturating_add(WINDOWS_AHEAD)
        {
            return false;
        }
        let known = self.windows.entry(window).or_default();
        let known = known.entry(source.clone()).or_default();
        for (account, count) in received {
            let known = known.entry(account).or_default();
            *known = (*known).max(count);
        }
        self.drop_old(current);
        true
    }

    /// Returns this node's own counts of its latest windows.
    pub fn own_counts(&self) -> impl Iterator<Item = (u64, &Counts)> {
        let windows = self.windows.iter();
        windows.filter_map(|(window, sources)| Some((*window, sources.get(&self.own)?)))
    }

    /// Returns the sum of all nodes' counts in a window.
    pub fn total(&self, window: u64) -> Counts {
        let mut total = Counts::new();
        for counts in self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(HashMap::values)
        {
            for (account, count) in counts {
                let total = total.entry(account.clone()).or_default();
                *total = total.saturating_add(*count);
            }
        }
        total
    }

    fn drop_old(&mut self, current: u64) {
        self.windows.retain(|window, _| !is_old(*window, current));
    }
}

/// Returns whether the counts of a window are no longer kept.
fn is_old(window: u64, current: u64) -> bool {
    window.saturating_add(WINDOWS_KEPT) <= current
}
