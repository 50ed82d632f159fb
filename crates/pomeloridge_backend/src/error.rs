//! Errors of calls to backend servers, by whether the request may have run.

use displaydoc::Display;
use pomeloridge_base::http::Fault;

/// A failed call to a backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum BackendError {
    /// the server could not be connected to; nothing was written
    Connect,
    /// the server refused the request before any work
    Refused,
    /// the connection was lost after the request had been written
    Lost,
    /// the server sent nothing until the deadline
    Silent,
    /// the answer belongs to another request
    Crossed,
    /// the answer is malformed
    Broken,
    /// the server rejected the request as wrong
    Rejected,
}

impl BackendError {
    /// Returns whether the server can't have run any part of the request.
    pub fn not_run(self) -> bool {
        match self {
            Self::Connect | Self::Refused => true,
            Self::Lost | Self::Silent | Self::Crossed | Self::Broken | Self::Rejected => false,
        }
    }

    /// Returns whether the server is probably down.
    pub fn indicates_server_down(self) -> bool {
        match self {
            Self::Connect | Self::Lost | Self::Silent => true,
            Self::Refused | Self::Crossed | Self::Broken | Self::Rejected => false,
        }
    }
}

impl std::error::Error for BackendError {}

impl From<Fault> for BackendError {
    fn from(fault: Fault) -> Self {
        match fault {
            Fault::Connect(_) => Self::Connect,
            Fault::Timeout => Self::Silent,
            Fault::Closed | Fault::Io(_) => Self::Lost,
            Fault::Malformed(_)
            | Fault::HeadTooLarge
            | Fault::BodyTooLarge
            | Fault::OutOfMemory => Self::Broken,
        }
    }
}
