//! Objects of the platform's object service.

use pomeloridge_base::id::Revision;
use serde_json::Value;

/// An object as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Path.
    pub key: String,
    /// Revision of the last write.
    pub version: Revision,
    /// Content.
    pub value: Value,
}

/// What a write expects of the object before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// Any state.
    Any,
    /// No object under this key.
    Absent,
    /// The object at this version.
    Version(Revision),
}

impl Expect {
    /// The expectation that the object is as it was found.
    pub fn found(object: Option<&Object>) -> Self {
        object.map_or(Self::Absent, |object| Self::Version(object.version))
    }
}

/// A change that a watch saw.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Path of the object.
    pub key: String,
    /// Revision of the change.
    pub version: Revision,
    /// New content; `None` where the object was deleted.
    pub value: Option<Value>,
}

impl Event {
    /// The object after the change; `None` where it was deleted.
    pub fn object(&self) -> Option<Object> {
        self.value.as_ref().map(|value| Object {
            key: self.key.clone(),
            version: self.version,
            value: value.clone(),
        })
    }
}

/// The answer of a watch.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// Revision to watch from the next time.
    pub revision: Revision,
    /// Changes, oldest first; empty if the wait ran out.
    pub events: Vec<Event>,
}
