//! The settings file of a node on loopback.

use std::fmt::Write;

/// Settings that every node of a deployment on loopback has.
const COMMON: [(&str, &str, &str); 5] = [
    ("node", "secret", "a-fleet-secret-for-loopback-only"),
    ("listen", "caller", "127.0.0.1:0"),
    ("listen", "node", "127.0.0.1:0"),
    ("listen", "operator", "127.0.0.1:0"),
    ("caller", "stop_delay_ms", "200"),
];

/// The text of a settings file; of two rows for one key, the later one counts.
pub(crate) fn text(own: &[(&str, &str, &str)], more: &[(String, String, String)]) -> String {
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
    for (named, key, value) in rows {
        if named != section {
            let _ = writeln!(text, "[{named}]");
            section = named;
        }
        let _ = writeln!(text, "{key} = {value}");
    }
    text
}
