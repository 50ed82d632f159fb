//! Load balancer in front of the nodes, which also probes the nodes' active
//! configuration.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pomeloridge_base::http::{OutgoingRequest, Response};
use serde_json::Value;

use super::record::ConfigProbe;
use crate::caller::{authorized, send};
use crate::launch::{Node, block_on};

/// Pause between two probes of a node.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns the current time in Unix ms.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Addresses and readiness of a node.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the node.
    pub name: String,
    /// Listener for callers.
    pub caller: SocketAddr,
    /// Listener for operators.
    pub operator: SocketAddr,
    /// Whether the balancer sends requests to the node.
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

/// Nodes and phase of a run, shared by callers, operators and the injector.
pub struct Balancer {
    endpoints: Mutex<Vec<Endpoint>>,
    probes: Mutex<Vec<ConfigProbe>>,
    load_ended: AtomicBool,
    run_ended: AtomicBool,
    token: &'static str,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

impl Balancer {
    /// Creates a balancer over nodes that are ready.
    pub fn new(nodes: &[Node], token: &'static str) -> Arc<Self> {
        Arc::new(Self {
            endpoints: Mutex::new(nodes.iter().map(Endpoint::from).collect()),
            probes: Mutex::default(),
            load_ended: AtomicBool::new(false),
            run_ended: AtomicBool::new(false),
            token,
        })
    }

    /// Returns the endpoint of the node at an index.
    pub fn endpoint(&self, index: usize) -> Endpoint {
        lock(&self.endpoints)[index].clone()
    }

    /// Returns the number of nodes.
    pub fn len(&self) -> usize {
        lock(&self.endpoints).len()
    }

    /// Returns whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the nodes that are ready, or all if none is.
    pub fn ready(&self) -> Vec<Endpoint> {
        let endpoints = lock(&self.endpoints);
        let ready: Vec<Endpoint> = endpoints
            .iter()
            .filter(|endpoint| endpoint.ready)
            .cloned()
            .collect();
        if ready.is_empty() {
            endpoints.clone()
        } else {
            ready
        }
    }

    /// Replaces the node at an index by another incarnation.
    pub fn replace(&self, index: usize, node: &Node) {
        lock(&self.endpoints)[index] = Endpoint::from(node);
    }

    /// Marks a killed node as not ready until a probe succeeds, as a balancer does when its
    /// connections fail.
    pub fn mark_down(&self, index: usize) {
        lock(&self.endpoints)[index].ready = false;
    }

    /// Ends the load: callers and operators send no further requests.
    pub fn end_load(&self) {
        self.load_ended.store(true, Ordering::SeqCst);
    }

    /// Returns whether the load has ended.
    pub fn load_ended(&self) -> bool {
        self.load_ended.load(Ordering::SeqCst)
    }

    /// Ends the run, and with it the probes.
    pub fn end_run(&self) {
        self.run_ended.store(true, Ordering::SeqCst);
    }

    /// Returns whether the run has ended.
    pub fn has_ended(&self) -> bool {
        self.run_ended.load(Ordering::SeqCst)
    }

    /// Returns the operators' token.
    pub fn token(&self) -> &'static str {
        self.token
    }

    /// Takes the configuration probes so far, by time of the response.
    pub fn take_config_probes(&self) -> Vec<ConfigProbe> {
        std::mem::take(&mut lock(&self.probes))
    }

    /// Probes the node at an index until the run ends.
    pub fn watch(&self, index: usize) {
        while !self.has_ended() {
            let endpoint = self.endpoint(index);
            let ready = probe(endpoint.operator, &OutgoingRequest::get("/readyz"));
            let ready = ready.is_some_and(|response| response.status.is_success());
            {
                let mut endpoints = lock(&self.endpoints);
                // The node may have been replaced meanwhile.
                if endpoints[index].operator == endpoint.operator {
                    endpoints[index].ready = ready;
                }
            }
            self.probe_config(&endpoint);
            std::thread::sleep(PROBE_PAUSE);
        }
    }

    fn probe_config(&self, endpoint: &Endpoint) {
        let sent_at = now_ms();
        let request = authorized(OutgoingRequest::get("/status"), self.token);
        let Some(response) = probe(endpoint.operator, &request) else {
            return;
        };
        let status: Value = serde_json::from_slice(&response.body).unwrap_or_default();
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
    block_on(send(address, request, PROBE_TIMEOUT)).ok()
}
