//! What the operators ask for each pool: defaults and exceptions joined.

use std::collections::{BTreeMap, BTreeSet};

use pomeloridge_base::config::{Exception, ExceptionKind, FleetConfig, ModelConfig, RouteKind};
use pomeloridge_base::id::Name;
use pomeloridge_policy::server::Role;

/// Work that one server of a pool can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerRates {
    /// Prompt tokens a second.
    pub prefill: f64,
    /// Output tokens a second.
    pub decode: f64,
}

/// What is asked for one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolPlan {
    /// Model or service.
    pub pool: Name,
    /// Fewest servers.
    pub floor: u32,
    /// Most servers.
    pub ceiling: u32,
    /// Whether an exception keeps the pool as it is.
    pub held: bool,
    /// Work of a mixed engine; `None` for a plain service, which is only kept
    /// at its floor.
    pub rates: Option<ServerRates>,
}

/// What exceptions say of single servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerExceptions {
    /// Servers that are kept at a role.
    pub pinned: BTreeMap<Name, Role>,
    /// Servers that operators drain.
    pub drained: BTreeSet<Name>,
}

/// The plans of every model, and of each plain service for which an exception sets a floor.
///
/// An exception goes before the defaults, and a ceiling before a floor.
pub fn pool_plans(config: &FleetConfig) -> Vec<PoolPlan> {
    let models = config.models.iter();
    let mut plans: Vec<_> = models
        .map(|(pool, model)| model_plan(pool, model))
        .collect();
    for pool in service_pools(config) {
        plans.push(PoolPlan {
            pool: pool.clone(),
            floor: 0,
            ceiling: u32::MAX,
            held: false,
            rates: None,
        });
    }
    for plan in &mut plans {
        let about = |exception: &&Exception| exception.target == plan.pool;
        let exceptions: Vec<_> = config.exceptions.iter().filter(about).collect();
        for exception in exceptions {
            apply(plan, exception);
        }
        plan.floor = plan.floor.min(plan.ceiling);
    }
    plans
}

/// What exceptions say of single servers; a value that names no role is left out.
pub fn server_exceptions(config: &FleetConfig) -> ServerExceptions {
    let mut found = ServerExceptions::default();
    for exception in &config.exceptions {
        match exception.kind {
            ExceptionKind::Pin => {
                if let Some(role) = read_role(&exception.value) {
                    found.pinned.insert(exception.target.clone(), role);
                }
            }
            ExceptionKind::Drain => {
                found.drained.insert(exception.target.clone());
            }
            ExceptionKind::Hold | ExceptionKind::Floor | ExceptionKind::Ceiling => {}
        }
    }
    found
}

fn model_plan(pool: &Name, model: &ModelConfig) -> PoolPlan {
    PoolPlan {
        pool: pool.clone(),
        floor: model.floor,
        ceiling: model.ceiling,
        held: false,
        rates: read_rates(model),
    }
}

/// The rates, if they are such that work can be divided by them.
fn read_rates(model: &ModelConfig) -> Option<ServerRates> {
    let usable = model.prefill_rate > 0.0 && model.decode_rate > 0.0;
    usable.then_some(ServerRates {
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

fn apply(plan: &mut PoolPlan, exception: &Exception) {
    let count = exception.value.parse::<u32>();
    match exception.kind {
        ExceptionKind::Hold => plan.held = true,
        ExceptionKind::Floor => plan.floor = count.unwrap_or(plan.floor),
        ExceptionKind::Ceiling => plan.ceiling = count.unwrap_or(plan.ceiling),
        ExceptionKind::Pin | ExceptionKind::Drain => {}
    }
}

fn read_role(word: &str) -> Option<Role> {
    match word {
        "prefill" => Some(Role::Prefill),
        "decode" => Some(Role::Decode),
        "mixed" => Some(Role::Mixed),
        _ => None,
    }
}
