//! One module a command.

pub(crate) mod check;
pub(crate) mod explain;
pub(crate) mod gateway;
pub(crate) mod operator;
pub(crate) mod serve;

/// Exit code for faults in settings or arguments.
pub(crate) const EXIT_USAGE: u8 = 2;

/// Reports why a command could not run.
pub(crate) fn fail(error: &str) -> std::process::ExitCode {
    eprintln!("{error}");
    std::process::ExitCode::FAILURE
}
