//! `pomeloridge check`.

use std::path::Path;
use std::process::ExitCode;

use pomeloridge_base::settings::{GATEWAY_SETTINGS, Problem, Settings, load, load_table};

use super::EXIT_USAGE;

/// Checks a settings file and prints its problems.
pub(crate) fn run(path: &Path, gateway: bool) -> ExitCode {
    let name = if gateway {
        load_table(path, &[], GATEWAY_SETTINGS)
            .map(|settings| settings.text("node", "name").to_owned())
    } else {
        load(path).map(|settings| settings.name.to_string())
    };
    match name {
        Ok(name) => {
            println!("{}: ok, node {name}", path.display());
            ExitCode::SUCCESS
        }
        Err(problems) => report(path, &problems),
    }
}

/// Loads settings, or prints their problems and returns the exit code.
pub(crate) fn load_or_report(path: &Path) -> Result<Settings, ExitCode> {
    load(path).map_err(|problems| report(path, &problems))
}

/// Prints the problems of a settings file and returns the exit code.
pub(crate) fn report(path: &Path, problems: &[Problem]) -> ExitCode {
    for problem in problems {
        eprintln!("{}: {problem}", path.display());
    }
    eprintln!("{} found; nothing was started", count(problems.len()));
    ExitCode::from(EXIT_USAGE)
}

fn count(problems: usize) -> String {
    match problems {
        1 => "1 problem".to_owned(),
        more => format!("{more} problems"),
    }
}
