//! Starts a small deployment and sends it the requests of callers and operators.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::{OutgoingRequest, Response};
use pomeloridge_dev::caller::{Completion, authorized, expected_tokens, send};
use pomeloridge_dev::launch::{
    Cluster, block_on, build_binaries, request, spec_demo, wait_until_ready,
};
use pomeloridge_dev::table::Checks;
use serde_json::{Value, json};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for a change to take effect, and for a node to stop.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the demo; returns whether all checks passed.
pub(crate) fn run(hold: bool) -> Result<bool, String> {
    build_binaries()?;
    let mut cluster = Cluster::start(spec_demo())?;
    wait_until_ready(&cluster)?;
    if hold {
        return hold_until_signal(&cluster);
    }
    let mut checks = Checks::default();
    run_checks(&cluster, &mut checks);
    stop_all(&mut cluster, &mut checks);
    print!("{}", checks.render());
    Ok(checks.all_passed())
}

/// Prints the addresses and keys as JSON, and serves until SIGTERM or SIGINT.
fn hold_until_signal(cluster: &Cluster) -> Result<bool, String> {
    let stopping = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&stopping)).map_err(|e| e.to_string())?;
    }
    println!("{}", describe(cluster));
    let _ = std::io::stdout().flush();
    while !stopping.load(Ordering::Relaxed) {
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(true)
}

fn describe(cluster: &Cluster) -> Value {
    let endpoint = |address: SocketAddr, data_centre: &str| json!({"address": address.to_string(), "data_centre": data_centre});
    let nodes = |address: fn(&pomeloridge_dev::launch::Node) -> SocketAddr| -> Vec<Value> {
        let nodes = cluster.nodes.iter();
        nodes
            .map(|node| endpoint(address(node), &node.data_centre))
            .collect()
    };
    let servers = |list: &[pomeloridge_dev::launch::Server]| -> Vec<Value> {
        let servers = list.iter();
        servers
            .map(|server| endpoint(server.address, &server.data_centre))
            .collect()
    };
    let fleet = &cluster.spec().fleet;
    let routes = fleet
        .routes
        .iter()
        .map(|route| (route.path.clone(), json!(route)));
    let keys = cluster
        .keys
        .iter()
        .map(|(account, key)| (account.clone(), json!(key)));
    json!({
        "callers": nodes(|node| node.caller),
        "operators": nodes(|node| node.operator),
        "platform": [endpoint(cluster.platform(), &cluster.nodes[0].data_centre)],
        "engines": servers(&cluster.engines),
        "services": servers(&cluster.services),
        "models": fleet.models.keys().collect::<Vec<_>>(),
        "keys": keys.collect::<serde_json::Map<_, _>>(),
        "operator_token": cluster.operator_token(),
        "routes": routes.collect::<serde_json::Map<_, _>>(),
    })
}

/// Runs the checks of a serving deployment.
fn run_checks(cluster: &Cluster, checks: &mut Checks) {
    checks.run("a whole completion", || whole_completion(cluster));
    checks.run("a streamed completion, token by token", || {
        Ok(streamed(cluster))
    });
    checks.run("a chat completion", || chat(cluster));
    checks.run("a filing sent twice under one idempotency key", || {
        filing_twice(cluster)
    });
    checks.run("an open route without a key", || open_route(cluster));
    checks.run("a request without a key", || no_key(cluster));
    checks.run("a key that stands in the body too", || exposed_key(cluster));
    checks.run(
        "a key issued and withdrawn at one node, used at another",
        || withdrawn_key(cluster),
    );
    checks.run("`explain` shows the decisions for a request", || {
        explained(cluster)
    });
    checks.run("no backend server saw a key", || no_key_seen(cluster));
}

fn completion(stream: bool) -> Completion {
    Completion {
        model: "assistant".to_owned(),
        prompt: "Explain the residual of 4 cm at point 17 between the two grids.".to_owned(),
        max_tokens: 24,
        stream,
        timeout: CALL_TIMEOUT,
    }
}

