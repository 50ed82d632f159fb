//! A buffered connection on which the codecs decode.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

use super::Fault;

/// Bytes asked for by one read.
const READ_BYTES: usize = 16 * 1024;

/// The part of a message body that has yet to be read.
pub(super) enum Remaining {
    None,
    Fixed(usize),
    Chunked(ChunkedBodyDecoder),
    /// Ends when the peer closes in good order.
    UntilClose,
}

/// A connection with the bytes that were read and not yet decoded.
pub(super) struct Wire {
    pub(super) stream: TcpStream,
    pub(super) buf: BytesMut,
}

impl Wire {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: BytesMut::new(),
        }
    }

    /// Reads more bytes into the buffer; 0 means that the peer has closed.
    pub(super) async fn fill(&mut self, deadline: Instant) -> Result<usize, Fault> {
        let scratch = Vec::with_capacity(READ_BYTES);
        // Dropping the read loses no bytes: the epoll driver reads only when
        // the future completes.
        let read = monoio::time::timeout(left(deadline)?, self.stream.read(scratch));
        let (result, scratch) = read.await.map_err(|_| Fault::Timeout)?;
        let count = result?;
        self.buf.extend_from_slice(&scratch[..count]);
        Ok(count)
    }

    pub(super) async fn write(&mut self, bytes: Bytes, deadline: Instant) -> Result<(), Fault> {
        let write = monoio::time::timeout(left(deadline)?, self.stream.write_all(bytes));
        let (result, _) = write.await.map_err(|_| Fault::Timeout)?;
        result?;
        Ok(())
    }

    /// Reads until `decoder` has a head; `None` if the peer closed before its first byte.
    pub(super) async fn head<D: Decoder>(
        &mut self,
        decoder: &mut D,
        limit: usize,
        deadline: Instant,
    ) -> Result<Option<D::Item>, Fault> {
        loop {
            // The codec skips nothing itself, and a client may send a line
            // break after a body.
            while self.buf.starts_with(b"\r\n") {
                let _ = self.buf.split_to(2);
            }
            let end = head_end(&self.buf);
            if end.unwrap_or(self.buf.len()) > limit {
                return Err(Fault::HeadTooLarge);
            }
            if end.is_some() {
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

    /// Reads the next piece of a body, of at most `limit` bytes; `None` at its end.
    pub(super) async fn piece(
        &mut self,
        remaining: &mut Remaining,
        limit: usize,
        deadline: Instant,
    ) -> Result<Option<Bytes>, Fault> {
        loop {
            match take_piece(&mut self.buf, remaining)? {
                Taken::Piece(piece) => return Ok(Some(piece)),
                Taken::End => return Ok(None),
                Taken::Insufficient => {}
            }
            // A chunk is decoded whole, so its size bounds the buffer.
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

/// What the buffer held of a body.
enum Taken {
    Piece(Bytes),
    End,
    Insufficient,
}

fn take_piece(buf: &mut BytesMut, remaining: &mut Remaining) -> Result<Taken, Fault> {
    match remaining {
        Remaining::None | Remaining::Fixed(0) => {
            *remaining = Remaining::None;
            Ok(Taken::End)
        }
        Remaining::Fixed(_) | Remaining::UntilClose if buf.is_empty() => Ok(Taken::Insufficient),
        Remaining::UntilClose => Ok(Taken::Piece(buf.split().freeze())),
        Remaining::Fixed(left) => {
            let take = (*left).min(buf.len());
            *left -= take;
            Ok(Taken::Piece(buf.split_to(take).freeze()))
        }
        Remaining::Chunked(decoder) => match decoder.decode(buf) {
            Ok(Decoded::Some(Some(chunk))) => Ok(Taken::Piece(chunk)),
            Ok(Decoded::Some(None)) => {
                *remaining = Remaining::None;
                Ok(Taken::End)
            }
            Ok(_) => Ok(Taken::Insufficient),
            Err(_) => Err(Fault::Malformed("a chunk of the body is broken")),
        },
    }
}

/// Decides how a body is framed, and refuses heads that two readers could take differently.
///
/// The codec takes `Content-Length` beside `Transfer-Encoding: chunked`, and
/// the first of two unequal lengths; behind another proxy either one lets a
/// second request be hidden in a body.
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
            Ok(Some(Remaining::Chunked(ChunkedBodyDecoder::default())))
        }
        (Some(length), None) => {
            let digits = length.as_bytes();
            let plain = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
            let length = std::str::from_utf8(digits).unwrap_or_default().parse();
            match (plain, length) {
                (true, Ok(length)) => Ok(Some(Remaining::Fixed(length))),
                _ => Err(Fault::Malformed("Content-Length is not a number")),
            }
        }
        (None, None) => Ok(None),
    }
}

/// Time left until `deadline`.
pub(super) fn left(deadline: Instant) -> Result<Duration, Fault> {
    match deadline.saturating_duration_since(Instant::now()) {
        Duration::ZERO => Err(Fault::Timeout),
        left => Ok(left),
    }
}

fn head_end(buf: &[u8]) -> Option<usize> {
    let end = buf.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(end + 4)
}
