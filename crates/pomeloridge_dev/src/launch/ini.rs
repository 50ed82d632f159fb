//! Settings files of nodes on loopback.

use std::fmt::Write;

/// Settings common to all nodes: section, key, value.
const COMMON: [(&str, &str, &str); 5] = [
    ("node", "secret", "a-fleet-secret-for-loopback-only"),
    ("listen", "caller", "127.0.0.1:0"),
    ("listen", "node", "127.0.0.1:0"),
    ("listen", "operator", "127.0.0.1:0"),
    ("caller", "stop_delay_ms", "200"),
];

/// Renders a settings file; a later row overrides an earlier one for the same key.
pub(crate) fn render(own: &[(&str, &str, &str)], more: &[(String, String, String)]) -> String {
    let first = COMMON.iter().chain(own).copied();
    let more = more
        .iter()
        .map(|(section, key, value)| (&**section, &**key, &**value));
    let mut rows = Vec::<(&str, &str, &str)>::new();
    for row in first.chain(more) {
        rows.retain(|known| (known.0, known.1) != (row.0, row.1));
        rows.push(row);
    }
    rows.sort_unstable();
    let mut text = String::new();
    let mut section = "";
    for (row_section, key, value) in rows {
        if row_section != section {
            let _ = writeln!(text, "[{row_section}]");
            section = row_section;
        }
        let _ = writeln!(text, "{key} = {value}");
    }
    text
}
