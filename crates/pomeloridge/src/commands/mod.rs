//! One module a command.

pub(crate) mod check;
pub(crate) mod operator;
pub(crate) mod serve;

/// Exit code for faults in settings or arguments.
pub(crate) const EXIT_USAGE: u8 = 2;
