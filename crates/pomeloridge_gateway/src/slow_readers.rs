//! Cuts transfers to callers and servers that read too slowly, where the settings ask for it.
//!
//! Each request has a transfer for its answer, each sending of a long request one for its body.
//! The transfer waits beside the write; when it is cut, the write and what it holds are dropped.

use std::cell::{Cell, RefCell};
use std::future::{pending, poll_fn};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use pomeloridge_base::http::{held_bytes, return_freed_buffers};
use pomeloridge_base::meter::{Counter, Gauge};
use pomeloridge_base::settings::SettingValues;
use pomeloridge_policy::slow_readers::{
    CHECK_INTERVAL, Cut, CutReason, Reader, ReaderLimits, SlowReaders, TransferKey,
};
use slotmap::SecondaryMap;

use crate::accept::Accepted;
use crate::state::State;

/// Bytes in a mebibyte.
const MEBIBYTE: usize = 1024 * 1024;
/// Interval for which the log lines of cuts are counted.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of cuts that are logged in an interval.
const MAX_LOGGED_CUTS: u32 = 20;

/// The transfers of a gateway.
#[derive(Debug)]
pub(crate) struct Transfers {
    readers: RefCell<SlowReaders>,
    /// Transfers that are cut and have not ended yet.
    cuts: RefCell<SecondaryMap<TransferKey, Cut>>,
    /// Tasks that wait for their transfers to be cut.
    wakers: RefCell<SecondaryMap<TransferKey, Waker>>,
    /// Start of the interval in which cuts are logged, and their number in it.
    logged: Cell<(Instant, u32)>,
}

impl Transfers {
    /// Returns a table of transfers if the settings ask for cuts.
    pub(crate) fn new(settings: &SettingValues, now: Instant) -> Option<Self> {
        let unread = settings.time("slow_readers", "unread_s");
        let mebibytes = settings.number("slow_readers", "process_mb");
        let limits = ReaderLimits {
            unread,
            process_bytes: usize::try_from(mebibytes)
                .unwrap_or(usize::MAX)
                .saturating_mul(MEBIBYTE),
        };
        if unread.is_zero() {
            return None;
        }
        return_freed_buffers();
        Some(Self {
            readers: RefCell::new(SlowReaders::new(limits, now)),
            cuts: RefCell::default(),
            wakers: RefCell::default(),
            logged: Cell::new((now, 0)),
        })
    }

    /// Marks a transfer as cut and wakes its task.
    fn mark(&self, key: TransferKey, cut: Cut) {
        self.cuts.borrow_mut().insert(key, cut);
        if let Some(waker) = self.wakers.borrow_mut().remove(key) {
            waker.wake();
        }
    }

    /// Returns whether one more cut is logged.
    fn may_log(&self, now: Instant) -> bool {
        let (start, count) = self.logged.get();
        let is_new = now.saturating_duration_since(start) >= LOG_INTERVAL;
        let (start, count) = if is_new { (now, 0) } else { (start, count) };
        self.logged.set((start, count + 1));
        count < MAX_LOGGED_CUTS
    }
}

/// A transfer in the table until it is dropped.
pub(crate) struct Transfer {
    state: Rc<State>,
    key: TransferKey,
}

impl Transfer {
    /// Adds a transfer of a request; `None` if slow readers are not cut.
    pub(crate) fn begin(state: &Rc<State>, accepted: &Accepted, reader: Reader) -> Option<Self> {
        let transfers = state.transfers.as_ref()?;
        let account = accepted.account.clone();
        let mut readers = transfers.readers.borrow_mut();
        let key = readers.begin(account, reader, state.now());
        Some(Self {
            state: Rc::clone(state),
            key,
        })
    }

    /// Sets the number of bytes that the transfer holds, and cuts what is too much with them.
    pub(crate) fn hold(&self, bytes: usize) {
        let Some(transfers) = &self.state.transfers else {
            return;
        };
        let mut readers = transfers.readers.borrow_mut();
        readers.hold(self.key, bytes, self.state.now());
        let is_over = readers.is_over(held_bytes());
        drop(readers);
        if is_over {
            cut_slow(&self.state);
        }
    }

    /// Returns a function that records what the reader takes.
    pub(crate) fn taken(&self) -> impl Fn(usize) + 'static {
        let (state, key) = (Rc::clone(&self.state), self.key);
        move |bytes| {
            if let Some(transfers) = &state.transfers {
                let mut readers = transfers.readers.borrow_mut();
                readers.record_taken(key, bytes, state.now());
            }
        }
    }

    /// Cuts the transfer along with another one of its request.
    pub(crate) fn cut_with(&self, other: &Cut) {
        if let Some(transfers) = &self.state.transfers {
            transfers.mark(self.key, other.clone());
        }
    }

    async fn cut(&self) -> Cut {
        poll_fn(|context| {
            let Some(transfers) = &self.state.transfers else {
                return Poll::Pending;
            };
            if let Some(cut) = transfers.cuts.borrow().get(self.key) {
                return Poll::Ready(cut.clone());
            }
            let mut wakers = transfers.wakers.borrow_mut();
            wakers.insert(self.key, context.waker().clone());
            Poll::Pending
        })
        .await
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        if let Some(transfers) = &self.state.transfers {
            transfers.readers.borrow_mut().end(self.key);
            transfers.cuts.borrow_mut().remove(self.key);
            transfers.wakers.borrow_mut().remove(self.key);
        }
    }
}

/// Waits until a transfer is cut; without one, waits without end.
pub(crate) async fn cut_of(transfer: Option<&Transfer>) -> Cut {
    match transfer {
        Some(transfer) => transfer.cut().await,
        None => pending().await,
    }
}

/// Logs a cut at the request that it ends, and counts it.
pub(crate) fn record_cut(state: &State, accepted: &Accepted, cut: &Cut) {
    state.meter.increment(match cut.reason {
        CutReason::Unread => Counter::SlowUnread,
        CutReason::Memory => Counter::SlowMemory,
    });
    let transfers = state.transfers.as_ref();
    if transfers.is_some_and(|transfers| transfers.may_log(state.now())) {
        log::info!(
            "request id={} choice=cut_reader reader={} reason={} account={} held_bytes={} \
             idle_ms={} all_bytes={}",
            accepted.inbound.label(),
            cut.reader,
            cut.reason,
            cut.account.clone().unwrap_or_default(),
            cut.held,
            cut.idle.as_millis(),
            cut.all
        );
    }
}

/// Checks all transfers periodically.
pub(crate) async fn watch(state: Rc<State>) {
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        cut_slow(&state);
        if let Some(transfers) = &state.transfers {
            let held = held_bytes() + transfers.readers.borrow().held();
            state.meter.set(Gauge::HeldBytes, held as u64);
        }
    }
}

/// Cuts all transfers that are to be cut now.
fn cut_slow(state: &State) {
    let Some(transfers) = &state.transfers else {
        return;
    };
    loop {
        let mut readers = transfers.readers.borrow_mut();
        let Some(cut) = readers.next_cut(held_bytes(), state.now()) else {
            return;
        };
        drop(readers);
        transfers.mark(cut.key, cut);
    }
}
