//! Splits JSON text into its parts without decoding them, so that a part that cannot be decoded
//! costs only itself.
//!
//! Only strings and brackets are followed: a part may nest deeply, and it may contain numbers
//! that are out of range or bytes that are not UTF-8.

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
