//! Counts of requests that began to run, by window and client account.
//!
//! Each node tells its peers the counts of its latest windows, so that whoever
//! reports knows them, also those of a node that was killed. Counts of one start
//! of a node only grow, so the greatest that was heard is the last.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;

/// Windows that are kept and told.
pub(crate) const WINDOWS_KEPT: u64 = 4;

/// Time after a window's end by which nodes that are reached have told their counts.
const SETTLE: Duration = Duration::from_secs(2);
/// Time before a window is due at which it is reported without nodes that are silent.
const LAST_CALL: Duration = Duration::from_millis(2500);

/// When a peer was heard, as far as it concerns the counts.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerTimes {
    /// Last word of any kind.
    pub heard: Option<Instant>,
    /// Last word with its counts of the window.
    pub counted: Option<Instant>,
}

/// A window that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedWindow {
    /// When it began.
    pub start: Instant,
    /// When it ended.
    pub end: Instant,
    /// Time after its end within which it is to be reported.
    pub late: Duration,
}

impl EndedWindow {
    /// The window of this index at `now`, which is `now_ms` since the Unix epoch; `None`
    /// if it has not ended.
    pub fn new(
        index: u64,
        length: Duration,
        late: Duration,
        now: Instant,
        now_ms: u64,
    ) -> Option<Self> {
        let end_ms = (index + 1) * length.as_millis() as u64;
        let ended = Duration::from_millis(now_ms.checked_sub(end_ms)?);
        let end = now.checked_sub(ended)?;
        Some(Self {
            start: end.checked_sub(length).unwrap_or(end),
            end,
            late,
        })
    }

    /// Whether it may be reported: each peer that was there has told its counts, or
    /// there is no more time to wait for those that are cut off.
    pub fn is_settled(&self, mut peers: impl Iterator<Item = PeerTimes>, now: Instant) -> bool {
        let ended = now.saturating_duration_since(self.end);
        if ended < SETTLE || ended > self.late {
            return false;
        }
        let told = |peer: PeerTimes| peer.counted.is_some_and(|at| at > self.end);
        let was_there = |peer: PeerTimes| peer.heard.is_some_and(|at| at > self.start);
        ended + LAST_CALL >= self.late || peers.all(|peer| told(peer) || !was_there(peer))
    }
}

/// Where a count comes from: one start of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UsageSource {
    /// Node.
    pub node: Name,
    /// Its start.
    pub incarnation: u64,
}

/// Counts of one window by client account.
pub type Counts = BTreeMap<Name, u64>;

/// The counts of this node and what it heard of its peers'.
#[derive(Debug)]
pub struct UsageLedger {
    own: UsageSource,
    windows: BTreeMap<u64, HashMap<UsageSource, Counts>>,
}

impl UsageLedger {
    /// A book without counts.
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
        self.drop_old();
    }

    /// Takes what a peer told of one window.
    pub fn merge(&mut self, source: &UsageSource, window: u64, told: Counts) {
        if *source == self.own {
            return;
        }
        let latest = self.windows.keys().next_back().copied().unwrap_or(window);
        if window + WINDOWS_KEPT < latest {
            return;
        }
        let known = self.windows.entry(window).or_default();
        let known = known.entry(source.clone()).or_default();
        for (account, count) in told {
            let known = known.entry(account).or_default();
            *known = (*known).max(count);
        }
        self.drop_old();
    }

    /// This node's own counts of its latest windows.
    pub fn own(&self) -> impl Iterator<Item = (u64, &Counts)> {
        let windows = self.windows.iter();
        windows.filter_map(|(window, sources)| Some((*window, sources.get(&self.own)?)))
    }

    /// The counts of all nodes in a window.
    pub fn total(&self, window: u64) -> Counts {
        let mut total = Counts::new();
        for counts in self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(HashMap::values)
        {
            for (account, count) in counts {
                *total.entry(account.clone()).or_default() += count;
            }
        }
        total
    }

    fn drop_old(&mut self) {
        while self.windows.len() as u64 > WINDOWS_KEPT {
            self.windows.pop_first();
        }
    }
}
