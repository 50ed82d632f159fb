//! Errors of links and of calls between nodes.

use std::io;

use derive_more::From;
use displaydoc::Display;
use tonic::Status;

/// Failure to open a link or to complete a call.
#[derive(Debug, Display, From)]
pub enum LinkError {
    /// the node could not be reached: {0}
    Connect(io::Error),
    /// HTTP/2 failed: {0}
    Http(hyper::Error),
    /// the node refused the call: {0}
    Refused(Box<Status>),
    /// the node did not prove the fleet secret
    Unproved,
    /// the call took longer than its deadline
    Deadline,
    /// the node sent an invalid message: {0}
    Wire(WireFault),
    /// the node is not known
    Unknown,
    /// the node called itself
    Own,
}

impl std::error::Error for LinkError {}

impl From<Status> for LinkError {
    fn from(status: Status) -> Self {
        Self::Refused(Box::new(status))
    }
}

/// Invalid part of a received message.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum WireFault {
    /// a member is missing
    Member,
    /// an address is not IP:PORT
    Address,
    /// a state is unknown
    State,
    /// a configuration object is not JSON
    Json,
    /// a figure is not a finite number of at least zero
    Figure,
    /// a fingerprint does not have 32 bytes
    Fingerprint,
}

impl std::error::Error for WireFault {}

impl From<WireFault> for Status {
    fn from(fault: WireFault) -> Self {
        Self::invalid_argument(fault.to_string())
    }
}
