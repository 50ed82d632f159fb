//! The server entries of the object service as they were read, with their revision, so that
//! nodes can pass them on to one another.

use std::collections::BTreeMap;

use pomeloridge_base::id::Revision;
use pomeloridge_platform::{Event, Object};

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
            match event.object() {
                Some(object) => self.objects.insert(event.key.clone(), object),
                None => self.objects.remove(&event.key),
            };
        }
        self.revision = Some(known.max(change.to));
        (ApplyOutcome::Applied, new)
    }
}
