//! The nodes as a balancer sees them, and the looks at what they have in force.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pomeloridge_base::http::{OutgoingRequest, Response};
use serde_json::Value;

use super::record::ConfigLook;
use crate::caller::{authorized, send};
use crate::launch::{Node, block_on};

/// Pause between two looks at a node.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Time that a look may take.
const LOOK_TIME: Duration = Duration::from_millis(400);

/// Now, in Unix ms.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// A node as callers and operators reach it.
#[derive(Clone, Debug)]
pub struct Door {
    /// Name.
    pub name: String,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Whether the balancer sends callers there.
    pub ready: bool,
}

impl From<&Node> for Door {
    fn from(node: &Node) -> Self {
        Self {
            name: node.name.clone(),
            caller: node.caller,
            operator: node.operator,
            ready: true,
        }
    }
}

/// The nodes, shared by callers, operators and the director of faults.
pub struct Doors {
    list: Mutex<Vec<Door>>,
    looks: Mutex<Vec<ConfigLook>>,
    load_over: AtomicBool,
    over: AtomicBool,
    token: &'static str,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

impl Doors {
    /// The doors of nodes that are ready.
    pub fn new(nodes: &[Node], token: &'static str) -> Arc<Self> {
        Arc::new(Self {
            list: Mutex::new(nodes.iter().map(Door::from).collect()),
            looks: Mutex::default(),
            load_over: AtomicBool::new(false),
            over: AtomicBool::new(false),
            token,
        })
    }

    /// The node at a place.
    pub fn at(&self, place: usize) -> Door {
        lock(&self.list)[place].clone()
    }

    /// Number of places.
    pub fn len(&self) -> usize {
        lock(&self.list).len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The nodes that the balancer sends callers to; all, if none is ready.
    pub fn ready(&self) -> Vec<Door> {
        let list = lock(&self.list);
        let ready: Vec<Door> = list.iter().filter(|door| door.ready).cloned().collect();
        if ready.is_empty() {
            list.clone()
        } else {
            ready
        }
    }

    /// Puts another start of a node at a place.
    pub fn replace(&self, place: usize, node: &Node) {
        lock(&self.list)[place] = Door::from(node);
    }

    /// Takes a node that was killed out, as the balancer's connections fail.
    pub fn close(&self, place: usize) {
        lock(&self.list)[place].ready = false;
    }

    /// Ends the load: callers and operators send nothing new.
    pub fn end_load(&self) {
        self.load_over.store(true, Ordering::SeqCst);
    }

    /// Whether the load has ended.
    pub fn is_load_over(&self) -> bool {
        self.load_over.load(Ordering::SeqCst)
    }

    /// Ends the run.
    pub fn end(&self) {
        self.over.store(true, Ordering::SeqCst);
    }

    /// Whether the run has ended.
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// The token that operators send.
    pub fn token(&self) -> &'static str {
        self.token
    }

    /// The looks so far, in the order in which they were sent.
    pub fn take_looks(&self) -> Vec<ConfigLook> {
        std::mem::take(&mut lock(&self.looks))
    }

    /// Looks at the node at a place until the run ends.
    pub fn watch(&self, place: usize) {
        while !self.is_over() {
            let door = self.at(place);
            let ready = look(door.operator, &OutgoingRequest::get("/readyz"));
            let ready = ready.is_some_and(|answer| answer.status.is_success());
            {
                let mut list = lock(&self.list);
                // Another start of the node may have taken the place meanwhile.
                if list[place].operator == door.operator {
                    list[place].ready = ready;
                }
            }
            self.look_at_config(&door);
            std::thread::sleep(LOOK_PAUSE);
        }
    }

    fn look_at_config(&self, door: &Door) {
        let sent_at = now_ms();
        let request = authorized(OutgoingRequest::get("/status"), self.token);
        let Some(answer) = look(door.operator, &request) else {
            return;
        };
        let status: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let mut looks = lock(&self.looks);
        for object in status["config"].as_array().into_iter().flatten() {
            looks.push(ConfigLook {
                node: format!("{}@{}", door.name, door.operator),
                key: object["key"].as_str().unwrap_or_default().to_owned(),
                revision: object["revision"].as_u64().unwrap_or_default(),
                sent_at,
                at: now_ms(),
            });
        }
    }
}

fn look(address: SocketAddr, request: &OutgoingRequest) -> Option<Response> {
    block_on(send(address, request, LOOK_TIME)).ok()
}
