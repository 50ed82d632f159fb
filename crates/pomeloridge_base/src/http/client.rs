//! HTTP client: a connection that carries one exchange at a time.
//!
//! A connection whose exchange is incomplete is reset when it is dropped. After an ordinary
//! close, the kernel would go on sending what was written, which could arrive seconds later at
//! a server that has been removed, or at another one with its address.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use monoio_http::h1::codec::decoder::ResponseHeadDecoder;

use super::buffered::{BufferedStream, RecordTaken, Remaining, framing, time_left};
use super::{Fault, Response};
use crate::count_guard::CountGuard;
use crate::net;

/// Maximum size of a response's head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Highest status code of HTTP.
const MAX_STATUS: u16 = 599;
/// Maximum number of interim heads before a response.
const MAX_INTERIM_HEADS: usize = 16;
/// Minimum for `TCP_USER_TIMEOUT`, since 0 disables it.
const MIN_USER_TIMEOUT: Duration = Duration::from_millis(1);
/// Maximum size of a chunk of a response, and of a response that is read completely.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers; `Content-Length` and, if missing, `Host` are added when the request is sent.
    pub headers: HeaderMap,
    /// Body, without framing.
    pub body: Bytes,
}

impl OutgoingRequest {
    /// Returns a request without headers and body.
    pub fn new(method: Method, target: impl Into<String>) -> Self {
        Self {
            method,
            target: target.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Returns a `GET` request without headers and body.
    pub fn get(target: impl Into<String>) -> Self {
        Self::new(Method::GET, target)
    }

    /// Sets the body to `value` as JSON.
    #[must_use]
    pub fn json<T: serde::Serialize>(mut self, value: &T) -> Self {
        self.body = serde_json::to_vec(value).unwrap_or_default().into();
        self.with_header("content-type", "application/json")
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets a header, unless the value is not allowed in a header.
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

/// Head of a response whose body has not been read yet.
#[derive(Clone, Debug)]
pub struct HttpResponseHead {
    /// HTTP status code.
    pub status: StatusCode,
    /// All headers of the head.
    pub headers: HeaderMap,
}

/// Options of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectOptions {
    /// Timeout for connecting.
    pub timeout: Duration,
    /// Time after which the kernel closes a connection with unacknowledged bytes; a request's
    /// deadline shortens it.
    pub user_timeout: Option<Duration>,
    /// Whether closing always resets the connection and discards unsent bytes.
    pub linger_zero: bool,
    /// How a response without a length is handled.
    pub unframed: Unframed,
}

/// Handling of a response with neither `Content-Length` nor chunked encoding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unframed {
    /// It is an error, as its end can't be told from a lost connection.
    #[default]
    Refused,
    /// The body ends when the peer closes the connection cleanly.
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
    stream: BufferedStream,
    address: SocketAddr,
    remaining: Remaining,
    sent: SentPart,
    /// Whether no exchange is incomplete.
    complete: bool,
    keep_alive: bool,
    unframed: Unframed,
    /// Maximum for `TCP_USER_TIMEOUT`; `None` leaves it unset.
    max_user_timeout: Option<Duration>,
    /// Value of `TCP_USER_TIMEOUT` at the socket.
    user_timeout: Option<Duration>,
    idle_since: Instant,
    /// The latest refusal on this connection.
    last_refusal: Option<RefusalMark>,
    /// Counts the connection until it is closed.
    count: Option<CountGuard>,
}

/// How much of the latest request has been written, at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SentPart {
    Nothing,
    /// The write is going on, has failed or was given up.
    Some,
    Whole,
}

/// How a refusal says which request it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalMark {
    /// It names the request.
    Named,
    /// It names no request, so that a copy of it can't be told from a later one.
    Unnamed,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.complete {
            return;
        }
        let stream = &self.stream.stream;
        let unacknowledged = net::unacknowledged(stream);
        let socket = net::socket(stream);
        let reset = socket2::SockRef::from(&socket).set_linger(Some(Duration::ZERO));
        if let Err(error) = reset {
            log::warn!(
                "connection to={} choice=abort outcome=\"{error}\"",
                self.address
            );
        } else if unacknowledged.as_ref().is_ok_and(|bytes| *bytes > 0) {
            log::info!(
                "connection to={} choice=abort unacknowledged={}",
                self.address,
                unacknowledged.unwrap_or_default()
            );
        }
    }
}

