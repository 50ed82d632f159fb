//! What a history shows of headers, and whether a client account key came along.

use http::HeaderMap;

/// How every client account key begins.
const KEY_START: &[u8] = b"sk-";

/// The names of the headers, in the order received.
pub(crate) fn header_names(headers: &HeaderMap) -> Vec<&str> {
    headers.keys().map(http::HeaderName::as_str).collect()
}

/// Whether a header or the text holds a word that begins like a key.
pub(crate) fn leaks_key(headers: &HeaderMap, text: &str) -> bool {
    let mut values = headers.values();
    has_key(text.as_bytes()) || values.any(|value| has_key(value.as_bytes()))
}

fn has_key(text: &[u8]) -> bool {
    let at_start = text.starts_with(KEY_START);
    let inside = |window: &[u8]| !window[0].is_ascii_alphanumeric() && &window[1..] == KEY_START;
    at_start || text.windows(KEY_START.len() + 1).any(inside)
}
