//! Makes the reference pages of `docs/` from the tables in the code.
//!
//! The pages are committed, so that they can be read without a build; a check
//! says whether the committed ones are current.

use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::meter::{Counter, Timer};
use pomeloridge_base::settings::{GATEWAY_SETTINGS, SETTINGS, Setting, SettingKind};
use pomeloridge_policy::rules::Rule;

/// First line under the heading of each page.
const MADE: &str = "Made by `cargo dev reference`; not to be edited by hand.";

/// Writes the pages, or with `check` says whether the committed ones are current.
pub(crate) fn run(check: bool) -> Result<bool, String> {
    let mut current = true;
    for (name, text) in pages() {
        let path = folder().join(name);
        if check {
            current &= is_current(&path, name, &text);
        } else {
            fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
        }
    }
    Ok(current)
}

fn is_current(path: &Path, name: &str, text: &str) -> bool {
    let current = fs::read_to_string(path).is_ok_and(|committed| committed == text);
    if !current {
        eprintln!("docs/{name} is not current; run `cargo dev reference`");
    }
    current
}

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn pages() -> [(&'static str, String); 5] {
    [
        ("SETTINGS.md", settings("Settings", "A node", "", SETTINGS)),
        (
            "GATEWAY-SETTINGS.md",
            settings(
                "Settings of a gateway",
                "A gateway",
                " --gateway",
                GATEWAY_SETTINGS,
            ),
        ),
        ("RULES.md", rules()),
        ("ERRORS.md", errors()),
        ("METRICS.md", metrics()),
    ]
}

fn settings(title: &str, who: &str, option: &str, table: &[Setting]) -> String {
    let mut page = heading(title);
    let _ = write!(
        page,
        "\n{who} reads one INI file. `pomeloridge check --settings FILE{option}` checks it as a\n\
         whole and names every fault. A key that is not listed here is a fault.\n",
    );
    let mut section = "";
    for setting in table {
        if setting.section != section {
            section = setting.section;
            let _ = write!(page, "\n## [{section}]\n");
        }
        add_setting(&mut page, setting);
    }
    page
}

fn add_setting(page: &mut String, setting: &Setting) {
    let default = match setting.default {
        None => "none; it must be given".to_owned(),
        Some("") => "empty".to_owned(),
        Some(value) => format!("`{value}`"),
    };
    let _ = write!(page, "\n### {}\n\n{}\n\n", setting.key, setting.description);
    let _ = writeln!(page, "- Value: {}", kind(setting.kind));
    let _ = writeln!(page, "- Default: {default}");
    let _ = writeln!(page, "- Why: {}", setting.reason);
    let _ = writeln!(page, "- Example: `{} = {}`", setting.key, setting.example);
}

fn kind(kind: SettingKind) -> String {
    match kind {
        SettingKind::Text => "text that is not empty".to_owned(),
        SettingKind::Address => "`IP:PORT`; port 0 takes a free port".to_owned(),
        SettingKind::Addresses => "`IP:PORT`, separated by commas; may be empty".to_owned(),
        SettingKind::Millis => "milliseconds, a whole number of at least 1".to_owned(),
        SettingKind::Count => "a whole number of at least 1".to_owned(),
        SettingKind::Bytes => "bytes, a whole number of at least 1".to_owned(),
        SettingKind::Seconds => "seconds; may have a fraction".to_owned(),
        SettingKind::Amount => "a number of at least 0; may have a fraction".to_owned(),
        SettingKind::Choice(words) => {
            let words: Vec<String> = words.iter().map(|word| format!("`{word}`")).collect();
            format!("one of {}", words.join(", "))
        }
        SettingKind::Secret => "a secret of at least 16 bytes; it is never shown".to_owned(),
        SettingKind::Tokens => {
            "`NAME:SHA256` in hexadecimal, separated by commas; may be empty".to_owned()
        }
    }
}

fn rules() -> String {
    let mut page = heading("Rules");
    page.push_str("\n## Request path\n");
    for rule in pomeloridge_policy::rules::RULES {
        add_rule(&mut page, rule);
    }
    page.push_str("\n## Duties\n");
    for rule in pomeloridge_duties::rules::RULES {
        add_rule(&mut page, rule);
    }
    page
}

fn add_rule(page: &mut String, rule: &Rule) {
    let _ = write!(page, "\n### {}\n\n{}\n\n", rule.name, rule.description);
    let _ = writeln!(page, "- Why: {}", rule.reason);
    let _ = writeln!(page, "- Options: {}", rule.options);
    let _ = writeln!(page, "- Example: {}", rule.example);
}

fn errors() -> String {
    let mut page = heading("Errors");
    page.push_str(
        "\nEvery error that a node makes is one of these kinds. `run` says whether a\n\
         backend server ran the request; an answer says `unknown` in place of `not run` if\n\
         an earlier attempt may have run. `retry` is when to come back, where that can help.\n\n\
         | status | code | run | retry | text |\n|---|---|---|---|---|\n",
    );
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let retry = answer.retry_after.map_or_else(|| "no".to_owned(), seconds);
        let _ = writeln!(
            page,
            "| {} | `{}` | {} | {retry} | {} |",
            answer.status, answer.code, answer.run, answer.text
        );
    }
    page
}

fn seconds(time: Duration) -> String {
    format!("{} s", time.as_secs())
}

fn metrics() -> String {
    let mut page = heading("Metrics");
    page.push_str(
        "\n`GET /metrics` on the operator port, in the text form of Prometheus. The names\n\
         on that page have the suffixes that the exporter adds.\n\n\
         ## Counters\n\n| name | meaning |\n|---|---|\n",
    );
    for counter in Counter::ALL {
        let _ = writeln!(page, "| `{}` | {} |", counter.name(), counter.description());
    }
    page.push_str("\n## Histograms, in seconds\n\n| name | meaning |\n|---|---|\n");
    for timer in Timer::ALL {
        let _ = writeln!(page, "| `{}` | {} |", timer.name(), timer.description());
    }
    page
}

fn heading(title: &str) -> String {
    format!("# {title}\n\n{MADE}\n")
}
