//! Runs the same load against the same deployment under several policies, and
//! compares the answers that callers received.

use std::path::PathBuf;
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Args, ValueEnum};
use pomeloridge_dev::launch::{
    Cluster, Spec, altiplano, annex_b, build_binaries, wait_until_ready,
};
use pomeloridge_experiment::deployment::{Deployment, plan};
use pomeloridge_experiment::plan::Plan;
use pomeloridge_experiment::plot::write_svg;
use pomeloridge_experiment::report::Report;
use pomeloridge_experiment::run::{Endpoints, run as run_load};
use pomeloridge_experiment::table::table;
use pomeloridge_experiment::verdict::ServiceRuns;

/// Prefill rate of an engine, in tokens per second, unscaled.
const PREFILL_RATE: f64 = 4000.0;
/// Decode rate of an engine over all streams, in tokens per second, unscaled.
const DECODE_RATE: f64 = 400.0;
/// Threads of the load generator.
const THREADS: usize = 2;
/// Settings of nodes that are divided by the scale: section, key, ms.
const SCALED_TIMES: [(&str, &str, f64); 4] = [
    ("backend", "load_ms", 250.0),
    ("backend", "probe_ms", 1000.0),
    ("node_link", "heartbeat_ms", 250.0),
    ("platform", "poll_ms", 1000.0),
];
/// Delay before the load, for links and leases to settle.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Options of the experiment.
#[derive(Args)]
pub(crate) struct ExperimentArgs {
    /// Deployment to measure.
    #[arg(long, value_enum, default_value = "annex-b")]
    deployment: DeploymentName,
    /// Seeds; each policy runs once per seed.
    #[arg(long, value_delimiter = ',', default_value = "1397")]
    seeds: Vec<u64>,
    /// Factor by which engines are faster than real ones.
    #[arg(long, default_value_t = 4.0)]
    scale: f64,
    /// Policies to compare.
    #[arg(long, value_enum, value_delimiter = ',', default_values = ["round-robin", "least-reported", "pomeloridge"])]
    policies: Vec<Policy>,
    /// Constant offered load relative to capacity, instead of the plan's varying load.
    #[arg(long)]
    load: Option<f64>,
    /// Folder for the JSON reports and the plots.
    #[arg(long, default_value = "target/experiment")]
    out: PathBuf,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum DeploymentName {
    AnnexB,
    Altiplano,
}

/// A routing policy to compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Policy {
    /// Sends to each server in turn.
    RoundRobin,
    /// Sends to the server with the fewest requests in its last report.
    LeastReported,
    /// The default policy of nodes, `estimated`.
    Pomeloridge,
    /// As `pomeloridge`, but servers are not ejected after failures.
    WithoutCare,
}

impl Policy {
    fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastReported => "least reported",
            Self::Pomeloridge => "pomeloridge",
            Self::WithoutCare => "without care",
        }
    }

    fn apply(self, spec: Spec) -> Spec {
        let (routing, care) = match self {
            Self::RoundRobin => ("round_robin", "on"),
            Self::LeastReported => ("least_reported", "on"),
            Self::Pomeloridge => ("estimated", "on"),
            Self::WithoutCare => ("estimated", "off"),
        };
        spec.set("routing", "policy", routing)
            .set("routing", "care", care)
    }
}

/// Measures every policy with every seed, prints a table and writes the reports.
pub(crate) fn run(args: &ExperimentArgs) -> Result<bool, String> {
    build_binaries()?;
    std::fs::create_dir_all(&args.out).map_err(|error| error.to_string())?;
    for seed in &args.seeds {
        let mut reports = Vec::new();
        for policy in &args.policies {
            eprintln!("seed {seed}, {}", policy.name());
            reports.push(measure(args, *policy, *seed)?);
        }
        println!("seed {seed}, scale {}", args.scale);
        println!("{}", table(&reports));
        write_reports(args, *seed, &reports)?;
    }
    Ok(true)
}

fn write_reports(args: &ExperimentArgs, seed: u64, reports: &[Report]) -> Result<(), String> {
    let deployment = format!("{:?}", args.deployment).to_lowercase();
    let path = |ending: &str| args.out.join(format!("{deployment}-{seed}.{ending}"));
    write_svg(reports, &path("svg")).map_err(|error| error.to_string())?;
    let json: Result<Vec<String>, _> = reports.iter().map(Report::to_json).collect();
    let json = json.map_err(|error| error.to_string())?;
    std::fs::write(path("json"), format!("[{}]\n", json.join(",\n"))).map_err(|e| e.to_string())?;
    println!("written: {} and .json", path("svg").display());
    Ok(())
}

