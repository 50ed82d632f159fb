//! A refusal that says "not run" is true.

use std::collections::{HashMap, HashSet};

use pomeloridge_standin::prompt_hash;

use crate::check::record::{History, Kind, Line, Sent, Violation};

const PROMISE: &str = "not run";

/// Finds requests that were run although their refusal says otherwise.
pub fn check(history: &History) -> Vec<Violation> {
    let work: Vec<&Line> = history.lines.iter().filter(|line| line.is_work()).collect();
    let by_id: HashMap<&str, &Line> = work
        .iter()
        .map(|line| (line.text("request_id"), *line))
        .collect();
    let by_content: HashMap<&str, &Line> =
        work.iter().map(|line| (content_of(line), *line)).collect();
    let repeated = repeated(&history.sent);
    let refused = history.sent.iter().filter(|sent| sent.is_not_run());
    let ran = refused.filter_map(|sent| {
        let line = by_id
            .get(sent.request_id.as_str())
            .filter(|_| !sent.request_id.is_empty());
        // Repeats share their content, so only the identifier tells them apart.
        let unique = !repeated.contains(sent.marker.as_str());
        let line = line.or_else(|| by_content.get(content(sent).as_str()).filter(|_| unique))?;
        let seen = format!(
            "{} ({}) was refused by {} as {} and ran on {} at {}",
            sent.marker, sent.request_id, sent.node, sent.code, line.source, line.at
        );
        Some(Violation::new(PROMISE, seen))
    });
    ran.collect()
}

/// What a line shows of a request's content.
fn content_of(line: &Line) -> &str {
    if line.what == "generate" {
        return line.text("prompt_hash");
    }
    line.text("body")
}

/// What a line would show of this request's content.
fn content(sent: &Sent) -> String {
    match sent.kind {
        Kind::Whole | Kind::Stream => prompt_hash(&sent.prompt),
        Kind::Filing => sent.prompt.clone(),
    }
}

/// Markers that were sent more than once.
fn repeated(sent: &[Sent]) -> HashSet<&str> {
    let mut seen = HashSet::new();
    let again = sent
        .iter()
        .filter(|sent| !seen.insert(sent.marker.as_str()));
    again.map(|sent| sent.marker.as_str()).collect()
}