fn call(address: SocketAddr, request: &OutgoingRequest) -> Result<(u16, Value, Response), String> {
    let response = block_on(send(address, request, CALL_TIMEOUT)).map_err(|f| f.to_string())?;
    let body = serde_json::from_slice(&response.body).unwrap_or_default();
    Ok((response.status.as_u16(), body, response))
}

fn whole_completion(cluster: &Cluster) -> Result<(bool, String), String> {
    let completion = completion(false);
    let request = completion.request(cluster.key(0));
    let (status, body, _) = call(cluster.nodes[0].caller, &request)?;
    let text = body["choices"][0]["text"].as_str().unwrap_or_default();
    let correct = text == expected_tokens(&completion.prompt, completion.max_tokens).concat();
    let tokens = &body["usage"]["completion_tokens"];
    Ok((
        status == 200 && correct,
        format!("{status}, {tokens} tokens"),
    ))
}

fn streamed(cluster: &Cluster) -> (bool, String) {
    let completion = completion(true);
    let outcome = block_on(completion.stream(cluster.nodes[1].caller, cluster.key(1)));
    let correct = outcome.complete
        && outcome.texts == expected_tokens(&completion.prompt, completion.max_tokens);
    let first = outcome.arrivals.first().copied().unwrap_or_default();
    let last = outcome.arrivals.last().copied().unwrap_or_default();
    let spread = !outcome.arrivals.is_empty() && first < last;
    let detail = format!(
        "{}, {} tokens, first after {} ms, last after {} ms",
        outcome.status,
        outcome.texts.len(),
        first.as_millis(),
        last.as_millis()
    );
    (correct && spread, detail)
}

