//! `pomeloridge explain`: a request's story from the logs of several gateways.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufRead, BufReader, IsTerminal};
use std::path::PathBuf;
use std::process::ExitCode;

use serde_json::json;

use super::{EXIT_USAGE, fail};

/// Time around a request's lines in which lines about its servers belong to its story.
const MARGIN_MS: u64 = 2_000;

/// Words within which a line's level is looked for.
const LEVEL_WITHIN: usize = 8;

/// A line of a log.
#[derive(Clone, Debug)]
struct Line {
    at_ms: u64,
    node: String,
    text: String,
}

/// Prints what the logs tell of a request, in time order.
pub(crate) fn run(id: &str, files: &[PathBuf], as_json: bool) -> ExitCode {
    if files.is_empty() && io::stdin().is_terminal() {
        eprintln!("name log files, pipe logs in, or ask a node with --node IP:PORT");
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
    let story = story(id, &lines);
    for line in &story {
        if as_json {
            let line = json!({ "at": line.at_ms, "node": line.node, "message": line.text });
            println!("{line}");
        } else {
            println!("{} {} {}", line.at_ms, line.node, line.text);
        }
    }
    if story.is_empty() {
        return fail(&format!("no line of these logs names request {id}"));
    }
    ExitCode::SUCCESS
}

fn read_lines(input: impl BufRead, lines: &mut Vec<Line>) -> io::Result<()> {
    for line in input.lines() {
        lines.extend(parse(&line?));
    }
    Ok(())
}

/// Reads a line in either form of the log; others are passed over.
fn parse(line: &str) -> Option<Line> {
    if line.starts_with('{') {
        let value: serde_json::Value = serde_json::from_str(line).ok()?;
        return Some(Line {
            at_ms: value.get("at")?.as_u64()?,
            node: value.get("node")?.as_str()?.to_owned(),
            text: value.get("message")?.as_str()?.to_owned(),
        });
    }
    // Time, level, node, module, text; a collector may have put fields before them.
    let words: Vec<&str> = line.split_whitespace().take(LEVEL_WITHIN).collect();
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

/// The request's own lines, and those about its servers around that time.
fn story(id: &str, lines: &[Line]) -> Vec<Line> {
    let own = |line: &&Line| value(&line.text, "id") == Some(id);
    let of_request: Vec<&Line> = lines.iter().filter(own).collect();
    let servers: BTreeSet<&str> = of_request
        .iter()
        .flat_map(|line| ["server", "prefill", "fetch"].map(|key| value(&line.text, key)))
        .flatten()
        .filter(|server| !server.is_empty())
        .collect();
    let times = of_request.iter().map(|line| line.at_ms);
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return Vec::new();
    };
    let around = first.saturating_sub(MARGIN_MS)..=last.saturating_add(MARGIN_MS);
    let about_servers = |line: &Line| {
        around.contains(&line.at_ms)
            && ["server ", "stage "]
                .iter()
                .any(|kind| line.text.starts_with(kind))
            && ["id", "server"]
                .iter()
                .filter_map(|key| value(&line.text, key))
                .any(|server| servers.contains(server))
    };
    // What is known of the request under other attempts names its fingerprint alone.
    let prints: BTreeSet<&str> = of_request
        .iter()
        .filter_map(|line| value(&line.text, "print"))
        .collect();
    let about_print = |line: &Line| {
        let print = line.text.strip_prefix("request ");
        let print = print.filter(|text| text.starts_with("print="));
        print.is_some_and(|text| value(text, "print").is_some_and(|p| prints.contains(p)))
    };
    let belongs = |line: &&Line| {
        value(&line.text, "id") == Some(id) || about_servers(line) || about_print(line)
    };
    let mut story: Vec<Line> = lines.iter().filter(belongs).cloned().collect();
    story.sort_by_key(|line| line.at_ms);
    story
}

/// The value of `key=value` in a line.
fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let words = text.split(' ');
    let found = words.filter_map(|word| word.split_once('='));
    found
        .into_iter()
        .find_map(|(found, value)| (found == key).then_some(value))
}
