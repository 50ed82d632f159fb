//! Checks of the values of a configuration that has valid types.

use std::collections::{BTreeMap, BTreeSet};

use pomeloridge_base::config::{
    Exception, ExceptionKind, FleetConfig, ModelConfig, RouteConfig, RouteKind,
};
use pomeloridge_base::id::Name;

use super::{MAX_NAME_BYTES, Problem};

/// Engine roles that a `pin` can set.
const ROLES: [&str; 3] = ["prefill", "decode", "mixed"];

/// Checks a fleet configuration.
pub(super) fn check_fleet(fleet: &FleetConfig) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (name, model) in &fleet.models {
        problems.extend(check_model(&format!("models.{name}"), name, model));
    }
    let mut paths = BTreeMap::new();
    for (index, route) in fleet.routes.iter().enumerate() {
        let place = format!("routes[{index}]");
        problems.extend(check_route(&place, route));
        if let Some(first) = paths.insert(route.path.as_str(), index) {
            let problem = format!("routes[{first}] has the same path `{}`", route.path);
            let fix = "remove one of the routes or change its path";
            problems.push(Problem::new(format!("{place}.path"), problem, fix));
        }
    }
    problems.extend(check_exceptions(fleet));
    problems
}

/// Checks the exceptions, also against the bounds of the models.
pub(crate) fn check_exceptions(fleet: &FleetConfig) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut ids = BTreeSet::new();
    for (index, exception) in fleet.exceptions.iter().enumerate() {
        let place = format!("exceptions[{index}]");
        problems.extend(check_exception(&place, exception));
        if !ids.insert(&exception.id) {
            let problem = format!("another exception has the id `{}`", exception.id);
            let fix = "choose another id";
            problems.push(Problem::new(format!("{place}.id"), problem, fix));
        }
    }
    problems.extend(check_bounds(fleet));
    problems
}

/// Checks that a name can be used in paths, tables and log lines.
pub(super) fn check_name(place: &str, name: &Name) -> Option<Problem> {
    let bytes = name.as_bytes();
    let allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"-._".contains(byte);
    let valid = !bytes.is_empty() && bytes.len() <= MAX_NAME_BYTES && bytes.iter().all(allowed);
    let fix = format!("use 1 to {MAX_NAME_BYTES} letters, digits, `-`, `.` and `_`");
    (!valid).then(|| Problem::new(place, format!("`{name}` is not a name"), fix))
}

/// Checks that a number is finite and greater than zero.
pub(super) fn check_positive(place: &str, number: f64) -> Option<Problem> {
    let valid = number.is_finite() && number > 0.0;
    let problem = format!("{number} is not positive");
    (!valid).then(|| Problem::new(place, problem, "write a number over 0"))
}

fn check_nonzero(place: String, number: u64) -> Option<Problem> {
    let fix = "write a whole number of at least 1";
    (number == 0).then(|| Problem::new(place, "0 is too small", fix))
}

fn check_model(place: &str, id: &Name, model: &ModelConfig) -> Vec<Problem> {
    let mut problems = Vec::new();
    if id.is_empty() {
        let fix = "give the model a name";
        problems.push(Problem::new(place, "the name is empty", fix));
    }
    if model.floor > model.ceiling {
        let problem = format!(
            "the floor {} is over the ceiling {}",
            model.floor, model.ceiling
        );
        let fix = "lower the floor or raise the ceiling";
        problems.push(Problem::new(format!("{place}.floor"), problem, fix));
    }
    problems.extend(check_nonzero(
        format!("{place}.first_token_ms"),
        model.first_token_ms,
    ));
    problems.extend(check_nonzero(format!("{place}.gap_ms"), model.gap_ms));
    problems.extend(check_positive(
        &format!("{place}.prefill_rate"),
        model.prefill_rate,
    ));
    problems.extend(check_positive(
        &format!("{place}.decode_rate"),
        model.decode_rate,
    ));
    problems
}

fn check_route(place: &str, route: &RouteConfig) -> Vec<Problem> {
    let mut problems = Vec::new();
    problems.extend(check_path(&format!("{place}.path"), &route.path));
    problems.extend(check_pool(&format!("{place}.pool"), route));
    problems.extend(check_methods(place, route));
    problems.extend(check_positive(&format!("{place}.weight"), route.weight));
    problems.extend(check_nonzero(
        format!("{place}.body_bytes"),
        route.body_bytes as u64,
    ));
    problems.extend(check_nonzero(
        format!("{place}.deadline_ms"),
        route.deadline_ms,
    ));
    problems.extend(check_nonzero(
        format!("{place}.first_byte_ms"),
        route.first_byte_ms,
    ));
    problems.extend(check_nonzero(format!("{place}.gap_ms"), route.gap_ms));
    if route.first_byte_ms > route.deadline_ms {
        let problem = format!(
            "{} is over deadline_ms ({})",
            route.first_byte_ms, route.deadline_ms
        );
        let fix = "lower it or raise deadline_ms";
        problems.push(Problem::new(format!("{place}.first_byte_ms"), problem, fix));
    }
    problems
}

