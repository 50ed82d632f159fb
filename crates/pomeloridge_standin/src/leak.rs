//! Header names for the histories, and detection of leaked client account keys.

use http::HeaderMap;

/// Prefix of every client account key.
const KEY_PREFIX: &[u8] = b"sk-";

/// Returns the names of the headers, in the order received.
pub(crate) fn header_names(headers: &HeaderMap) -> Vec<&str> {
    headers.keys().map(http::HeaderName::as_str).collect()
}

/// Returns whether a header or the text contains a word with the prefix of a key.
pub(crate) fn leaks_key(headers: &HeaderMap, text: &str) -> bool {
    let mut values = headers.values();
    has_key(text.as_bytes()) || values.any(|value| has_key(value.as_bytes()))
}

fn has_key(text: &[u8]) -> bool {
    let at_start = text.starts_with(KEY_PREFIX);
    let inside = |window: &[u8]| !window[0].is_ascii_alphanumeric() && &window[1..] == KEY_PREFIX;
    at_start || text.windows(KEY_PREFIX.len() + 1).any(inside)
}
