//! Buffered connection from which the codecs decode.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

use super::Fault;

/// Buffer size of a read.
const READ_BYTES: usize = 16 * 1024;

/// Part of a message body that has not been read yet.
pub(super) enum Remaining {
    None,
    Fixed(usize),
    Chunked(ChunkedBody),
    /// The body ends when the peer closes the connection cleanly.
    UntilClose,
}

/// A body in chunks.
///
/// The codec takes a chunk without a size for the last one.
#[derive(Default)]
pub(super) struct ChunkedBody {
    decoder: ChunkedBodyDecoder,
    /// Whether the current chunk begins with a digit of its size.
    has_size: bool,
}

impl ChunkedBody {
    fn take(&mut self, buf: &mut BytesMut) -> Result<Taken, Fault> {
        let is_digit = |byte: &u8| byte.is_ascii_hexdigit();
        if !self.has_size && !buf.first().is_none_or(is_digit) {
            return Err(Fault::Malformed("a chunk of the body has no size"));
        }
        self.has_size |= !buf.is_empty();
        match self.decoder.decode(buf) {
            Ok(Decoded::Some(Some(chunk))) => {
                self.has_size = false;
                Ok(Taken::Chunk(chunk))
            }
            Ok(Decoded::Some(None)) => Ok(Taken::End),
            Ok(_) => Ok(Taken::Incomplete),
            Err(_) => Err(Fault::Malformed("a chunk of the body is broken")),
        }
    }
}

/// A connection with the bytes that were read but not decoded yet.
pub(super) struct BufferedStream {
    pub(super) stream: TcpStream,
    pub(super) buf: BytesMut,
}

impl BufferedStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: BytesMut::new(),
        }
    }

    /// Reads more bytes into the buffer; returns 0 if the peer has closed the connection.
    pub(super) async fn fill(&mut self, deadline: Instant) -> Result<usize, Fault> {
        let chunk = Vec::with_capacity(READ_BYTES);
        // Dropping the read loses no bytes: the epoll driver reads only when the future
        // completes.
        let read = monoio::time::timeout(time_left(deadline)?, self.stream.read(chunk));
        let (result, chunk) = read.await.map_err(|_| Fault::Timeout)?;
        let count = result?;
        self.buf.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    pub(super) async fn write(&mut self, bytes: Bytes, deadline: Instant) -> Result<(), Fault> {
        let write = monoio::time::timeout(time_left(deadline)?, self.stream.write_all(bytes));
        let (result, _) = write.await.map_err(|_| Fault::Timeout)?;
        result?;
        Ok(())
    }

    /// Reads and decodes a head; returns `None` if the peer closed the connection before its first
    /// byte.
    pub(super) async fn read_head<D: Decoder>(
        &mut self,
        decoder: &mut D,
        limit: usize,
        deadline: Instant,
    ) -> Result<Option<D::Item>, Fault> {
        loop {
            // The codec does not skip the line breaks that a client may send after a body.
            while self.buf.starts_with(b"\r\n") {
                let _ = self.buf.split_to(2);
            }
            let end = head_end(&self.buf);
            if end.unwrap_or(self.buf.len()) > limit {
                return Err(Fault::HeadTooLarge);
            }
            if let Some(end) = end {
                if has_blank_line(&self.buf[..end - 4]) {
                    return Err(Fault::Malformed("a blank line within the head"));
                }
                return match decoder.decode(&mut self.buf) {
                    Ok(Decoded::Some(head)) => Ok(Some(head)),
                    Ok(_) | Err(_) => Err(Fault::Malformed("the head cannot be parsed")),
                };
            }
            if self.fill(deadline).await? == 0 {
                return if self.buf.is_empty() {
                    Ok(None)
                } else {
                    Err(Fault::Closed)
                };
            }
        }
    }

    /// Reads the next chunk of a body, of about `limit` bytes at most; returns `None` at its end.
    pub(super) async fn read_chunk(
        &mut self,
        remaining: &mut Remaining,
        limit: usize,
        deadline: Instant,
    ) -> Result<Option<Bytes>, Fault> {
        loop {
            match take_chunk(&mut self.buf, remaining)? {
                Taken::Chunk(chunk) => return Ok(Some(chunk)),
                Taken::End => return Ok(None),
                Taken::Incomplete => {}
            }
            // The codec decodes only complete chunks, so the buffer grows to the chunk's size.
            if self.buf.len() > limit.saturating_add(READ_BYTES) {
                return Err(Fault::BodyTooLarge);
            }
            if self.fill(deadline).await? == 0 {
                if matches!(remaining, Remaining::UntilClose) {
                    *remaining = Remaining::None;
                    return Ok(None);
                }
                return Err(Fault::Closed);
            }
        }
    }
}