fn check_path(place: &str, path: &str) -> Option<Problem> {
    let forbidden = |byte: u8| !byte.is_ascii_graphic() || byte == b'?' || byte == b'#';
    if !path.starts_with('/') {
        let fix = "write a path prefix that begins with `/`";
        return Some(Problem::new(place, format!("`{path}` is not a path"), fix));
    }
    if path.bytes().any(forbidden) {
        let fix = "write a path without query, fragment or spaces";
        return Some(Problem::new(place, format!("`{path}` is not a path"), fix));
    }
    if path.len() > 1 && path.ends_with('/') {
        let fix = format!("write `{}`", path.trim_end_matches('/'));
        return Some(Problem::new(place, "the path ends with `/`", fix));
    }
    None
}

fn check_pool(place: &str, route: &RouteConfig) -> Option<Problem> {
    match (route.kind, route.pool.is_empty()) {
        (RouteKind::Service, true) => {
            let fix = "name the pool of backend servers";
            Some(Problem::new(place, "the service has no pool", fix))
        }
        (RouteKind::Completions | RouteKind::Chat, false) => {
            let problem = "a request for a model names its pool itself";
            Some(Problem::new(place, problem, "leave `pool` out"))
        }
        (RouteKind::Service, false) | (RouteKind::Completions | RouteKind::Chat, true) => None,
    }
}

fn check_methods(place: &str, route: &RouteConfig) -> Vec<Problem> {
    let mut problems = Vec::new();
    if route.methods.is_empty() {
        let fix = "name at least one method, such as `POST`";
        let place = format!("{place}.methods");
        problems.push(Problem::new(place, "no method is let through", fix));
    }
    for method in &route.methods {
        let is_upper = |byte: u8| byte.is_ascii_uppercase();
        if method.is_empty() || !method.bytes().all(is_upper) {
            let problem = format!("`{method}` is not a method");
            let place = format!("{place}.methods");
            problems.push(Problem::new(place, problem, "write it as `GET`"));
        }
    }
    for method in &route.idempotent {
        if !route.methods.contains(method) {
            let problem = format!("`{method}` is not let through by the route");
            let fix = "add it to `methods` or remove it here";
            problems.push(Problem::new(format!("{place}.idempotent"), problem, fix));
        }
    }
    problems
}

fn check_exception(place: &str, exception: &Exception) -> Vec<Problem> {
    let mut problems = Vec::new();
    problems.extend(check_name(&format!("{place}.id"), &exception.id));
    if exception.target.is_empty() {
        let place = format!("{place}.target");
        let fix = "name a pool or a backend server";
        problems.push(Problem::new(place, "the target is empty", fix));
    }
    if exception.reason.trim().is_empty() {
        let place = format!("{place}.reason");
        let fix = "say why the exception is needed";
        problems.push(Problem::new(place, "the reason is empty", fix));
    }
    problems.extend(check_value(&format!("{place}.value"), exception));
    problems
}

fn check_value(place: &str, exception: &Exception) -> Option<Problem> {
    let value = exception.value.as_str();
    let problem = format!("`{value}` does not fit the kind");
    let (valid, fix) = match exception.kind {
        ExceptionKind::Pin => (ROLES.contains(&value), "write prefill, decode or mixed"),
        ExceptionKind::Floor | ExceptionKind::Ceiling => {
            (value.parse::<u32>().is_ok(), "write a whole number")
        }
        ExceptionKind::Hold | ExceptionKind::Drain => (value.is_empty(), "leave `value` out"),
    };
    (!valid).then(|| Problem::new(place, problem, fix))
}

/// Finds floors above ceilings where an exception sets at least one of them.
fn check_bounds(fleet: &FleetConfig) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (index, exception) in fleet.exceptions.iter().enumerate() {
        let model = fleet.models.get(&exception.target);
        let bound = |kind, default: Option<u32>| {
            let matches =
                |other: &&Exception| other.kind == kind && other.target == exception.target;
            let found = fleet.exceptions.iter().find(matches);
            found.and_then(|other| other.value.parse().ok()).or(default)
        };
        let floor = bound(ExceptionKind::Floor, model.map(|model| model.floor));
        let ceiling = bound(ExceptionKind::Ceiling, model.map(|model| model.ceiling));
        let sets_bound = matches!(
            exception.kind,
            ExceptionKind::Floor | ExceptionKind::Ceiling
        );
        if let (true, Some(floor), Some(ceiling)) = (sets_bound, floor, ceiling)
            && floor > ceiling
        {
            let problem = format!("the floor {floor} is over the ceiling {ceiling}");
            let fix = "lower the floor or raise the ceiling";
            problems.push(Problem::new(
                format!("exceptions[{index}].value"),
                problem,
                fix,
            ));
        }
    }
    problems
}
