//! Checks and their outcome, as a table.

use std::fmt::Write;

/// What was checked so far.
#[derive(Debug, Default)]
pub struct Checks {
    rows: Vec<(String, bool, String)>,
}

impl Checks {
    /// Notes a check; `seen` says what was seen.
    pub fn record(&mut self, what: &str, passed: bool, seen: impl Into<String>) {
        self.rows.push((what.to_owned(), passed, seen.into()));
    }

    /// Notes a check that may have failed to run at all.
    pub fn run(&mut self, what: &str, check: impl FnOnce() -> Result<(bool, String), String>) {
        match check() {
            Ok((passed, seen)) => self.record(what, passed, seen),
            Err(error) => self.record(what, false, error),
        }
    }

    /// Whether every check passed.
    pub fn all_passed(&self) -> bool {
        self.rows.iter().all(|(_, passed, _)| *passed)
    }

    /// The table, with `N passed, N failed` as its last line.
    pub fn render(&self) -> String {
        let wide = self.rows.iter().map(|(what, ..)| what.len()).max();
        let wide = wide.unwrap_or_default();
        let mut text = String::new();
        for (what, passed, seen) in &self.rows {
            let verdict = if *passed { "ok  " } else { "FAIL" };
            let _ = writeln!(text, "{verdict}  {what:wide$}  {seen}");
        }
        let passed = self.rows.iter().filter(|(_, passed, _)| *passed).count();
        let failed = self.rows.len() - passed;
        text + &format!("{passed} passed, {failed} failed\n")
    }
}
