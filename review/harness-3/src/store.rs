//! The platform's store (objects by kind and name, conditional writes, watches) and its duties.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Message};
use crate::record;

type Key = (String, String);

#[derive(Default)]
struct Objects {
    revision: u64,
    /// Revision of creation, of the last change, and content.
    current: BTreeMap<Key, (u64, u64, Value)>,
    /// Revision, key and object; `true` for a removal.
    changes: Vec<(u64, Key, Value, bool)>,
    /// Times of the changes, in milliseconds of the record.
    times: Vec<u64>,
    /// Number of the era: how often the store came back from a copy, and one.
    era: u64,
}

/// The store; it answers 503 while it is down.
pub struct Store {
    pub address: SocketAddr,
    pub duties: SocketAddr,
    objects: Mutex<Objects>,
    changed: Condvar,
    is_down: AtomicBool,
}

impl Store {
    /// Starts the store and the duties on free ports.
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let duties = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            duties: duties.local_addr().unwrap(),
            objects: Mutex::new(Objects {
                revision: 1,
                era: 1,
                ..Objects::default()
            }),
            changed: Condvar::new(),
            is_down: AtomicBool::new(false),
        });
        let serving = Arc::clone(&store);
        serve(listener, move |request, stream| {
            serving.handle(&request, stream)
        });
        serve(duties, |request, stream| {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            record::line(&format!(
                "duty call {} by {} token {}: {body}",
                request.target(),
                request.header("pomeloridge-duty-holder").unwrap_or("?"),
                request.header("pomeloridge-fencing-token").unwrap_or("?"),
            ));
            http::respond(stream, 200, &[], b"{}").is_ok()
        });
        store
    }

    /// Takes the store down (503, nothing is done) or up again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        self.changed.notify_all();
    }

    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Brings the store back as it was at a time of the record, in the next era.
    pub fn restore(&self, copied_ms: u64) {
        let mut objects = self.objects.lock().unwrap();
        let kept = objects.times.partition_point(|at| *at <= copied_ms);
        objects.times.truncate(kept);
        objects.changes.truncate(kept);
        let changes = std::mem::take(&mut objects.changes);
        objects.current.clear();
        objects.revision = 1;
        for (revision, key, object, is_removal) in &changes {
            objects.revision = *revision;
            if *is_removal {
                objects.current.remove(key);
            } else {
                let created = object["metadata"]["createRev"].as_u64().unwrap_or(*revision);
                let found = (created, *revision, object["spec"].clone());
                objects.current.insert(key.clone(), found);
            }
        }
        objects.changes = changes;
        objects.era += 1;
        record::line(&format!(
            "store: back from a copy of {copied_ms} ms, revision {}, Store-Era {}",
            objects.revision, objects.era
        ));
        drop(objects);
        self.set_down(false);
    }

    /// Writes an object for the operator or a backend server.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let mut objects = self.objects.lock().unwrap();
        let revision = put(&mut objects, kind, name, spec);
        self.changed.notify_all();
        revision
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects.lock().unwrap();
        remove(&mut objects, &(kind.to_owned(), name.to_owned()));
        self.changed.notify_all();
    }

    /// Returns the content of all objects of a kind.
    pub fn list(&self, kind: &str) -> Vec<(String, Value)> {
        let objects = self.objects.lock().unwrap();
        let found = objects.current.iter().filter(|(key, _)| key.0 == kind);
        found
            .map(|(key, (_, _, spec))| (key.1.clone(), spec.clone()))
            .collect()
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> bool {
        if self.is_down() {
            return self.answer(stream, 503, &Value::Null);
        }
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let Some(path) = path.strip_prefix("/-/objects/") else {
            return self.answer(stream, 404, &Value::Null);
        };
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find_map(|(key, value)| (key == name).then(|| value.parse::<u64>().ok())?)
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let key = (kind.to_owned(), name.to_owned());
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        match (request.method(), name.is_empty()) {
            ("GET", true) => match number("watch") {
                Some(after) => self.watch(kind, after, number("waitMs").unwrap_or(0), stream),
                None => {
                    let objects = self.objects.lock().unwrap();
                    let items: Vec<Value> = objects
                        .current
                        .iter()
                        .filter(|(key, _)| key.0 == kind)
                        .map(|(key, found)| object(key, found))
                        .collect();
                    let list = json!({
                        "items": items, "truncated": false, "currentRev": objects.revision,
                    });
                    drop(objects);
                    self.answer(stream, 200, &list)
                }
            },
            ("GET", false) => {
                let objects = self.objects.lock().unwrap();
                let found = objects.current.get(&key).map(|found| object(&key, found));
                drop(objects);
                match found {
                    Some(found) => self.answer(stream, 200, &found),
                    None => self.answer(stream, 404, &Value::Null),
                }
            }
            ("POST" | "PUT" | "DELETE", _) => {
                let (status, found) = self.write(request.method(), kind, name, &body, number("revision"));
                self.answer(stream, status, &found)
            }
            _ => self.answer(stream, 400, &Value::Null),
        }
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: &str,
        body: &Value,
        in_query: Option<u64>,
    ) -> (u16, Value) {
        let name = match method {
            "POST" => body["metadata"]["name"].as_str().unwrap_or_default(),
            _ => name,
        };
        let key = (kind.to_owned(), name.to_owned());
        let expected = body["metadata"]["revision"].as_u64().or(in_query);
        let mut objects = self.objects.lock().unwrap();
        let current = objects.current.get(&key).cloned();
        let status = match (method, &current) {
            ("POST", Some(_)) => 409,
            ("PUT" | "DELETE", None) => return (404, Value::Null),
            (_, Some((_, revision, _))) if expected.is_some_and(|expected| expected != *revision) => 409,
            _ => 200,
        };
        if status == 200 && method == "DELETE" {
            remove(&mut objects, &key);
            self.changed.notify_all();
            return (200, object(&key, &current.unwrap_or_default()));
        }
        let is_same = current.as_ref().is_some_and(|(_, _, spec)| *spec == body["spec"]);
        if status == 200 && !is_same {
            put(&mut objects, kind, name, body["spec"].clone());
            self.changed.notify_all();
        }
        let found = objects.current.get(&key).map(|found| object(&key, found));
        (status, found.unwrap_or_default())
    }

    fn answer(&self, stream: &mut TcpStream, status: u16, body: &Value) -> bool {
        let era = self.objects.lock().unwrap().era.to_string();
        let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
        http::respond(stream, status, &headers, body.to_string().as_bytes()).is_ok()
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64, stream: &mut TcpStream) -> bool {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut objects = self.objects.lock().unwrap();
        let era = objects.era;
        loop {
            if self.is_down() || objects.era != era {
                drop(objects);
                return self.answer(stream, 503, &Value::Null);
            }
            if after > objects.revision {
                drop(objects);
                return self.answer(stream, 410, &Value::Null);
            }
            let events: Vec<Value> = objects
                .changes
                .iter()
                .filter(|(revision, key, _, _)| *revision > after && key.0 == kind)
                .map(|(_, _, object, removed)| json!({ "object": object, "tombstone": removed }))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let list = json!({ "events": events, "currentRev": objects.revision });
                drop(objects);
                return self.answer(stream, 200, &list);
            }
            objects = self.changed.wait_timeout(objects, left).unwrap().0;
        }
    }
}

