//! What a node of the project's own interface leaves behind when it is stopped.

use std::time::{Duration, Instant};

use pomeloridge_dev::caller::{Completion, send};
use pomeloridge_dev::check::histories;
use pomeloridge_dev::launch::{Cluster, block_on, spec_demo, wait_until_ready};

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const REQUESTS: u64 = 5;
/// Pause of the other nodes, longer than a node without unfinished work takes to stop.
const PAUSE: Duration = Duration::from_secs(2);

/// Returns the number of requests in the usage reports that the platform has accepted.
fn reported_requests(cluster: &Cluster) -> u64 {
    let lines = histories::read_all(cluster).unwrap();
    let mut windows = std::collections::HashMap::new();
    for report in lines.iter().filter(|line| line.kind == "usage") {
        let window = report.fields["window"].to_string();
        windows.insert(window, report.fields["accounts"].clone());
    }
    let accounts = windows.values().filter_map(|accounts| accounts.as_object());
    let figures = accounts.flat_map(|accounts| accounts.values());
    figures
        .filter_map(|figures| figures["requests"].as_u64())
        .sum()
}

/// Guards against usage that is lost with a stopped node, as no peer took it in time.
#[test]
fn usage_outlives_a_node_whose_peers_are_slow() {
    let mut spec = spec_demo();
    spec.histories = true;
    let spec = spec
        .set("caller", "stop_delay_ms", "300")
        .set("usage", "window_ms", "1000")
        .set("lease", "term_ms", "1200")
        .set("lease", "margin_ms", "300")
        .set("platform", "timeout_ms", "500");
    let mut cluster = Cluster::start(spec).unwrap();
    wait_until_ready(&cluster).unwrap();
    for peer in &cluster.nodes[1..] {
        peer.process.pause();
    }
    for number in 0..REQUESTS {
        let completion = Completion {
            model: "assistant".to_owned(),
            prompt: format!("prompt {number}"),
            max_tokens: 4,
            stream: false,
            timeout: TIMEOUT,
        };
        let message = completion.request(cluster.key(0));
        let answer = block_on(send(cluster.nodes[0].caller, &message, TIMEOUT)).unwrap();
        assert_eq!(answer.status, 200);
    }
    cluster.nodes[0].process.stop();
    std::thread::sleep(PAUSE);
    for peer in &cluster.nodes[1..] {
        peer.process.resume();
    }
    let status = cluster.nodes[0].process.wait(TIMEOUT).unwrap();
    assert!(status.success(), "{status}");
    let end = Instant::now() + TIMEOUT;
    while reported_requests(&cluster) < REQUESTS && Instant::now() < end {
        std::thread::sleep(POLL_INTERVAL);
    }
    assert_eq!(reported_requests(&cluster), REQUESTS);
    // Only the files of a failed run are needed later.
    std::fs::remove_dir_all(&cluster.folder).unwrap();
}
