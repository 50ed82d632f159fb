//! The server's side: one task a connection, one request at a time.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use http::header::CONNECTION;
use http::{HeaderMap, StatusCode, Version};
use monoio::io::sink::SinkExt;
use monoio::net::{TcpListener, TcpStream};
use monoio_http::common::error::HttpError;
use monoio_http::common::request::RequestHead;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload};

use super::wire::{Remaining, Wire, framing, left};
use super::{Fault, Limits, Request, Response};
use crate::count_guard::CountGuard;
use crate::net;

/// How often an idle connection looks whether the server is stopping.
const STOP_CHECK: Duration = Duration::from_millis(200);
/// Time for which connections are still accepted while the server is stopping.
const LAST_CONNECTIONS: Duration = Duration::from_millis(500);
/// Bytes of a later request that are kept while an earlier one is answered.
const PIPELINE_BYTES: usize = 64 * 1024;

/// Serves connections with a handler.
///
/// The handler is also given the requests that could not be read, so that
/// every refusal has the form of its port; the connection closes after those.
pub struct Server<H, S> {
    /// Bounds on reading requests; a change holds from the next request on.
    pub limits: Cell<Limits>,
    /// Answers one request.
    pub handler: H,
    /// Whether connections are to close after the answer that is being given.
    pub stopping: S,
}

impl<H, S> Server<H, S>
where
    H: AsyncFn(Result<Request, Fault>, &mut Responder) + 'static,
    S: Fn() -> bool + 'static,
{
    /// Accepts connections until the server is stopping, and returns once every
    /// connection has ended.
    ///
    /// Connections that the kernel has accepted already are still served: closing
    /// the listener under them would cut their requests. Those that go on coming do
    /// not keep it from stopping.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let open = Rc::new(Cell::new(0_usize));
        let mut last = None;
        loop {
            if (self.stopping)() {
                let last = *last.get_or_insert_with(|| Instant::now() + LAST_CONNECTIONS);
                if Instant::now() >= last {
                    break;
                }
            }
            match monoio::time::timeout(STOP_CHECK, crate::net::accept(&listener)).await {
                Ok(Ok((stream, peer))) => {
                    let server = Rc::clone(&self);
                    let guard = CountGuard::new(&open);
                    monoio::spawn(async move {
                        server.serve_connection(stream, peer).await;
                        drop(guard);
                    });
                }
                Ok(Err(error)) => {
                    log::warn!("accepting a connection failed: {error}");
                    monoio::time::sleep(STOP_CHECK).await;
                }
                Err(_) if (self.stopping)() => break,
                Err(_) => {}
            }
        }
        drop(listener);
        while open.get() > 0 {
            monoio::time::sleep(STOP_CHECK).await;
        }
    }

    /// Serves one connection to its end.
    pub async fn serve_connection(&self, stream: TcpStream, peer: SocketAddr) {
        let mut responder = Responder::new(stream, self.limits.get().write_time);
        while self.wait_for_request(&mut responder).await {
            let request = self.read_request(&mut responder, peer).await;
            let Some(request) = request.transpose() else {
                return;
            };
            let readable = request.is_ok();
            responder.begin(!readable || (self.stopping)());
            (self.handler)(request, &mut responder).await;
            if !responder.reusable() {
                return;
            }
        }
    }

    /// Waits for the first byte of a request; false if the connection is to close.
    async fn wait_for_request(&self, responder: &mut Responder) -> bool {
        let idle_end = Instant::now() + self.limits.get().idle_time;
        while responder.wire.buf.is_empty() {
            let now = Instant::now();
            if (self.stopping)() || now >= idle_end {
                return false;
            }
            match responder.wire.fill(now + STOP_CHECK).await {
                Ok(0) => return false,
                Ok(_) | Err(Fault::Timeout) => {}
                Err(_) => return false,
            }
        }
        true
    }

    async fn read_request(
        &self,
        responder: &mut Responder,
        peer: SocketAddr,
    ) -> Result<Option<Request>, Fault> {
        let limits = self.limits.get();
        let deadline = Instant::now() + limits.head_time;
        let head = responder
            .wire
            .head(&mut RequestHeadDecoder, limits.head_bytes, deadline)
            .await?;
        let Some(head) = head else { return Ok(None) };
        responder.close = asks_to_close(&head);
        let remaining = framing(&head.headers)?.unwrap_or(Remaining::None);
        if matches!(remaining, Remaining::Fixed(length) if length > limits.body_bytes) {
            return Err(Fault::BodyTooLarge);
        }
        if head.headers.contains_key(http::header::EXPECT) {
            let go_on = Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n");
            responder.wire.write(go_on, deadline).await?;
        }
        let body = self.read_body(&mut responder.wire, remaining).await?;
        Ok(Some(Request {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            peer,
        }))
    }

    async fn read_body(&self, wire: &mut Wire, mut remaining: Remaining) -> Result<Bytes, Fault> {
        let deadline = Instant::now() + self.limits.get().body_time;
        let limit = self.limits.get().body_bytes;
        let mut body = BytesMut::new();
        while let Some(piece) = wire.piece(&mut remaining, limit, deadline).await? {
            body.extend_from_slice(&piece);
            if body.len() > limit {
                return Err(Fault::BodyTooLarge);
            }
        }
        Ok(body.freeze())
    }
}

