//! Changes of stored objects: the conditional put, the history entry, and the wait until the
//! change is in force.

use std::time::Duration;

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::{Name, Revision};
use serde_json::{Value, json};

use crate::refusal::Refusal;
use crate::state::OperatorState;

/// Prefix of the objects that record changes, one for each revision.
pub(crate) const HISTORY_PREFIX: &str = "history/";
/// Size limit of the object service for one object.
const MAX_OBJECT_BYTES: usize = 1024 * 1024;
/// Interval of counting the nodes on which a change is in force.
const IN_FORCE_POLL: Duration = Duration::from_millis(50);

/// A change requested by an operator.
pub(crate) struct Change<'a> {
    /// Object key.
    pub(crate) key: &'a str,
    /// New value.
    pub(crate) value: Value,
    /// Revision that the change is based on.
    pub(crate) expect: Revision,
    /// Name of the operator.
    pub(crate) by: &'a Name,
    /// Description of the change, for the history.
    pub(crate) what: String,
    /// Reason given by the operator; may be empty.
    pub(crate) reason: String,
}

/// Writes a change and waits until it is in force.
///
/// The response has `revision`, `in_force` and `history`. The change has already been made when
/// its history entry is written, so a failure of that write does not fail the request.
pub(crate) async fn commit(state: &OperatorState, change: Change<'_>) -> Result<Value, Refusal> {
    if change.value.to_string().len() > MAX_OBJECT_BYTES {
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

/// Returns the response to a request that changes nothing.
pub(crate) async fn unchanged(state: &OperatorState, key: &str, revision: Revision) -> Value {
    let (nodes, of) = wait_in_force(state, key, revision).await;
    json!({
        "revision": revision,
        "in_force": {"nodes": nodes, "of": of},
        "history": "unchanged",
    })
}

/// Reads an object back to determine whether an unconfirmed write took effect.
///
/// Compares the whole value: a nonce in it would be an unknown field to the nodes that read it
/// as configuration. If the value differs, the write may have been overwritten or may still
/// arrive.
async fn read_back(state: &OperatorState, change: &Change<'_>) -> Result<Revision, Refusal> {
    match (state.store.get)(change.key.to_owned()).await {
        Ok(Some((revision, value))) if revision > change.expect && value == change.value => {
            Ok(revision)
        }
        Ok(_) | Err(_) => Err(Refusal::from(ErrorKind::ChangeUnknown)),
    }
}

/// Returns a conflict, with the object's current revision if it can be read.
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
    let entry = json!({
        "by": change.by,
        "what": change.what,
        "reason": change.reason,
        "at": state.clock.unix_ms(),
        "revision": revision,
    });
    let key = format!("{HISTORY_PREFIX}{revision}");
    let outcome = match (state.store.put)(key, entry, Revision(0)).await {
        Ok(_) => return "written",
        Err(ErrorKind::ChangeUnknown) => "unknown",
        Err(_) => "not written",
    };
    log::warn!("operator change revision={revision} history={outcome:?}");
    outcome
}

/// Waits until the revision is in force on all nodes, for a bounded number of polls.
///
/// Returns the number of nodes on which it is in force, and the number of all nodes.
async fn wait_in_force(state: &OperatorState, key: &str, revision: Revision) -> (usize, usize) {
    let polls = state.in_force_wait.as_millis() / IN_FORCE_POLL.as_millis();
    for _ in 0..polls {
        let (nodes, of) = (state.in_force)(key, revision);
        if nodes >= of {
            return (nodes, of);
        }
        monoio::time::sleep(IN_FORCE_POLL).await;
    }
    (state.in_force)(key, revision)
}
