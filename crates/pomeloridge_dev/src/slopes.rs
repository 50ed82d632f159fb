//! Measures how a node's cost grows with the fleet: calls to the object service, CPU
//! time and memory, idle and under configuration changes.

use std::time::{Duration, Instant};

use pomeloridge_dev::launch::{
    Cluster, build_binaries, get_json, put_json, spec_demo, wait_until_ready,
};
use serde_json::{Value, json};

/// Delay before counting, for leases and links to settle.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Duration of counting.
const COUNT_TIME: Duration = Duration::from_secs(10);

/// Measurements at one number of nodes.
struct Row {
    nodes: usize,
    /// Calls to the platform per second.
    calls: f64,
    by_kind: Vec<(String, f64)>,
    /// CPU seconds per second and node.
    core: f64,
    /// Resident memory per node.
    memory_mb: f64,
}

/// Measures at each number of nodes, and prints a table.
pub(crate) fn run(sizes: &[usize], change: bool) -> Result<bool, String> {
    build_binaries()?;
    println!("nodes  calls/s  core % a node  MB a node  calls/s by kind");
    for nodes in sizes {
        let row = measure(*nodes, change)?;
        let kinds = row.by_kind.iter().filter(|(_, rate)| *rate > 0.0);
        let kinds: Vec<_> = kinds
            .map(|(kind, rate)| format!("{kind} {rate:.1}"))
            .collect();
        println!(
            "{:5}  {:7.1}  {:13.2}  {:9.1}  {}",
            row.nodes,
            row.calls,
            row.core * 100.0,
            row.memory_mb,
            kinds.join(", ")
        );
    }
    Ok(true)
}

fn measure(nodes: usize, change: bool) -> Result<Row, String> {
    let mut spec = spec_demo();
    let centres = ["dc-a", "dc-b", "dc-c", "dc-d"];
    spec.nodes = (0..nodes)
        .map(|index| centres[index % centres.len()].to_owned())
        .collect();
    let cluster = Cluster::start(spec.set("log", "level", "warn"))?;
    wait_until_ready(&cluster)?;
    std::thread::sleep(SETTLE_TIME);
    let before = (calls(&cluster)?, cpu_time(&cluster)?);
    let start = Instant::now();
    while start.elapsed() < COUNT_TIME {
        if change {
            write_config(&cluster)?;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    let seconds = start.elapsed().as_secs_f64();
    let after = (calls(&cluster)?, cpu_time(&cluster)?);
    let rate = |kind: &str| (count(&after.0, kind) - count(&before.0, kind)) / seconds;
    let kinds = after
        .0
        .as_object()
        .map(|kinds| kinds.keys().cloned().collect::<Vec<_>>());
    let by_kind = kinds
        .unwrap_or_default()
        .into_iter()
        .filter(|kind| kind != "total");
    Ok(Row {
        nodes,
        calls: rate("total"),
        by_kind: by_kind.map(|kind| (kind.clone(), rate(&kind))).collect(),
        core: (after.1 - before.1) / seconds / nodes as f64,
        memory_mb: memory(&cluster)? / nodes as f64,
    })
}

/// Writes a new version of the configuration, as an operator's change does.
fn write_config(cluster: &Cluster) -> Result<(), String> {
    let object = get_json(cluster.platform(), "/objects/config/fleet")?;
    let target = format!("/objects/config/fleet?expect={}", object["version"]);
    put_json(cluster.platform(), &target, &object["value"]).map(|_| ())
}

fn calls(cluster: &Cluster) -> Result<Value, String> {
    get_json(cluster.platform(), "/calls")
}

fn count(calls: &Value, kind: &str) -> f64 {
    calls
        .get(kind)
        .unwrap_or(&json!(0))
        .as_f64()
        .unwrap_or_default()
}

/// Returns the CPU time of all nodes, in seconds.
fn cpu_time(cluster: &Cluster) -> Result<f64, String> {
    let nodes = cluster.nodes.iter();
    nodes.map(|node| node.process.cpu_time()).sum()
}

/// Returns the resident memory of all nodes, in MB.
fn memory(cluster: &Cluster) -> Result<f64, String> {
    let nodes = cluster.nodes.iter();
    nodes.map(|node| node.process.memory()).sum()
}