fn asks_to_close(head: &RequestHead) -> bool {
    let close = |value: &http::HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
    head.version != Version::HTTP_11 || head.headers.get(CONNECTION).is_some_and(close)
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    Waiting,
    Streaming,
    Done,
    Broken,
}

/// Writes the answer to one request, whole or in pieces.
pub struct Responder {
    wire: Wire,
    close: bool,
    progress: Progress,
    write_time: Duration,
}

impl Responder {
    fn new(stream: TcpStream, write_time: Duration) -> Self {
        Self {
            wire: Wire::new(stream),
            close: false,
            progress: Progress::Waiting,
            write_time,
        }
    }

    fn begin(&mut self, close: bool) {
        self.close |= close;
        self.progress = Progress::Waiting;
    }

    fn reusable(&self) -> bool {
        self.progress == Progress::Done && !self.close
    }

    /// Whether a part of the answer has been written.
    pub fn started(&self) -> bool {
        self.progress != Progress::Waiting
    }

    /// Closes the connection after this answer.
    pub fn close_after(&mut self) {
        self.close = true;
    }

    /// Writes a whole response.
    pub async fn send(&mut self, response: Response) -> Result<(), Fault> {
        let mut message = http::Response::new(Payload::<Bytes, HttpError>::from(
            FixedPayload::new(response.body),
        ));
        *message.status_mut() = response.status;
        *message.headers_mut() = response.headers;
        if self.close {
            let close = http::HeaderValue::from_static("close");
            message.headers_mut().insert(CONNECTION, close);
        }
        self.progress = Progress::Broken;
        let time = left(Instant::now() + self.write_time)?;
        let mut encoder = GenericEncoder::new(&mut self.wire.stream);
        monoio::time::timeout(time, encoder.send_and_flush(message))
            .await
            .map_err(|_| Fault::Timeout)?
            .map_err(|error| Fault::Io(std::io::Error::other(error.to_string())))?;
        self.progress = Progress::Done;
        Ok(())
    }

    /// Writes the head of a streamed response.
    ///
    /// The library's encoder gathers a streamed body until it is large, which
    /// would hold tokens back; heads and chunks of streams are written here.
    pub async fn start(&mut self, status: StatusCode, headers: &HeaderMap) -> Result<(), Fault> {
        let mut head = BytesMut::with_capacity(512);
        head.put_slice(b"HTTP/1.1 ");
        head.put_slice(status.as_str().as_bytes());
        head.put_slice(b" \r\ntransfer-encoding: chunked\r\n");
        if self.close {
            head.put_slice(b"connection: close\r\n");
        }
        for (name, value) in headers {
            head.put_slice(name.as_str().as_bytes());
            head.put_slice(b": ");
            head.put_slice(value.as_bytes());
            head.put_slice(b"\r\n");
        }
        head.put_slice(b"\r\n");
        self.progress = Progress::Broken;
        self.write(head.freeze()).await?;
        self.progress = Progress::Streaming;
        Ok(())
    }

    /// Writes a piece of a streamed response and flushes it.
    pub async fn send_chunk(&mut self, data: &[u8]) -> Result<(), Fault> {
        if data.is_empty() {
            return Ok(());
        }
        let mut chunk = BytesMut::with_capacity(data.len() + 16);
        chunk.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
        chunk.put_slice(data);
        chunk.put_slice(b"\r\n");
        self.progress = Progress::Broken;
        self.write(chunk.freeze()).await?;
        self.progress = Progress::Streaming;
        Ok(())
    }

    /// Ends a streamed response. Without this call the body ends as aborted.
    pub async fn finish(&mut self) -> Result<(), Fault> {
        self.progress = Progress::Broken;
        self.write(Bytes::from_static(b"0\r\n\r\n")).await?;
        self.progress = Progress::Done;
        Ok(())
    }

    /// Whether the peer has closed the connection already.
    pub fn is_closed(&self) -> bool {
        match net::peek(&self.wire.stream) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    /// Waits until the peer has closed the connection.
    ///
    /// Bytes of a next request that come meanwhile are kept, up to a bound.
    pub async fn closed(&mut self) {
        let far = Duration::from_hours(1);
        loop {
            if self.wire.buf.len() > PIPELINE_BYTES {
                monoio::time::sleep(far).await;
                continue;
            }
            match self.wire.fill(Instant::now() + far).await {
                Ok(0) => return,
                Ok(_) | Err(Fault::Timeout) => {}
                Err(_) => return,
            }
        }
    }

    async fn write(&mut self, bytes: Bytes) -> Result<(), Fault> {
        self.wire
            .write(bytes, Instant::now() + self.write_time)
            .await
    }
}
