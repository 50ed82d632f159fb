//! Complete requests and responses, and the limits on reading requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};

/// A request that was read completely.
#[derive(Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// All headers of the head.
    pub headers: HeaderMap,
    /// Body, with any chunked encoding removed.
    pub body: Bytes,
    /// Address of the peer.
    pub peer: SocketAddr,
}

impl Request {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.uri.path()
    }

    /// Returns the first value of a query parameter, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        self.uri
            .query()?
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Returns a header's value if it is printable ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A complete response, to be written or after it was read.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: StatusCode,
    /// Headers; the server adds those that frame the body.
    pub headers: HeaderMap,
    /// Body, without framing.
    pub body: Bytes,
}

impl Response {
    /// Returns a response without headers; an invalid status becomes 500.
    pub fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            headers: HeaderMap::new(),
            body: body.into(),
        }
    }

    /// Returns a response with a JSON body.
    pub fn json<T: serde::Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::new(status, body).with_header("content-type", "application/json")
    }

    /// Sets a header, unless the value is not allowed in a header.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }
}

/// Limits on reading a request and writing its response.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of the head.
    pub head_bytes: usize,
    /// Maximum size of the body.
    pub body_bytes: usize,
    /// Time from the first byte to the end of the head.
    pub head_time: Duration,
    /// Time from the end of the head to the end of the body.
    pub body_time: Duration,
    /// Time for which a connection may wait for its next request.
    pub idle_time: Duration,
    /// Timeout of a single write.
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
