//! Faults that only show in the meaning of a configuration.

use std::collections::{BTreeMap, BTreeSet};

use pomeloridge_base::config::{
    Exception, ExceptionKind, FleetConfig, ModelConfig, RouteConfig, RouteKind,
};
use pomeloridge_base::id::Name;

use super::{NAME_BYTES, Problem};

/// Roles that an engine can be kept at.
const ROLES: [&str; 3] = ["prefill", "decode", "mixed"];

/// Faults of a whole fleet configuration.
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
            let fault = format!("routes[{first}] has the same path `{}`", route.path);
            let fix = "remove one of the routes or change its path";
            problems.push(Problem::new(format!("{place}.path"), fault, fix));
        }
    }
    problems.extend(check_exceptions(fleet));
    problems
}

/// Faults of the exceptions, alone and together with the models.
pub(crate) fn check_exceptions(fleet: &FleetConfig) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut ids = BTreeSet::new();
    for (index, exception) in fleet.exceptions.iter().enumerate() {
        let place = format!("exceptions[{index}]");
        problems.extend(check_exception(&place, exception));
        if !ids.insert(&exception.id) {
            let fault = format!("another exception has the id `{}`", exception.id);
            let fix = "choose another id";
            problems.push(Problem::new(format!("{place}.id"), fault, fix));
        }
    }
    problems.extend(check_bounds(fleet));
    problems
}

/// A name that can stand in a path, a table and a log line.
pub(super) fn name(place: &str, name: &Name) -> Option<Problem> {
    let bytes = name.as_bytes();
    let plain = |byte: &u8| byte.is_ascii_alphanumeric() || b"-._".contains(byte);
    let fits = !bytes.is_empty() && bytes.len() <= NAME_BYTES && bytes.iter().all(plain);
    let fix = format!("use 1 to {NAME_BYTES} letters, digits, `-`, `.` and `_`");
    (!fits).then(|| Problem::new(place, format!("`{name}` is not a name"), fix))
}

/// A number that must be over zero.
pub(super) fn positive(place: &str, number: f64) -> Option<Problem> {
    let fits = number.is_finite() && number > 0.0;
    let fault = format!("{number} is not positive");
    (!fits).then(|| Problem::new(place, fault, "write a number over 0"))
}

fn not_zero(place: String, number: u64) -> Option<Problem> {
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
        let fault = format!(
            "the floor {} is over the ceiling {}",
            model.floor, model.ceiling
        );
        let fix = "lower the floor or raise the ceiling";
        problems.push(Problem::new(format!("{place}.floor"), fault, fix));
    }
    problems.extend(not_zero(
        format!("{place}.first_token_ms"),
        model.first_token_ms,
    ));
    problems.extend(not_zero(format!("{place}.gap_ms"), model.gap_ms));
    problems.extend(positive(
        &format!("{place}.prefill_rate"),
        model.prefill_rate,
    ));
    problems.extend(positive(&format!("{place}.decode_rate"), model.decode_rate));
    problems
}

fn check_route(place: &str, route: &RouteConfig) -> Vec<Problem> {
    let mut problems = Vec::new();
    problems.extend(check_path(&format!("{place}.path"), &route.path));
    problems.extend(check_pool(&format!("{place}.pool"), route));
    problems.extend(check_methods(place, route));
    problems.extend(positive(&format!("{place}.weight"), route.weight));
    problems.extend(not_zero(
        format!("{place}.body_bytes"),
        route.body_bytes as u64,
    ));
    problems.extend(not_zero(format!("{place}.deadline_ms"), route.deadline_ms));
    problems.extend(not_zero(
        format!("{place}.first_byte_ms"),
        route.first_byte_ms,
    ));
    problems.extend(not_zero(format!("{place}.gap_ms"), route.gap_ms));
    if route.first_byte_ms > route.deadline_ms {
        let fault = format!(
            "{} is over deadline_ms ({})",
            route.first_byte_ms, route.deadline_ms
        );
        let fix = "lower it or raise deadline_ms";
        problems.push(Problem::new(format!("{place}.first_byte_ms"), fault, fix));
    }
    problems
}

fn check_path(place: &str, path: &str) -> Option<Problem> {
    let odd = |byte: u8| !byte.is_ascii_graphic() || byte == b'?' || byte == b'#';
    if !path.starts_with('/') {
        let fix = "write a path prefix that begins with `/`";
        return Some(Problem::new(place, format!("`{path}` is not a path"), fix));
    }
    if path.bytes().any(odd) {
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
            let fault = "a request for a model names its pool itself";
            Some(Problem::new(place, fault, "leave `pool` out"))
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
        let upper = |byte: u8| byte.is_ascii_uppercase();
        if method.is_empty() || !method.bytes().all(upper) {
            let fault = format!("`{method}` is not a method");
            let place = format!("{place}.methods");
            problems.push(Problem::new(place, fault, "write it as `GET`"));
        }
    }
    for method in &route.idempotent {
        if !route.methods.contains(method) {
            let fault = format!("`{method}` is not let through by the route");
            let fix = "add it to `methods` or remove it here";
            problems.push(Problem::new(format!("{place}.idempotent"), fault, fix));
        }
    }
    problems
}

fn check_exception(place: &str, exception: &Exception) -> Vec<Problem> {
    let mut problems = Vec::new();
    problems.extend(name(&format!("{place}.id"), &exception.id));
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
    let fault = format!("`{value}` does not fit the kind");
    let (fits, fix) = match exception.kind {
        ExceptionKind::Pin => (ROLES.contains(&value), "write prefill, decode or mixed"),
        ExceptionKind::Floor | ExceptionKind::Ceiling => {
            (value.parse::<u32>().is_ok(), "write a whole number")
        }
        ExceptionKind::Hold | ExceptionKind::Drain => (value.is_empty(), "leave `value` out"),
    };
    (!fits).then(|| Problem::new(place, fault, fix))
}

/// Floors over ceilings where an exception sets at least one of them.
fn check_bounds(fleet: &FleetConfig) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (index, exception) in fleet.exceptions.iter().enumerate() {
        let model = fleet.models.get(&exception.target);
        let bound = |kind, default: Option<u32>| {
            let same = |other: &&Exception| other.kind == kind && other.target == exception.target;
            let set = fleet.exceptions.iter().find(same);
            set.and_then(|other| other.value.parse().ok()).or(default)
        };
        let floor = bound(ExceptionKind::Floor, model.map(|model| model.floor));
        let ceiling = bound(ExceptionKind::Ceiling, model.map(|model| model.ceiling));
        let sets = matches!(
            exception.kind,
            ExceptionKind::Floor | ExceptionKind::Ceiling
        );
        if let (true, Some(floor), Some(ceiling)) = (sets, floor, ceiling)
            && floor > ceiling
        {
            let fault = format!("the floor {floor} is over the ceiling {ceiling}");
            let fix = "lower the floor or raise the ceiling";
            problems.push(Problem::new(
                format!("exceptions[{index}].value"),
                fault,
                fix,
            ));
        }
    }
    problems
}
