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

/// Number of bits of a [`Revision`] and of an [`Epoch`] below the era. Both stay below 2^53, which
/// every JSON reader keeps exactly, for 8191 eras.
const ERA_SHIFT: u32 = 40;
/// Highest number within an era.
const NUMBER_MASK: u64 = (1 << ERA_SHIFT) - 1;

/// Era of the object service, which rises when the service is restored from an older copy and has
/// lost the changes since; 0 for a service without eras.
#[derive(
    Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, Hash, PartialOrd, Ord,
)]
pub struct Era(pub u64);

impl Era {
    /// Highest era that a [`Revision`] can hold.
    pub const MAX: Self = Self(u64::MAX >> ERA_SHIFT);

    /// Returns whether the service may have lost changes; the first era is 0 or 1.
    pub fn is_restored(self) -> bool {
        self.0 > 1
    }
}

/// Revision of an object in the object service; a greater one is newer.
///
/// A restored service gives revisions out again. The era in the high bits keeps them apart.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
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

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            Era(0) => write!(f, "{}", self.number()),
            era => write!(f, "{era}.{}", self.number()),
        }
    }
}

impl Revision {
    /// Returns the revision that the service gave out as `number` in an era.
    #[must_use]
    pub fn in_era(era: Era, number: u64) -> Self {
        let era = era.min(Era::MAX);
        Self(era.0 << ERA_SHIFT | number.min(NUMBER_MASK))
    }

    /// Returns the era.
    pub fn era(self) -> Era {
        Era(self.0 >> ERA_SHIFT)
    }

    /// Returns the number within the era, as the service knows it.
    pub fn number(self) -> u64 {
        self.0 & NUMBER_MASK
    }
}

/// Fencing token of a lease, which rises with each holder. In a service with eras the era is in
/// the high bits, as in a [`Revision`].
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

impl Epoch {
    /// Returns the era of the object service in which the lease was acquired.
    pub fn era(self) -> Era {
        Era(self.0 >> ERA_SHIFT)
    }
}

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
