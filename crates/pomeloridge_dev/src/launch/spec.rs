//! Specifications of deployments.

use pomeloridge_base::config::{FleetConfig, ModelConfig, RouteConfig, RouteKind};
use pomeloridge_base::id::Name;

/// Specification of a model engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Identifier.
    pub id: String,
    /// Model that the engine serves.
    pub model: String,
    /// Data centre.
    pub data_centre: String,
    /// Whether the engine is preemptible.
    pub cheap: bool,
    /// Whether the engine refuses orders with a stale fence.
    pub checks_fence: bool,
    /// Additional arguments of the stand-in.
    pub args: Vec<String>,
}

/// Specification of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Identifier.
    pub id: String,
    /// Pool that the service belongs to.
    pub pool: String,
    /// Path prefix of its requests.
    pub prefix: String,
    /// Data centre.
    pub data_centre: String,
    /// Additional arguments of the stand-in.
    pub args: Vec<String>,
}

/// Specification of a deployment.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Data centre of each node.
    pub nodes: Vec<String>,
    /// Engines.
    pub engines: Vec<EngineSpec>,
    /// Plain services.
    pub services: Vec<ServiceSpec>,
    /// Initial fleet configuration.
    pub fleet: FleetConfig,
    /// Client accounts and their weights.
    pub accounts: Vec<(String, f64)>,
    /// Additional settings of each node: section, key, value.
    pub settings: Vec<(String, String, String)>,
    /// Additional arguments of the platform stand-in.
    pub platform: Vec<String>,
    /// Whether each stand-in also writes its history to a file, which survives a crash.
    pub histories: bool,
    /// Whether each node connects to the platform through its own relay.
    pub relayed: bool,
    /// Whether the platform lists each backend server under the address of its own relay.
    pub relayed_servers: bool,
}

impl Spec {
    /// Adds a setting of every node.
    #[must_use]
    pub fn set(mut self, section: &str, key: &str, value: &str) -> Self {
        let row = (section.to_owned(), key.to_owned(), value.to_owned());
        self.settings.push(row);
        self
    }
}

/// Returns a small deployment: two data centres, three nodes, three engines, two services.
pub fn demo() -> Spec {
    let centres = ["dc-a", "dc-b"];
    deployment(&Shape {
        data_centres: &centres,
        nodes: 3,
        model: "assistant",
        engines: 3,
        service: "filings",
        services: 2,
        accounts: 3,
    })
}

/// Returns the deployment of the organisation Ühistu.
pub fn annex_b() -> Spec {
    deployment(&Shape {
        data_centres: &["tln-a", "tln-b", "tartu-a", "narva-a"],
        nodes: 7,
        model: "assistant",
        engines: 12,
        service: "filings",
        services: 4,
        accounts: 8,
    })
}

/// Returns the deployment of the organisation Altiplano.
pub fn altiplano() -> Spec {
    deployment(&Shape {
        data_centres: &["gt-central-a", "gt-central-b", "gt-central-c"],
        nodes: 7,
        model: "recall",
        engines: 9,
        service: "visits",
        services: 3,
        accounts: 8,
    })
}

/// Sizes of a deployment, spread evenly over the data centres.
struct Shape<'a> {
    data_centres: &'a [&'a str],
    nodes: usize,
    model: &'a str,
    engines: usize,
    service: &'a str,
    services: usize,
    accounts: usize,
}

fn deployment(shape: &Shape<'_>) -> Spec {
    let centre = |index: usize| shape.data_centres[index % shape.data_centres.len()].to_owned();
    let engine = |index: usize| EngineSpec {
        id: format!("engine-{}", index + 1),
        model: shape.model.to_owned(),
        data_centre: centre(index),
        cheap: index % 2 == 1,
        checks_fence: index % 3 != 2,
        args: Vec::new(),
    };
    let service = |index: usize| ServiceSpec {
        id: format!("{}-{}", shape.service, index + 1),
        pool: shape.service.to_owned(),
        prefix: format!("/{}", shape.service),
        data_centre: centre(index),
        args: Vec::new(),
    };
    Spec {
        nodes: (0..shape.nodes).map(centre).collect(),
        engines: (0..shape.engines).map(engine).collect(),
        services: (0..shape.services).map(service).collect(),
        fleet: fleet(shape),
        // The first two accounts are large, with four times the weight of the others.
        accounts: (0..shape.accounts)
            .map(|index| {
                (
                    format!("account-{}", index + 1),
                    if index < 2 { 4.0 } else { 1.0 },
                )
            })
            .collect(),
        settings: Vec::new(),
        platform: Vec::new(),
        histories: false,
        relayed: false,
        relayed_servers: false,
    }
}

fn fleet(shape: &Shape<'_>) -> FleetConfig {
    let model = |path: &str, kind| RouteConfig {
        path: path.to_owned(),
        kind,
        ..RouteConfig::default()
    };
    let service = |path: String, open| RouteConfig {
        path,
        kind: RouteKind::Service,
        pool: Name::from(shape.service),
        methods: vec!["GET".to_owned(), "POST".to_owned()],
        idempotent: vec!["GET".to_owned()],
        open,
        weight: 4.0,
        deadline_ms: 10_000,
        ..RouteConfig::default()
    };
    let models = [(Name::from(shape.model), ModelConfig::default())];
    FleetConfig {
        models: models.into(),
        routes: vec![
            model("/v1/completions", RouteKind::Completions),
            model("/v1/chat/completions", RouteKind::Chat),
            service(format!("/{}", shape.service), false),
            service(format!("/{}/public", shape.service), true),
        ],
        exceptions: Vec::new(),
    }
}
