//! Objects of the platform's object service.

use pomeloridge_base::id::Revision;
use serde_json::Value;

/// An object and its version.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Path within the object service.
    pub key: String,
    /// Revision of the last write.
    pub version: Revision,
    /// JSON content.
    pub value: Value,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// None.
    Any,
    /// No object has this key.
    Absent,
    /// The object is at this version.
    Version(Revision),
}

impl Expect {
    /// Returns the precondition that the object has not changed since it was read.
    pub fn unchanged(object: Option<&Object>) -> Self {
        object.map_or(Self::Absent, |object| Self::Version(object.version))
    }
}

/// A write or deletion reported by a watch.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Path of the object.
    pub key: String,
    /// Revision of the change.
    pub version: Revision,
    /// New content; `None` if the object was deleted.
    pub value: Option<Value>,
}

impl Event {
    /// Returns the object after the change; `None` if it was deleted.
    pub fn object(&self) -> Option<Object> {
        self.value.as_ref().map(|value| Object {
            key: self.key.clone(),
            version: self.version,
            value: value.clone(),
        })
    }
}

/// The changes that a watch reported.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// Revision from which to start the next watch.
    pub revision: Revision,
    /// Changes, oldest first; empty if the wait timed out.
    pub events: Vec<Event>,
}
