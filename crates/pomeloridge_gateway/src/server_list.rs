//! The platform's entries of servers as they were read, with the revision that they
//! stand for, so that nodes can hand them on to one another.

use std::collections::BTreeMap;

use pomeloridge_base::id::Revision;
use pomeloridge_platform::{Event, Object};

/// Changes of the list between two revisions.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerListDelta {
    /// Revision that the changes build on.
    pub from: Revision,
    /// Revision after them.
    pub to: Revision,
    /// Changes, oldest first.
    pub events: Vec<Event>,
}

/// Whether changes could be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// They were, or were known already.
    Applied,
    /// Earlier ones are missing.
    Gap,
}

/// The entries by key.
#[derive(Debug, Default)]
pub struct ServerList {
    revision: Option<Revision>,
    objects: BTreeMap<String, Object>,
}

impl ServerList {
    /// Revision of the list; `None` before it was read.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// The entries.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// Takes a whole list, unless a newer one is known.
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

    /// Takes changes; gives those that are new.
    pub fn apply(&mut self, change: &ServerListDelta) -> (ApplyOutcome, Vec<Event>) {
        let Some(known) = self.revision else {
            return (ApplyOutcome::Gap, Vec::new());
        };
        if change.from > known {
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
