//! A small backend server. It writes its entry into the store at its start, tries that again until
//! the store has accepted it, checks the id in `Pomeloridge-Expect-Instance`, seals its answers and
//! stops work when its channel closes.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::http::{Request, Wire};
use crate::platform::Store;
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
    pub id: String,
    service: String,
    pub address: SocketAddr,
    work: Work,
    reading: Reading,
    store: Arc<Store>,
    record: Record,
    /// Attempts that it has received whole, in order.
    pub received: Mutex<Vec<String>>,
    life: Mutex<Option<Arc<Life>>>,
    writes: AtomicU64,
}

/// One lifetime of a server's process.
struct Life {
    version: String,
    /// When it started, in milliseconds since the Unix epoch.
    born: u64,
    is_over: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Server {
    pub fn start(
        (id, service, version): (&str, &str, &str),
        ip: IpAddr,
        (work, reading): (Work, Reading),
        store: &Arc<Store>,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: TcpListener::bind((ip, 0))?.local_addr()?,
            work,
            reading,
            store: Arc::clone(store),
            record: record.clone(),
            received: Mutex::default(),
            life: Mutex::default(),
            writes: AtomicU64::new(0),
        });
        server.begin(version)?;
        Ok(server)
    }

    /// Starts a process of the server, at the same address and under the same id as before.
    pub fn begin(self: &Arc<Self>, version: &str) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        if self.reading == Reading::Slowly {
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
        listener.set_nonblocking(true)?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let life = Arc::new(Life {
            version: version.to_owned(),
            born,
            is_over: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        *self.life.lock().unwrap() = Some(Arc::clone(&life));
        self.record
            .note(format!("server {} starts with version {version}", self.id));
        let (server, served) = (Arc::clone(self), Arc::clone(&life));
        std::thread::spawn(move || {
            while !served.is_over.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(kept) = stream.try_clone() {
                    served.connections.lock().unwrap().push(kept);
                }
                let (server, life) = (Arc::clone(&server), Arc::clone(&served));
                std::thread::spawn(move || {
                    let _ = server.serve(Wire::new(stream), &life);
                });
            }
        });
        let server = Arc::clone(self);
        let entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": "zone-a",
            "version": version, "slots": 64, "state": "ready", "coldRemainingMs": 0,
            "sequence": self.writes.fetch_add(1, Ordering::SeqCst) + 1, "born": born,
        });
        let version = version.to_owned();
        let register = move || {
            let is_done = server.store.put("servers", &server.id, entry.clone());
            if is_done {
                server.record.note(format!(
                    "store has accepted the entry of {} with version {version}",
                    server.id
                ));
            }
            is_done
        };
        if !register() {
            std::thread::spawn(move || {
                while !life.is_over.load(Ordering::SeqCst) && !register() {
                    std::thread::sleep(Duration::from_millis(200));
                }
            });
        }
        Ok(())
    }

    /// Reports that the server leaves; it goes on until it is ended.
    pub fn drain(&self) {
        let entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": "zone-a",
            "version": self.version(), "slots": 64, "state": "draining", "coldRemainingMs": 0,
            "sequence": self.writes.fetch_add(1, Ordering::SeqCst) + 1, "born": self.born(),
        });
        let is_done = self.store.put("servers", &self.id, entry);
        self.record.note(format!(
            "server {} reports that it drains; accepted: {is_done}",
            self.id
        ));
    }

    fn version(&self) -> String {
        let life = self.life.lock().unwrap();
        life.as_ref()
            .map(|life| life.version.clone())
            .unwrap_or_default()
    }

    fn born(&self) -> u64 {
        self.life
            .lock()
            .unwrap()
            .as_ref()
            .map_or(0, |life| life.born)
    }

    /// Ends the server's process: its port refuses connections, and those that are open end.
    pub fn end(&self) {
        let Some(life) = self.life.lock().unwrap().take() else {
            return;
        };
        self.record.note(format!(
            "server {} ends (version {})",
            self.id, life.version
        ));
        life.is_over.store(true, Ordering::SeqCst);
        // The listener is dropped within the accept loop.
        std::thread::sleep(Duration::from_millis(10));
        for connection in life.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, mut wire: Wire, life: &Life) -> io::Result<()> {
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
            self.answer(&request, &mut wire, life)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Request, wire: &mut Wire, life: &Life) -> io::Result<()> {
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
            self.id, life.version
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
                    if life.is_over.load(Ordering::SeqCst) {
                        return Err(io::ErrorKind::ConnectionAborted.into());
                    }
                    let version = &life.version;
                    let text = format!("id: {event}\ndata: text of {version}\n\n");
                    wire.write_chunk(text.as_bytes())?;
                }
                wire.write_chunk(b"")
            }
        }
    }
}
