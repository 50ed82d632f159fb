//! `pomeloridge serve`.

use std::path::Path;
use std::process::ExitCode;

use super::check::load_or_report;
use super::fail;
use crate::logging::{self, Output};
use crate::serve;

/// The log goes to standard error, as standard output is for the node's addresses.
const OUTPUT: Output = Output {
    open: || Box::new(std::io::stderr()),
    max_per_second: 20_000,
};

/// Runs a node until it has shut down.
pub(crate) fn run(path: &Path) -> ExitCode {
    let settings = match load_or_report(path) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let writer = match logging::start(&settings, OUTPUT) {
        Ok(writer) => writer,
        Err(error) => return fail(&format!("logging cannot start: {error}")),
    };
    let result = serve::run(settings);
    drop(writer);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}
