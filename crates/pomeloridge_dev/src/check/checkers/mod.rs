//! Checkers of the guarantees to callers and operators, over the merged history of a run.

pub mod answers;
pub mod config;
pub mod filings;
pub mod interruptions;
pub mod keys;
pub mod leaving;
pub mod not_run;
pub mod orders;
pub mod usage;

use super::record::{History, Timing, Violation};

/// Name of a guarantee and its checker.
pub type Checker = (&'static str, fn(&History) -> Vec<Violation>);

/// All checkers.
pub const CHECKERS: &[Checker] = &[
    ("answers", answers::check),
    ("at most once", filings::check),
    ("not run", not_run::check),
    ("keys", keys::check),
    ("configuration", config::check),
    ("leaving", leaving::check),
    ("nothing cut", interruptions::check),
    ("orders", orders::check),
    ("usage", usage::check),
];

/// Returns the violations found by all checkers.
pub fn check_all(history: &History) -> Vec<Violation> {
    let checkers = CHECKERS.iter();
    checkers.flat_map(|(_, check)| check(history)).collect()
}

/// Returns the durations measured in a run.
pub fn timings(history: &History) -> Vec<Timing> {
    vec![
        keys::timing(history),
        config::timing(history),
        leaving::timing(history),
    ]
}
