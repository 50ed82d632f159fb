//! Identifiers: names, stored as bytes, and numbers.

use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use derive_more::{Display, From, Into};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Name of a client account, model, data centre, backend server or node.
#[derive(Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Name(Bytes);

impl Name {
    /// Returns the bytes of the name.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns whether the name is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the name as text, or an empty string if it is not UTF-8.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self(Bytes::copy_from_slice(text.as_bytes()))
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Self(Bytes::from(text))
    }
}

impl FromStr for Name {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self::from(text))
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.as_str())
    }
}

impl Serialize for Name {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer).map(Self::from)
    }
}

/// Revision of an object in the object service; a greater one is newer.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Fencing token of a lease: the number of holders that it has had so far.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// Identifies one start of a node; a restart under the same name gets a greater number.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);
