//! Routes that list, add and remove exceptions from the fleet's defaults.

use pomeloridge_base::config::{Exception, FLEET_KEY};
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::Request;
use pomeloridge_base::id::Name;
use serde_json::json;

use crate::change::{Change, commit};
use crate::refusal::{Refusal, RouteResult};
use crate::state::OperatorState;
use crate::{check, fleet};

/// Handles `GET /exceptions`.
pub(crate) async fn list(state: &OperatorState) -> RouteResult {
    let (revision, fleet) = fleet::read(state).await?;
    Ok((
        200,
        json!({"revision": revision, "exceptions": fleet.exceptions}),
    ))
}

/// Handles `POST /exceptions` with an exception as the body.
pub(crate) async fn add(state: &OperatorState, by: &Name, request: &Request) -> RouteResult {
    let mut exception: Exception =
        check::parse_exception(&request.body).map_err(|problems| Refusal::problems(&problems))?;
    exception.by = by.clone();
    let (expect, mut fleet) = fleet::read(state).await?;
    let what = format!("added exception {}", exception.id);
    let reason = exception.reason.clone();
    let known = check::check_exceptions(&fleet);
    fleet.exceptions.push(exception);
    // Problems of the stored configuration must not block an urgent exception.
    let mut problems = check::check_exceptions(&fleet);
    problems.retain(|problem| !known.contains(problem));
    if !problems.is_empty() {
        return Err(Refusal::problems(&problems));
    }
    let change = Change {
        key: FLEET_KEY,
        value: json!(fleet),
        expect,
        by,
        what,
        reason,
    };
    Ok((201, commit(state, change).await?))
}

/// Handles `DELETE /exceptions/ID?reason=TEXT`.
pub(crate) async fn remove(
    state: &OperatorState,
    by: &Name,
    id: &str,
    request: &Request,
) -> RouteResult {
    let reason = fleet::reason(request).ok_or_else(|| {
        let fix = "add `?reason=TEXT` that says why the exception is removed";
        Refusal::problem("reason", "the reason is missing or empty", fix)
    })?;
    let (expect, mut fleet) = fleet::read(state).await?;
    let count = fleet.exceptions.len();
    fleet
        .exceptions
        .retain(|exception| exception.id.as_str() != id);
    if fleet.exceptions.len() == count {
        return Err(Refusal::from(ErrorKind::NotFound));
    }
    let change = Change {
        key: FLEET_KEY,
        value: json!(fleet),
        expect,
        by,
        what: format!("removed exception {id}"),
        reason,
    };
    Ok((200, commit(state, change).await?))
}
