//! Finds unknown fields and values of a wrong type, with their places.
//!
//! Reading into a type stops at the first fault. Here each field is read by
//! itself into an otherwise complete object, so that every fault is found.

use pomeloridge_base::config::{Exception, ExceptionKind, FleetConfig, ModelConfig, RouteConfig};
use pomeloridge_base::id::Name;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

use super::Problem;

/// Faults of the fields of a fleet configuration.
pub(super) fn fleet(value: &Value) -> Vec<Problem> {
    let mut problems = Vec::new();
    let template = json!(FleetConfig::default());
    let Some(given) = object("", value, &mut problems) else {
        return problems;
    };
    unknown("", given, &template, &mut problems);
    match given.get("models") {
        None => {}
        Some(Value::Object(models)) => {
            let template = json!(ModelConfig::default());
            for (name, model) in models {
                let place = format!("models.{name}");
                problems.extend(parts::<ModelConfig>(&place, model, &template));
            }
        }
        Some(_) => problems.push(wrong("models", "an object of models by name")),
    }
    let template = json!(RouteConfig::default());
    let route = |place: &str, value: &Value| parts::<RouteConfig>(place, value, &template);
    problems.extend(list("routes", given, route));
    problems.extend(list("exceptions", given, exception));
    problems
}

/// Faults of the fields of an exception.
pub(super) fn exception(place: &str, value: &Value) -> Vec<Problem> {
    let template = json!(Exception {
        id: Name::default(),
        kind: ExceptionKind::Hold,
        target: Name::default(),
        value: String::new(),
        reason: String::new(),
        by: Name::default(),
    });
    let mut problems = parts::<Exception>(place, value, &template);
    for field in ["id", "kind", "target", "reason"] {
        if value.is_object() && value.get(field).is_none() {
            let place = format!("{place}.{field}");
            let fix = format!("add `{field}`");
            problems.push(Problem::new(place, "the field is missing", fix));
        }
    }
    problems
}

/// Faults of the elements of a list.
fn list(
    field: &str,
    given: &Map<String, Value>,
    check: impl Fn(&str, &Value) -> Vec<Problem>,
) -> Vec<Problem> {
    match given.get(field) {
        None => Vec::new(),
        Some(Value::Array(items)) => {
            let places = items.iter().enumerate();
            places
                .flat_map(|(index, item)| check(&format!("{field}[{index}]"), item))
                .collect()
        }
        Some(_) => vec![wrong(field, "a list")],
    }
}

/// Faults of an object's fields, each read by itself in place of the template's.
fn parts<T: DeserializeOwned>(place: &str, value: &Value, template: &Value) -> Vec<Problem> {
    let mut problems = Vec::new();
    let Some(given) = object(place, value, &mut problems) else {
        return problems;
    };
    unknown(place, given, template, &mut problems);
    for (field, part) in given {
        if template.get(field).is_none() {
            continue;
        }
        let mut probe = template.clone();
        probe[field] = part.clone();
        if let Err(error) = serde_json::from_value::<T>(probe) {
            let example = format!("write for example `\"{field}\": {}`", template[field]);
            let place = format!("{place}.{field}");
            problems.push(Problem::new(place, error.to_string(), example));
        }
    }
    problems
}

fn unknown(place: &str, given: &Map<String, Value>, template: &Value, problems: &mut Vec<Problem>) {
    let known: Vec<&str> = template
        .as_object()
        .into_iter()
        .flat_map(|fields| fields.keys().map(String::as_str))
        .collect();
    for field in given.keys() {
        if !known.contains(&field.as_str()) {
            let dot = if place.is_empty() { "" } else { "." };
            let place = format!("{place}{dot}{field}");
            let fix = format!("remove it or use one of: {}", known.join(", "));
            problems.push(Problem::new(place, "unknown field", fix));
        }
    }
}

fn object<'a>(
    place: &str,
    value: &'a Value,
    problems: &mut Vec<Problem>,
) -> Option<&'a Map<String, Value>> {
    if value.as_object().is_none() {
        let place = if place.is_empty() { "body" } else { place };
        problems.push(wrong(place, "a JSON object"));
    }
    value.as_object()
}

fn wrong(place: &str, form: &str) -> Problem {
    let fault = format!("this is not {form}");
    Problem::new(place, fault, format!("write {form}"))
}
