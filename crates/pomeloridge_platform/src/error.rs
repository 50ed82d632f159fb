//! The closed list of what can go wrong when the platform is called.

use displaydoc::Display;
use pomeloridge_base::http::Fault;
use pomeloridge_base::id::Revision;

/// A call to the platform that did not succeed.
#[derive(Debug, Display)]
pub enum PlatformError {
    /// the platform cannot be reached and nothing was written: {0}
    Unreachable(Fault),
    /// the call was written and its answer was lost, so its outcome is unknown: {0}
    Unconfirmed(Fault),
    /// the platform has an outage
    Outage,
    /// the object is at version {current} and not at the expected one
    Conflict {
        /// Version of the object; 0 if there is none.
        current: Revision,
    },
    /// no object has this key
    NotFound,
    /// the fencing number is lower than one that the platform has seen
    Stale,
    /// the usage window was reported before with other figures
    Differs,
    /// the watch starts at a revision that the platform no longer keeps
    TooOld,
    /// the platform refused the call with status {0}
    Refused(u16),
    /// the platform's answer cannot be read: {0}
    Malformed(String),
    /// the key holds a character that is not allowed in a path: {0:?}
    BadKey(String),
    /// the authority to order ran out before the call was written
    Lapsed,
}

impl std::error::Error for PlatformError {}

impl PlatformError {
    /// Whether the call may have taken effect all the same.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Unconfirmed(_))
    }
}
