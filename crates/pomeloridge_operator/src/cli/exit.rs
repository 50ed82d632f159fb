//! Exit codes of the operator commands.

use std::process::ExitCode;

/// Outcome of an operator command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The node refused the request; nothing was changed.
    Refused = 1,
    /// The command line or a file named in it is invalid; nothing was changed.
    Usage = 2,
    /// The node could not be reached or did not answer a read.
    Unreachable = 3,
    /// The object is at another revision than the expected one; nothing was changed.
    Conflict = 4,
    /// The change was sent and its outcome is unknown; read the object before repeating it.
    Unknown = 5,
}

impl Exit {
    /// Returns the exit code of the process.
    pub const fn code(self) -> u8 {
        self as u8
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
