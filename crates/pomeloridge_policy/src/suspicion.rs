//! Isolation and quarantine of requests that may crash engines.
//!
//! When an engine is lost, every request in flight on it becomes a suspect. A suspect runs
//! again on an engine without another suspect, next to ordinary requests; an innocent one
//! is cleared by its answer. If that engine is lost as well, the suspect is what the two
//! losses have in common and is quarantined for a while. The ordinary requests become
//! suspects of the second loss.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_base::id::Name;
use sha2::{Digest, Sha256};

use crate::prefix::leading_number;

/// Time after which a suspicion expires.
pub const SUSPECT_TTL: Duration = Duration::from_mins(2);
/// Time for which a request is quarantined.
pub const QUARANTINE_TTL: Duration = Duration::from_mins(10);
/// Age difference below which a peer's entry is the one that is already known.
const MERGE_TOLERANCE: Duration = Duration::from_secs(1);
/// Maximum number of entries; those closest to expiry are evicted first.
const MAX_ENTRIES: usize = 4096;

/// Hash of a request's account, route and body; equal requests have equal fingerprints.
///
/// Displays as its first 8 bytes in hexadecimal, enough to distinguish requests in a log.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{}", hex::encode(&_0[..8]))]
pub struct Fingerprint(pub [u8; 32]);

impl Fingerprint {
    /// Returns the fingerprint of a request.
    pub fn of(account: &Name, route: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [account.as_bytes(), route.as_bytes(), body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash.finalize().into())
    }

    /// Returns the first 8 bytes as a number.
    pub fn leading_number(&self) -> u64 {
        leading_number(&self.0)
    }
}

/// A request in flight on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it was a suspect when it was sent to the engine.
    pub suspect: bool,
}

/// Whether a request may crash engines.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SuspectStatus {
    /// It was a suspect and has been answered since.
    #[display("cleared")]
    Cleared,
    /// One engine was lost while running it.
    #[display("suspect")]
    Suspect,
    /// A second engine was lost while running it.
    #[display("quarantined")]
    Quarantined,
}

/// How a request may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// On any engine.
    Normal,
    /// Only on an engine without another suspect.
    Isolate,
    /// Not at all for this time.
    Refuse(Duration),
}

/// An entry as sent to peers; it carries an age, so that clocks need not agree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedSuspicion {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Its status.
    pub status: SuspectStatus,
    /// Time since the status was set.
    pub age: Duration,
    /// Engine whose loss led to the status; empty for a cleared request.
    pub engine: Name,
}

#[derive(Clone, Debug)]
struct Entry {
    status: SuspectStatus,
    set_at: Instant,
    engine: Name,
}

impl Entry {
    fn ttl(&self) -> Duration {
        match self.status {
            SuspectStatus::Cleared | SuspectStatus::Suspect => SUSPECT_TTL,
            SuspectStatus::Quarantined => QUARANTINE_TTL,
        }
    }

    /// Returns whether the two entries are suspicions from losses of different engines.
    fn is_from_another_loss(&self, other: &Self) -> bool {
        let are_suspect = [self, other].map(|entry| entry.status == SuspectStatus::Suspect);
        are_suspect == [true; 2] && self.engine != other.engine
    }

    fn time_left(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.set_at);
        self.ttl().saturating_sub(age)
    }
}

/// The requests that a node knows as suspect, cleared or quarantined.
#[derive(Debug, Default)]
pub struct Suspicions {
    entries: HashMap<Fingerprint, Entry>,
}

impl Suspicions {
    /// Returns how a request may be run.
    pub fn treatment(&self, fingerprint: &Fingerprint, now: Instant) -> Treatment {
        let Some(entry) = self.live(fingerprint, now) else {
            return Treatment::Normal;
        };
        match entry.status {
            SuspectStatus::Cleared => Treatment::Normal,
            SuspectStatus::Suspect => Treatment::Isolate,
            SuspectStatus::Quarantined => Treatment::Refuse(entry.time_left(now)),
        }
    }

    /// Returns whether a request may run only on an engine without another suspect.
    pub fn is_suspect(&self, fingerprint: &Fingerprint, now: Instant) -> bool {
        self.treatment(fingerprint, now) == Treatment::Isolate
    }

