//! The client's side: a connection that is used for one exchange at a time.
//!
//! A connection whose exchange has not ended in good order is aborted, not closed: the
//! system would go on sending what was written, and it might arrive seconds later at a
//! server that has left, or at another one that has its address.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use monoio_http::h1::codec::decoder::ResponseHeadDecoder;

use super::wire::{Remaining, Wire, framing, left};
use super::{Fault, Response};
use crate::net;

/// Bytes that a response's head may have.
const HEAD_BYTES: usize = 64 * 1024;
/// Shortest time that is given to the system, which takes 0 for none.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(1);
/// Bytes that one chunk of a response may have.
const PIECE_BYTES: usize = 8 * 1024 * 1024;

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub target: String,
    /// Headers besides `Host` and `Content-Length`.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl OutgoingRequest {
    /// A request without headers or body.
    pub fn new(method: Method, target: impl Into<String>) -> Self {
        Self {
            method,
            target: target.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// A `GET` request.
    pub fn get(target: impl Into<String>) -> Self {
        Self::new(Method::GET, target)
    }

    /// Replaces the body by JSON.
    #[must_use]
    pub fn json<T: serde::Serialize>(mut self, value: &T) -> Self {
        self.body = serde_json::to_vec(value).unwrap_or_default().into();
        self.with_header("content-type", "application/json")
    }

    /// Replaces the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header; a value that is not allowed in a header is left out.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = http::HeaderValue::from_str(value) {
            self.headers.insert(name, value);
        }
        self
    }

    fn encode(&self, address: SocketAddr) -> Bytes {
        let mut out = BytesMut::with_capacity(512 + self.body.len());
        out.put_slice(self.method.as_str().as_bytes());
        out.put_slice(b" ");
        out.put_slice(self.target.as_bytes());
        out.put_slice(b" HTTP/1.1\r\n");
        if !self.headers.contains_key(http::header::HOST) {
            out.put_slice(format!("host: {address}\r\n").as_bytes());
        }
        out.put_slice(format!("content-length: {}\r\n", self.body.len()).as_bytes());
        for (name, value) in &self.headers {
            out.put_slice(name.as_str().as_bytes());
            out.put_slice(b": ");
            out.put_slice(value.as_bytes());
            out.put_slice(b"\r\n");
        }
        out.put_slice(b"\r\n");
        out.put_slice(&self.body);
        out.freeze()
    }
}

/// The head of a response whose body is still to be read.
#[derive(Clone, Debug)]
pub struct HttpResponseHead {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
}

/// How a connection is opened.
#[derive(Clone, Copy, Debug)]
pub struct ConnectOptions {
    /// Time for the connection to be made.
    pub timeout: Duration,
    /// Time after which the kernel gives up unacknowledged bytes.
    pub user_timeout: Option<Duration>,
    /// Whether closing drops what was not yet sent.
    pub linger_zero: bool,
    /// What a response without a length means.
    pub unframed: Unframed,
}

/// What a response without a length means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unframed {
    /// It is refused: its end can't be told from a cut.
    #[default]
    Refused,
    /// It ends when the peer closes in good order.
    UntilClose,
}

impl Default for ConnectOptions {
    fn default() -> Self {
        Self {
            timeout: Duration::from_millis(250),
            user_timeout: None,
            linger_zero: false,
            unframed: Unframed::Refused,
        }
    }
}

