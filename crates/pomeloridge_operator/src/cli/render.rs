//! Renders responses as plain text; all functions are pure.

use serde_json::{Map, Value};

/// Milliseconds in a day.
const DAY_MS: u64 = 86_400_000;
/// Days in 400 years.
const CYCLE_DAYS: u64 = 146_097;
/// Days from 1 March of the year 0 to 1 January 1970.
const DAYS_TO_EPOCH: u64 = 719_468;
/// First columns of tables, in this order.
const FIRST_COLUMNS: [&str; 12] = [
    "at", "name", "id", "key", "duty", "holder", "window", "what", "pool", "kind", "target",
    "state",
];
/// First sections of reports, in this order.
const FIRST_SECTIONS: [&str; 6] = [
    "nodes",
    "servers",
    "leases",
    "revisions",
    "exceptions",
    "decisions",
];
/// Last columns of tables; their texts are long.
const LAST_COLUMNS: [&str; 3] = ["reasons", "reason", "why"];

/// Renders the configuration with its revision.
pub fn render_config(value: &Value) -> String {
    let fleet = serde_json::to_string_pretty(&value["fleet"]).unwrap_or_default();
    format!(
        "revision {}, {}\n{fleet}\n",
        value["revision"],
        in_force(value)
    )
}

/// Renders the history of changes.
pub fn render_history(value: &Value) -> String {
    object_table(
        &value["changes"],
        &["revision", "at", "by", "what", "reason"],
    )
}

/// Renders the exceptions with their reasons.
pub fn render_exceptions(value: &Value) -> String {
    object_table(
        &value["exceptions"],
        &["id", "kind", "target", "value", "by", "reason"],
    )
}

/// Renders the client accounts with the identifiers of their keys.
pub fn render_accounts(value: &Value) -> String {
    let accounts = value["accounts"].as_array().into_iter().flatten();
    let row = |account: &Value| {
        let keys = |withdrawn: bool| {
            let keys = account["keys"].as_array().into_iter().flatten();
            let keys = keys.filter(|key| (key["withdrawn"] == true) == withdrawn);
            let ids: Vec<String> = keys.map(|key| cell(&key["id"])).collect();
            cell(&Value::String(ids.join(" ")))
        };
        vec![
            cell(&account["name"]),
            cell(&account["weight"]),
            keys(false),
            keys(true),
        ]
    };
    table(
        &["name", "weight", "keys", "withdrawn"],
        accounts.map(row).collect(),
    )
}

/// Renders a change with the number of nodes on which it is in force.
pub fn render_change(value: &Value) -> String {
    let (revision, in_force) = (&value["revision"], in_force(value));
    let note = match value["history"].as_str() {
        Some("unchanged") => return format!("unchanged at revision {revision}, {in_force}\n"),
        Some("not written") => "the change was made, but its line in the history was not written\n",
        Some("unknown") => "the change was made; whether the history has its line is unknown\n",
        _ => "",
    };
    format!("changed at revision {revision}, {in_force}\n{note}")
}

/// Renders a newly issued key.
pub fn render_issued(value: &Value) -> String {
    format!(
        "key {}\n{}\n\nThe key is shown only this once.\n{}",
        cell(&value["id"]),
        cell(&value["key"]),
        render_change(value)
    )
}

/// Renders the usage of client accounts by window.
pub fn render_usage(value: &Value) -> String {
    let mut lines = Vec::new();
    for window in value["windows"].as_array().into_iter().flatten() {
        for (name, usage) in window["accounts"].as_object().into_iter().flatten() {
            lines.push(vec![
                cell(&window["window"]),
                cell(&window["state"]),
                escape(name),
                cell(&usage["requests"]),
                cell(&usage["prompt_tokens"]),
                cell(&usage["output_tokens"]),
            ]);
        }
    }
    table(
        &[
            "window",
            "state",
            "account",
            "requests",
            "prompt_tokens",
            "output_tokens",
        ],
        lines,
    )
}

/// Renders any object: its lists of objects as tables, its other values as lines.
pub fn render_report(value: &Value) -> String {
    let empty = Map::new();
    let report = value.as_object().unwrap_or(&empty);
    let is_table = |value: &Value| {
        let items = value.as_array().map(Vec::as_slice).unwrap_or_default();
        !items.is_empty() && items.iter().all(Value::is_object)
    };
    let plain = report.iter().filter(|(_, part)| !is_table(part));
    let lines: Vec<String> = plain
        .map(|(name, part)| format!("{}: {}\n", escape(name), cell_or_none(part)))
        .collect();
    let mut sections = vec![lines.concat()];
    for name in sort_names(report.keys(), &FIRST_SECTIONS, &[]) {
        let part = &report[&name];
        if is_table(part) {
            let columns = column_names(part);
            let columns: Vec<&str> = columns.iter().map(String::as_str).collect();
            sections.push(format!(
                "{}\n{}",
                escape(&name),
                object_table(part, &columns)
            ));
        }
    }
    sections.retain(|section| !section.is_empty());
    sections.join("\n")
}

