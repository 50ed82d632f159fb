//! Waiting until every node takes work.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::http::OutgoingRequest;

use super::Cluster;
use super::client::request;

/// Time for a node to turn ready.
const READY_TIME: Duration = Duration::from_secs(15);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Waits until every node says that it is ready.
pub fn wait_until_ready(cluster: &Cluster) -> Result<(), String> {
    let end = Instant::now() + READY_TIME;
    for node in &cluster.nodes {
        while !is_ready(node.operator) {
            if Instant::now() >= end {
                return Err(format!("{} did not turn ready", node.name));
            }
            std::thread::sleep(LOOK_PAUSE);
        }
    }
    Ok(())
}

fn is_ready(operator: SocketAddr) -> bool {
    let answer = request(operator, &OutgoingRequest::get("/readyz"));
    answer.is_ok_and(|answer| answer.status.is_success())
}
