//! `pomeloridge explain`: the log lines about a request from several gateways.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufRead, BufReader, IsTerminal};
use std::path::PathBuf;
use std::process::ExitCode;

use serde_json::json;

use super::{EXIT_USAGE, fail};

/// Time before and after a request's own lines within which lines about its servers are included.
const SERVER_MARGIN_MS: u64 = 2_000;

/// Number of words at the start of a line among which its level must be.
const MAX_LEVEL_WORDS: usize = 8;

/// Log line.
#[derive(Clone, Debug)]
struct Line {
    at_ms: u64,
    node: String,
    text: String,
}

/// Prints the log lines about a request in time order.
pub(crate) fn run(id: &str, files: &[PathBuf], as_json: bool) -> ExitCode {
    if files.is_empty() && io::stdin().is_terminal() {
        eprintln!(
            "give log files, pipe logs to standard input, or query a node with --node IP:PORT"
        );
        return ExitCode::from(EXIT_USAGE);
    }
    let mut lines = Vec::new();
    for file in files {
        let read = File::open(file).and_then(|open| read_lines(BufReader::new(open), &mut lines));
        if let Err(error) = read {
            return fail(&format!("{}: {error}", file.display()));
        }
    }
    if files.is_empty()
        && let Err(error) = read_lines(io::stdin().lock(), &mut lines)
    {
        return fail(&format!("standard input: {error}"));
    }
    let related = related_lines(id, &lines);
    for line in &related {
        if as_json {
            let line = json!({ "at": line.at_ms, "node": line.node, "message": line.text });
            println!("{line}");
        } else {
            println!("{} {} {}", line.at_ms, line.node, line.text);
        }
    }
    if related.is_empty() {
        return fail(&format!("these logs have no line about request {id}"));
    }
    ExitCode::SUCCESS
}

fn read_lines(input: impl BufRead, lines: &mut Vec<Line>) -> io::Result<()> {
    for line in input.lines() {
        lines.extend(parse(&line?));
    }
    Ok(())
}

/// Parses a line in either log format; returns `None` for other lines.
fn parse(line: &str) -> Option<Line> {
    if line.starts_with('{') {
        let value: serde_json::Value = serde_json::from_str(line).ok()?;
        return Some(Line {
            at_ms: value.get("at")?.as_u64()?,
            node: value.get("node")?.as_str()?.to_owned(),
            text: value.get("message")?.as_str()?.to_owned(),
        });
    }
    // Time, level, node, module, text; a log collector may have added fields before them.
    let words: Vec<&str> = line.split_whitespace().take(MAX_LEVEL_WORDS).collect();
    let is_level = |word: &&str| ["INFO", "WARN", "ERROR", "DEBUG"].contains(word);
    let level = words.iter().position(is_level)?;
    let at_ms = words.get(level.checked_sub(1)?)?.parse().ok()?;
    let (_, rest) = line.split_once(words[level])?;
    let (node, rest) = rest.trim_start().split_once(' ')?;
    let (_, text) = rest.split_once(' ')?;
    Some(Line {
        at_ms,
        node: node.to_owned(),
        text: text.trim().to_owned(),
    })
}

/// Returns the request's own lines, those about its servers around that time, and those about its
/// fingerprint or the parts of its prompt, in time order.
fn related_lines(id: &str, lines: &[Line]) -> Vec<Line> {
    let is_own = |line: &&Line| value(&line.text, "id") == Some(id);
    let own_lines: Vec<&Line> = lines.iter().filter(is_own).collect();
    let servers: BTreeSet<&str> = own_lines
        .iter()
        .flat_map(|line| ["server", "prefill", "fetch"].map(|key| value(&line.text, key)))
        .flatten()
        .filter(|server| !server.is_empty())
        .collect();
    let times = own_lines.iter().map(|line| line.at_ms);
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return Vec::new();
    };
    let around = first.saturating_sub(SERVER_MARGIN_MS)..=last.saturating_add(SERVER_MARGIN_MS);
    let is_about_servers = |line: &Line| {
        around.contains(&line.at_ms)
            && ["server ", "stage "]
                .iter()
                .any(|kind| line.text.starts_with(kind))
            && ["id", "server"]
                .iter()
                .filter_map(|key| value(&line.text, key))
                .any(|server| servers.contains(server))
    };
    // Lines about other attempts of the request only contain its fingerprint.
    let fingerprints: BTreeSet<&str> = own_lines
        .iter()
        .filter_map(|line| value(&line.text, "print"))
        .collect();
    let is_about_fingerprint = |line: &Line| {
        let text = line.text.strip_prefix("request ");
        let text = text.filter(|text| text.starts_with("print="));
        text.is_some_and(|text| {
            value(text, "print").is_some_and(|print| fingerprints.contains(print))
        })
    };
    let parts: BTreeSet<&str> = own_lines
        .iter()
        .filter_map(|line| value(&line.text, "parts"))
        .flat_map(|parts| parts.split(','))
        .collect();
    let is_about_parts = |line: &Line| {
        line.text.starts_with("part ")
            && value(&line.text, "id").is_some_and(|part| parts.contains(part))
    };
    let is_related = |line: &&Line| {
        value(&line.text, "id") == Some(id)
            || is_about_servers(line)
            || is_about_fingerprint(line)
            || is_about_parts(line)
    };
    let mut related: Vec<Line> = lines.iter().filter(is_related).cloned().collect();
    related.sort_by_key(|line| line.at_ms);
    related
}

/// Returns the value of the first `key=value` in a text.
fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let words = text.split(' ');
    let pairs = words.filter_map(|word| word.split_once('='));
    pairs
        .into_iter()
        .find_map(|(name, value)| (name == key).then_some(value))
}
