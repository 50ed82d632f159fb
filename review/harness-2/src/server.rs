//! A small backend server. It writes its entry into the store at its start, checks the id in
//! `Pomeloridge-Expect-Instance`, seals its answers and stops work when its channel closes.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::http::{Request, Wire};
use crate::platform::{Store, serve};
use crate::record::Record;

/// What a server does with a request.
#[derive(Clone, Copy)]
pub enum Work {
    /// Answers after this time.
    Answer(Duration),
    /// Streams so many events with this pause between them.
    Stream(u64, Duration),
}

/// How a server reads the bodies of requests.
#[derive(Clone, Copy, PartialEq)]
pub enum Reading {
    AtOnce,
    /// 16 KiB in each tenth of a second.
    Slowly,
}

pub struct Server {
    id: String,
    service: String,
    version: String,
    /// When it started, in milliseconds since the Unix epoch.
    born: u64,
    address: SocketAddr,
    work: Work,
    reading: Reading,
    store: Arc<Store>,
    record: Record,
    /// Attempts that it has received whole, in order.
    pub received: Mutex<Vec<String>>,
}

impl Server {
    pub fn start(
        (id, service, version): (&str, &str, &str),
        ip: IpAddr,
        (work, reading): (Work, Reading),
        store: &Arc<Store>,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        if reading == Reading::Slowly {
            let size: libc::c_int = 16 * 1024;
            // SAFETY: the descriptor is open, and the call reads one `c_int`.
            unsafe {
                libc::setsockopt(
                    listener.as_raw_fd(),
                    libc::SOL_SOCKET,
                    libc::SO_RCVBUF,
                    (&raw const size).cast(),
                    size_of_val(&size) as libc::socklen_t,
                )
            };
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            born: now.unwrap().as_millis() as u64,
            address: listener.local_addr()?,
            work,
            reading,
            store: Arc::clone(store),
            record: record.clone(),
            received: Mutex::default(),
        });
        let served = Arc::clone(&server);
        serve(listener, move |stream| {
            let _ = served.serve(Wire::new(stream));
        });
        server.register(1, "ready");
        Ok(server)
    }

    /// Reports that the server leaves; it goes on serving.
    pub fn drain(&self) {
        self.register(2, "draining");
    }

    fn register(&self, sequence: u64, state: &str) {
        let entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": "zone-a",
            "version": self.version, "slots": 64, "state": state, "coldRemainingMs": 0,
            "sequence": sequence, "born": self.born,
        });
        let is_done = self.store.put("servers", &self.id, entry);
        self.record.note(format!(
            "server {} ({}) reports that it is {state}; accepted: {is_done}",
            self.id, self.version
        ));
    }

    fn serve(&self, mut wire: Wire) -> io::Result<()> {
        while let Some(mut request) = wire.read_request_head()? {
            if self.reading == Reading::Slowly {
                let length: usize = request.header("content-length").parse().unwrap_or(0);
                let mut left = length;
                while left > 0 {
                    let part = left.min(16 * 1024);
                    wire.read_exact(part)?;
                    left -= part;
                    if length > 16 * 1024 {
                        std::thread::sleep(Duration::from_millis(100));
                    }
                }
            } else {
                request.body = wire.read_body(&request.headers)?;
            }
            self.answer(&request, &mut wire)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Request, wire: &mut Wire) -> io::Result<()> {
        let attempt = request.header("pomeloridge-attempt-id").to_owned();
        if request.header("pomeloridge-expect-instance") != self.id {
            let headers = [("pomeloridge-attempt-id", attempt.as_str())];
            return wire.write_response(421, &headers, b"");
        }
        let last = request.header("last-event-id");
        let from = if last.is_empty() {
            String::new()
        } else {
            format!(" after event {last}")
        };
        self.record.note(format!(
            "server {} ({}) runs {attempt}{from}",
            self.id, self.version
        ));
        self.received.lock().unwrap().push(attempt.clone());
        let headers = [
            ("pomeloridge-attempt-id", attempt.as_str()),
            ("pomeloridge-server-seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("pomeloridge-server-load", "1,0,64"),
        ];
        match self.work {
            Work::Answer(time) => {
                std::thread::sleep(time);
                wire.write_response(200, &headers, format!("done by {}", self.id).as_bytes())
            }
            Work::Stream(events, pause) => {
                let headers = [&headers[..], &[("content-type", "text/event-stream")]].concat();
                wire.start_chunks(200, &headers)?;
                for event in last.parse().unwrap_or(0) + 1..=events {
                    std::thread::sleep(pause);
                    let version = &self.version;
                    let text = format!("id: {event}\ndata: text of {version}\n\n");
                    wire.write_chunk(text.as_bytes())?;
                }
                wire.write_chunk(b"")
            }
        }
    }
}
