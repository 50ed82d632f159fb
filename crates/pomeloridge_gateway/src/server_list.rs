//! The server entries of the object service as they were read, with their revision, so that
//! nodes can pass them on to one another.
//!
//! A node that missed some changes reads only these from a peer: the entries that were written since
//! the revision that it has, and the keys of those that were removed.

use std::collections::{BTreeMap, VecDeque};

use pomeloridge_base::id::Revision;
use pomeloridge_platform::{Event, Object};

/// Maximum number of removals that are remembered for peers that missed them.
const MAX_REMOVALS: usize = 4096;

/// Changes of the server list between two revisions.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerListDelta {
    /// Revision before the changes.
    pub from: Revision,
    /// Revision after the changes.
    pub to: Revision,
    /// Changes, oldest first.
    pub events: Vec<Event>,
}

/// The outcome of applying changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The changes have been applied, or were already known.
    Applied,
    /// Earlier changes are missing.
    Gap,
}

/// Server entries by key.
#[derive(Debug, Default)]
pub struct ServerList {
    revision: Option<Revision>,
    objects: BTreeMap<String, Object>,
    /// Latest removals, oldest first.
    removals: VecDeque<(Revision, String)>,
    /// Revision after which no removal is missing in `removals`.
    removals_since: Revision,
}

impl ServerList {
    /// Returns the revision of the list, or `None` until it has been read.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns the entries.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// Replaces the list unless a newer one is known. Returns whether it was replaced.
    pub fn replace(&mut self, revision: Revision, objects: &[Object]) -> bool {
        if self.revision.is_some_and(|known| known > revision) {
            return false;
        }
        self.revision = Some(revision);
        // An entry may have been written and removed again between the two lists.
        self.removals.clear();
        self.removals_since = revision;
        let entries = objects.iter();
        self.objects = entries
            .map(|object| (object.key.clone(), object.clone()))
            .collect();
        true
    }

    /// Applies changes. Returns the outcome and those changes that were not yet known.
    pub fn apply(&mut self, change: &ServerListDelta) -> (ApplyOutcome, Vec<Event>) {
        let Some(known) = self.revision else {
            return (ApplyOutcome::Gap, Vec::new());
        };
        // A watch ends with its era, so that changes of two eras come from no watch.
        if change.from > known || change.from.era() != change.to.era() {
            return (ApplyOutcome::Gap, Vec::new());
        }
        let new: Vec<Event> = change
            .events
            .iter()
            .filter(|event| event.version > known)
            .cloned()
            .collect();
        for event in &new {
            if let Some(object) = event.object() {
                self.objects.insert(event.key.clone(), object);
            } else {
                self.objects.remove(&event.key);
                self.record_removal(event.version, event.key.clone());
            }
        }
        self.revision = Some(known.max(change.to));
        (ApplyOutcome::Applied, new)
    }

    fn record_removal(&mut self, revision: Revision, key: String) {
        if self.removals.len() == MAX_REMOVALS
            && let Some((oldest, _)) = self.removals.pop_front()
        {
            self.removals_since = oldest;
        }
        self.removals.push_back((revision, key));
    }

    /// Returns the changes after an earlier revision, or `None` if they are not known: the
    /// revision is of another era, or removals since then have been forgotten.
    pub fn changes_since(&self, after: Revision) -> Option<ServerListDelta> {
        let revision = self.revision?;
        if after.era() != revision.era() || after < self.removals_since {
            return None;
        }
        let written = self.objects.values();
        let written = written.filter(|object| object.version > after);
        let written = written.map(|object| Event {
            key: object.key.clone(),
            version: object.version,
            value: Some(object.value.clone()),
        });
        let removed = self.removals.iter();
        let removed = removed.filter(|(version, _)| *version > after);
        let removed = removed.map(|(version, key)| Event {
            key: key.clone(),
            version: *version,
            value: None,
        });
        let mut events: Vec<Event> = removed.chain(written).collect();
        events.sort_by_key(|event| event.version);
        Some(ServerListDelta {
            from: after,
            to: revision.max(after),
            events,
        })
    }
}
