//! The nodes as a balancer sees them, and the looks at what they have in force.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pomeloridge_base::http::{OutgoingRequest, Response};
use serde_json::Value;

use super::record::ConfigProbe;
use crate::caller::{authorized, send};
use crate::launch::{Node, block_on};

/// Pause between two looks at a node.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Time that a look may take.
const PROBE_TIME: Duration = Duration::from_millis(400);

/// Now, in Unix ms.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// A node as callers and operators reach it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name.
    pub name: String,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Whether the balancer sends callers there.
    pub ready: bool,
}

impl From<&Node> for Endpoint {
    fn from(node: &Node) -> Self {
        Self {
            name: node.name.clone(),
            caller: node.caller,
            operator: node.operator,
            ready: true,
        }
    }
}

/// The nodes, shared by callers, operators and the injector of faults.
pub struct Balancer {
    list: Mutex<Vec<Endpoint>>,
    probes: Mutex<Vec<ConfigProbe>>,
    load_over: AtomicBool,
    over: AtomicBool,
    token: &'static str,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

impl Balancer {
    /// The balancer of nodes that are ready.
    pub fn new(nodes: &[Node], token: &'static str) -> Arc<Self> {
        Arc::new(Self {
            list: Mutex::new(nodes.iter().map(Endpoint::from).collect()),
            probes: Mutex::default(),
            load_over: AtomicBool::new(false),
            over: AtomicBool::new(false),
            token,
        })
    }

    /// The node at a index.
    pub fn endpoint(&self, index: usize) -> Endpoint {
        lock(&self.list)[index].clone()
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
    pub fn ready(&self) -> Vec<Endpoint> {
        let list = lock(&self.list);
        let ready: Vec<Endpoint> = list
            .iter()
            .filter(|endpoint| endpoint.ready)
            .cloned()
            .collect();
        if ready.is_empty() {
            list.clone()
        } else {
            ready
        }
    }

    /// Puts another start of a node at a index.
    pub fn replace(&self, index: usize, node: &Node) {
        lock(&self.list)[index] = Endpoint::from(node);
    }

    /// Takes a node that was killed out, as the balancer's connections fail.
    pub fn mark_down(&self, index: usize) {
        lock(&self.list)[index].ready = false;
    }

    /// Ends the load: callers and operators send nothing new.
    pub fn end_load(&self) {
        self.load_over.store(true, Ordering::SeqCst);
    }

    /// Whether the load has ended.
    pub fn load_ended(&self) -> bool {
        self.load_over.load(Ordering::SeqCst)
    }

    /// Ends the run.
    pub fn end(&self) {
        self.over.store(true, Ordering::SeqCst);
    }

    /// Whether the run has ended.
    pub fn has_ended(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// The token that operators send.
    pub fn token(&self) -> &'static str {
        self.token
    }

    /// The looks so far, in the order in which they were sent.
    pub fn take_config_probes(&self) -> Vec<ConfigProbe> {
        std::mem::take(&mut lock(&self.probes))
    }

    /// Looks at the node at a index until the run ends.
    pub fn watch(&self, index: usize) {
        while !self.has_ended() {
            let endpoint = self.endpoint(index);
            let ready = probe(endpoint.operator, &OutgoingRequest::get("/readyz"));
            let ready = ready.is_some_and(|answer| answer.status.is_success());
            {
                let mut list = lock(&self.list);
                // Another start of the node may have taken the index meanwhile.
                if list[index].operator == endpoint.operator {
                    list[index].ready = ready;
                }
            }
            self.probe_config(&endpoint);
            std::thread::sleep(PROBE_PAUSE);
        }
    }

    fn probe_config(&self, endpoint: &Endpoint) {
        let sent_at = now_ms();
        let request = authorized(OutgoingRequest::get("/status"), self.token);
        let Some(answer) = probe(endpoint.operator, &request) else {
            return;
        };
        let status: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let mut probes = lock(&self.probes);
        for object in status["config"].as_array().into_iter().flatten() {
            probes.push(ConfigProbe {
                node: format!("{}@{}", endpoint.name, endpoint.operator),
                key: object["key"].as_str().unwrap_or_default().to_owned(),
                revision: object["revision"].as_u64().unwrap_or_default(),
                sent_at,
                at: now_ms(),
            });
        }
    }
}

fn probe(address: SocketAddr, request: &OutgoingRequest) -> Option<Response> {
    block_on(send(address, request, PROBE_TIME)).ok()
}
