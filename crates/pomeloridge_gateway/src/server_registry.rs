//! The register of backend servers: the platform's entries, with care after an
//! outage of the object service.
//!
//! Entries expire while servers can't write. Once the service answers again, the
//! entry of a live server is back within a short time; until then a server whose
//! entry is missing is kept, and after that it is gone.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::TargetInfo;

/// Time after the service's return for which missing entries are kept; live
/// servers write theirs within 2 s.
const LAPSE_GRACE: Duration = Duration::from_millis(2300);

#[derive(Clone, Debug)]
struct Entry {
    info: TargetInfo,
    missing: bool,
    /// Whether it was written since the last outage ended: then its removal is no lapse.
    renewed: bool,
}

/// The servers' entries by name.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    entries: HashMap<Name, Entry>,
    grace_end: Option<Instant>,
}

impl ServerRegistry {
    /// Notes that the service answers again after an outage.
    pub fn store_recovered(&mut self, now: Instant) {
        self.grace_end = Some(now + LAPSE_GRACE);
        for entry in self.entries.values_mut() {
            entry.renewed = false;
        }
    }

    /// Whether missing entries are kept for now.
    pub fn in_grace(&self) -> bool {
        self.grace_end.is_some()
    }

    /// Ends the time for which missing entries are kept: the service was there for
    /// others all the while, so that no entry has lapsed.
    pub fn end_grace(&mut self, now: Instant) {
        self.grace_end = self.grace_end.map(|end| end.min(now));
    }

    /// Takes a server's entry; says whether anything changed.
    pub fn upsert(&mut self, name: Name, info: TargetInfo) -> bool {
        let before = self.entries.get(&name);
        let changed = before.is_none_or(|before| before.info != info);
        let entry = Entry {
            info,
            missing: false,
            renewed: true,
        };
        self.entries.insert(name, entry);
        changed
    }

    /// Takes the removal of an entry; says whether the server is gone by it.
    pub fn remove(&mut self, name: &Name, now: Instant) -> bool {
        if self.grace_end.is_some_and(|end| now < end)
            && let Some(entry) = self.entries.get_mut(name)
            && !entry.renewed
        {
            entry.missing = true;
            return false;
        }
        self.entries.remove(name).is_some()
    }

    /// Takes a whole list: entries that it lacks are treated as removed.
    pub fn replace(&mut self, list: Vec<(Name, TargetInfo)>, now: Instant) -> bool {
        let missing = self.entries.keys();
        let missing: Vec<Name> = missing
            .filter(|name| !list.iter().any(|(listed, _)| listed == *name))
            .cloned()
            .collect();
        let mut changed = false;
        for name in missing {
            changed |= self.remove(&name, now);
        }
        for (name, info) in list {
            changed |= self.upsert(name, info);
        }
        changed
    }

    /// Drops what is still missing once the time after an outage has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Name> {
        if self.grace_end.is_none_or(|end| now < end) {
            return Vec::new();
        }
        self.grace_end = None;
        let missing = self.entries.iter().filter(|(_, entry)| entry.missing);
        let gone: Vec<Name> = missing.map(|(name, _)| name.clone()).collect();
        for name in &gone {
            self.entries.remove(name);
        }
        gone
    }

    /// The servers.
    pub fn servers(&self) -> impl Iterator<Item = &TargetInfo> {
        self.entries.values().map(|entry| &entry.info)
    }
}