fn measure(args: &ExperimentArgs, policy: Policy, seed: u64) -> Result<Report, String> {
    let (name, spec) = match args.deployment {
        DeploymentName::AnnexB => (Deployment::AnnexB, annex_b()),
        DeploymentName::Altiplano => (Deployment::Altiplano, altiplano()),
    };
    let mut plan = plan(name, seed, args.scale, PREFILL_RATE, DECODE_RATE);
    if let Some(load) = args.load {
        plan.load.low = load;
        plan.load.high = load;
    }
    let cluster = Cluster::start(policy.apply(scaled(spec, args.scale)))?;
    wait_until_ready(&cluster)?;
    std::thread::sleep(SETTLE_TIME);
    for (account, (_, weight)) in plan.accounts.iter_mut().zip(&cluster.spec().accounts) {
        account.weight = *weight;
    }
    let endpoints = Endpoints {
        callers: cluster.nodes.iter().map(|node| node.caller).collect(),
        keys: cluster.keys.clone(),
        threads: THREADS,
    };
    let cluster = Mutex::new(cluster);
    let mut lost_at = None;
    let outcome = run_load(&endpoints, &plan, |loss| {
        lost_at = Some(unix_ms());
        if let Ok(mut cluster) = cluster.lock() {
            kill_data_centre(&mut cluster, &loss.data_centre);
        }
    });
    let outcome = outcome.map_err(|error| error.to_string())?;
    let cluster = cluster.into_inner().map_err(|error| error.to_string())?;
    let runs = service_runs(&cluster)?;
    let stale = lost_at
        .map(|at| stale_routes(&cluster, &plan, at))
        .transpose()?;
    let mut report = Report::new(policy.name(), &plan, &outcome, &runs);
    if let Some(stale) = stale {
        report = report
            .with("routes to dead servers", stale.count)
            .with("last such route, s", stale.last);
    }
    Ok(report.with("role changes", role_changes(&cluster)?))
}

/// Speeds up engines, and the nodes' settings that match them, by the scale.
fn scaled(mut spec: Spec, scale: f64) -> Spec {
    for engine in &mut spec.engines {
        for (name, value) in [
            ("--time-scale", scale),
            ("--prefill-rate", PREFILL_RATE),
            ("--decode-rate", DECODE_RATE),
        ] {
            engine.args.extend([name.to_owned(), value.to_string()]);
        }
    }
    for model in spec.fleet.models.values_mut() {
        model.prefill_rate = PREFILL_RATE * scale;
        model.decode_rate = DECODE_RATE * scale;
        model.first_token_ms = (model.first_token_ms as f64 / scale) as u64;
        model.wait_ms = (model.wait_ms as f64 / scale) as u64;
    }
    spec.histories = true;
    // Time is compressed, so the periodic work of nodes must be as well.
    for (section, key, ms) in SCALED_TIMES {
        let ms = (ms / scale).max(1.0) as u64;
        spec = spec.set(section, key, &ms.to_string());
    }
    spec
}

/// Kills every backend server of a data centre, like a reclaim without notice.
fn kill_data_centre(cluster: &mut Cluster, data_centre: &str) {
    let servers = cluster.engines.iter_mut().chain(&mut cluster.services);
    for server in servers.filter(|server| server.data_centre == data_centre) {
        server.process.kill();
    }
}

fn service_runs(cluster: &Cluster) -> Result<ServiceRuns, String> {
    let mut runs = ServiceRuns::default();
    for service in &cluster.services {
        runs.add_history(&history(cluster, &service.id)?);
    }
    Ok(runs)
}

fn history(cluster: &Cluster, id: &str) -> Result<String, String> {
    let path = cluster.folder.join(format!("{id}.history"));
    std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))
}

/// Routing decisions for servers that had been killed.
struct StaleRoutes {
    count: f64,
    /// Time of the last one after the loss, in seconds.
    last: f64,
}

/// Counts the nodes' routes to servers of a lost data centre, from their logs.
fn stale_routes(cluster: &Cluster, plan: &Plan, lost_at: u64) -> Result<StaleRoutes, String> {
    let lost = plan.reclaim.as_ref().map(|loss| loss.data_centre.as_str());
    let servers = cluster.engines.iter().chain(&cluster.services);
    let dead: Vec<String> = servers
        .filter(|server| Some(server.data_centre.as_str()) == lost)
        .map(|server| format!(" server={} ", server.id))
        .collect();
    let mut stale = StaleRoutes {
        count: 0.0,
        last: 0.0,
    };
    for node in &cluster.nodes {
        let path = cluster.folder.join(format!("{}.log", node.name));
        let log = std::fs::read_to_string(&path).map_err(|error| error.to_string())?;
        for line in log.lines().filter(|line| line.contains(" route pool=")) {
            let at = line.split(' ').next().and_then(|at| at.parse::<u64>().ok());
            let after = at.unwrap_or_default().saturating_sub(lost_at);
            if after > 0 && dead.iter().any(|server| line.contains(server.as_str())) {
                stale.count += 1.0;
                stale.last = f64::max(stale.last, after as f64 / 1000.0);
            }
        }
    }
    Ok(stale)
}

/// Counts the role changes that engines completed, from their histories.
fn role_changes(cluster: &Cluster) -> Result<f64, String> {
    let mut changes = 0.0;
    for engine in &cluster.engines {
        let history = history(cluster, &engine.id)?;
        let lines = history.lines();
        let done = lines
            .filter(|line| line.contains("\"what\":\"order_done\"") && line.contains("\"role\""));
        changes += done.count() as f64;
    }
    Ok(changes)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
