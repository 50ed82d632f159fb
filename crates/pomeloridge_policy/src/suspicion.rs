//! Requests that may have crashed an engine.
//!
//! When an engine is lost, each request in flight there becomes a suspect. A
//! suspect runs again on an engine that has no other suspect, beside ordinary
//! requests: an innocent one is cleared by its answer. If that engine is lost as
//! well, the suspect is what the two losses have in common, and is quarantined
//! for a time; the ordinary requests become suspects of the second loss.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_base::id::Name;
use sha2::{Digest, Sha256};

/// Time after which a suspicion ends by itself.
pub const SUSPECT_TTL: Duration = Duration::from_mins(2);
/// Time for which a request is quarantined.
pub const QUARANTINE_TTL: Duration = Duration::from_mins(10);
/// Difference of age below which a peer's entry is the one already known.
const MERGE_SLACK: Duration = Duration::from_secs(1);
/// Entries kept; the oldest go first.
const ENTRIES_KEPT: usize = 4096;

/// What makes two requests the same: account, route and body.
///
/// Shown as its first bytes, which tell requests apart in a log.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{}", hex::encode(&_0[..8]))]
pub struct Fingerprint(pub [u8; 32]);

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(account: &Name, route: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [account.as_bytes(), route.as_bytes(), body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash.finalize().into())
    }
}

/// A request that runs on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// Which one.
    pub fingerprint: Fingerprint,
    /// Whether it was a suspect when it was sent there.
    pub suspect: bool,
}

/// What is thought of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SuspectStatus {
    /// It was answered after it had been a suspect.
    #[display("cleared")]
    Cleared,
    /// An engine was lost while it ran there.
    #[display("suspect")]
    Suspect,
    /// A second engine was lost while it ran there alone.
    #[display("quarantined")]
    Quarantined,
}

/// How a request may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// Like any other.
    Normal,
    /// On an engine without another suspect.
    Isolate,
    /// Not at all, for this time.
    Refuse(Duration),
}

/// An entry as it is told to peers; ages need no common clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedSuspicion {
    /// Request.
    pub fingerprint: Fingerprint,
    /// What is thought of it.
    pub status: SuspectStatus,
    /// Time since that was found.
    pub age: Duration,
    /// Engine whose loss it was found by.
    pub engine: Name,
}

#[derive(Clone, Debug)]
struct Entry {
    status: SuspectStatus,
    at: Instant,
    engine: Name,
}

impl Entry {
    fn ttl(&self) -> Duration {
        match self.status {
            SuspectStatus::Cleared | SuspectStatus::Suspect => SUSPECT_TTL,
            SuspectStatus::Quarantined => QUARANTINE_TTL,
        }
    }

    /// Whether another node found another engine lost under the request.
    fn is_other_loss(&self, other: &Self) -> bool {
        let suspects = [self, other].map(|entry| entry.status == SuspectStatus::Suspect);
        suspects == [true; 2] && self.engine != other.engine
    }

    fn left(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.at);
        self.ttl().saturating_sub(age)
    }
}

/// The suspects known to a node.
#[derive(Debug, Default)]
pub struct Suspicions {
    entries: HashMap<Fingerprint, Entry>,
}

impl Suspicions {
    /// How a request may be run.
    pub fn treatment(&self, fingerprint: &Fingerprint, now: Instant) -> Treatment {
        let Some(entry) = self.live(fingerprint, now) else {
            return Treatment::Normal;
        };
        match entry.status {
            SuspectStatus::Cleared => Treatment::Normal,
            SuspectStatus::Suspect => Treatment::Isolate,
            SuspectStatus::Quarantined => Treatment::Refuse(entry.left(now)),
        }
    }

    /// Whether a request may run only on an engine without another suspect.
    pub fn is_suspect(&self, fingerprint: &Fingerprint, now: Instant) -> bool {
        self.treatment(fingerprint, now) == Treatment::Isolate
    }

