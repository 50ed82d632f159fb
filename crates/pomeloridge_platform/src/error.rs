//! Errors of calls to the platform.

use displaydoc::Display;
use pomeloridge_base::http::Fault;
use pomeloridge_base::id::Revision;

/// Reason why a call to the platform failed.
#[derive(Debug, Display)]
pub enum PlatformError {
    /// cannot connect to the platform; no request was sent: {0}
    Unreachable(Fault),
    /// the request was sent but its outcome is unknown: {0}
    Unconfirmed(Fault),
    /// the platform is unavailable
    Outage,
    /// the object is at version {current}, not at the expected one
    Conflict {
        /// Version of the object; 0 if there is none.
        current: Revision,
    },
    /// no object has this key
    NotFound,
    /// the fencing token is lower than one that the platform has seen
    Stale,
    /// the usage window was already reported with different counts
    Differs,
    /// the usage window may have been reported with counts that the platform has lost
    InDoubt,
    /// the watch starts at a revision that the platform no longer stores
    TooOld,
    /// the service was restored again and again while a list was read
    Restored,
    /// the platform refused the request with status {0}
    Refused(u16),
    /// malformed response or object: {0}
    Malformed(String),
    /// the key contains a character that is not allowed in a path: {0:?}
    BadKey(String),
    /// authority ended before the request could be sent
    Lapsed,
}

impl std::error::Error for PlatformError {}

impl PlatformError {
    /// Returns whether the call may have taken effect despite the error.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Unconfirmed(_))
    }
}
