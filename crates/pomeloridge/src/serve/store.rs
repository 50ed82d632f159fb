//! Adapters from the platform's client to the object service as other crates use it.

use std::rc::Rc;

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::Revision;
use pomeloridge_caller::{ClaimStore, CreateOutcome};
use pomeloridge_operator::{Store, StoredObject};
use pomeloridge_platform::{Client, Expect, PlatformError, PutOutcome};
use serde_json::Value;

use super::state::State;

/// Returns the store for claims of idempotency keys.
pub(crate) fn claims(state: &State) -> ClaimStore {
    let [create, replace, remove] = std::array::from_fn(|_| state.platform.clone());
    ClaimStore {
        create: Rc::new(move |key, value| {
            let client = create.clone();
            Box::pin(async move { create_claim(&client, &key, value).await })
        }),
        replace: Rc::new(move |key, value, version| {
            let client = replace.clone();
            Box::pin(async move {
                let expect = Expect::Version(version);
                match client.put_confirmed(&key, value, expect).await {
                    Ok(PutOutcome::Written(_)) => Ok(()),
                    Ok(PutOutcome::Conflict(_)) => Err(ErrorKind::Conflict),
                    Ok(PutOutcome::Unconfirmed(_)) | Err(_) => Err(ErrorKind::PlatformDown),
                }
            })
        }),
        remove: Rc::new(move |key, value| {
            let client = remove.clone();
            Box::pin(async move { remove_claim(&client, &key, &value).await })
        }),
    }
}

async fn create_claim(client: &Client, key: &str, value: Value) -> CreateOutcome {
    match client.put_confirmed(key, value, Expect::Absent).await {
        Ok(PutOutcome::Written(version)) => CreateOutcome::Created(version),
        Ok(PutOutcome::Conflict(Some(object))) => CreateOutcome::Exists(object.value),
        Ok(PutOutcome::Conflict(None) | PutOutcome::Unconfirmed(_)) | Err(_) => {
            CreateOutcome::Unconfirmed
        }
    }
}

/// Removes a claim, unless it has another owner by now.
async fn remove_claim(client: &Client, key: &str, value: &Value) -> Result<(), ErrorKind> {
    let found = client.get(key).await.map_err(|_| ErrorKind::PlatformDown)?;
    let Some(object) = found else { return Ok(()) };
    if object.value.get("owner") != value.get("owner") {
        return Ok(());
    }
    match client.delete(key, Expect::Version(object.version)).await {
        Ok(_) | Err(PlatformError::NotFound | PlatformError::Conflict { .. }) => Ok(()),
        Err(_) => Err(ErrorKind::PlatformDown),
    }
}

/// Returns the store for the objects that operators read and change.
pub(crate) fn operator_store(state: &State) -> Store {
    let [get, put, list] = std::array::from_fn(|_| state.platform.clone());
    Store {
        get: Box::new(move |key| {
            let client = get.clone();
            Box::pin(async move {
                let found = client
                    .get(&key)
                    .await
                    .map_err(|error| read_error_kind(&error))?;
                Ok(found.map(|object| (object.version, object.value)))
            })
        }),
        put: Box::new(move |key, value, expect| {
            let client = put.clone();
            Box::pin(async move { put_object(&client, &key, value, expect).await })
        }),
        list: Box::new(move |prefix| {
            let client = list.clone();
            Box::pin(async move {
                let listed = client.list(&prefix).await;
                let (_, objects) = listed.map_err(|error| read_error_kind(&error))?;
                let found = objects.into_iter().map(|object| StoredObject {
                    key: object.key,
                    revision: object.version,
                    value: object.value,
                });
                Ok(found.collect())
            })
        }),
    }
}

async fn put_object(
    client: &Client,
    key: &str,
    value: Value,
    expect: Revision,
) -> Result<Revision, ErrorKind> {
    let expect = match expect {
        Revision(0) => Expect::Absent,
        version => Expect::Version(version),
    };
    // A confirmed put would add a nonce, which is not valid in configuration. The operator port
    // reads the object back instead.
    let written = client.put(key, &value, expect).await;
    written.map_err(|error| change_error_kind(&error))
}

/// Returns the error kind of a failed read; its outcome can't be unknown.
fn read_error_kind(error: &PlatformError) -> ErrorKind {
    match change_error_kind(error) {
        ErrorKind::ChangeUnknown => ErrorKind::PlatformDown,
        kind => kind,
    }
}

/// Returns the error kind of a failed change.
fn change_error_kind(error: &PlatformError) -> ErrorKind {
    match error {
        PlatformError::Conflict { .. } => ErrorKind::Conflict,
        PlatformError::NotFound => ErrorKind::NotFound,
        PlatformError::Unconfirmed(_) | PlatformError::Malformed(_) => ErrorKind::ChangeUnknown,
        PlatformError::Refused(_) | PlatformError::BadKey(_) => ErrorKind::BadRequest,
        PlatformError::Unreachable(_)
        | PlatformError::Outage
        | PlatformError::Stale
        | PlatformError::Differs
        | PlatformError::InDoubt
        | PlatformError::TooOld
        | PlatformError::Restored
        | PlatformError::Lapsed => ErrorKind::PlatformDown,
    }
}
