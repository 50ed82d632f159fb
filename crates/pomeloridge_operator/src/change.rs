//! One change of an object: the conditional put, its line in the history, and
//! the wait until the change is in force.

use std::time::Duration;

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::{Name, Revision};
use serde_json::{Value, json};

use crate::answer::Refusal;
use crate::state::OperatorState;

/// Prefix of the objects that say who changed what.
pub(crate) const HISTORY_PREFIX: &str = "history/";
/// Bytes that the service takes for one object.
const OBJECT_BYTES: usize = 1024 * 1024;
/// Time between two looks on how many nodes a change is in force.
const FORCE_PAUSE: Duration = Duration::from_millis(50);

/// A change that an operator asks for.
pub(crate) struct Change<'a> {
    /// Key of the object.
    pub(crate) key: &'a str,
    /// The object's new value.
    pub(crate) value: Value,
    /// Revision that the change was made from.
    pub(crate) expect: Revision,
    /// Operator.
    pub(crate) by: &'a Name,
    /// What is changed.
    pub(crate) what: String,
    /// Why.
    pub(crate) reason: String,
}

/// Makes a change and says how far it is in force.
///
/// The answer has `revision`, `in_force` and `history`. A history line that
/// could not be written does not fail the change, which has already happened.
pub(crate) async fn commit(state: &OperatorState, change: Change<'_>) -> Result<Value, Refusal> {
    if change.value.to_string().len() > OBJECT_BYTES {
        return Err(Refusal::from(ErrorKind::BodyTooLarge));
    }
    let put = (state.store.put)(change.key.to_owned(), change.value.clone(), change.expect);
    let revision = match put.await {
        Ok(revision) => revision,
        Err(ErrorKind::Conflict) => return Err(conflict(state, change.key).await),
        Err(ErrorKind::ChangeUnknown) => read_back(state, &change).await?,
        Err(kind) => return Err(Refusal::from(kind)),
    };
    log::info!(
        "operator change by={} what={:?} key={} revision={revision} reason={:?}",
        change.by,
        change.what,
        change.key,
        change.reason
    );
    let history = write_history(state, &change, revision).await;
    let (nodes, of) = wait_in_force(state, change.key, revision).await;
    Ok(json!({
        "revision": revision,
        "in_force": {"nodes": nodes, "of": of},
        "history": history,
    }))
}

/// The answer where nothing had to be changed.
pub(crate) async fn unchanged(state: &OperatorState, key: &str, revision: Revision) -> Value {
    let (nodes, of) = wait_in_force(state, key, revision).await;
    json!({
        "revision": revision,
        "in_force": {"nodes": nodes, "of": of},
        "history": "unchanged",
    })
}

/// Finds out whether a change whose answer was lost took effect.
///
/// The object is compared as a whole: a nonce in it would be an unknown field
/// to the nodes that read it as configuration. If it is not what was written,
/// the change may have been overwritten or may still arrive.
async fn read_back(state: &OperatorState, change: &Change<'_>) -> Result<Revision, Refusal> {
    match (state.store.get)(change.key.to_owned()).await {
        Ok(Some((revision, value))) if revision > change.expect && value == change.value => {
            Ok(revision)
        }
        Ok(_) | Err(_) => Err(Refusal::from(ErrorKind::ChangeUnknown)),
    }
}

/// A conflict with the object's present revision, if it can be read.
async fn conflict(state: &OperatorState, key: &str) -> Refusal {
    match (state.store.get)(key.to_owned()).await {
        Ok(found) => Refusal::conflict(found.map(|(revision, _)| revision).unwrap_or_default()),
        Err(_) => Refusal::from(ErrorKind::Conflict),
    }
}

async fn write_history(
    state: &OperatorState,
    change: &Change<'_>,
    revision: Revision,
) -> &'static str {
    let line = json!({
        "by": change.by,
        "what": change.what,
        "reason": change.reason,
        "at": state.clock.unix_ms(),
        "revision": revision,
    });
    let key = format!("{HISTORY_PREFIX}{revision}");
    let outcome = match (state.store.put)(key, line, Revision(0)).await {
        Ok(_) => return "written",
        Err(ErrorKind::ChangeUnknown) => "unknown",
        Err(_) => "not written",
    };
    log::warn!("operator change revision={revision} history={outcome:?}");
    outcome
}

/// Waits a bounded number of looks until every node has the revision in force.
async fn wait_in_force(state: &OperatorState, key: &str, revision: Revision) -> (usize, usize) {
    let looks = state.in_force_wait.as_millis() / FORCE_PAUSE.as_millis();
    for _ in 0..looks {
        let (nodes, of) = (state.in_force)(key, revision);
        if nodes >= of {
            return (nodes, of);
        }
        monoio::time::sleep(FORCE_PAUSE).await;
    }
    (state.in_force)(key, revision)
}
