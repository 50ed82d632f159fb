//! A small stand-in of the platform: its store, and its calls for duties.
//!
//! The store is linearizable, keeps its whole history and acknowledges only what it has written.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Request, Wire};
use crate::record::Record;

type Key = (String, String);

#[derive(Clone)]
struct Change {
    at: Instant,
    revision: u64,
    key: Key,
    spec: Option<Value>,
}

/// How the store answers.
#[derive(Clone, Copy, PartialEq)]
pub enum Mode {
    Up,
    /// Every call gets 503: nothing was done.
    Busy,
}

struct Objects {
    revision: u64,
    objects: BTreeMap<Key, (u64, Value)>,
    changes: Vec<Change>,
    mode: Mode,
    /// Value of `Store-Era`.
    era: u64,
}

impl Objects {
    fn write(&mut self, key: Key, spec: Option<Value>) {
        self.revision += 1;
        let revision = self.revision;
        match &spec {
            Some(spec) => self.objects.insert(key.clone(), (revision, spec.clone())),
            None => self.objects.remove(&key),
        };
        self.changes.push(Change {
            at: Instant::now(),
            revision,
            key,
            spec,
        });
    }
}

pub struct Store {
    inner: Mutex<Objects>,
    changed: Condvar,
    record: Record,
    pub address: SocketAddr,
}

fn object(key: &Key, revision: u64, spec: &Value) -> Value {
    json!({ "metadata": { "name": key.1, "revision": revision, "createRev": revision,
            "finalizers": [], "deleting": false }, "spec": spec, "status": null })
}

/// Accepts connections and serves each on a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || handle(stream));
        }
    });
}

