//! `pomeloridge serve`.

use std::path::Path;
use std::process::ExitCode;

use super::check::load_or_report;
use super::fail;
use crate::logging::{self, Output};
use crate::serve;

/// Standard output carries the node's addresses, so that its log goes to standard error.
const OUTPUT: Output = Output {
    to: || Box::new(std::io::stderr()),
    per_second: 20_000,
};

/// Runs a node until it has stopped gracefully.
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