fn object(key: &Key, (created, revision, spec): &(u64, u64, Value)) -> Value {
    json!({
        "metadata": { "name": key.1, "revision": revision, "createRev": created,
                      "finalizers": [], "deleting": false },
        "spec": spec, "status": null,
    })
}

fn put(objects: &mut Objects, kind: &str, name: &str, spec: Value) -> u64 {
    let key = (kind.to_owned(), name.to_owned());
    objects.revision += 1;
    let revision = objects.revision;
    let created = objects.current.get(&key).map_or(revision, |found| found.0);
    let found = (created, revision, spec);
    let changed = object(&key, &found);
    objects.current.insert(key.clone(), found);
    objects.changes.push((revision, key, changed, false));
    objects.times.push(record::now_ms());
    revision
}

fn remove(objects: &mut Objects, key: &Key) {
    let Some((created, _, spec)) = objects.current.remove(key) else {
        return;
    };
    objects.revision += 1;
    let removed = object(key, &(created, objects.revision, spec));
    let revision = objects.revision;
    objects.changes.push((revision, key.clone(), removed, true));
    objects.times.push(record::now_ms());
}

/// Serves each connection on a thread of its own until the handler returns false.
fn serve(
    listener: TcpListener,
    handle: impl Fn(Message, &mut TcpStream) -> bool + Clone + Send + 'static,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = handle.clone();
            std::thread::spawn(move || {
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = BufReader::new(copy);
                while let Ok(Some(request)) = http::read(&mut reader) {
                    if !handle(request, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
}
