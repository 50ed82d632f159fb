//! Subcommands, one module each.

pub(crate) mod check;
pub(crate) mod explain;
pub(crate) mod gateway;
pub(crate) mod operator;
pub(crate) mod serve;

/// Exit code for problems in settings or arguments.
pub(crate) const EXIT_USAGE: u8 = 2;

/// Prints an error and returns the exit code of a failure.
pub(crate) fn fail(error: &str) -> std::process::ExitCode {
    eprintln!("{error}");
    std::process::ExitCode::FAILURE
}
