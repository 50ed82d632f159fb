//! The registry of backend servers: the entries of the object service, with a grace time for
//! missing entries after an outage of the service.
//!
//! During an outage servers cannot renew their entries, which expire. Once the service answers
//! again, a live server writes its entry within a short time. Until then, a server whose entry
//! is missing stays in the registry; after that it is removed.
//!
//! A service that is restored from an older copy also lists entries as they were: of servers that
//! have left since, or that have restarted. Servers write their entries again within the same
//! time. Until then, an entry that would bring such a server back is withheld.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::TargetInfo;

/// Time after an outage for which servers with missing entries are kept; live servers write
/// their entries within 2 s.
pub(crate) const REMOVAL_GRACE: Duration = Duration::from_millis(2300);

/// Time for which the removal of a server is remembered; copies of the service are younger.
const REMOVAL_MEMORY: Duration = Duration::from_mins(1);

#[derive(Clone, Debug)]
struct Entry {
    info: TargetInfo,
    missing: bool,
    /// Whether the entry was written since the last outage ended. If so, its removal is not an
    /// effect of the outage.
    renewed: bool,
}

/// A removed server.
#[derive(Clone, Copy, Debug)]
struct Removed {
    started_unix_ms: u64,
    at: Instant,
}

/// Backend servers by name.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    entries: HashMap<Name, Entry>,
    grace_end: Option<Instant>,
    /// End of the grace time that followed a restore of the service; `None` if the current one
    /// follows no restore.
    restored_end: Option<Instant>,
    /// Entries of a restored service that would bring back servers that had left.
    withheld: HashMap<Name, TargetInfo>,
    /// Servers that were removed lately.
    removed: HashMap<Name, Removed>,
    /// Removals by time, including those of servers that are back.
    removals: VecDeque<(Instant, Name)>,
}

impl ServerRegistry {
    /// Starts the grace time, as the object service answers again after an outage.
    pub fn store_recovered(&mut self, now: Instant) {
        self.grace_end = Some(now + REMOVAL_GRACE);
        for entry in self.entries.values_mut() {
            entry.renewed = false;
        }
    }

    /// Starts the grace time, as the object service is back from an older copy.
    pub fn store_restored(&mut self, now: Instant) {
        self.store_recovered(now);
        self.restored_end = self.grace_end;
    }

    /// Returns whether servers with missing entries are kept for now.
    pub fn in_grace(&self) -> bool {
        self.grace_end.is_some()
    }

    /// Returns whether this is the grace time after a restore of the service.
    pub fn is_restored(&self) -> bool {
        self.restored_end.is_some()
    }

    /// Ends the grace time early: other nodes reached the service all the time, so that there was
    /// no outage in which entries could expire. A restored service has lost entries for all nodes,
    /// so the grace time after a restore stays.
    pub fn end_grace(&mut self, now: Instant) {
        let earliest = self.restored_end.map_or(now, |end| end.max(now));
        self.grace_end = self.grace_end.map(|end| end.min(earliest));
    }

    /// Adds or updates a server's entry. Returns whether anything changed.
    pub fn upsert(&mut self, name: Name, info: TargetInfo) -> bool {
        self.withheld.remove(&name);
        self.removed.remove(&name);
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
        self.withheld.remove(name);
        if self.grace_end.is_some_and(|end| now < end)
            && let Some(entry) = self.entries.get_mut(name)
            && !entry.renewed
        {
            entry.missing = true;
            return false;
        }
        self.drop_entry(name, now)
    }

    /// Removes an entry and remembers that. Returns whether there was one.
    fn drop_entry(&mut self, name: &Name, now: Instant) -> bool {
        let Some(entry) = self.entries.remove(name) else {
            return false;
        };
        self.forget_removals(now);
        let removed = Removed {
            started_unix_ms: entry.info.started_unix_ms,
            at: now,
        };
        self.removed.insert(name.clone(), removed);
        self.removals.push_back((now, name.clone()));
        true
    }

    /// Forgets the removals that are older than [`REMOVAL_MEMORY`].
    fn forget_removals(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= REMOVAL_MEMORY;
        while let Some((at, name)) = self.removals.pop_front_if(|(at, _)| is_old(*at)) {
            let latest = self.removed.get(&name);
            if latest.is_some_and(|latest| latest.at == at) {
                self.removed.remove(&name);
            }
        }
    }

    /// Returns whether a listed entry is older than what is known of its server, so that it would
    /// bring back a server that had left.
    fn is_outdated(&self, name: &Name, info: &TargetInfo) -> bool {
        if let Some(known) = self.entries.get(name) {
            let is_same_start = info.started_unix_ms == known.info.started_unix_ms;
            let returns = is_same_start && known.info.leaving && !info.leaving;
            return returns || info.started_unix_ms < known.info.started_unix_ms;
        }
        let removed = self.removed.get(name);
        removed.is_some_and(|removed| info.started_unix_ms <= removed.started_unix_ms)
    }

    /// Replaces all entries: those that the list lacks are handled as removed. Returns whether
    /// anything changed.
    ///
    /// In the grace time after a restore, entries that would bring servers back are withheld.
    pub fn replace(&mut self, list: Vec<(Name, TargetInfo)>, now: Instant) -> bool {
        let listed: HashSet<&Name> = list.iter().map(|(name, _)| name).collect();
        let missing = self.entries.keys();
        let missing = missing.filter(|name| !listed.contains(name));
        let missing: Vec<Name> = missing.cloned().collect();
        let mut changed = false;
        for name in missing {
            changed |= self.remove(&name, now);
        }
        let in_doubt = self.restored_end.is_some() && self.grace_end.is_some_and(|end| now < end);
        for (name, info) in list {
            if in_doubt && self.is_outdated(&name, &info) {
                self.withheld.insert(name, info);
            } else {
                changed |= self.upsert(name, info);
            }
        }
        changed
    }

    /// Accepts the withheld entries that no server has written again in the grace time, and
    /// returns their names.
    pub fn accept_withheld(&mut self, now: Instant) -> Vec<Name> {
        if self.grace_end.is_none_or(|end| now < end) {
            return Vec::new();
        }
        let withheld: Vec<(Name, TargetInfo)> = self.withheld.drain().collect();
        let names = withheld.iter().map(|(name, _)| name.clone()).collect();
        for (name, info) in withheld {
            self.upsert(name, info);
        }
        names
    }

    /// Removes the servers whose entries are still missing after the grace time, and returns
    /// their names.
    pub fn expire(&mut self, now: Instant) -> Vec<Name> {
        if self.grace_end.is_none_or(|end| now < end) {
            return Vec::new();
        }
        self.grace_end = None;
        self.restored_end = None;
        let missing = self.entries.iter().filter(|(_, entry)| entry.missing);
        let expired: Vec<Name> = missing.map(|(name, _)| name.clone()).collect();
        for name in &expired {
            self.drop_entry(name, now);
        }
        expired
    }

    /// Returns the servers.
    pub fn servers(&self) -> impl Iterator<Item = &TargetInfo> {
        self.entries.values().map(|entry| &entry.info)
    }
}
