//! Versioned objects with conditional writes and watches.

use std::collections::BTreeMap;

use pomeloridge_base::id::Revision;
use serde::Serialize;
use serde_json::Value;

/// Maximum number of deleted objects kept for watches.
const MAX_TOMBSTONES: usize = 10_000;

/// An object as returned to clients; `value` is null if it was deleted.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) version: Revision,
    pub(crate) value: Option<Value>,
}

/// Reason for refusing a write.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WriteError {
    /// The current version, which differs from the expected one.
    Conflict(Revision),
    /// The object does not exist.
    Missing,
}

/// All objects and the revision of the last write.
#[derive(Debug, Default)]
pub(crate) struct Objects {
    entries: BTreeMap<String, Entry>,
    revision: Revision,
    /// Watches after an earlier revision are refused.
    compacted: Revision,
}

impl Objects {
    /// Returns the revision of the last write.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns an object; `None` if it is missing or deleted.
    pub(crate) fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key).filter(|entry| entry.value.is_some())
    }

    /// Writes an object if its version is `expect`; 0 means that it must not exist.
    pub(crate) fn put(
        &mut self,
        key: &str,
        expect: Option<u64>,
        value: Value,
    ) -> Result<Revision, WriteError> {
        self.check(key, expect)?;
        Ok(self.write(key, Some(value)))
    }

    /// Deletes an object if its version is `expect`.
    pub(crate) fn delete(
        &mut self,
        key: &str,
        expect: Option<u64>,
    ) -> Result<Revision, WriteError> {
        if self.get(key).is_none() {
            return Err(WriteError::Missing);
        }
        self.check(key, expect)?;
        let revision = self.write(key, None);
        self.prune_tombstones(MAX_TOMBSTONES);
        Ok(revision)
    }

    /// Returns the objects under a prefix.
    pub(crate) fn list(&self, prefix: &str) -> Vec<Entry> {
        let live = |entry: &&Entry| entry.value.is_some();
        self.with_prefix(prefix).filter(live).cloned().collect()
    }

    /// Returns the objects under a prefix written after a revision, oldest write first;
    /// `None` if the revision is compacted or in the future.
    pub(crate) fn changes(&self, prefix: &str, after: Revision) -> Option<Vec<Entry>> {
        if after < self.compacted || after > self.revision {
            return None;
        }
        let newer = |entry: &&Entry| entry.version > after;
        let mut changes: Vec<_> = self.with_prefix(prefix).filter(newer).cloned().collect();
        changes.sort_by_key(|entry| entry.version);
        Some(changes)
    }

    /// Removes all tombstones; watches after an earlier revision are refused.
    pub(crate) fn compact(&mut self) {
        self.prune_tombstones(0);
        self.compacted = self.revision;
    }

    fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Entry> {
        let from = self.entries.range(prefix.to_owned()..);
        from.map(|(_, entry)| entry)
            .take_while(move |entry| entry.key.starts_with(prefix))
    }

    fn check(&self, key: &str, expect: Option<u64>) -> Result<(), WriteError> {
        let current = self.get(key).map(|entry| entry.version).unwrap_or_default();
        match expect {
            Some(expect) if Revision(expect) != current => Err(WriteError::Conflict(current)),
            Some(_) | None => Ok(()),
        }
    }

    fn write(&mut self, key: &str, value: Option<Value>) -> Revision {
        self.revision.0 += 1;
        let entry = Entry {
            key: key.to_owned(),
            version: self.revision,
            value,
        };
        self.entries.insert(key.to_owned(), entry);
        self.revision
    }

    fn prune_tombstones(&mut self, keep: usize) {
        let deleted = |entry: &&Entry| entry.value.is_none();
        let mut versions: Vec<_> = self
            .entries
            .values()
            .filter(deleted)
            .map(|entry| entry.version)
            .collect();
        if versions.len() <= keep {
            return;
        }
        versions.sort_unstable();
        let last = versions[versions.len() - keep - 1];
        self.entries
            .retain(|_, entry| entry.value.is_some() || entry.version > last);
        self.compacted = self.compacted.max(last);
    }
}
