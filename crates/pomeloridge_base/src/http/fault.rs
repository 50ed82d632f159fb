//! Errors of reading and writing HTTP messages.

use std::io;

use displaydoc::Display;

/// Error while an HTTP message is sent or received.
#[derive(Debug, Display)]
pub enum Fault {
    /// the connection could not be opened: {0}
    Connect(io::Error),
    /// the deadline passed
    Timeout,
    /// the peer closed the connection before the message was whole
    Closed,
    /// the connection failed: {0}
    Io(io::Error),
    /// the message is malformed: {0}
    Malformed(&'static str),
    /// the message head is over the limit
    HeadTooLarge,
    /// the message body is over the limit
    BodyTooLarge,
    /// the messages that are being read hold too many bytes
    OutOfMemory,
}

impl std::error::Error for Fault {}

impl From<io::Error> for Fault {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut => Self::Timeout,
            _ => Self::Io(error),
        }
    }
}
