//! HTTP server: one task per connection, one request at a time.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use derive_more::Display;
use http::header::CONNECTION;
use http::{HeaderMap, StatusCode, Version};
use monoio::io::AsyncWriteRent;
use monoio::io::sink::SinkExt;
use monoio::net::{TcpListener, TcpStream};
use monoio_http::common::error::HttpError;
use monoio_http::common::request::RequestHead;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload};

use super::buffered::{BufferedStream, RecordTaken, Remaining, WRITE_BYTES, framing, time_left};
use super::{Fault, Limits, Request, Response};
use crate::count_guard::CountGuard;
use crate::net;
use crate::pacing::Turn;

/// Interval between checks whether the server is stopping.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time for which new connections are still accepted while the server is stopping.
const MAX_STOP_ACCEPT_TIME: Duration = Duration::from_millis(500);
/// Maximum time for which the rest of a refused request is read before its connection is closed.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Interval between reads of the rest of a refused request.
const LINGER_INTERVAL: Duration = Duration::from_millis(2);
/// Work of accepting a connection, as a number of bytes read.
const ACCEPT_WORK: usize = 1024;
/// Number of buffered bytes of pipelined requests beyond which no more are read.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// HTTP server with a handler.
///
/// The handler also receives the error of a request that could not be read, so that each port
/// refuses it in its own format; the connection is closed afterwards.
pub struct Server<H, S> {
    /// Limits; a change applies from the next request on, a longer idle time at once, and a shorter
    /// one to new connections, as callers may learn of it late.
    pub limits: Cell<Limits>,
    /// Handles a request.
    pub handler: H,
    /// Returns whether connections are to be closed after their current response.
    pub stopping: S,
}

