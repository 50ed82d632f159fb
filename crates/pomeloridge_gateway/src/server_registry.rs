//! The registry of backend servers: the entries of the object service, with a grace time for
//! missing entries after an outage of the service.
//!
//! During an outage servers cannot renew their entries, which expire. Once the service answers
//! again, a live server writes its entry within a short time. Until then, a server whose entry
//! is missing stays in the registry; after that it is removed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::TargetInfo;

/// Time after an outage for which servers with missing entries are kept; live servers write
/// their entries within 2 s.
const REMOVAL_GRACE: Duration = Duration::from_millis(2300);

#[derive(Clone, Debug)]
struct Entry {
    info: TargetInfo,
    missing: bool,
    /// Whether the entry was written since the last outage ended. If so, its removal is not an
    /// effect of the outage.
    renewed: bool,
}

/// Backend servers by name.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    entries: HashMap<Name, Entry>,
    grace_end: Option<Instant>,
}

impl ServerRegistry {
    /// Starts the grace time, as the object service answers again after an outage.
    pub fn store_recovered(&mut self, now: Instant) {
        self.grace_end = Some(now + REMOVAL_GRACE);
        for entry in self.entries.values_mut() {
            entry.renewed = false;
        }
    }

    /// Returns whether servers with missing entries are kept for now.
    pub fn in_grace(&self) -> bool {
        self.grace_end.is_some()
    }

    /// Ends the grace time early: other nodes reached the service all the time, so that there was
    /// no outage in which entries could expire.
    pub fn end_grace(&mut self, now: Instant) {
        self.grace_end = self.grace_end.map(|end| end.min(now));
    }

    /// Adds or updates a server's entry. Returns whether anything changed.
    pub fn upsert(&mut self, name: Name, info: TargetInfo) -> bool {
        let previous = self.entries.get(&name);
        let changed = previous.is_none_or(|previous| previous.info != info);
        let entry = Entry {
            info,
            missing: false,
            renewed: true,
        };
        self.entries.insert(name, entry);
        changed
    }

    /// Handles the removal of an entry. Returns whether the server was removed, rather than kept
    /// for the grace time.
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

    /// Replaces all entries: those that the list lacks are handled as removed. Returns whether
    /// anything changed.
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

    /// Removes the servers whose entries are still missing after the grace time, and returns
    /// their names.
    pub fn expire(&mut self, now: Instant) -> Vec<Name> {
        if self.grace_end.is_none_or(|end| now < end) {
            return Vec::new();
        }
        self.grace_end = None;
        let missing = self.entries.iter().filter(|(_, entry)| entry.missing);
        let expired: Vec<Name> = missing.map(|(name, _)| name.clone()).collect();
        for name in &expired {
            self.entries.remove(name);
        }
        expired
    }

    /// Returns the servers.
    pub fn servers(&self) -> impl Iterator<Item = &TargetInfo> {
        self.entries.values().map(|entry| &entry.info)
    }
}
