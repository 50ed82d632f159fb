//! HTTP/1.1 messages over blocking streams.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A message with its first line, headers in lower case and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or_default()
    }
}

/// Reads a head; `None` if the stream ended before its first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut text = String::new();
        if reader.read_line(&mut text)? == 0 {
            return if message.first.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        let text = text.trim_end();
        if message.first.is_empty() {
            text.clone_into(&mut message.first);
        } else if text.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads a chunk of a body in chunks; empty at its end.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut size = String::new();
    if reader.read_line(&mut size)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Reads a whole message; `None` if the stream ended before its first byte.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(Some(message));
            }
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length").unwrap_or("0");
    let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += "\r\n";
    stream.write_all(&[out.as_bytes(), body].concat())
}
