//! Just enough HTTP/1.1 over blocking sockets for the stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Header names are in lower case.
pub type Headers = Vec<(String, String)>;

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.target.split_once('?')?.1.split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

pub fn find<'a>(headers: &'a Headers, name: &str) -> &'a str {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map_or("", |(_, value)| value.as_str())
}

/// A connection with the bytes that were read and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    /// Reads more bytes; an error at the end of the connection.
    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0_u8; 16 * 1024];
        match self.stream.read(&mut part)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buf.extend_from_slice(&part[..count]);
                Ok(())
            }
        }
    }

    /// Reads a head: its first line and the headers. `None` if the peer closed before its first
    /// byte.
    pub fn read_head(&mut self) -> io::Result<Option<(String, Headers)>> {
        let end = loop {
            if let Some(end) = self.buf.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            match self.fill() {
                Ok(()) => {}
                Err(error)
                    if error.kind() == io::ErrorKind::UnexpectedEof && self.buf.is_empty() =>
                {
                    return Ok(None);
                }
                Err(error) => return Err(error),
            }
        };
        let head: Vec<u8> = self.buf.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.to_lowercase(), value.trim().to_owned()));
        Ok(Some((first, headers.collect())))
    }

    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            self.fill()?;
        }
        Ok(self.buf.drain(..length).collect())
    }

    /// Reads the next chunk of a chunked body; empty at its end.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = loop {
            if let Some(end) = self.buf.windows(2).position(|two| two == b"\r\n") {
                break self.buf.drain(..end + 2).collect::<Vec<u8>>();
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&line);
        let size = usize::from_str_radix(text.trim(), 16).map_err(|_| broken("chunk size"))?;
        let mut chunk = self.read_exact(size + 2)?;
        chunk.truncate(size);
        Ok(chunk)
    }

    /// Reads a whole body by the headers that frame it.
    pub fn read_body(&mut self, headers: &Headers) -> io::Result<Vec<u8>> {
        if find(headers, "transfer-encoding") == "chunked" {
            let mut body = Vec::new();
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let length = find(headers, "content-length").parse().unwrap_or(0);
        self.read_exact(length)
    }

    /// Reads a request; `None` if the peer has closed the connection between two.
    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some(mut request) = self.read_request_head()? else {
            return Ok(None);
        };
        request.body = self.read_body(&request.headers)?;
        Ok(Some(request))
    }

    /// Reads the head of a request, without its body.
    pub fn read_request_head(&mut self) -> io::Result<Option<Request>> {
        let Some((first, headers)) = self.read_head()? else {
            return Ok(None);
        };
        let mut words = first.split(' ');
        let mut word = || words.next().unwrap_or_default().to_owned();
        Ok(Some(Request {
            method: word(),
            target: word(),
            headers,
            body: Vec::new(),
        }))
    }

    /// Reads the head of a response: its status and headers.
    pub fn read_status(&mut self) -> io::Result<(u16, Headers)> {
        let head = self.read_head()?;
        let (first, headers) = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        Ok((status.ok_or_else(|| broken("status"))?, headers))
    }

    pub fn write_request(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("{method} {target} HTTP/1.1\r\n");
        for (key, value) in headers {
            head.push_str(&format!("{key}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
        let message = [head.as_bytes(), body].concat();
        self.stream.write_all(&message)
    }

    pub fn write_response(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} X\r\n");
        for (key, value) in headers {
            head.push_str(&format!("{key}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
        let message = [head.as_bytes(), body].concat();
        self.stream.write_all(&message)
    }

    /// Begins a response in chunks.
    pub fn start_chunks(&mut self, status: u16, headers: &[(&str, &str)]) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} X\r\n");
        for (key, value) in headers {
            head.push_str(&format!("{key}: {value}\r\n"));
        }
        head.push_str("transfer-encoding: chunked\r\n\r\n");
        self.stream.write_all(head.as_bytes())
    }

    pub fn write_chunk(&mut self, data: &[u8]) -> io::Result<()> {
        let size = format!("{:x}\r\n", data.len());
        self.stream
            .write_all(&[size.as_bytes(), data, b"\r\n"].concat())
    }
}