    /// Records that an engine was lost while these requests were in flight on it.
    ///
    /// Each of the requests reports the same loss; only the first report counts, unless the
    /// request was sent to the engine as a suspect.
    pub fn engine_lost(&mut self, engine: &Name, in_flight: &[InFlight], now: Instant) {
        for request in in_flight {
            let known = self.live(&request.fingerprint, now);
            let is_second_loss = known.is_some_and(|known| {
                let lost_other_engine =
                    known.status == SuspectStatus::Suspect && known.engine != *engine;
                request.suspect || lost_other_engine
            });
            let status = match known.map(|known| known.status) {
                Some(SuspectStatus::Quarantined) => continue,
                _ if is_second_loss => SuspectStatus::Quarantined,
                _ => SuspectStatus::Suspect,
            };
            let entry = Entry {
                status,
                set_at: now,
                engine: engine.clone(),
            };
            self.insert(request.fingerprint, entry, now);
        }
    }

    /// Clears a request that got a complete answer; returns whether it was a suspect.
    pub fn clear(&mut self, fingerprint: &Fingerprint, now: Instant) -> bool {
        if !self.is_suspect(fingerprint, now) {
            return false;
        }
        let entry = Entry {
            status: SuspectStatus::Cleared,
            set_at: now,
            engine: Name::default(),
        };
        self.insert(*fingerprint, entry, now);
        true
    }

    /// Returns the unexpired entries, to be sent to peers.
    pub fn export(&self, now: Instant) -> Vec<SharedSuspicion> {
        let live = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.time_left(now).is_zero());
        let shared = live.map(|(fingerprint, entry)| SharedSuspicion {
            fingerprint: *fingerprint,
            status: entry.status,
            age: now.saturating_duration_since(entry.set_at),
            engine: entry.engine.clone(),
        });
        shared.collect()
    }

    /// Merges a peer's entries.
    pub fn merge(&mut self, shared: &[SharedSuspicion], now: Instant) {
        for peer in shared {
            let Some(set_at) = now.checked_sub(peer.age) else {
                continue;
            };
            let mut entry = Entry {
                status: peer.status,
                set_at,
                engine: peer.engine.clone(),
            };
            let known = self.live(&peer.fingerprint, now);
            if let Some(known) = known.filter(|known| known.is_from_another_loss(&entry)) {
                entry.status = SuspectStatus::Quarantined;
                entry.set_at = set_at.max(known.set_at);
            }
            // An entry that expired here slightly earlier than at the peer must not return.
            let is_live = entry.time_left(now) > MERGE_TOLERANCE;
            if is_live && known.is_none_or(|known| replaces(&entry, known)) {
                self.insert(peer.fingerprint, entry, now);
            }
        }
    }

    /// Returns the number of unexpired entries.
    pub fn len(&self, now: Instant) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|entry| !entry.time_left(now).is_zero())
            .count()
    }

    /// Returns whether there are no unexpired entries.
    pub fn is_empty(&self, now: Instant) -> bool {
        self.len(now) == 0
    }

    fn live(&self, fingerprint: &Fingerprint, now: Instant) -> Option<&Entry> {
        let entry = self.entries.get(fingerprint)?;
        (!entry.time_left(now).is_zero()).then_some(entry)
    }

    fn insert(&mut self, fingerprint: Fingerprint, entry: Entry, now: Instant) {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&fingerprint) {
            self.evict_for_insert(now);
        }
        self.entries.insert(fingerprint, entry);
    }

    fn evict_for_insert(&mut self, now: Instant) {
        self.entries
            .retain(|_, entry| !entry.time_left(now).is_zero());
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let next_to_expire = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.time_left(now));
        if let Some(fingerprint) = next_to_expire.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&fingerprint);
        }
    }
}

/// Returns whether a peer's entry replaces the known one.
///
/// A quarantine takes precedence over any other status. Of equal statuses the later one
/// wins, but not one that is later only by the message's delay: two nodes that exchange it
/// would keep it from ever expiring.
fn replaces(new: &Entry, known: &Entry) -> bool {
    match (new.status, known.status) {
        (SuspectStatus::Quarantined, SuspectStatus::Cleared | SuspectStatus::Suspect) => true,
        (SuspectStatus::Cleared | SuspectStatus::Suspect, SuspectStatus::Quarantined) => false,
        (new_status, known_status) if new_status == known_status => {
            new.set_at > known.set_at + MERGE_TOLERANCE
        }
        (_, _) => new.set_at > known.set_at,
    }
}