impl Store {
    pub fn start(ip: IpAddr, record: &Record) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Arc::new(Self {
            inner: Mutex::new(Objects {
                revision: 1,
                objects: BTreeMap::new(),
                changes: Vec::new(),
                mode: Mode::Up,
                era: 0,
            }),
            changed: Condvar::new(),
            record: record.clone(),
            address: listener.local_addr()?,
        });
        let served = Arc::clone(&store);
        serve(listener, move |stream| {
            let mut wire = Wire::new(stream);
            while let Ok(Some(request)) = wire.read_request() {
                let (status, body) = served.respond(&request);
                let era = served.inner.lock().unwrap().era.to_string();
                let headers = [("content-type", "application/json"), ("store-era", &era)];
                let sent = wire.write_response(status, &headers, body.to_string().as_bytes());
                if sent.is_err() {
                    return;
                }
            }
        });
        Ok(store)
    }

    pub fn set_mode(&self, mode: Mode) {
        self.inner.lock().unwrap().mode = mode;
        self.changed.notify_all();
        let text = if mode == Mode::Up {
            "serves"
        } else {
            "answers 503 to every call"
        };
        self.record.note(format!("store {text}"));
    }

    /// Writes an object as the operator or a server does; false if the store is not up.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> bool {
        let mut inner = self.inner.lock().unwrap();
        if inner.mode != Mode::Up {
            return false;
        }
        inner.write((kind.to_owned(), name.to_owned()), Some(spec));
        drop(inner);
        self.changed.notify_all();
        true
    }

    /// Goes back to the state of a copy that was made `age` ago, in the next era, and has the
    /// operator and the servers write again what is lost. Returns the number of lost changes.
    pub fn restore(&self, age: Duration) -> usize {
        let mut inner = self.inner.lock().unwrap();
        let copied = Instant::now().checked_sub(age).unwrap();
        let kept = inner.changes.partition_point(|change| change.at <= copied);
        let lost = inner.changes.split_off(kept);
        let changes = std::mem::take(&mut inner.changes);
        inner.objects.clear();
        for Change {
            revision,
            key,
            spec,
            ..
        } in &changes
        {
            match spec {
                Some(spec) => inner.objects.insert(key.clone(), (*revision, spec.clone())),
                None => inner.objects.remove(key),
            };
        }
        inner.revision = changes.last().map_or(1, |change| change.revision);
        inner.changes = changes;
        inner.era += 1;
        let rewritten = ["config", "servers"];
        for change in &lost {
            if rewritten.contains(&change.key.0.as_str()) {
                inner.write(change.key.clone(), change.spec.clone());
            }
        }
        self.record.note(format!(
            "store is back from a copy {} ms old, in era {}, without {} changes",
            age.as_millis(),
            inner.era,
            lost.len()
        ));
        drop(inner);
        self.changed.notify_all();
        lost.len()
    }

    fn respond(&self, request: &Request) -> (u16, Value) {
        let Some(path) = request.path().strip_prefix("/-/objects/") else {
            return (404, Value::Null);
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let key: Key = (kind.to_owned(), name.to_owned());
        if request.method == "GET" && name.is_empty() && request.query("watch").is_some() {
            return self.watch(kind, request);
        }
        let mut inner = self.inner.lock().unwrap();
        if inner.mode == Mode::Busy {
            return (503, Value::Null);
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let expected = body["metadata"]["revision"].as_u64();
        let expected = expected.or_else(|| request.query("revision")?.parse().ok());
        let answer = match (request.method.as_str(), name) {
            ("GET", "") => {
                let found = inner.objects.iter().filter(|(key, _)| key.0 == kind);
                let items: Vec<Value> = found
                    .map(|(key, (revision, spec))| object(key, *revision, spec))
                    .collect();
                let answer = json!({ "items": items, "truncated": false,
                                     "currentRev": inner.revision });
                (200, answer)
            }
            ("GET", _) => match inner.objects.get(&key) {
                Some((revision, spec)) => (200, object(&key, *revision, spec)),
                None => (404, Value::Null),
            },
            ("POST", "") => {
                let name = body["metadata"]["name"].as_str().unwrap_or_default();
                let key = (kind.to_owned(), name.to_owned());
                let taken = inner.objects.get(&key).cloned();
                if let Some((revision, spec)) = taken {
                    (409, object(&key, revision, &spec))
                } else {
                    inner.write(key.clone(), Some(body["spec"].clone()));
                    (200, object(&key, inner.revision, &body["spec"]))
                }
            }
            ("PUT", _) => match inner.objects.get(&key).cloned() {
                None => (404, Value::Null),
                Some((revision, spec)) if expected.is_some_and(|wanted| wanted != revision) => {
                    (409, object(&key, revision, &spec))
                }
                Some((revision, spec)) if spec == body["spec"] => {
                    (200, object(&key, revision, &spec))
                }
                Some(_) => {
                    inner.write(key.clone(), Some(body["spec"].clone()));
                    (200, object(&key, inner.revision, &body["spec"]))
                }
            },
            ("DELETE", _) => match inner.objects.get(&key).cloned() {
                None => (404, Value::Null),
                Some((revision, spec)) if expected.is_some_and(|wanted| wanted != revision) => {
                    (409, object(&key, revision, &spec))
                }
                Some((revision, spec)) => {
                    inner.write(key.clone(), None);
                    (200, object(&key, revision, &spec))
                }
            },
            _ => (400, Value::Null),
        };
        drop(inner);
        self.changed.notify_all();
        answer
    }

    fn watch(&self, kind: &str, request: &Request) -> (u16, Value) {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("watch").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or_default());
        let mut inner = self.inner.lock().unwrap();
        let era = inner.era;
        loop {
            if inner.mode == Mode::Busy {
                return (503, Value::Null);
            }
            if after > inner.revision || inner.era != era {
                return (410, Value::Null);
            }
            let new = inner.changes.iter();
            let new = new.filter(|change| change.revision > after && change.key.0 == kind);
            let events: Vec<Value> = new
                .map(|change| {
                    let spec = change.spec.clone().unwrap_or_default();
                    json!({ "object": object(&change.key, change.revision, &spec),
                            "tombstone": change.spec.is_none() })
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (
                    200,
                    json!({ "events": events, "currentRev": inner.revision }),
                );
            }
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
    }
}

/// A call to the platform for a duty.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub path: String,
    pub holder: String,
    pub fence: u64,
    pub body: Value,
    /// Status of the answer.
    pub status: u16,
}

/// The platform's calls for duties; it checks generation numbers.
pub struct Duties {
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<DutyCall>>>,
}

impl Duties {
    pub fn start(ip: IpAddr, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let calls: Arc<Mutex<Vec<DutyCall>>> = Arc::default();
        let (kept, record) = (Arc::clone(&calls), record.clone());
        serve(listener, move |stream| {
            let mut wire = Wire::new(stream);
            while let Ok(Some(request)) = wire.read_request() {
                let fence = request
                    .header("pomeloridge-fencing-token")
                    .parse()
                    .unwrap_or(0);
                let mut calls = kept.lock().unwrap();
                let same = calls.iter().filter(|call| call.path == request.path());
                let highest = same.map(|call| call.fence).max().unwrap_or(0);
                let status = if fence < highest { 409 } else { 200 };
                let call = DutyCall {
                    path: request.path().to_owned(),
                    holder: request.header("pomeloridge-duty-holder").to_owned(),
                    fence,
                    body: serde_json::from_slice(&request.body).unwrap_or_default(),
                    status,
                };
                record.note(format!(
                    "platform {} holder={} generation={} body={} -> {status}",
                    call.path, call.holder, call.fence, call.body
                ));
                calls.push(call);
                drop(calls);
                if wire.write_response(status, &[], b"{}").is_err() {
                    return;
                }
            }
        });
        Ok(Self { address, calls })
    }
}
