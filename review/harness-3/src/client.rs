//! Clients: one request on a new connection each.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::{http, record};

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Got {
    /// Status; 0 without an answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Ids and texts of the events.
    pub events: Vec<(u64, String)>,
    /// Whether the answer has ended as complete.
    pub is_complete: bool,
}

impl Got {
    /// Returns the time that the answer tells to come back in, in milliseconds.
    pub fn retry_after_ms(&self) -> Option<u64> {
        let found = self.headers.iter().find(|(name, _)| name == "retry-after");
        let seconds: f64 = found?.1.parse().ok()?;
        Some((seconds * 1000.0) as u64)
    }
}

/// Sends a request and reads its answer. A client leaves after `gap` without any byte.
pub fn send(
    gateway: SocketAddr,
    request: &str,
    headers: &[(&str, &str)],
    body: &str,
    gap: Duration,
) -> Got {
    send_until(gateway, request, headers, body, gap, u64::MAX)
}

/// Does the same, and leaves at a time of the record in any case.
pub fn send_until(
    gateway: SocketAddr,
    request: &str,
    headers: &[(&str, &str)],
    body: &str,
    gap: Duration,
    until_ms: u64,
) -> Got {
    let mut got = Got::default();
    let _ = exchange(gateway, request, headers, body, gap, until_ms, &mut got);
    got
}

fn exchange(
    gateway: SocketAddr,
    request: &str,
    headers: &[(&str, &str)],
    body: &str,
    gap: Duration,
    until_ms: u64,
    got: &mut Got,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(gap))?;
    let mut out = format!("{request} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    stream.write_all((out + "\r\n" + body).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    got.status = head.status();
    got.headers.clone_from(&head.headers);
    if head.header("transfer-encoding").is_none() {
        let length = head.header("content-length").unwrap_or("0");
        got.body = vec![0; length.parse().unwrap_or(0)];
        std::io::Read::read_exact(&mut reader, &mut got.body)?;
        got.is_complete = true;
        return Ok(());
    }
    let mut text = String::new();
    while record::now_ms() < until_ms {
        let chunk = http::read_chunk(&mut reader)?;
        if chunk.is_empty() {
            got.is_complete = true;
            return Ok(());
        }
        got.body.extend(&chunk);
        text += &String::from_utf8_lossy(&chunk);
        while let Some((event, rest)) = text.split_once("\n\n") {
            let id = event.lines().find_map(|line| line.strip_prefix("id:"));
            let data = event.lines().find_map(|line| line.strip_prefix("data:"));
            let id = id.and_then(|id| id.trim().parse().ok()).unwrap_or(0);
            got.events.push((id, data.unwrap_or_default().trim().to_owned()));
            text = rest.to_owned();
        }
    }
    Ok(())
}
