//! Buffered connection from which the codecs decode.

use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

use super::Fault;
use super::memory::HeldBytes;
use crate::net;
use crate::pacing::Turn;

/// Maximum length of the line with a chunk's size; 64 bits have 16 digits.
const MAX_SIZE_LINE_BYTES: usize = 18;
/// Buffer size of a read.
const READ_BYTES: usize = 16 * 1024;
/// Largest part that a watched write passes to the kernel at a time.
pub(super) const WRITE_BYTES: usize = 16 * 1024;
/// Interval at which a watched write that waits asks the kernel what the peer has acknowledged.
const ACKNOWLEDGE_INTERVAL: Duration = Duration::from_millis(250);

/// Told of the number of bytes that the peer of a write has taken.
pub(super) type RecordTaken = Box<dyn Fn(usize)>;

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
    /// Whether the codec has taken the size of the current chunk.
    is_size_taken: bool,
}

impl ChunkedBody {
    fn take(&mut self, buf: &mut BytesMut) -> Result<Taken, Fault> {
        let is_digit = |byte: &u8| byte.is_ascii_hexdigit();
        if !self.has_size && !buf.first().is_none_or(is_digit) {
            return Err(Fault::Malformed("a chunk of the body has no size"));
        }
        self.has_size |= !buf.is_empty();
        let before = buf.len();
        match self.decoder.decode(buf) {
            Ok(Decoded::Some(Some(chunk))) => {
                (self.has_size, self.is_size_taken) = (false, false);
                Ok(Taken::Chunk(chunk))
            }
            Ok(Decoded::Some(None)) => Ok(Taken::End),
            Ok(_) => {
                self.is_size_taken |= buf.len() < before;
                if !self.is_size_taken && buf.len() > MAX_SIZE_LINE_BYTES {
                    return Err(Fault::Malformed("the size of a chunk has no end"));
                }
                Ok(Taken::Incomplete)
            }
            Err(_) => Err(Fault::Malformed("a chunk of the body is broken")),
        }
    }
}

/// A connection with the bytes that were read but not decoded yet.
pub(super) struct BufferedStream {
    pub(super) stream: TcpStream,
    pub(super) buf: BytesMut,
    /// Bytes of the current message that its reader keeps besides the buffer.
    kept: usize,
    held: HeldBytes,
    turn: Turn,
}

impl BufferedStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        let turn = Turn::new("read", stream.peer_addr().ok());
        Self {
            stream,
            buf: BytesMut::new(),
            kept: 0,
            held: HeldBytes::default(),
            turn,
        }
    }

    /// Sets the number of bytes of the current message that its reader keeps; fails if messages
    /// hold too many.
    pub(super) fn keep(&mut self, bytes: usize) -> Result<(), Fault> {
        self.kept = bytes;
        self.held.set(self.buf.len() + self.kept)
    }

    /// Reads more bytes into the buffer; returns 0 if the peer has closed the connection. All reads
    /// pass through here, so that a peer that never stops sending does not hold up other tasks.
    pub(super) async fn fill(&mut self, deadline: Instant) -> Result<usize, Fault> {
        self.turn.pause_if_due().await;
        let chunk = Vec::with_capacity(READ_BYTES);
        // Dropping the read loses no bytes: the epoll driver reads only when the future
        // completes.
        let read = monoio::time::timeout(time_left(deadline)?, self.stream.read(chunk));
        let count = |read: &Result<(std::io::Result<usize>, Vec<u8>), _>| match read {
            Ok((Ok(count), _)) => *count,
            _ => 0,
        };
        let read = self.turn.step(read, count).await;
        let (result, chunk) = read.map_err(|_| Fault::Timeout)?;
        let count = result?;
        self.buf.extend_from_slice(&chunk[..count]);
        self.keep(self.kept)?;
        Ok(count)
    }

    pub(super) async fn write(&mut self, bytes: Bytes, deadline: Instant) -> Result<(), Fault> {
        let write = monoio::time::timeout(time_left(deadline)?, self.stream.write_all(bytes));
        let (result, _) = write.await.map_err(|_| Fault::Timeout)?;
        result?;
        Ok(())
    }

    /// Writes as [`Self::write`] does, without a deadline if there is none, and tells `taken` what
    /// the peer takes. While the peer reads slowly, the kernel accepts nothing until a large part of
    /// its buffer is free, so that what the peer acknowledges meanwhile counts as taken.
    pub(super) async fn write_watched(
        &mut self,
        mut bytes: Bytes,
        deadline: Option<Instant>,
        taken: &RecordTaken,
    ) -> Result<(), Fault> {
        let mut queued = None;
        while !bytes.is_empty() {
            let part = bytes.slice(..bytes.len().min(WRITE_BYTES));
            let left = deadline.map(time_left).transpose()?;
            let time = left.map_or(ACKNOWLEDGE_INTERVAL, |left| left.min(ACKNOWLEDGE_INTERVAL));
            // Dropping the write loses no bytes: the epoll driver writes only when the future
            // completes.
            if let Ok((written, _)) = monoio::time::timeout(time, self.stream.write(part)).await {
                let count = written?;
                if count == 0 {
                    return Err(Fault::Closed);
                }
                bytes.advance(count);
                taken(count);
                queued = None;
            } else {
                let now_queued = net::unacknowledged(&self.stream)?;
                let before = queued.replace(now_queued).unwrap_or(now_queued);
                taken(before.saturating_sub(now_queued));
            }
        }
        Ok(())
    }

    /// Reads and decodes a head; returns `None` if the peer closed the connection before its first
    /// byte. The limit holds for the line breaks before the head, too.
    pub(super) async fn read_head<D: Decoder>(
        &mut self,
        decoder: &mut D,
        limit: usize,
        deadline: Instant,
    ) -> Result<Option<D::Item>, Fault> {
        let (mut skipped, mut searched) = (0, 0);
        loop {
            // The codec does not skip the line breaks that a client may send after a body.
            while self.buf.starts_with(b"\r\n") {
                let _ = self.buf.split_to(2);
                skipped += 2;
                searched = 0;
            }
            if skipped > limit {
                return Err(Fault::HeadTooLarge);
            }
            let end = head_end(&self.buf, searched);
            searched = self.buf.len();
            if end.unwrap_or(self.buf.len()) > limit {
                return Err(Fault::HeadTooLarge);
            }
            if let Some(end) = end {
                if has_blank_line(&self.buf[..end - 4]) {
                    return Err(Fault::Malformed("a blank line within the head"));
                }
                return match decoder.decode(&mut self.buf) {
                    Ok(Decoded::Some(head)) => {
                        self.keep(0)?;
                        Ok(Some(head))
                    }
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

/// Returns the length of the head at the start of `buf`, including the empty line. The first
/// `searched` bytes contain no end.
fn head_end(buf: &[u8], searched: usize) -> Option<usize> {
    let from = searched.saturating_sub(3);
    let rest = buf.get(from..)?;
    let end = rest.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(from + end + 4)
}

/// Returns whether a part of a head contains a blank line, in which line feeds may lack their
/// carriage return. The codec would end the head there, and skip what follows in the part.
fn has_blank_line(head: &[u8]) -> bool {
    let mut lines = head.split(|byte| *byte == b'\n').skip(1);
    lines.any(|line| matches!(line, b"" | b"\r"))
}