/// Part of a body that could be taken from the buffer.
enum Taken {
    Chunk(Bytes),
    End,
    Incomplete,
}

fn take_chunk(buf: &mut BytesMut, remaining: &mut Remaining) -> Result<Taken, Fault> {
    match remaining {
        Remaining::None | Remaining::Fixed(0) => {
            *remaining = Remaining::None;
            Ok(Taken::End)
        }
        Remaining::Fixed(_) | Remaining::UntilClose if buf.is_empty() => Ok(Taken::Incomplete),
        Remaining::UntilClose => Ok(Taken::Chunk(buf.split().freeze())),
        Remaining::Fixed(left) => {
            let length = (*left).min(buf.len());
            *left -= length;
            Ok(Taken::Chunk(buf.split_to(length).freeze()))
        }
        Remaining::Chunked(body) => {
            let taken = body.take(buf)?;
            if matches!(taken, Taken::End) {
                *remaining = Remaining::None;
            }
            Ok(taken)
        }
    }
}

/// Returns how a body is framed, or an error for an ambiguous head.
///
/// The codec accepts `Content-Length` together with `Transfer-Encoding: chunked`, and the first
/// of two unequal lengths; behind another proxy, both allow request smuggling.
pub(super) fn framing(headers: &HeaderMap) -> Result<Option<Remaining>, Fault> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let first = lengths.next();
    if lengths.any(|other| Some(other) != first) {
        return Err(Fault::Malformed("unequal Content-Length headers"));
    }
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (first, codings.next()) {
        (Some(_), Some(_)) => Err(Fault::Malformed("Content-Length beside Transfer-Encoding")),
        (None, Some(coding)) => {
            let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            if !chunked || codings.next().is_some() {
                return Err(Fault::Malformed("a Transfer-Encoding other than chunked"));
            }
            Ok(Some(Remaining::Chunked(ChunkedBody::default())))
        }
        (Some(length), None) => {
            let digits = length.as_bytes();
            let valid = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
            let length = std::str::from_utf8(digits).unwrap_or_default().parse();
            match (valid, length) {
                (true, Ok(length)) => Ok(Some(Remaining::Fixed(length))),
                _ => Err(Fault::Malformed("Content-Length is not a number")),
            }
        }
        (None, None) => Ok(None),
    }
}

/// Returns the time left until `deadline`; fails once it has passed.
pub(super) fn time_left(deadline: Instant) -> Result<Duration, Fault> {
    match deadline.saturating_duration_since(Instant::now()) {
        Duration::ZERO => Err(Fault::Timeout),
        left => Ok(left),
    }
}

/// Returns the length of the head at the start of `buf`, including the empty line.
fn head_end(buf: &[u8]) -> Option<usize> {
    let end = buf.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(end + 4)
}

/// Returns whether a part of a head contains a blank line, in which line feeds may lack their
/// carriage return. The codec would end the head there, and skip what follows in the part.
fn has_blank_line(head: &[u8]) -> bool {
    let mut lines = head.split(|byte| *byte == b'\n').skip(1);
    lines.any(|line| matches!(line, b"" | b"\r"))
}
