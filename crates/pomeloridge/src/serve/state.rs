//! State shared by the node's tasks.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use pomeloridge_base::clock::{SharedClock, SystemClock};
use pomeloridge_base::config::{ConfigObject, ConfigView, ExceptionKind};
use pomeloridge_base::id::{Incarnation, Name};
use pomeloridge_base::settings::Settings;
use pomeloridge_caller::{DecisionLog, Policy, RunningRequests, Waiters};
use pomeloridge_node::mesh::Mesh;
use pomeloridge_node::usage_sender::{UsageOptions, UsageSender};
use pomeloridge_platform::{Authority, Client};
use pomeloridge_policy::admission::Admission;
use pomeloridge_policy::demand::DemandMeter;
use pomeloridge_policy::estimate::OutputEstimates;
use pomeloridge_policy::load::ExpectedRates;
use pomeloridge_policy::prefix::PrefixHints;
use pomeloridge_policy::retry::RetryBudget;
use pomeloridge_policy::routing::{Router, RoutingPolicy};
use pomeloridge_policy::server_table::{ServerTable, ServerTableSettings};
use pomeloridge_policy::suspicion::Suspicions;
use pomeloridge_policy::ticket::AdmissionSettings;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::freshness::Freshness;
use super::lifecycle::Lifecycle;
use super::node_links::{self, PeerReports};
use crate::metrics::Metrics;

/// Maximum number of prompt blocks in the prefix hints.
const MAX_HINT_BLOCKS: usize = 64 * 1024;

/// State of a node.
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) clock: SharedClock,
    pub(crate) incarnation: Incarnation,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) config: Rc<RefCell<ConfigView>>,
    pub(crate) policy: Rc<Policy>,
    pub(crate) platform: Client,
    pub(crate) freshness: Freshness,
    pub(crate) peers: Rc<RefCell<PeerReports>>,
    pub(crate) mesh: Mesh,
    pub(crate) usage: UsageSender,
    pub(crate) metrics: Metrics,
    /// Whether the list of backend servers has been read.
    pub(crate) servers_listed: Cell<bool>,
    /// Authorities of the duties by name; empty until their tasks have started.
    pub(crate) authorities: RefCell<Vec<(Name, Authority)>>,
    /// Number of duty tasks, which must end before the process does.
    pub(crate) running_duties: Rc<Cell<usize>>,
}

impl State {
    /// Creates the state of a node whose port for other nodes is at `address`.
    pub(crate) fn new(settings: Settings, address: SocketAddr) -> Result<Rc<Self>, String> {
        let clock: SharedClock = Rc::new(SystemClock);
        let incarnation = Incarnation(clock.unix_ms());
        let config = Rc::new(RefCell::new(ConfigView::default()));
        let policy = Rc::new(new_policy(&settings, &clock));
        let freshness = Freshness::new(&clock);
        let peers = Rc::new(RefCell::new(PeerReports::default()));
        let context = node_links::HookContext {
            clock: Rc::clone(&clock),
            config: Rc::clone(&config),
            policy: Rc::clone(&policy),
            freshness: freshness.clone(),
            peers: Rc::clone(&peers),
        };
        let mesh = node_links::build(&settings, address, incarnation, context);
        let timeout = settings.time("platform", "timeout_ms");
        Ok(Rc::new(Self {
            platform: Client::new(settings.platform, timeout, Rc::clone(&clock)),
            usage: UsageSender::new(mesh.clone(), UsageOptions::default()),
            metrics: Metrics::new()?,
            lifecycle: Lifecycle::new(),
            servers_listed: Cell::new(false),
            authorities: RefCell::default(),
            running_duties: Rc::default(),
            settings,
            clock,
            incarnation,
            config,
            policy,
            freshness,
            peers,
            mesh,
        }))
    }
}

fn new_policy(settings: &Settings, clock: &SharedClock) -> Policy {
    let table = ServerTableSettings {
        first_probe_delay: settings.time("backend", "probe_ms"),
        eject_on_failure: settings.text("routing", "care") == "on",
        ..ServerTableSettings::new(settings.data_centre.clone())
    };
    let admission = AdmissionSettings {
        queue: settings.number("admission", "queue") as usize,
        account_queue: settings.number("admission", "account_queue") as usize,
        ..AdmissionSettings::default()
    };
    let percent = settings.number("admission", "retry_percent") as u32;
    Policy {
        servers: RefCell::new(ServerTable::new(table)),
        hints: RefCell::new(PrefixHints::new(MAX_HINT_BLOCKS)),
        router: RefCell::new(Router::new(routing_policy(settings))),
        admission: RefCell::new(Admission::new(admission)),
        nodes: Cell::new(1),
        waiters: Waiters::default(),
        running: RunningRequests::default(),
        demand: RefCell::new(DemandMeter::default()),
        estimates: RefCell::new(OutputEstimates::default()),
        budget: RefCell::new(RetryBudget::new(percent, clock.now())),
        suspicions: RefCell::new(Suspicions::default()),
        rng: RefCell::new(StdRng::from_rng(&mut rand::rng())),
        decisions: RefCell::new(DecisionLog::new(Rc::clone(clock))),
    }
}

fn routing_policy(settings: &Settings) -> RoutingPolicy {
    match settings.text("routing", "policy") {
        "round_robin" => RoutingPolicy::RoundRobin,
        "least_reported" => RoutingPolicy::LeastReported,
        _ => RoutingPolicy::Estimated,
    }
}

/// Adopts a configuration object and applies its changes. Returns whether it was adopted.
pub(crate) fn adopt(config: &RefCell<ConfigView>, policy: &Policy, object: ConfigObject) -> bool {
    let (key, revision) = (object.key.clone(), object.revision);
    if !config.borrow_mut().adopt(object) {
        return false;
    }
    log::info!(target: "decision", "config key={key} revision={revision} in force");
    let config = config.borrow();
    let mut servers = policy.servers.borrow_mut();
    for (name, model) in &config.fleet().models {
        let expected = ExpectedRates {
            prefill: model.prefill_rate,
            decode: model.decode_rate,
            first_token_seconds: model.first_token_ms as f64 / 1000.0,
            ..ExpectedRates::default()
        };
        servers.expect_rates(name.clone(), expected);
    }
    let exceptions = config.fleet().exceptions.iter();
    let drained = exceptions.filter(|exception| exception.kind == ExceptionKind::Drain);
    servers.drain(drained.map(|exception| exception.target.clone()));
    true
}
