//! Finds the client account behind a request, and keeps its key from backend servers.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use pomeloridge_base::config::{ConfigView, RouteConfig};
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::Request;
use pomeloridge_base::id::Name;
use pomeloridge_base::secret::KeyHash;
use serde_json::Value;

/// Name that requests without a key on open routes are counted under.
const OPEN_ACCOUNT: &str = "-";

/// The client account that a request runs for.
///
/// The key is checked for every request, also on a connection that is open
/// already, so that a withdrawal is in force as soon as it has arrived here.
pub(crate) fn account_of(
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
    if is_exposed(&key, request) {
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

/// Whether the key also stands where a backend server would see it.
fn is_exposed(key: &[u8], request: &Request) -> bool {
    let holds = |bytes: &[u8]| bytes.windows(key.len()).any(|window| window == key);
    let others = request.headers.iter();
    let in_header = others
        .filter(|(name, _)| *name != AUTHORIZATION)
        .any(|(name, value)| holds(value.as_bytes()) || holds(name.as_str().as_bytes()));
    let target = request.uri.to_string();
    in_header
        || holds(target.as_bytes())
        || holds(&percent_decoded(target.as_bytes()))
        || holds(&request.body)
        || is_in_json(&request.body, &holds)
}

/// Whether a string of a JSON body holds the key once its escapes are undone.
fn is_in_json(body: &[u8], holds: &dyn Fn(&[u8]) -> bool) -> bool {
    if !body.contains(&b'\\') {
        return false;
    }
    let value: Option<Value> = serde_json::from_slice(body).ok();
    value.is_some_and(|value| any_string(&value, holds))
}

fn any_string(value: &Value, holds: &dyn Fn(&[u8]) -> bool) -> bool {
    match value {
        Value::String(text) => holds(text.as_bytes()),
        Value::Array(items) => items.iter().any(|item| any_string(item, holds)),
        Value::Object(fields) => fields
            .iter()
            .any(|(name, item)| holds(name.as_bytes()) || any_string(item, holds)),
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

/// Headers that belong to one connection, or to the caller and this node alone.
const PRIVATE_HEADERS: &[&str] = &[
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

/// Headers that may be passed on, in either direction.
pub(crate) fn shared_headers(headers: &HeaderMap) -> HeaderMap {
    // A header that `Connection` names belongs to the connection as well.
    let named: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut shared = HeaderMap::new();
    for (name, value) in headers {
        let private = PRIVATE_HEADERS.contains(&name.as_str());
        if !private && !named.iter().any(|other| other == name.as_str()) {
            shared.append(name.clone(), value.clone());
        }
    }
    shared
}