impl<H, S> Server<H, S>
where
    H: AsyncFn(Result<Request, Fault>, &mut Responder) + 'static,
    S: Fn() -> bool + 'static,
{
    /// Accepts connections until the server is stopping, and returns once all of them are
    /// closed.
    ///
    /// Connections that the kernel has already accepted are still served, since closing the
    /// listener would reset them. Further new connections can't prevent the stop.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let open = Rc::new(Cell::new(0_usize));
        let mut accept_until = None;
        let mut waiting = net::BACKLOG;
        let mut turn = Turn::new("accept", None);
        loop {
            let mut accept_time = STOP_POLL_INTERVAL;
            if (self.stopping)() {
                let accept_until =
                    *accept_until.get_or_insert_with(|| Instant::now() + MAX_STOP_ACCEPT_TIME);
                if Instant::now() >= accept_until {
                    // Connections that wait already would be reset with the listener.
                    if waiting == 0 {
                        break;
                    }
                    waiting -= 1;
                    accept_time = Duration::ZERO;
                }
            }
            turn.pause_if_due().await;
            let accepting = monoio::time::timeout(accept_time, crate::net::accept(&listener));
            match turn.step(accepting, |_| ACCEPT_WORK).await {
                Ok(Ok((stream, peer))) => {
                    let server = Rc::clone(&self);
                    let open_guard = CountGuard::new(&open);
                    monoio::spawn(async move {
                        server.serve_connection(stream, peer).await;
                        drop(open_guard);
                    });
                }
                Ok(Err(error)) => {
                    log::warn!("accepting a connection failed: {error}");
                    if accept_time.is_zero() {
                        break;
                    }
                    monoio::time::sleep(STOP_POLL_INTERVAL).await;
                }
                Err(_) if (self.stopping)() => break,
                Err(_) => {}
            }
        }
        drop(listener);
        while open.get() > 0 {
            monoio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Serves a connection until it is closed.
    pub async fn serve_connection(&self, stream: TcpStream, peer: SocketAddr) {
        let mut responder = Responder::new(stream, self.limits.get().write_time);
        let mut requests = 0_u64;
        let mut idle_time = Duration::ZERO;
        loop {
            let wait = self.wait_for_request(&mut responder, &mut idle_time);
            if let Err(reason) = wait.await {
                // Callers close their connections all the time; the others may cross a request.
                let level = match reason {
                    CloseReason::Peer => log::Level::Debug,
                    _ => log::Level::Info,
                };
                log::log!(
                    level,
                    "connection from={peer} choice=close reason={reason} requests={requests}"
                );
                return;
            }
            requests += 1;
            let request = self.read_request(&mut responder, peer).await;
            let Some(request) = request.transpose() else {
                return;
            };
            let readable = request.is_ok();
            responder.reset(!readable || (self.stopping)());
            (self.handler)(request, &mut responder).await;
            if !readable {
                return responder.linger().await;
            }
            if !responder.reusable() {
                return;
            }
        }
    }

    /// Waits for the first byte of a request, or returns why the connection is to be closed.
    /// `idle_time` is the longest that was in force since the connection was opened.
    async fn wait_for_request(
        &self,
        responder: &mut Responder,
        idle_time: &mut Duration,
    ) -> Result<(), CloseReason> {
        let idle_since = Instant::now();
        while responder.stream.buf.is_empty() {
            let is_stopping = (self.stopping)();
            let now = Instant::now();
            *idle_time = (*idle_time).max(self.limits.get().idle_time);
            let reason = if is_stopping {
                Some(CloseReason::Stopping)
            } else {
                (now >= idle_since + *idle_time).then_some(CloseReason::Idle)
            };
            // A request may have arrived that was not read yet because other tasks were busy.
            if let Some(reason) = reason
                && !responder.has_input()
            {
                return Err(reason);
            }
            match responder.stream.fill(now + STOP_POLL_INTERVAL).await {
                Ok(0) => return Err(CloseReason::Peer),
                Ok(_) | Err(Fault::Timeout) => {}
                Err(_) => return Err(CloseReason::Broken),
            }
        }
        Ok(())
    }

    async fn read_request(
        &self,
        responder: &mut Responder,
        peer: SocketAddr,
    ) -> Result<Option<Request>, Fault> {
        let limits = self.limits.get();
        let deadline = Instant::now() + limits.head_time;
        let head = responder
            .stream
            .read_head(&mut RequestHeadDecoder, limits.head_bytes, deadline)
            .await?;
        let Some(head) = head else { return Ok(None) };
        responder.close = requests_close(&head);
        let remaining = framing(&head.headers)?.unwrap_or(Remaining::None);
        if matches!(remaining, Remaining::Fixed(length) if length > limits.body_bytes) {
            return Err(Fault::BodyTooLarge);
        }
        if head.headers.contains_key(http::header::EXPECT) {
            let interim = Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n");
            responder.stream.write(interim, deadline).await?;
        }
        let body = self.read_body(&mut responder.stream, remaining).await?;
        Ok(Some(Request {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            peer,
        }))
    }

    async fn read_body(
        &self,
        stream: &mut BufferedStream,
        mut remaining: Remaining,
    ) -> Result<Bytes, Fault> {
        let deadline = Instant::now() + self.limits.get().body_time;
        let limit = self.limits.get().body_bytes;
        let mut body = BytesMut::new();
        while let Some(chunk) = stream.read_chunk(&mut remaining, limit, deadline).await? {
            body.extend_from_slice(&chunk);
            if body.len() > limit {
                return Err(Fault::BodyTooLarge);
            }
            stream.keep(body.len())?;
        }
        stream.keep(0)?;
        Ok(body.freeze())
    }
}

fn requests_close(head: &RequestHead) -> bool {
    let close = |value: &http::HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
    head.version != Version::HTTP_11 || head.headers.get(CONNECTION).is_some_and(close)
}

/// Why a connection without a request is closed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum CloseReason {
    #[display("idle")]
    Idle,
    #[display("stopping")]
    Stopping,
    #[display("peer")]
    Peer,
    #[display("broken")]
    Broken,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    NotStarted,
    Streaming,
    Done,
    Interrupted,
}

