//! Decides which transfers to slow readers are cut.
//!
//! A transfer is a message that this process holds until its peer has taken it: an answer for a
//! caller, or a request's body for a server. A transfer whose peer takes nothing is cut after a
//! while, as it occupies a server or memory for nobody. If all transfers hold more than the process
//! may, those are cut first whose peers have taken nothing lately, beginning with the client
//! account for which most is held. Readers that go on are therefore not cut for those of other
//! accounts that don't.
//!
//! Progress is counted in bytes, and only the time in which the process ran counts: after a pause,
//! its readers have had no time to read.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_base::id::Name;
use slotmap::{SlotMap, new_key_type};

/// Interval at which the owner asks for what is to be cut.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two calls that counts; more means that the process did not run.
const MAX_STEP: Duration = Duration::from_millis(500);
/// Number of bytes that a peer has to take, or else all that is left, to make progress.
pub const PROGRESS_BYTES: usize = 16 * 1024;
/// Time after its latest progress for which a transfer counts as moving.
const MOVING_TIME: Duration = Duration::from_secs(1);

new_key_type! {
    /// Key of a transfer.
    pub struct TransferKey;
}

/// Who reads a transfer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum Reader {
    /// The caller, who reads an answer.
    Caller,
    /// A backend server, which reads a request.
    Server,
}

/// Why a transfer is cut.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum CutReason {
    /// Its peer has taken too little for too long.
    Unread,
    /// All transfers together hold too much.
    Memory,
}

/// Bounds on transfers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderLimits {
    /// Time without progress after which a transfer is cut.
    pub unread: Duration,
    /// Bytes that all messages being read or written may hold together.
    pub process_bytes: usize,
}

/// A transfer that is to be cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cut {
    /// The transfer.
    pub key: TransferKey,
    /// Client account of its request; `None` if it has none.
    pub account: Option<Name>,
    /// Who should have read it.
    pub reader: Reader,
    /// Why it is cut.
    pub reason: CutReason,
    /// Bytes that it holds.
    pub held: usize,
    /// Time that the process ran since its latest progress.
    pub idle: Duration,
    /// Bytes that all messages held, besides transfers that were cut before.
    pub all: usize,
}

/// A message that is being written.
#[derive(Debug)]
struct Transfer {
    account: Option<Name>,
    reader: Reader,
    held: usize,
    /// Bytes that the peer has taken since the latest progress.
    taken: usize,
    /// When it last made progress, as time that the process ran.
    progress_at: Duration,
    is_cut: bool,
}

impl Transfer {
    fn idle(&self, ran: Duration) -> Duration {
        ran.saturating_sub(self.progress_at)
    }

    fn is_moving(&self, ran: Duration) -> bool {
        self.idle(ran) < MOVING_TIME
    }
}

/// All transfers of a process.
#[derive(Debug)]
pub struct SlowReaders {
    limits: ReaderLimits,
    transfers: SlotMap<TransferKey, Transfer>,
    held: usize,
    /// Bytes that cut transfers hold until they end.
    cut: usize,
    /// Time that the process ran.
    ran: Duration,
    last_call: Instant,
}

impl SlowReaders {
    /// Creates the table of a process that holds nothing.
    pub fn new(limits: ReaderLimits, now: Instant) -> Self {
        Self {
            limits,
            transfers: SlotMap::with_key(),
            held: 0,
            cut: 0,
            ran: Duration::ZERO,
            last_call: now,
        }
    }

    /// Adds a transfer that holds nothing yet.
    pub fn begin(&mut self, account: Option<Name>, reader: Reader, now: Instant) -> TransferKey {
        self.advance(now);
        self.transfers.insert(Transfer {
            account,
            reader,
            held: 0,
            taken: 0,
            progress_at: self.ran,
            is_cut: false,
        })
    }

    /// Sets the number of bytes that a transfer holds. One that held nothing before begins to wait
    /// for its peer.
    pub fn hold(&mut self, key: TransferKey, bytes: usize, now: Instant) {
        self.advance(now);
        let Some(transfer) = self.transfers.get_mut(key) else {
            return;
        };
        if transfer.held == 0 {
            (transfer.taken, transfer.progress_at) = (0, self.ran);
        }
        if transfer.is_cut {
            self.cut = self.cut - transfer.held + bytes;
        }
        self.held = self.held - transfer.held + bytes;
        transfer.held = bytes;
    }

