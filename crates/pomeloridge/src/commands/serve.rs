//! `pomeloridge serve`.

use std::path::Path;
use std::process::ExitCode;

use super::check::load_or_report;
use crate::{logging, serve};

/// Runs a node until it has stopped gracefully.
pub(crate) fn run(path: &Path) -> ExitCode {
    let settings = match load_or_report(path) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let writer = match logging::start(&settings) {
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

fn fail(error: &str) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}
