//! One checker for each checkers, over the merged history of a run.

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

/// A checker and its name.
pub type Checker = (&'static str, fn(&History) -> Vec<Violation>);

/// Every checker.
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

/// What every checker finds.
pub fn check_all(history: &History) -> Vec<Violation> {
    let checkers = CHECKERS.iter();
    checkers.flat_map(|(_, check)| check(history)).collect()
}

/// The times that a run gave.
pub fn timings(history: &History) -> Vec<Timing> {
    vec![
        keys::timing(history),
        config::timing(history),
        leaving::timing(history),
    ]
}
