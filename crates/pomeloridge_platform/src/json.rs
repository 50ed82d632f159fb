//! Splits JSON text into its parts without decoding them, so that a part that cannot be decoded
//! costs only itself.
//!
//! Only strings and brackets are followed: a part may nest deeply, and it may contain numbers
//! that are out of range or bytes that are not UTF-8.

use serde::de::DeserializeOwned;

use crate::error::PlatformError;

/// Most characters of a reason that are logged.
const MAX_REASON_CHARS: usize = 100;
/// Most malformed elements of one list that are logged.
const MAX_LOGGED: usize = 8;

/// Decodes a member of an object.
pub fn decode_member<T: DeserializeOwned>(text: &[u8], name: &str) -> Result<T, PlatformError> {
    let found = member(text, name).ok_or_else(|| malformed(&format!("no `{name}`")))?;
    let decoded = serde_json::from_slice(found);
    decoded.map_err(|error| malformed(&format!("`{name}`: {}", shorten(&error.to_string()))))
}

/// Returns the elements of a member of an object.
pub fn list<'a>(text: &'a [u8], name: &str) -> Result<Vec<&'a [u8]>, PlatformError> {
    let found = member(text, name).and_then(elements);
    found.ok_or_else(|| malformed(&format!("no list `{name}`")))
}

/// Decodes the elements of a member of an object; logs and skips those that cannot be decoded.
pub(crate) fn decode_list<T>(
    text: &[u8],
    name: &str,
    decode: impl Fn(&[u8]) -> Result<T, PlatformError>,
) -> Result<Vec<T>, PlatformError> {
    let mut skipped = 0;
    let elements = list(text, name)?.into_iter().filter_map(|element| {
        let decoded = decode(element).inspect_err(|error| {
            skipped += 1;
            if skipped <= MAX_LOGGED {
                log::warn!("list name={name} choice=skip reason=\"{error}\"");
            }
        });
        decoded.ok()
    });
    Ok(elements.collect())
}

/// Decodes a text as a whole.
pub(crate) fn decode_text<T: DeserializeOwned>(text: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(text).map_err(|error| malformed(&shorten(&error.to_string())))
}

/// Returns the start of a text that may be long.
pub fn shorten(text: &str) -> String {
    text.chars().take(MAX_REASON_CHARS).collect()
}

/// Returns the error of a malformed response.
pub fn malformed(reason: &str) -> PlatformError {
    PlatformError::Malformed(reason.to_owned())
}

/// Returns the elements of an array, or `None` if the text is not an array.
pub fn elements(text: &[u8]) -> Option<Vec<&[u8]>> {
    split(text, b'[', b']')
}

/// Returns the text of an object's member, or `None` if the text is not an object with it.
pub fn member<'a>(text: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let members = split(text, b'{', b'}')?;
    members.into_iter().find_map(|member| {
        let rest = member.strip_prefix(b"\"")?.strip_prefix(name.as_bytes())?;
        let value = rest.strip_prefix(b"\"")?.trim_ascii_start();
        Some(value.strip_prefix(b":")?.trim_ascii_start())
    })
}

/// Splits the text between two brackets at the commas that are outside of strings and of other
/// brackets.
fn split(text: &[u8], open: u8, close: u8) -> Option<Vec<&[u8]>> {
    let text = text.trim_ascii().strip_prefix(&[open])?;
    let text = text.strip_suffix(&[close])?;
    let mut parts = Vec::new();
    let (mut start, mut depth, mut in_string) = (0, 0_usize, false);
    let mut bytes = text.iter().enumerate();
    while let Some((index, byte)) = bytes.next() {
        match byte {
            b'\\' if in_string => {
                bytes.next();
            }
            b'"' => in_string = !in_string,
            _ if in_string => {}
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.checked_sub(1)?,
            b',' if depth == 0 => {
                parts.push(text[start..index].trim_ascii());
                start = index + 1;
            }
            _ => {}
        }
    }
    if depth > 0 || in_string {
        return None;
    }
    let last = text[start..].trim_ascii();
    if !(parts.is_empty() && last.is_empty()) {
        parts.push(last);
    }
    Some(parts)
}