/// Writes the response to a request, completely or as a stream.
pub struct Responder {
    stream: BufferedStream,
    close: bool,
    /// Returns whether the connection is to be closed, when the response begins.
    close_check: Option<Box<dyn Fn() -> bool>>,
    progress: Progress,
    write_time: Duration,
    /// Told of what the peer takes of the response.
    taken: Option<RecordTaken>,
}

impl Responder {
    fn new(stream: TcpStream, write_time: Duration) -> Self {
        Self {
            stream: BufferedStream::new(stream),
            close: false,
            close_check: None,
            progress: Progress::NotStarted,
            write_time,
            taken: None,
        }
    }

    fn reset(&mut self, close: bool) {
        self.close |= close;
        self.close_check = None;
        self.taken = None;
        self.progress = Progress::NotStarted;
    }

    fn reusable(&self) -> bool {
        self.progress == Progress::Done && !self.close
    }

    /// Reads and discards what the peer is still sending, until it closes the connection. Closing
    /// with unread bytes would reset the connection, and the peer may lose the response.
    async fn linger(&mut self) {
        if self.progress != Progress::Done || self.stream.stream.shutdown().await.is_err() {
            return;
        }
        let deadline = Instant::now() + LINGER_TIME;
        loop {
            self.stream.buf.clear();
            if !matches!(self.stream.fill(deadline).await, Ok(1..)) {
                return;
            }
            monoio::time::sleep(LINGER_INTERVAL).await;
        }
    }

    /// Returns whether a part of the response may have been written.
    pub fn started(&self) -> bool {
        self.progress != Progress::NotStarted
    }

    /// Makes the connection close after this response.
    pub fn close_after(&mut self) {
        self.close = true;
    }

    /// Makes the connection close after this response if `check` returns true when the response
    /// begins, which may be long after its request has arrived.
    pub fn close_if(&mut self, check: impl Fn() -> bool + 'static) {
        self.close_check = Some(Box::new(check));
    }

    /// Tells `taken` how many bytes of this response the peer takes. Writes then have no timeout:
    /// whoever watches them drops those that make no progress.
    pub fn watch_writes(&mut self, taken: impl Fn(usize) + 'static) {
        self.taken = Some(Box::new(taken));
    }

    /// Resets the connection when it is dropped, so that the kernel keeps nothing of the response
    /// for the peer.
    pub fn abort(&mut self) {
        self.close = true;
        self.progress = Progress::Interrupted;
        let socket = net::socket(&self.stream.stream);
        let reset = socket2::SockRef::from(&socket).set_linger(Some(Duration::ZERO));
        if let Err(error) = reset {
            log::warn!("connection choice=abort outcome=\"{error}\"");
        }
    }

    /// Returns whether the head that is about to be written announces that the connection closes.
    fn announces_close(&mut self) -> bool {
        self.close |= self.close_check.as_ref().is_some_and(|check| check());
        self.close
    }

    /// Writes a complete response.
    pub async fn send(&mut self, response: Response) -> Result<(), Fault> {
        if self.taken.is_some() && response.body.len() > WRITE_BYTES {
            return self.send_watched(response).await;
        }
        let mut message = http::Response::new(Payload::<Bytes, HttpError>::from(
            FixedPayload::new(response.body),
        ));
        *message.status_mut() = response.status;
        *message.headers_mut() = response.headers;
        if self.announces_close() {
            let close = http::HeaderValue::from_static("close");
            message.headers_mut().insert(CONNECTION, close);
        }
        self.progress = Progress::Interrupted;
        let timeout = time_left(Instant::now() + self.write_time)?;
        let mut encoder = GenericEncoder::new(&mut self.stream.stream);
        monoio::time::timeout(timeout, encoder.send_and_flush(message))
            .await
            .map_err(|_| Fault::Timeout)?
            .map_err(|error| Fault::Io(std::io::Error::other(error.to_string())))?;
        self.progress = Progress::Done;
        Ok(())
    }

