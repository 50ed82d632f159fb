//! Reads the history files of the stand-ins and merges them by time.

use std::path::Path;

use serde_json::Value;

use super::record::{ConfigCall, Line, RegisterOp};
use crate::launch::{Cluster, history_file};

/// Every line of every stand-in, in order of arrival.
pub fn lines(cluster: &Cluster) -> Result<Vec<Line>, String> {
    let servers = cluster.engines.iter().chain(&cluster.services);
    let servers = servers.chain(&cluster.spares);
    let mut names: Vec<&str> = servers.map(|server| server.id.as_str()).collect();
    names.push("platform");
    let mut lines = Vec::new();
    for name in names {
        let path = history_file(&cluster.folder, name);
        lines.extend(read(name, &path)?);
    }
    // The sort is stable: lines of one stand-in in the same ms keep their order.
    lines.sort_by_key(|line| line.at);
    Ok(lines)
}

fn read(source: &str, path: &Path) -> Result<Vec<Line>, String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    // A line that a kill cut in two is left out.
    let values = text
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let line = |fields: Value| Line {
        source: source.to_owned(),
        at: fields["at"].as_u64().unwrap_or_default(),
        kind: fields["what"].as_str().unwrap_or_default().to_owned(),
        fields,
    };
    Ok(values.map(line).collect())
}

/// Finds out from the platform's history what became of writes whose outcome
/// the operator was not told; those that never took effect are left out.
pub fn resolve(calls: Vec<ConfigCall>, lines: &[Line]) -> Vec<ConfigCall> {
    let resolved = calls.into_iter().filter_map(|mut call| {
        let RegisterOp::Unknown { expect, value } = call.call else {
            return Some(call);
        };
        let write = lines.iter().find(|line| {
            let is_write = line.kind == "put" && line.text("key") == "config/fleet";
            is_write
                && line.number("status") == 200
                && super::operators::value_of(&line.fields["value"]) == value
        })?;
        let revision = write.fields["answer"]["version"]
            .as_u64()
            .unwrap_or_default();
        call.ended_at = call.ended_at.max(write.number("effect_at"));
        call.call = RegisterOp::Applied {
            expect,
            revision,
            value,
        };
        Some(call)
    });
    resolved.collect()
}
