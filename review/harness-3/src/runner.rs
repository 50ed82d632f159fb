//! Backend servers: a listener whose requests are handled by a function, and their entries.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use crate::http::{self, Message};
use crate::pause;

/// A process of a backend server.
pub struct Runner {
    pub address: SocketAddr,
    is_over: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Runner {
    /// Starts a process at an address; port 0 selects a free one.
    pub fn start(
        address: SocketAddr,
        handle: impl Fn(&Message, &mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let is_over = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handle = Arc::new(handle);
        let (over, open) = (Arc::clone(&is_over), Arc::clone(&streams));
        let thread = std::thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                let Ok((mut stream, _)) = listener.accept() else {
                    pause(1);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { continue };
                open.lock().unwrap().push(copy);
                let Ok(copy) = stream.try_clone() else { continue };
                let handle = Arc::clone(&handle);
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(copy);
                    while let Ok(Some(request)) = http::read(&mut reader) {
                        if handle(&request, &mut stream).is_err() {
                            break;
                        }
                    }
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        Self {
            address,
            is_over,
            streams,
            thread: Some(thread),
        }
    }

    /// Ends the process: its port and all its connections close at once.
    pub fn kill(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Returns the entry of a ready server.
pub fn entry(service: &str, address: SocketAddr, version: &str, born: u64, slots: u32) -> Value {
    json!({
        "service": service, "address": address.to_string(), "zone": "zone-a", "version": version,
        "slots": slots, "state": "ready", "coldRemainingMs": 0, "sequence": 0, "born": born,
    })
}

/// Headers of an answer that the server itself wrote.
pub fn sealed(request: &Message) -> Vec<(String, String)> {
    let attempt = request.header("pomeloridge-attempt-id").unwrap_or_default();
    vec![
        ("Pomeloridge-Attempt-Id".to_owned(), attempt.to_owned()),
        ("Pomeloridge-Server-Seal".to_owned(), format!("seal-{attempt}")),
    ]
}

/// Begins an answer in chunks.
pub fn begin_stream(stream: &mut TcpStream, headers: &[(String, String)]) -> std::io::Result<()> {
    let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n"
        .to_owned();
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all((head + "\r\n").as_bytes())
}

/// Writes a chunk; an empty one ends the answer.
pub fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// Returns the milliseconds since the start of 1970.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