    /// Notes that an engine was lost while these requests ran there.
    ///
    /// Each request that ran there tells of the same loss; only the first one
    /// counts, unless the request had been sent there as a suspect.
    pub fn engine_lost(&mut self, engine: &Name, in_flight: &[InFlight], now: Instant) {
        for request in in_flight {
            let known = self.live(&request.fingerprint, now);
            let second = known.is_some_and(|known| {
                let elsewhere = known.status == SuspectStatus::Suspect && known.engine != *engine;
                request.suspect || elsewhere
            });
            let status = match known.map(|known| known.status) {
                Some(SuspectStatus::Quarantined) => continue,
                _ if second => SuspectStatus::Quarantined,
                _ => SuspectStatus::Suspect,
            };
            let entry = Entry {
                status,
                at: now,
                engine: engine.clone(),
            };
            self.insert(request.fingerprint, entry, now);
        }
    }

    /// Clears a request that was answered whole; says whether it was a suspect.
    pub fn clear(&mut self, fingerprint: &Fingerprint, now: Instant) -> bool {
        if !self.is_suspect(fingerprint, now) {
            return false;
        }
        let entry = Entry {
            status: SuspectStatus::Cleared,
            at: now,
            engine: Name::default(),
        };
        self.insert(*fingerprint, entry, now);
        true
    }

    /// What peers should know.
    pub fn export(&self, now: Instant) -> Vec<SharedSuspicion> {
        let live = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.left(now).is_zero());
        let shared = live.map(|(fingerprint, entry)| SharedSuspicion {
            fingerprint: *fingerprint,
            status: entry.status,
            age: now.saturating_duration_since(entry.at),
            engine: entry.engine.clone(),
        });
        shared.collect()
    }

    /// Takes what a peer knows.
    pub fn merge(&mut self, shared: &[SharedSuspicion], now: Instant) {
        for peer in shared {
            let Some(at) = now.checked_sub(peer.age) else {
                continue;
            };
            let mut entry = Entry {
                status: peer.status,
                at,
                engine: peer.engine.clone(),
            };
            let known = self.live(&peer.fingerprint, now);
            if let Some(known) = known.filter(|known| known.is_other_loss(&entry)) {
                entry.status = SuspectStatus::Quarantined;
                entry.at = at.max(known.at);
            }
            // An entry that expired here a moment earlier than at the peer must
            // not come back from there.
            let lasts = entry.left(now) > MERGE_SLACK;
            if lasts && known.is_none_or(|known| replaces(&entry, known)) {
                self.insert(peer.fingerprint, entry, now);
            }
        }
    }

    /// Entries that have not expired.
    pub fn len(&self, now: Instant) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| !entry.left(now).is_zero()).count()
    }

    /// Whether nothing is known of any request.
    pub fn is_empty(&self, now: Instant) -> bool {
        self.len(now) == 0
    }

    fn live(&self, fingerprint: &Fingerprint, now: Instant) -> Option<&Entry> {
        let entry = self.entries.get(fingerprint)?;
        (!entry.left(now).is_zero()).then_some(entry)
    }

    fn insert(&mut self, fingerprint: Fingerprint, entry: Entry, now: Instant) {
        if self.entries.len() >= ENTRIES_KEPT && !self.entries.contains_key(&fingerprint) {
            self.make_room(now);
        }
        self.entries.insert(fingerprint, entry);
    }

    fn make_room(&mut self, now: Instant) {
        self.entries.retain(|_, entry| !entry.left(now).is_zero());
        if self.entries.len() < ENTRIES_KEPT {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.left(now));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&fingerprint);
        }
    }
}

/// Whether a peer's entry takes the place of the known one.
///
/// A quarantine outlasts what else is said of the request. Of equal standings
/// the later one counts, but not one that is later only by the time of the
/// message: entries would never grow old between two nodes.
fn replaces(new: &Entry, known: &Entry) -> bool {
    match (new.status, known.status) {
        (SuspectStatus::Quarantined, SuspectStatus::Cleared | SuspectStatus::Suspect) => true,
        (SuspectStatus::Cleared | SuspectStatus::Suspect, SuspectStatus::Quarantined) => false,
        (new_standing, known_standing) if new_standing == known_standing => {
            new.at > known.at + MERGE_SLACK
        }
        (_, _) => new.at > known.at,
    }
}