    /// Records that the peer has taken bytes of a transfer.
    pub fn record_taken(&mut self, key: TransferKey, bytes: usize, now: Instant) {
        self.advance(now);
        if let Some(transfer) = self.transfers.get_mut(key) {
            transfer.taken += bytes;
            if transfer.taken >= PROGRESS_BYTES {
                (transfer.taken, transfer.progress_at) = (0, self.ran);
            }
        }
    }

    /// Removes a transfer, with what it holds.
    pub fn end(&mut self, key: TransferKey) {
        if let Some(transfer) = self.transfers.remove(key) {
            self.held -= transfer.held;
            if transfer.is_cut {
                self.cut -= transfer.held;
            }
        }
    }

    /// Returns the number of bytes that all transfers hold.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns whether transfers must be cut to free memory. `reading` is the number of bytes that
    /// messages hold which are being read.
    pub fn is_over(&self, reading: usize) -> bool {
        self.all(reading) > self.limits.process_bytes
    }

    /// Returns a transfer that is to be cut, each one once; `None` if there is no further one.
    /// `reading` is the number of bytes that messages hold which are being read.
    pub fn next_cut(&mut self, reading: usize, now: Instant) -> Option<Cut> {
        self.advance(now);
        let all = self.all(reading);
        let unread = self.unread().map(|key| (key, CutReason::Unread));
        let (key, reason) = unread.or_else(|| {
            let heaviest = self.is_over(reading).then(|| self.heaviest()).flatten();
            Some((heaviest?, CutReason::Memory))
        })?;
        let transfer = self.transfers.get_mut(key)?;
        transfer.is_cut = true;
        self.cut += transfer.held;
        Some(Cut {
            key,
            account: transfer.account.clone(),
            reader: transfer.reader,
            reason,
            held: transfer.held,
            idle: transfer.idle(self.ran),
            all,
        })
    }

    /// Returns the number of bytes that messages hold, besides transfers that are cut.
    fn all(&self, reading: usize) -> usize {
        reading.saturating_add(self.held - self.cut)
    }

    /// Returns the transfers that wait for their peers and are not cut.
    fn waiting(&self) -> impl Iterator<Item = (TransferKey, &Transfer)> {
        let transfers = self.transfers.iter();
        transfers.filter(|(_, transfer)| transfer.held > 0 && !transfer.is_cut)
    }

    /// Returns the transfer that has been without progress longest, if that is too long.
    fn unread(&self) -> Option<TransferKey> {
        let longest = self
            .waiting()
            .max_by_key(|(_, transfer)| transfer.idle(self.ran))?;
        (longest.1.idle(self.ran) >= self.limits.unread).then_some(longest.0)
    }

    /// Returns the transfer that is cut first to free memory: one that does not move, if there is
    /// any, of the account for which such ones hold most, by bytes times time without progress.
    /// Small ones that move are kept, as they free next to nothing.
    fn heaviest(&self) -> Option<TransferKey> {
        let has_stalled = self
            .waiting()
            .any(|(_, transfer)| !transfer.is_moving(self.ran));
        let candidates = || {
            let waiting = self.waiting();
            waiting.filter(move |(_, transfer)| {
                let frees_little = has_stalled || transfer.held <= PROGRESS_BYTES;
                !(frees_little && transfer.is_moving(self.ran))
            })
        };
        let mut by_account: BTreeMap<Option<&Name>, usize> = BTreeMap::new();
        for (_, transfer) in candidates() {
            *by_account.entry(transfer.account.as_ref()).or_default() += transfer.held;
        }
        let (account, _) = by_account.into_iter().max_by_key(|(_, held)| *held)?;
        let weight =
            |transfer: &Transfer| (transfer.held as u128) * transfer.idle(self.ran).as_millis();
        let own = candidates().filter(|(_, transfer)| transfer.account.as_ref() == account);
        let heaviest = own.max_by_key(|(_, transfer)| (weight(transfer), transfer.held))?;
        Some(heaviest.0)
    }

    /// Counts the time since the last call, unless the process did not run.
    fn advance(&mut self, now: Instant) {
        self.ran += now.saturating_duration_since(self.last_call).min(MAX_STEP);
        self.last_call = self.last_call.max(now);
    }
}
