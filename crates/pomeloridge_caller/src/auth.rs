//! Authenticates callers, and selects the headers that may be forwarded.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use pomeloridge_base::config::{ConfigView, RouteConfig};
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::Request;
use pomeloridge_base::id::Name;
use pomeloridge_base::secret::KeyHash;
use serde_json::Value;

/// Account name of requests without a key on open routes.
const OPEN_ACCOUNT: &str = "-";

/// Returns the client account of a request.
///
/// The key is checked for every request, also on an established connection, so
/// that a withdrawal takes effect as soon as this node receives it. A key that
/// occurs outside the `Authorization` header is refused: a backend server would
/// see it.
pub(crate) fn authenticate(
    request: &Request,
    route: &RouteConfig,
    config: &ConfigView,
) -> Result<Name, ErrorKind> {
    let Some(key) = bearer_key(&request.headers)? else {
        return if route.open {
            Ok(Name::from(OPEN_ACCOUNT))
        } else {
            Err(ErrorKind::KeyMissing)
        };
    };
    let account = config.account_of(&KeyHash::of(&key)).cloned();
    let account = account.ok_or(ErrorKind::KeyUnknown)?;
    if is_key_exposed(&key, request) {
        return Err(ErrorKind::KeyExposed);
    }
    Ok(account)
}

fn bearer_key(headers: &HeaderMap) -> Result<Option<Vec<u8>>, ErrorKind> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(ErrorKind::KeyUnknown);
    }
    let bytes = value.as_bytes();
    let scheme = bytes.get(..7).unwrap_or_default();
    if !scheme.eq_ignore_ascii_case(b"bearer ") {
        return Err(ErrorKind::KeyUnknown);
    }
    let key = bytes[7..].trim_ascii();
    if key.is_empty() {
        return Err(ErrorKind::KeyMissing);
    }
    Ok(Some(key.to_vec()))
}

/// Returns whether the key occurs in a part of the request that is forwarded.
fn is_key_exposed(key: &[u8], request: &Request) -> bool {
    let contains = |bytes: &[u8]| bytes.windows(key.len()).any(|window| window == key);
    let headers = request.headers.iter();
    let in_header = headers
        .filter(|(name, _)| *name != AUTHORIZATION)
        .any(|(name, value)| contains(value.as_bytes()) || contains(name.as_str().as_bytes()));
    let target = request.uri.to_string();
    in_header
        || contains(target.as_bytes())
        || contains(&percent_decoded(target.as_bytes()))
        || contains(&request.body)
        || json_contains(&request.body, &contains)
}

/// Returns whether a string of a JSON body contains the key after unescaping.
fn json_contains(body: &[u8], contains: &dyn Fn(&[u8]) -> bool) -> bool {
    if !body.contains(&b'\\') {
        return false;
    }
    let value: Option<Value> = serde_json::from_slice(body).ok();
    value.is_some_and(|value| any_string(&value, contains))
}

fn any_string(value: &Value, contains: &dyn Fn(&[u8]) -> bool) -> bool {
    match value {
        Value::String(text) => contains(text.as_bytes()),
        Value::Array(items) => items.iter().any(|item| any_string(item, contains)),
        Value::Object(fields) => fields
            .iter()
            .any(|(name, item)| contains(name.as_bytes()) || any_string(item, contains)),
        Value::Null | Value::Bool(_) | Value::Number(_) => false,
    }
}

fn percent_decoded(text: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len());
    let mut rest = text;
    while let Some((first, after)) = rest.split_first() {
        let digits = after.get(..2).filter(|_| *first == b'%');
        let byte = digits.and_then(|digits| hex::decode(digits).ok());
        if let Some(byte) = byte {
            out.extend(byte);
            rest = &after[2..];
        } else {
            out.push(*first);
            rest = after;
        }
    }
    out
}

/// Hop-by-hop headers, and headers exchanged only between the caller and this node.
const NON_FORWARDED_HEADERS: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "cookie",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

/// Returns the headers to forward, for requests and responses alike.
pub(crate) fn forwardable_headers(headers: &HeaderMap) -> HeaderMap {
    // Headers listed in `Connection` are hop-by-hop as well.
    let hop_by_hop: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        let excluded = NON_FORWARDED_HEADERS.contains(&name.as_str());
        if !excluded && !hop_by_hop.iter().any(|other| other == name.as_str()) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
