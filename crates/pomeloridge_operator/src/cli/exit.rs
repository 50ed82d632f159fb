//! Exit codes of the operator commands.

use std::process::ExitCode;

/// How an operator command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The node did what was asked.
    Done = 0,
    /// The node refused; nothing was changed.
    Refused = 1,
    /// The command line or a file it names is wrong; nothing was changed.
    Usage = 2,
    /// The node could not be reached or did not answer a read.
    Unreachable = 3,
    /// The object was changed by someone else; nothing was changed.
    Conflict = 4,
    /// The change was sent and its outcome is unknown; read before repeating it.
    Unknown = 5,
}

impl Exit {
    /// The number given to the operating system.
    pub const fn code(self) -> u8 {
        self as u8
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
