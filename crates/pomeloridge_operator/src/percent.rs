//! Percent-encoding of path segments and query values.

/// Encodes every byte except the unreserved characters of RFC 3986.
pub(crate) fn encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            out.push(char::from(byte));
        } else {
            out.push('%');
            out.push_str(&hex::encode_upper([byte]));
        }
    }
    out
}

/// Decodes percent-encoded text; returns `None` if it is malformed or not UTF-8.
pub(crate) fn decode(text: &str) -> Option<String> {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits = [bytes.next()?, bytes.next()?];
            out.extend(hex::decode(digits).ok()?);
        } else {
            out.push(byte);
        }
    }
    String::from_utf8(out).ok()
}
