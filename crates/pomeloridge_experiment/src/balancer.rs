//! The platform's balancer as callers see it: round-robin over the nodes, and a
//! node that refuses connections is left out for a second.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which a node that refused a connection is left out.
const LEFT_OUT: Duration = Duration::from_secs(1);

/// The nodes and which of them are left out.
#[derive(Clone, Debug)]
pub struct Balancer {
    nodes: Vec<Node>,
    next: usize,
}

#[derive(Clone, Copy, Debug)]
struct Node {
    address: SocketAddr,
    until: Option<Instant>,
}

impl Balancer {
    /// A balancer over the nodes' caller addresses.
    pub fn new(callers: &[SocketAddr]) -> Self {
        let node = |address: &SocketAddr| Node {
            address: *address,
            until: None,
        };
        Self {
            nodes: callers.iter().map(node).collect(),
            next: 0,
        }
    }

    /// The next node that is not left out at `now`.
    pub fn pick(&mut self, now: Instant) -> Option<SocketAddr> {
        for _ in 0..self.nodes.len() {
            let node = self.nodes[self.next % self.nodes.len()];
            self.next += 1;
            if node.until.is_none_or(|until| until <= now) {
                return Some(node.address);
            }
        }
        None
    }

    /// Leaves a node out for a second after `now`.
    pub fn leave_out(&mut self, address: SocketAddr, now: Instant) {
        let mut nodes = self.nodes.iter_mut();
        if let Some(node) = nodes.find(|node| node.address == address) {
            node.until = Some(now + LEFT_OUT);
        }
    }
}
