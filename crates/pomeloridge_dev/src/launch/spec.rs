//! What a deployment consists of.

use pomeloridge_base::config::{FleetConfig, ModelConfig, RouteConfig, RouteKind};
use pomeloridge_base::id::Name;

/// One model engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Identifier.
    pub id: String,
    /// Model.
    pub model: String,
    /// Data centre.
    pub data_centre: String,
    /// Whether it may be reclaimed at short notice.
    pub cheap: bool,
    /// Whether it refuses old fencing numbers.
    pub checks_fence: bool,
    /// Further arguments of the stand-in.
    pub args: Vec<String>,
}

/// One plain service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Identifier.
    pub id: String,
    /// Pool.
    pub pool: String,
    /// Path prefix.
    pub prefix: String,
    /// Data centre.
    pub data_centre: String,
    /// Further arguments of the stand-in.
    pub args: Vec<String>,
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Data centre of each node.
    pub nodes: Vec<String>,
    /// Engines.
    pub engines: Vec<EngineSpec>,
    /// Plain services.
    pub services: Vec<ServiceSpec>,
    /// Fleet-wide configuration.
    pub fleet: FleetConfig,
    /// Client accounts and their weights.
    pub accounts: Vec<(String, f64)>,
    /// Further settings of each node: section, key, value.
    pub settings: Vec<(String, String, String)>,
    /// Further arguments of the platform's stand-in.
    pub platform: Vec<String>,
    /// Whether each stand-in also writes its history to a file, which outlives a crash.
    pub histories: bool,
    /// Whether each node reaches the platform through a relay of its own.
    pub relayed: bool,
    /// Whether each backend server is listed under the address of a relay of its own.
    pub relayed_servers: bool,
}

impl Spec {
    /// Sets a setting of every node.
    #[must_use]
    pub fn set(mut self, section: &str, key: &str, value: &str) -> Self {
        let row = (section.to_owned(), key.to_owned(), value.to_owned());
        self.settings.push(row);
        self
    }
}

/// Two data centres, three nodes, three engines and two services.
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

/// The Ühistu's deployment.
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

/// Altiplano's deployment.
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

/// Sizes of a deployment; everything is spread evenly over the data centres.
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
        // A few accounts are large: their weight is four times the others'.
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