/// Renders a refusal with its problems and what to do.
pub fn render_error(value: &Value) -> String {
    let error = &value["error"];
    let mut lines = vec![format!(
        "{}: {}",
        cell(&error["code"]),
        cell(&error["message"])
    )];
    for problem in error["problems"].as_array().into_iter().flatten() {
        let [place, problem, fix] = ["place", "problem", "fix"].map(|field| cell(&problem[field]));
        lines.push(format!("  {place}: {problem}; {fix}"));
    }
    if !error["revision"].is_null() {
        lines.push(format!("the object is at revision {}", error["revision"]));
    }
    if !error["id"].is_null() {
        lines.push(format!(
            "withdraw key {} if it is listed",
            cell(&error["id"])
        ));
    }
    if let Some(retry) = error["retry_after_ms"].as_u64() {
        lines.push(format!("try again after {retry} ms"));
    }
    lines.push(String::new());
    lines.join("\n")
}

fn in_force(value: &Value) -> String {
    let in_force = &value["in_force"];
    format!("in force on {} of {}", in_force["nodes"], in_force["of"])
}

fn column_names(part: &Value) -> Vec<String> {
    let objects = part.as_array().into_iter().flatten();
    let fields = objects.filter_map(Value::as_object).flat_map(Map::keys);
    sort_names(fields, &FIRST_COLUMNS, &LAST_COLUMNS)
}

/// Formats a value like `cell`, but an empty list as `none`.
fn cell_or_none(part: &Value) -> String {
    if part.as_array().is_some_and(Vec::is_empty) {
        "none".to_owned()
    } else {
        cell(part)
    }
}

/// Sorts and deduplicates names: those in `first`, the others by alphabet, those in `last`.
fn sort_names<'a>(
    names: impl Iterator<Item = &'a String>,
    first: &[&str],
    last: &[&str],
) -> Vec<String> {
    let mut names: Vec<String> = names.cloned().collect();
    let rank = |name: &str| {
        let leading = first.iter().position(|first| *first == name);
        let trailing = last.iter().position(|last| *last == name);
        match (leading, trailing) {
            (Some(rank), _) => rank,
            (None, Some(rank)) => first.len() + 1 + rank,
            (None, None) => first.len(),
        }
    };
    names.sort_by(|a, b| (rank(a), a).cmp(&(rank(b), b)));
    names.dedup();
    names
}

fn object_table(list: &Value, columns: &[&str]) -> String {
    let items = list.as_array().into_iter().flatten();
    let part = |item: &Value, column: &str| match (column, item[column].as_u64()) {
        ("at", Some(ms)) => format_time(ms),
        _ => cell(&item[column]),
    };
    let row = |item: &Value| columns.iter().map(|column| part(item, column)).collect();
    table(columns, items.map(row).collect())
}

/// Formats milliseconds since the Unix epoch as a date and time in UTC.
fn format_time(ms: u64) -> String {
    let (days, time) = (ms / DAY_MS, ms % DAY_MS / 1000);
    // Years start in March, so that the leap day is the last day of a year. The calendar
    // repeats every 400 years.
    let days = days + DAYS_TO_EPOCH;
    let (cycle, day) = (days / CYCLE_DAYS, days % CYCLE_DAYS);
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let (month, carry) = if month < 10 {
        (month + 3, 0)
    } else {
        (month - 9, 1)
    };
    let year = cycle * 400 + year + carry;
    let (hour, minute, second) = (time / 3600, time / 60 % 60, time % 60);
    let fraction = ms % 1000;
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}.{fraction:03}Z")
}

/// Formats a table with each column padded to its widest cell.
fn table(columns: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut lines = vec![columns.iter().map(|name| (*name).to_owned()).collect()];
    lines.extend(rows);
    let width = |index: usize| {
        let cells = lines
            .iter()
            .map(|line: &Vec<String>| line[index].chars().count());
        cells.max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let padded = line.iter().zip(&widths);
        let cells: Vec<String> = padded
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        text += cells.join("  ").trim_end();
        text.push('\n');
    }
    text
}

/// Formats a value on one line; null and empty text as `-`, lists separated by commas.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => escape(text),
        Value::Array(items)
            if items
                .iter()
                .all(|item| !item.is_array() && !item.is_object()) =>
        {
            items.iter().map(cell).collect::<Vec<_>>().join(",")
        }
        other => escape(&other.to_string()),
    }
}

/// Escapes control characters, which a terminal would interpret.
fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for character in text.chars() {
        if character.is_control() {
            out.extend(character.escape_default());
        } else {
            out.push(character);
        }
    }
    out
}
