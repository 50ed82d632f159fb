//! Configured limits of each pool: the model's defaults, overridden by exceptions.

use std::collections::{BTreeMap, BTreeSet};

use pomeloridge_base::config::{Exception, ExceptionKind, FleetConfig, ModelConfig, RouteKind};
use pomeloridge_base::id::Name;
use pomeloridge_policy::server::Role;

/// Throughput of one server of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerRates {
    /// Prompt tokens per second.
    pub prefill: f64,
    /// Output tokens per second.
    pub decode: f64,
}

/// Configured limits of one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolConfig {
    /// Name of the model or service.
    pub name: Name,
    /// Minimum number of servers.
    pub floor: u32,
    /// Maximum number of servers.
    pub ceiling: u32,
    /// Whether an exception suspends all changes to the pool.
    pub held: bool,
    /// Throughput of an engine in the mixed role; `None` for a service, which is only kept
    /// at its floor.
    pub rates: Option<ServerRates>,
}

/// Exceptions that apply to single servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerExceptions {
    /// Servers that are pinned to a role.
    pub pinned: BTreeMap<Name, Role>,
    /// Servers that operators have drained.
    pub drained: BTreeSet<Name>,
}

/// Returns the limits of every model, and of every service with a route.
///
/// Exceptions override the defaults. A ceiling takes precedence over a higher floor.
pub fn pool_configs(config: &FleetConfig) -> Vec<PoolConfig> {
    let models = config.models.iter();
    let mut pools: Vec<_> = models
        .map(|(name, model)| model_pool(name, model))
        .collect();
    for name in service_pools(config) {
        pools.push(PoolConfig {
            name: name.clone(),
            floor: 0,
            ceiling: u32::MAX,
            held: false,
            rates: None,
        });
    }
    for pool in &mut pools {
        let applies = |exception: &&Exception| exception.target == pool.name;
        let exceptions: Vec<_> = config.exceptions.iter().filter(applies).collect();
        for exception in exceptions {
            apply_exception(pool, exception);
        }
        pool.floor = pool.floor.min(pool.ceiling);
    }
    pools
}

/// Returns the exceptions that apply to single servers. Ignores a pin to an unknown role.
pub fn server_exceptions(config: &FleetConfig) -> ServerExceptions {
    let mut exceptions = ServerExceptions::default();
    for exception in &config.exceptions {
        match exception.kind {
            ExceptionKind::Pin => {
                if let Some(role) = parse_role(&exception.value) {
                    exceptions.pinned.insert(exception.target.clone(), role);
                }
            }
            ExceptionKind::Drain => {
                exceptions.drained.insert(exception.target.clone());
            }
            ExceptionKind::Hold | ExceptionKind::Floor | ExceptionKind::Ceiling => {}
        }
    }
    exceptions
}

fn model_pool(name: &Name, model: &ModelConfig) -> PoolConfig {
    PoolConfig {
        name: name.clone(),
        floor: model.floor,
        ceiling: model.ceiling,
        held: false,
        rates: server_rates(model),
    }
}

/// Returns the configured rates if both are positive, because demand is divided by them.
fn server_rates(model: &ModelConfig) -> Option<ServerRates> {
    let positive = model.prefill_rate > 0.0 && model.decode_rate > 0.0;
    positive.then_some(ServerRates {
        prefill: model.prefill_rate,
        decode: model.decode_rate,
    })
}

fn service_pools(config: &FleetConfig) -> BTreeSet<&Name> {
    let routes = config.routes.iter();
    let services = routes.filter(|route| route.kind == RouteKind::Service);
    let pools = services.map(|route| &route.pool);
    pools
        .filter(|pool| !config.models.contains_key(*pool))
        .collect()
}

fn apply_exception(pool: &mut PoolConfig, exception: &Exception) {
    let count = exception.value.parse::<u32>();
    match exception.kind {
        ExceptionKind::Hold => pool.held = true,
        ExceptionKind::Floor => pool.floor = count.unwrap_or(pool.floor),
        ExceptionKind::Ceiling => pool.ceiling = count.unwrap_or(pool.ceiling),
        ExceptionKind::Pin | ExceptionKind::Drain => {}
    }
}

fn parse_role(name: &str) -> Option<Role> {
    match name {
        "prefill" => Some(Role::Prefill),
        "decode" => Some(Role::Decode),
        "mixed" => Some(Role::Mixed),
        _ => None,
    }
}