impl Connection {
    /// Connects to `address`.
    pub async fn open(address: SocketAddr, options: ConnectOptions) -> Result<Self, Fault> {
        let stream = net::connect(address, options.timeout)
            .await
            .map_err(Fault::Connect)?;
        set_options(&stream, options).map_err(Fault::Connect)?;
        Ok(Self {
            stream: BufferedStream::new(stream),
            address,
            remaining: Remaining::None,
            sent: SentPart::Nothing,
            complete: true,
            keep_alive: true,
            unframed: options.unframed,
            max_user_timeout: options.user_timeout,
            user_timeout: options.user_timeout,
            idle_since: Instant::now(),
            last_refusal: None,
            count: None,
        })
    }

    /// Counts the connection until it is closed.
    pub fn count_while_open(&mut self, count: CountGuard) {
        self.count = Some(count);
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether a byte of the current request may have reached the server.
    pub fn written(&self) -> bool {
        self.sent != SentPart::Nothing
    }

    /// Returns whether the connection may be used for another request.
    pub fn reusable(&self) -> bool {
        self.complete && self.keep_alive && self.stream.buf.is_empty()
    }

    /// Makes the connection unusable for another request, as the peer sent a response that
    /// belongs to none.
    pub fn mark_faulty(&mut self) {
        self.keep_alive = false;
    }

    /// Records that the peer refused a request.
    pub fn record_refusal(&mut self, mark: RefusalMark) {
        self.last_refusal = Some(mark);
    }

    /// Returns how the latest refusal on this connection named its request, if there was one.
    pub fn last_refusal(&self) -> Option<RefusalMark> {
        self.last_refusal
    }

    /// Returns whether the connection is open and the peer has sent nothing since the last
    /// exchange.
    pub fn is_idle(&self) -> bool {
        let peeked = net::peek(&self.stream.stream);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns the time since the last exchange ended.
    pub fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Sends a request.
    pub async fn send(
        &mut self,
        request: &OutgoingRequest,
        deadline: Instant,
    ) -> Result<(), Fault> {
        self.send_if(request, deadline, || true).await
    }

    /// Sends a request as [`Self::send`] does, and tells `taken` how many bytes of it the server
    /// takes.
    pub async fn send_watched(
        &mut self,
        request: &OutgoingRequest,
        deadline: Instant,
        taken: impl Fn(usize) + 'static,
    ) -> Result<(), Fault> {
        let bytes = request.encode(self.address);
        self.begin_send(deadline)?;
        let taken: RecordTaken = Box::new(taken);
        let written = self.stream.write_watched(bytes, Some(deadline), &taken);
        written.await?;
        self.sent = SentPart::Whole;
        Ok(())
    }

    /// Sends a request if `allowed` returns true directly before the write; fails with a timeout
    /// otherwise.
    pub async fn send_if(
        &mut self,
        request: &OutgoingRequest,
        deadline: Instant,
        allowed: impl FnOnce() -> bool,
    ) -> Result<(), Fault> {
        let bytes = request.encode(self.address);
        self.sent = SentPart::Nothing;
        if !allowed() {
            return Err(Fault::Timeout);
        }
        self.begin_send(deadline)?;
        self.stream.write(bytes, deadline).await?;
        self.sent = SentPart::Whole;
        Ok(())
    }

    fn begin_send(&mut self, deadline: Instant) -> Result<(), Fault> {
        self.sent = SentPart::Nothing;
        self.set_user_timeout(deadline)?;
        self.complete = false;
        self.sent = SentPart::Some;
        Ok(())
    }

    /// Makes the kernel drop unacknowledged bytes at the deadline, as this process may be frozen
    /// by then.
    fn set_user_timeout(&mut self, deadline: Instant) -> Result<(), Fault> {
        let Some(max) = self.max_user_timeout else {
            return Ok(());
        };
        let timeout = Some(max.min(time_left(deadline)?).max(MIN_USER_TIMEOUT));
        if timeout != self.user_timeout {
            let socket = net::socket(&self.stream.stream);
            socket2::SockRef::from(&socket).set_tcp_user_timeout(timeout)?;
            self.user_timeout = timeout;
        }
        Ok(())
    }

    /// Reads the head of the response.
    ///
    /// Fails if the request was not written whole: the kernel reports a reset once, to the write,
    /// so that a part of a response that the reset has cut would look as if it had ended cleanly.
    pub async fn read_head(&mut self, deadline: Instant) -> Result<HttpResponseHead, Fault> {
        if self.sent == SentPart::Some {
            return Err(Fault::Closed);
        }
        for _ in 0..=MAX_INTERIM_HEADS {
            let head = self
                .stream
                .read_head(&mut ResponseHeadDecoder, MAX_HEAD_BYTES, deadline)
                .await?
                .ok_or(Fault::Closed)?;
            if head.status.is_informational() {
                continue;
            }
            let close = |value: &http::HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
            let headers = &head.headers;
            if head.status.as_u16() > MAX_STATUS {
                return Err(Fault::Malformed("a status that HTTP does not define"));
            }
            self.keep_alive &= !headers.get(http::header::CONNECTION).is_some_and(close);
            self.remaining = match response_framing(head.status, headers)? {
                Some(remaining) => remaining,
                None if self.unframed == Unframed::UntilClose => {
                    self.keep_alive = false;
                    Remaining::UntilClose
                }
                None => return Err(Fault::Malformed("a response without a length")),
            };
            return Ok(HttpResponseHead {
                status: head.status,
                headers: head.headers,
            });
        }
        Err(Fault::Malformed("too many interim heads"))
    }

    /// Sets the number of bytes of the response that its reader keeps, which count for the bytes
    /// that all messages may hold; fails if these hold too many.
    pub fn keep(&mut self, bytes: usize) -> Result<(), Fault> {
        self.stream.keep(bytes)
    }

    /// Reads the next chunk of the body; returns `None` at its end.
    pub async fn read_chunk(&mut self, deadline: Instant) -> Result<Option<Bytes>, Fault> {
        let chunk = self
            .stream
            .read_chunk(&mut self.remaining, MAX_BODY_BYTES, deadline)
            .await?;
        if chunk.is_none() {
            self.keep(0)?;
            self.complete = true;
            self.idle_since = Instant::now();
        }
        Ok(chunk)
    }

    /// Reads the complete body, of at most `limit` bytes.
    pub async fn read_body(&mut self, limit: usize, deadline: Instant) -> Result<Bytes, Fault> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.read_chunk(deadline).await? {
            body.extend_from_slice(&chunk);
            if body.len() > limit {
                return Err(Fault::BodyTooLarge);
            }
            self.keep(body.len())?;
        }
        self.keep(0)?;
        Ok(body.freeze())
    }

    /// Sends a request and reads the complete response.
    pub async fn exchange(
        &mut self,
        request: &OutgoingRequest,
        deadline: Instant,
    ) -> Result<Response, Fault> {
        self.send(request, deadline).await?;
        self.read_response(deadline).await
    }

    /// Reads the complete response to the request that was sent last.
    pub async fn read_response(&mut self, deadline: Instant) -> Result<Response, Fault> {
        let head = self.read_head(deadline).await?;
        let body = self.read_body(MAX_BODY_BYTES, deadline).await?;
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}

/// Sends a request on a new connection and reads the complete response.
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

/// Returns how a response's body is framed; `None` if it has no length.
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
