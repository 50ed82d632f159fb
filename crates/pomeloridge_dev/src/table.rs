//! Checks and their results, rendered as a table.

use std::fmt::Write;

/// Results of the checks that have run.
#[derive(Debug, Default)]
pub struct Checks {
    rows: Vec<(String, bool, String)>,
}

impl Checks {
    /// Records a check; `detail` describes what was observed.
    pub fn record(&mut self, name: &str, passed: bool, detail: impl Into<String>) {
        self.rows.push((name.to_owned(), passed, detail.into()));
    }

    /// Runs a check and records its result; an error counts as a failure.
    pub fn run(&mut self, name: &str, check: impl FnOnce() -> Result<(bool, String), String>) {
        match check() {
            Ok((passed, detail)) => self.record(name, passed, detail),
            Err(error) => self.record(name, false, error),
        }
    }

    /// Returns whether every check passed.
    pub fn all_passed(&self) -> bool {
        self.rows.iter().all(|(_, passed, _)| *passed)
    }

    /// Returns the table, with `N passed, N failed` as its last line.
    pub fn render(&self) -> String {
        let width = self.rows.iter().map(|(name, ..)| name.len()).max();
        let width = width.unwrap_or_default();
        let mut text = String::new();
        for (name, passed, detail) in &self.rows {
            let status = if *passed { "ok  " } else { "FAIL" };
            let _ = writeln!(text, "{status}  {name:width$}  {detail}");
        }
        let passed = self.rows.iter().filter(|(_, passed, _)| *passed).count();
        let failed = self.rows.len() - passed;
        text + &format!("{passed} passed, {failed} failed\n")
    }
}
