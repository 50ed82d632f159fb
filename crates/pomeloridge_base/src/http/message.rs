//! Whole requests and responses, and the limits on reading them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};

/// A request that was read whole.
#[derive(Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Target with path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Address of the peer.
    pub peer: SocketAddr,
}

impl Request {
    /// The target's path.
    pub fn path(&self) -> &str {
        self.uri.path()
    }

    /// The value of a query parameter, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        self.uri
            .query()?
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// A header's value, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A response to be written whole, or one that was read whole.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Response {
    /// A response without headers.
    pub fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            headers: HeaderMap::new(),
            body: body.into(),
        }
    }

    /// A response whose body is JSON.
    pub fn json<T: serde::Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::new(status, body).with_header("content-type", "application/json")
    }

    /// Adds a header; a value that is not allowed in a header is left out.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }
}

/// Bounds on reading one request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of the head.
    pub head_bytes: usize,
    /// Bytes of the body.
    pub body_bytes: usize,
    /// Time from the first byte to the end of the head.
    pub head_time: Duration,
    /// Time from the end of the head to the end of the body.
    pub body_time: Duration,
    /// Time that a connection may wait for its next request.
    pub idle_time: Duration,
    /// Time that one write may take.
    pub write_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1024,
            body_bytes: 2 * 1024 * 1024,
            head_time: Duration::from_secs(5),
            body_time: Duration::from_secs(20),
            idle_time: Duration::from_secs(75),
            write_time: Duration::from_secs(10),
        }
    }
}
