//! Measures the latency that a node adds to a request, compared with calling the same
//! engine directly in the same run, and the CPU time per request.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::Method;
use pomeloridge_base::http::{ConnectOptions, Connection, OutgoingRequest};
use pomeloridge_dev::caller::{Completion, authorized};
use pomeloridge_dev::launch::{Cluster, block_on, build_binaries, spec_demo, wait_until_ready};
use serde_json::json;

/// Streams measured directly, and as many through the node.
const STREAMS: usize = 300;
/// Tokens per stream.
const TOKENS: u32 = 20;
/// Interval between two tokens of the engine, in ms.
const GAP_MS: u32 = 5;
/// Concurrent requests while the CPU time is measured.
const IN_FLIGHT: usize = 64;
/// Duration of each CPU time measurement.
const LOAD_TIME: Duration = Duration::from_secs(6);
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Times to first token and gaps between tokens, in µs.
struct Latencies {
    first: Histogram<u64>,
    gap: Histogram<u64>,
}

/// Runs the measurements and prints a table.
pub(crate) fn run() -> Result<bool, String> {
    build_binaries()?;
    let mut spec = spec_demo();
    spec.nodes.truncate(1);
    spec.engines.truncate(1);
    let stream_rate = 1000 / GAP_MS;
    spec.engines[0].args = args(&[
        ("--stream-rate", stream_rate),
        ("--decode-rate", 10_000_000),
        ("--prefill-rate", 100_000_000),
        ("--slots", 1024),
        ("--queue", 4096),
    ]);
    let cluster = Cluster::start(spec.set("log", "level", "warn"))?;
    wait_until_ready(&cluster)?;
    let (mut direct, mut proxied) = (Latencies::new(), Latencies::new());
    for _ in 0..STREAMS {
        block_on(time_stream(
            cluster.engines[0].address,
            &direct_request(),
            &mut direct,
        ))?;
        block_on(time_stream(
            cluster.nodes[0].caller,
            &node_request(&cluster),
            &mut proxied,
        ))?;
    }
    println!(
        "streams of {TOKENS} tokens, {GAP_MS} ms apart, {STREAMS} each way, one at a time; in µs"
    );
    println!("{:24} {:>8} {:>8} {:>8}", "", "p50", "p95", "p99");
    print_row("first token, direct", &direct.first);
    print_row("first token, node", &proxied.first);
    print_row("between tokens, direct", &direct.gap);
    print_row("between tokens, node", &proxied.gap);
    measure_cpu(&cluster)
}

fn args(pairs: &[(&str, u32)]) -> Vec<String> {
    let pairs = pairs.iter();
    pairs
        .flat_map(|(name, value)| [(*name).to_owned(), value.to_string()])
        .collect()
}

impl Latencies {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are in order");
        Self {
            first: histogram(),
            gap: histogram(),
        }
    }
}

fn print_row(name: &str, latencies: &Histogram<u64>) {
    let at = |quantile| latencies.value_at_quantile(quantile);
    println!("{name:24} {:>8} {:>8} {:>8}", at(0.5), at(0.95), at(0.99));
}

fn direct_request() -> OutgoingRequest {
    let body = json!({
        "request_id": "direct", "prompt": "measure", "resume": [],
        "max_tokens": TOKENS, "priority": 0,
    });
    OutgoingRequest::new(Method::POST, "/generate").json(&body)
}

fn node_request(cluster: &Cluster) -> OutgoingRequest {
    completion(TOKENS).request(cluster.key(0))
}

fn completion(tokens: u32) -> Completion {
    Completion {
        model: "assistant".to_owned(),
        prompt: "measure".to_owned(),
        max_tokens: tokens,
        stream: true,
        timeout: CALL_TIMEOUT,
    }
}

/// Records the arrival times of a stream's chunks; the first is the first token.
async fn time_stream(
    address: SocketAddr,
    request: &OutgoingRequest,
    latencies: &mut Latencies,
) -> Result<(), String> {
    let message = |error: pomeloridge_base::http::Fault| error.to_string();
    let start = Instant::now();
    let deadline = start + CALL_TIMEOUT;
    let mut connection = Connection::open(address, ConnectOptions::default())
        .await
        .map_err(message)?;
    connection.send(request, deadline).await.map_err(message)?;
    connection.read_head(deadline).await.map_err(message)?;
    let mut last = None;
    let mut tokens = 0;
    while connection
        .read_chunk(deadline)
        .await
        .map_err(message)?
        .is_some()
    {
        let now = Instant::now();
        tokens += 1;
        // The end event follows the last token and is not a token.
        if tokens > TOKENS {
            continue;
        }
        let (histogram, since) = match last.replace(now) {
            None => (&mut latencies.first, start),
            Some(last) => (&mut latencies.gap, last),
        };
        histogram.saturating_record((now - since).as_micros() as u64);
    }
    Ok(())
}

/// Measures the node's CPU time per request under concurrent load.
fn measure_cpu(cluster: &Cluster) -> Result<bool, String> {
    for (name, request) in [
        ("streams of 20 tokens", node_request(cluster)),
        ("streams of 1 token", completion(1).request(cluster.key(0))),
        ("lookups on a plain service", lookup(cluster)),
    ] {
        let node = &cluster.nodes[0];
        let before = node.process.cpu_time()?;
        let start = Instant::now();
        let done = block_on(load(node.caller, request));
        let spent = node.process.cpu_time()? - before;
        let rate = done as f64 / start.elapsed().as_secs_f64();
        let each = spent / done.max(1) as f64 * 1e6;
        println!(
            "{name}: {rate:.0} requests/s, {each:.0} µs of processor time each, {:.0} requests/s on one core",
            1e6 / each
        );
    }
    Ok(true)
}

fn lookup(cluster: &Cluster) -> OutgoingRequest {
    authorized(OutgoingRequest::get("/filings/1"), cluster.key(0))
}

async fn load(address: SocketAddr, request: OutgoingRequest) -> usize {
    let end = Instant::now() + LOAD_TIME;
    let tasks: Vec<_> = (0..IN_FLIGHT)
        .map(|_| {
            let request = request.clone();
            monoio::spawn(async move {
                let mut done = 0;
                while Instant::now() < end {
                    let answer =
                        pomeloridge_dev::caller::send(address, &request, CALL_TIMEOUT).await;
                    done += usize::from(answer.is_ok());
                }
                done
            })
        })
        .collect();
    let mut done = 0;
    for task in tasks {
        done += task.await;
    }
    done
}
