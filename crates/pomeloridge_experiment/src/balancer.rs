//! Models the platform's load balancer: round-robin over the nodes, excluding a
//! node for a second after it refused a connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which a node is excluded after it refused a connection.
const EXCLUSION_TIME: Duration = Duration::from_secs(1);

/// Round-robin balancer over the nodes.
#[derive(Clone, Debug)]
pub struct Balancer {
    nodes: Vec<Node>,
    next: usize,
}

#[derive(Clone, Copy, Debug)]
struct Node {
    address: SocketAddr,
    excluded_until: Option<Instant>,
}

impl Balancer {
    /// Creates a balancer over the nodes' caller addresses.
    pub fn new(callers: &[SocketAddr]) -> Self {
        let node = |address: &SocketAddr| Node {
            address: *address,
            excluded_until: None,
        };
        Self {
            nodes: callers.iter().map(node).collect(),
            next: 0,
        }
    }

    /// Returns the next node that is not excluded at `now`.
    pub fn pick(&mut self, now: Instant) -> Option<SocketAddr> {
        for _ in 0..self.nodes.len() {
            let node = self.nodes[self.next % self.nodes.len()];
            self.next += 1;
            if node.excluded_until.is_none_or(|until| until <= now) {
                return Some(node.address);
            }
        }
        None
    }

    /// Excludes a node until one second after `now`.
    pub fn exclude(&mut self, address: SocketAddr, now: Instant) {
        let mut nodes = self.nodes.iter_mut();
        if let Some(node) = nodes.find(|node| node.address == address) {
            node.excluded_until = Some(now + EXCLUSION_TIME);
        }
    }
}