/// A connection to a server.
pub struct Connection {
    wire: Wire,
    address: SocketAddr,
    remaining: Remaining,
    written: bool,
    clean: bool,
    keep: bool,
    unframed: Unframed,
    /// Time for which unacknowledged bytes are sent again at most.
    user_timeout: Option<Duration>,
    /// The one of these that is in force at the socket.
    timeout_set: Option<Duration>,
    used: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.clean {
            return;
        }
        let stream = &self.wire.stream;
        let left = net::unacknowledged(stream);
        let socket = net::socket(stream);
        let aborted = socket2::SockRef::from(&socket).set_linger(Some(Duration::ZERO));
        if let Err(error) = aborted {
            log::warn!(
                "connection to={} choice=abort outcome=\"{error}\"",
                self.address
            );
        } else if left.as_ref().is_ok_and(|left| *left > 0) {
            log::info!(
                "connection to={} choice=abort unacknowledged={}",
                self.address,
                left.unwrap_or_default()
            );
        }
    }
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr, options: ConnectOptions) -> Result<Self, Fault> {
        let stream = net::connect(address, options.timeout)
            .await
            .map_err(Fault::Connect)?;
        set_options(&stream, options).map_err(Fault::Connect)?;
        Ok(Self {
            wire: Wire::new(stream),
            address,
            remaining: Remaining::None,
            written: false,
            clean: true,
            keep: true,
            unframed: options.unframed,
            user_timeout: options.user_timeout,
            timeout_set: options.user_timeout,
            used: Instant::now(),
        })
    }

    /// The server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a byte of the current request may have reached the server.
    pub fn written(&self) -> bool {
        self.written
    }

    /// Whether another request may use this connection.
    pub fn reusable(&self) -> bool {
        self.clean && self.keep && self.wire.buf.is_empty()
    }

    /// Whether the peer has sent nothing, and not closed, since the last exchange ended.
    pub fn is_idle(&self) -> bool {
        let peeked = net::peek(&self.wire.stream);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Time since the last exchange ended.
    pub fn idle_time(&self) -> Duration {
        self.used.elapsed()
    }

    /// Sends a request.
    pub async fn send(
        &mut self,
        request: &OutgoingRequest,
        deadline: Instant,
    ) -> Result<(), Fault> {
        self.send_if(request, deadline, || true).await
    }

    /// Sends a request if `allowed` still holds directly before the write.
    pub async fn send_if(
        &mut self,
        request: &OutgoingRequest,
        deadline: Instant,
        allowed: impl FnOnce() -> bool,
    ) -> Result<(), Fault> {
        let bytes = request.encode(self.address);
        self.written = false;
        if !allowed() {
            return Err(Fault::Timeout);
        }
        self.bound_by(deadline)?;
        self.clean = false;
        self.written = true;
        self.wire.write(bytes, deadline).await
    }

    /// Has the system give up unacknowledged bytes at the deadline, also where this process
    /// can't: it may be frozen then.
    fn bound_by(&mut self, deadline: Instant) -> Result<(), Fault> {
        let Some(longest) = self.user_timeout else {
            return Ok(());
        };
        let wanted = Some(longest.min(left(deadline)?).max(SHORTEST_TIMEOUT));
        if wanted != self.timeout_set {
            let socket = net::socket(&self.wire.stream);
            socket2::SockRef::from(&socket).set_tcp_user_timeout(wanted)?;
            self.timeout_set = wanted;
        }
        Ok(())
    }

    /// Reads the head of the response.
    pub async fn read_head(&mut self, deadline: Instant) -> Result<HttpResponseHead, Fault> {
        loop {
            let head = self
                .wire
                .head(&mut ResponseHeadDecoder, HEAD_BYTES, deadline)
                .await?
                .ok_or(Fault::Closed)?;
            if head.status.is_informational() {
                continue;
            }
            let close = |value: &http::HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
            let headers = &head.headers;
            self.keep = !headers.get(http::header::CONNECTION).is_some_and(close);
            self.remaining = match response_framing(head.status, headers)? {
                Some(remaining) => remaining,
                None if self.unframed == Unframed::UntilClose => {
                    self.keep = false;
                    Remaining::UntilClose
                }
                None => return Err(Fault::Malformed("a response without a length")),
            };
            return Ok(HttpResponseHead {
                status: head.status,
                headers: head.headers,
            });
        }
    }

    /// Reads the next piece of the body; `None` at its end.
    pub async fn read_chunk(&mut self, deadline: Instant) -> Result<Option<Bytes>, Fault> {
        let piece = self
            .wire
            .piece(&mut self.remaining, PIECE_BYTES, deadline)
            .await?;
        if piece.is_none() {
            self.clean = true;
            self.used = Instant::now();
        }
        Ok(piece)
    }

    /// Reads the whole body, of at most `limit` bytes.
    pub async fn read_body(&mut self, limit: usize, deadline: Instant) -> Result<Bytes, Fault> {
        let mut body = BytesMut::new();
        while let Some(piece) = self.read_chunk(deadline).await? {
            body.extend_from_slice(&piece);
            if body.len() > limit {
                return Err(Fault::BodyTooLarge);
            }
        }
        Ok(body.freeze())
    }

    /// Sends a request and reads the whole response.
    pub async fn exchange(
        &mut self,
        request: &OutgoingRequest,
        deadline: Instant,
    ) -> Result<Response, Fault> {
        self.send(request, deadline).await?;
        self.read_response(deadline).await
    }

    /// Reads the whole response to a request that was sent.
    pub async fn read_response(&mut self, deadline: Instant) -> Result<Response, Fault> {
        let head = self.read_head(deadline).await?;
        let body = self.read_body(PIECE_BYTES, deadline).await?;
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}

/// Sends a request on a fresh connection and reads the whole response.
pub async fn call(
    address: SocketAddr,
    request: &OutgoingRequest,
    timeout: Duration,
) -> Result<Response, Fault> {
    let deadline = Instant::now() + timeout;
    let options = ConnectOptions {
        timeout: timeout.min(ConnectOptions::default().timeout),
        ..ConnectOptions::default()
    };
    let mut connection = Connection::open(address, options).await?;
    connection.exchange(request, deadline).await
}

/// How a response's body is framed; `None` if it has no length.
fn response_framing(status: StatusCode, headers: &HeaderMap) -> Result<Option<Remaining>, Fault> {
    if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
        return Ok(Some(Remaining::None));
    }
    framing(headers)
}

fn set_options(stream: &monoio::net::TcpStream, options: ConnectOptions) -> io::Result<()> {
    let socket = net::socket(stream);
    let socket = socket2::SockRef::from(&socket);
    if options.linger_zero {
        socket.set_linger(Some(Duration::ZERO))?;
    }
    if options.user_timeout.is_some() {
        socket.set_tcp_user_timeout(options.user_timeout)?;
    }
    Ok(())
}