fn chat(cluster: &Cluster) -> Result<(bool, String), String> {
    let body = json!({
        "model": "assistant", "max_tokens": 8,
        "messages": [{"role": "user", "content": "Which grid is this?"}],
    });
    let request = OutgoingRequest::new(Method::POST, "/v1/chat/completions").json(&body);
    let (status, body, _) = call(
        cluster.nodes[2].caller,
        &authorized(request, cluster.key(0)),
    )?;
    let text = body["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default();
    let correct = text == expected_tokens("user: Which grid is this?\n", 8).concat();
    Ok((
        status == 200 && correct,
        format!("{status}, object {}", body["object"]),
    ))
}

fn filing_twice(cluster: &Cluster) -> Result<(bool, String), String> {
    let request = OutgoingRequest::new(Method::POST, "/filings")
        .with_header("idempotency-key", "parcel-78401")
        .json(&json!({"parcel": "78401:101:0021", "case": 17}));
    let request = authorized(request, cluster.key(0));
    let (first, body, _) = call(cluster.nodes[0].caller, &request)?;
    let (second, repeat, _) = call(cluster.nodes[1].caller, &request)?;
    let runs = service_runs(cluster, "parcel-78401")?;
    let same = first == 201 && second == 201 && body == repeat;
    Ok((
        same && runs == 1,
        format!("{first} and {second}, same answer: {same}, runs: {runs}"),
    ))
}

/// Returns how often the services ran a call under an idempotency key.
fn service_runs(cluster: &Cluster, key: &str) -> Result<usize, String> {
    let mut runs = 0;
    for service in &cluster.services {
        for line in history(service.address)? {
            if line["what"] == "run" && line.to_string().contains(key) {
                runs += 1;
            }
        }
    }
    Ok(runs)
}

fn history(address: SocketAddr) -> Result<Vec<Value>, String> {
    let response = request(address, &OutgoingRequest::get("/history"))?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let lines = text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    Ok(lines.collect())
}

fn open_route(cluster: &Cluster) -> Result<(bool, String), String> {
    let request = OutgoingRequest::get("/filings/public/none");
    let (status, _, _) = call(cluster.nodes[0].caller, &request)?;
    // The service answers 404, as there is no such filing.
    Ok((status == 404, format!("{status} from the service")))
}

fn no_key(cluster: &Cluster) -> Result<(bool, String), String> {
    let request = OutgoingRequest::new(Method::POST, "/v1/completions").json(&json!({}));
    let (status, body, _) = call(cluster.nodes[0].caller, &request)?;
    let run = &body["error"]["run"];
    Ok((
        status == 401 && run == "not run",
        format!("{status}, run: {run}"),
    ))
}

fn exposed_key(cluster: &Cluster) -> Result<(bool, String), String> {
    let body = json!({"note": cluster.key(0)});
    let request = OutgoingRequest::new(Method::POST, "/filings").json(&body);
    let request = authorized(request, cluster.key(0));
    let (status, body, _) = call(cluster.nodes[0].caller, &request)?;
    let code = &body["error"]["code"];
    Ok((
        status == 400 && code == "key_exposed",
        format!("{status}, {code}"),
    ))
}

fn withdrawn_key(cluster: &Cluster) -> Result<(bool, String), String> {
    let operator = cluster.nodes[0].operator;
    let caller = cluster.nodes[2].caller;
    let token = cluster.operator_token();
    let post = |target: &str| authorized(OutgoingRequest::new(Method::POST, target), token);
    let issue = post("/accounts/account-3/keys").json(&json!({"reason": "demo"}));
    let (status, issued, _) = call(operator, &issue)?;
    let text = |name: &str| issued[name].as_str().unwrap_or_default().to_owned();
    let (key, id) = (text("key"), text("id"));
    if status >= 300 || key.is_empty() {
        return Ok((false, format!("issuing answered {status} {issued}")));
    }
    let request = authorized(OutgoingRequest::get("/filings/1"), &key);
    let accepted = wait_for(|| Ok(call(caller, &request)?.0 != 401))?;
    let withdraw = post(&format!("/accounts/account-3/keys/{id}/withdraw"));
    let (withdrawn, answer, _) = call(operator, &withdraw.json(&json!({"reason": "demo"})))?;
    let start = Instant::now();
    let refused = wait_for(|| Ok(call(caller, &request)?.0 == 401))?;
    let detail = format!(
        "accepted: {accepted}; withdrawn ({withdrawn}), in force on {} of {}; refused after {} ms",
        answer["in_force"]["nodes"],
        answer["in_force"]["of"],
        start.elapsed().as_millis()
    );
    Ok((accepted && withdrawn < 300 && refused, detail))
}

fn wait_for(mut holds: impl FnMut() -> Result<bool, String>) -> Result<bool, String> {
    let end = Instant::now() + CHANGE_TIMEOUT;
    while Instant::now() < end {
        if holds()? {
            return Ok(true);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(false)
}

fn explained(cluster: &Cluster) -> Result<(bool, String), String> {
    let node = &cluster.nodes[0];
    let (_, _, response) = call(node.caller, &completion(false).request(cluster.key(0)))?;
    let id = response.headers.get("x-request-id");
    let id = id
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let request = authorized(
        OutgoingRequest::get(format!("/explain/{id}")),
        cluster.operator_token(),
    );
    let (status, body, _) = call(node.operator, &request)?;
    let lines = body["decisions"].as_array().map_or(0, Vec::len);
    let routed = body.to_string().contains("route pool=assistant server=");
    Ok((
        status == 200 && routed,
        format!("{status}, {lines} decisions"),
    ))
}

fn no_key_seen(cluster: &Cluster) -> Result<(bool, String), String> {
    let mut lines = 0;
    let mut exposed = 0;
    for server in cluster.engines.iter().chain(&cluster.services) {
        for line in history(server.address)? {
            lines += 1;
            let text = line.to_string();
            let key = cluster
                .keys
                .iter()
                .any(|(_, key)| text.contains(key.as_str()));
            exposed += usize::from(key || line["key_seen"] == true);
        }
    }
    Ok((
        exposed == 0 && lines > 0,
        format!("{lines} lines of history, {exposed} with a key"),
    ))
}

/// Stops every node with SIGTERM and checks its exit code.
fn stop_all(cluster: &mut Cluster, checks: &mut Checks) {
    for node in &cluster.nodes {
        node.process.stop();
    }
    let mut codes = Vec::new();
    for node in &mut cluster.nodes {
        let status = node.process.wait(CHANGE_TIMEOUT);
        codes.push(status.and_then(|status| status.code()));
    }
    let correct = codes.iter().all(|code| *code == Some(0));
    checks.record(
        "every node stops gracefully on SIGTERM",
        correct,
        format!("exit codes {codes:?}"),
    );
}
