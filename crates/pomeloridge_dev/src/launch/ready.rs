//! Waiting for readiness.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::http::OutgoingRequest;

use super::Cluster;
use super::client::request;

/// Timeout for all nodes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two checks of a node.
const POLL_PAUSE: Duration = Duration::from_millis(50);

/// Waits until every node reports readiness.
pub fn wait_until_ready(cluster: &Cluster) -> Result<(), String> {
    let end = Instant::now() + READY_TIMEOUT;
    for node in &cluster.nodes {
        while !is_ready(node.operator) {
            if Instant::now() >= end {
                return Err(format!("{} did not become ready", node.name));
            }
            std::thread::sleep(POLL_PAUSE);
        }
    }
    Ok(())
}

fn is_ready(operator: SocketAddr) -> bool {
    let response = request(operator, &OutgoingRequest::get("/readyz"));
    response.is_ok_and(|response| response.status.is_success())
}
