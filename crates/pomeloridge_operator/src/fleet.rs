//! Routes that read and replace the fleet's configuration.

use pomeloridge_base::config::{FLEET_KEY, FleetConfig};
use pomeloridge_base::http::Request;
use pomeloridge_base::id::{Name, Revision};
use serde_json::{Value, json};

use crate::change::{Change, HISTORY_PREFIX, commit};
use crate::check;
use crate::percent;
use crate::refusal::{Refusal, RouteResult};
use crate::state::OperatorState;

/// Reads the fleet's configuration; if there is none, returns the default at revision 0.
pub(crate) async fn read(state: &OperatorState) -> Result<(Revision, FleetConfig), Refusal> {
    let Some((revision, value)) = (state.store.get)(FLEET_KEY.to_owned()).await? else {
        return Ok((Revision(0), FleetConfig::default()));
    };
    // Rewriting an object that this version can't parse would lose its contents.
    let fleet = serde_json::from_value(value).map_err(|error| {
        let fix = "put a whole configuration that this version can read";
        Refusal::problem(FLEET_KEY, &error.to_string(), fix)
    })?;
    Ok((revision, fleet))
}

/// Handles `GET /config`.
pub(crate) async fn get(state: &OperatorState) -> RouteResult {
    let found = (state.store.get)(FLEET_KEY.to_owned()).await?;
    let (revision, fleet) = found.unwrap_or_else(|| (Revision(0), json!(FleetConfig::default())));
    let (nodes, of) = (state.in_force)(FLEET_KEY, revision);
    let in_force = json!({"nodes": nodes, "of": of});
    Ok((
        200,
        json!({"revision": revision, "in_force": in_force, "fleet": fleet}),
    ))
}

/// Handles `PUT /config?expect=REV&reason=TEXT`.
pub(crate) async fn put(state: &OperatorState, by: &Name, request: &Request) -> RouteResult {
    let expect = expected_revision(request)?;
    let mut fleet =
        check::parse_fleet(&request.body).map_err(|problems| Refusal::problems(&problems))?;
    let found = (state.store.get)(FLEET_KEY.to_owned()).await?;
    let current = found.as_ref().map(|(revision, _)| *revision);
    if current.unwrap_or_default() != expect {
        return Err(Refusal::conflict(current.unwrap_or_default()));
    }
    let old = found.and_then(|(_, value)| serde_json::from_value::<FleetConfig>(value).ok());
    set_authors(&mut fleet, &old.unwrap_or_default(), by);
    let change = Change {
        key: FLEET_KEY,
        value: json!(fleet),
        expect,
        by,
        what: format!(
            "replaced the configuration: {} models, {} routes, {} exceptions",
            fleet.models.len(),
            fleet.routes.len(),
            fleet.exceptions.len()
        ),
        reason: reason(request).unwrap_or_default(),
    };
    Ok((200, commit(state, change).await?))
}

/// Handles `GET /config/history`; lists the newest change first.
pub(crate) async fn history(state: &OperatorState) -> RouteResult {
    let found = (state.store.list)(HISTORY_PREFIX.to_owned()).await?;
    let mut changes: Vec<Value> = found.into_iter().map(|object| object.value).collect();
    changes.sort_by_key(|change| std::cmp::Reverse(change["revision"].as_u64()));
    Ok((200, json!({ "changes": changes })))
}

/// Returns the reason in the query, unless it is blank or malformed.
pub(crate) fn reason(request: &Request) -> Option<String> {
    let reason = percent::decode(request.query("reason")?)?;
    (!reason.trim().is_empty()).then_some(reason)
}

fn expected_revision(request: &Request) -> Result<Revision, Refusal> {
    let fix = "add `?expect=REVISION` with the revision that the change was made from";
    let invalid = |problem| Refusal::problem("expect", problem, fix);
    let text = request
        .query("expect")
        .ok_or_else(|| invalid("the revision is missing"))?;
    let number = text
        .parse()
        .map_err(|_| invalid("this is not a revision"))?;
    Ok(Revision(number))
}

/// Sets the operator as the author of exceptions that are new or changed.
fn set_authors(fleet: &mut FleetConfig, old: &FleetConfig, by: &Name) {
    for exception in &mut fleet.exceptions {
        if !old.exceptions.contains(exception) {
            exception.by = by.clone();
        }
    }
}
