//! History files of the stand-ins, merged by time.

use std::path::Path;

use serde_json::Value;

use super::record::{ConfigCall, Line, RegisterOp};
use crate::launch::{Cluster, history_file};

/// Reads the lines of all stand-ins, by time of arrival.
pub fn read_all(cluster: &Cluster) -> Result<Vec<Line>, String> {
    let servers = cluster.engines.iter().chain(&cluster.services);
    let servers = servers.chain(&cluster.spares);
    let mut names: Vec<&str> = servers.map(|server| server.id.as_str()).collect();
    names.push("platform");
    let mut lines = Vec::new();
    for name in names {
        let path = history_file(&cluster.folder, name);
        lines.extend(read_file(name, &path)?);
    }
    // A stable sort keeps the order of one stand-in's lines within the same ms.
    lines.sort_by_key(|line| line.at);
    Ok(lines)
}

fn read_file(source: &str, path: &Path) -> Result<Vec<Line>, String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    // A line truncated by a kill is skipped.
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

/// Resolves writes of unknown outcome from the platform's history; removes those that
/// never took effect.
pub fn resolve_unknown(calls: Vec<ConfigCall>, lines: &[Line]) -> Vec<ConfigCall> {
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
