//! Detection of unknown fields and values of a wrong type.
//!
//! Deserialization stops at the first error. To find all of them, each field is deserialized
//! separately, in an object that is otherwise valid.

use pomeloridge_base::config::{Exception, ExceptionKind, FleetConfig, ModelConfig, RouteConfig};
use pomeloridge_base::id::Name;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

use super::Problem;

/// Checks the fields of a fleet configuration.
pub(super) fn check_fleet(value: &Value) -> Vec<Problem> {
    let mut problems = Vec::new();
    let template = json!(FleetConfig::default());
    let Some(given) = check_object("", value, &mut problems) else {
        return problems;
    };
    check_unknown("", given, &template, &mut problems);
    match given.get("models") {
        None => {}
        Some(Value::Object(models)) => {
            let template = json!(ModelConfig::default());
            for (name, model) in models {
                let place = format!("models.{name}");
                problems.extend(check_fields::<ModelConfig>(&place, model, &template));
            }
        }
        Some(_) => problems.push(wrong_type("models", "an object of models by name")),
    }
    let template = json!(RouteConfig::default());
    let route = |place: &str, value: &Value| check_fields::<RouteConfig>(place, value, &template);
    problems.extend(check_list("routes", given, route));
    problems.extend(check_list("exceptions", given, check_exception));
    problems
}

/// Checks the fields of an exception.
pub(super) fn check_exception(place: &str, value: &Value) -> Vec<Problem> {
    let template = json!(Exception {
        id: Name::default(),
        kind: ExceptionKind::Hold,
        target: Name::default(),
        value: String::new(),
        reason: String::new(),
        by: Name::default(),
    });
    let mut problems = check_fields::<Exception>(place, value, &template);
    for field in ["id", "kind", "target", "reason"] {
        if value.is_object() && value.get(field).is_none() {
            let place = format!("{place}.{field}");
            let fix = format!("add `{field}`");
            problems.push(Problem::new(place, "the field is missing", fix));
        }
    }
    problems
}

/// Checks the items of a list.
fn check_list(
    field: &str,
    given: &Map<String, Value>,
    check: impl Fn(&str, &Value) -> Vec<Problem>,
) -> Vec<Problem> {
    match given.get(field) {
        None => Vec::new(),
        Some(Value::Array(items)) => {
            let indexed = items.iter().enumerate();
            indexed
                .flat_map(|(index, item)| check(&format!("{field}[{index}]"), item))
                .collect()
        }
        Some(_) => vec![wrong_type(field, "a list")],
    }
}

/// Checks the fields of an object, each inserted separately into the valid template.
fn check_fields<T: DeserializeOwned>(place: &str, value: &Value, template: &Value) -> Vec<Problem> {
    let mut problems = Vec::new();
    let Some(given) = check_object(place, value, &mut problems) else {
        return problems;
    };
    check_unknown(place, given, template, &mut problems);
    for (field, field_value) in given {
        if template.get(field).is_none() {
            continue;
        }
        let mut object = template.clone();
        object[field] = field_value.clone();
        if let Err(error) = serde_json::from_value::<T>(object) {
            let example = format!("write for example `\"{field}\": {}`", template[field]);
            let place = format!("{place}.{field}");
            problems.push(Problem::new(place, error.to_string(), example));
        }
    }
    problems
}

fn check_unknown(
    place: &str,
    given: &Map<String, Value>,
    template: &Value,
    problems: &mut Vec<Problem>,
) {
    let known: Vec<&str> = template
        .as_object()
        .into_iter()
        .flat_map(|fields| fields.keys().map(String::as_str))
        .collect();
    for field in given.keys() {
        if !known.contains(&field.as_str()) {
            let separator = if place.is_empty() { "" } else { "." };
            let place = format!("{place}{separator}{field}");
            let fix = format!("remove it or use one of: {}", known.join(", "));
            problems.push(Problem::new(place, "unknown field", fix));
        }
    }
}

fn check_object<'a>(
    place: &str,
    value: &'a Value,
    problems: &mut Vec<Problem>,
) -> Option<&'a Map<String, Value>> {
    if value.as_object().is_none() {
        let place = if place.is_empty() { "body" } else { place };
        problems.push(wrong_type(place, "a JSON object"));
    }
    value.as_object()
}

fn wrong_type(place: &str, expected: &str) -> Problem {
    let problem = format!("this is not {expected}");
    Problem::new(place, problem, format!("write {expected}"))
}
