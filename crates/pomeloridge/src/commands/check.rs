//! `pomeloridge check`.

use std::path::Path;
use std::process::ExitCode;

use pomeloridge_base::settings::{Problem, Settings, load};

use super::EXIT_USAGE;

/// Checks a file and says what is wrong with it.
pub(crate) fn run(path: &Path) -> ExitCode {
    match load(path) {
        Ok(settings) => {
            println!("{}: ok, node {}", path.display(), settings.name);
            ExitCode::SUCCESS
        }
        Err(problems) => report(path, &problems),
    }
}

/// Loads settings, or reports their faults and gives the exit code.
pub(crate) fn load_or_report(path: &Path) -> Result<Settings, ExitCode> {
    load(path).map_err(|problems| report(path, &problems))
}

fn report(path: &Path, problems: &[Problem]) -> ExitCode {
    for problem in problems {
        eprintln!("{}: {problem}", path.display());
    }
    eprintln!("{} found; nothing was opened", count(problems.len()));
    ExitCode::from(EXIT_USAGE)
}

fn count(faults: usize) -> String {
    match faults {
        1 => "1 fault".to_owned(),
        more => format!("{more} faults"),
    }
}