    /// Writes a complete response in parts, which the library's encoder does not.
    async fn send_watched(&mut self, response: Response) -> Result<(), Fault> {
        let length = format!("content-length: {}\r\n", response.body.len());
        let mut headers = response.headers;
        headers.remove(http::header::CONTENT_LENGTH);
        headers.remove(http::header::TRANSFER_ENCODING);
        let head = self.encode_head(response.status, &length, &headers);
        self.progress = Progress::Interrupted;
        self.write(head).await?;
        self.write(response.body).await?;
        self.progress = Progress::Done;
        Ok(())
    }

    /// Encodes a head; `framing` is the header line that frames the body.
    fn encode_head(&mut self, status: StatusCode, framing: &str, headers: &HeaderMap) -> Bytes {
        let mut head = BytesMut::with_capacity(512);
        head.put_slice(b"HTTP/1.1 ");
        head.put_slice(status.as_str().as_bytes());
        head.put_slice(b" \r\n");
        head.put_slice(framing.as_bytes());
        if self.announces_close() {
            head.put_slice(b"connection: close\r\n");
        }
        for (name, value) in headers {
            head.put_slice(name.as_str().as_bytes());
            head.put_slice(b": ");
            head.put_slice(value.as_bytes());
            head.put_slice(b"\r\n");
        }
        head.put_slice(b"\r\n");
        head.freeze()
    }

    /// Writes the head of a streamed response.
    ///
    /// The library's encoder buffers small chunks, which would delay tokens, so the heads and
    /// chunks of streams are encoded here.
    pub async fn start(&mut self, status: StatusCode, headers: &HeaderMap) -> Result<(), Fault> {
        let head = self.encode_head(status, "transfer-encoding: chunked\r\n", headers);
        self.progress = Progress::Interrupted;
        self.write(head).await?;
        self.progress = Progress::Streaming;
        Ok(())
    }

    /// Writes a chunk of a streamed response and flushes it.
    pub async fn send_chunk(&mut self, data: &[u8]) -> Result<(), Fault> {
        if data.is_empty() {
            return Ok(());
        }
        let mut chunk = BytesMut::with_capacity(data.len() + 16);
        chunk.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
        chunk.put_slice(data);
        chunk.put_slice(b"\r\n");
        self.progress = Progress::Interrupted;
        self.write(chunk.freeze()).await?;
        self.progress = Progress::Streaming;
        Ok(())
    }

    /// Ends a streamed response; without this call, the caller sees the body as incomplete.
    pub async fn finish(&mut self) -> Result<(), Fault> {
        self.progress = Progress::Interrupted;
        self.write(Bytes::from_static(b"0\r\n\r\n")).await?;
        self.progress = Progress::Done;
        Ok(())
    }

    /// Returns whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        match net::peek(&self.stream.stream) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    /// Returns whether bytes wait to be read.
    fn has_input(&self) -> bool {
        net::peek(&self.stream.stream).is_ok_and(|count| count > 0)
    }

    /// Waits until the peer has closed the connection, and returns how: [`Fault::Closed`] after
    /// an ordinary close, or the error of the connection.
    ///
    /// Pipelined requests are buffered meanwhile; when they are too large, the future never
    /// completes.
    pub async fn closed(&mut self) -> Fault {
        let far = Duration::from_hours(1);
        loop {
            if self.stream.buf.len() > MAX_PIPELINED_BYTES {
                monoio::time::sleep(far).await;
                continue;
            }
            match self.stream.fill(Instant::now() + far).await {
                Ok(0) => return Fault::Closed,
                Ok(_) | Err(Fault::Timeout) => {}
                Err(fault) => return fault,
            }
        }
    }

    async fn write(&mut self, bytes: Bytes) -> Result<(), Fault> {
        if let Some(taken) = &self.taken {
            return self.stream.write_watched(bytes, None, taken).await;
        }
        self.stream
            .write(bytes, Instant::now() + self.write_time)
            .await
    }
}
