//! Conditional puts that determine their outcome even if the response is lost.
//!
//! A put without a response may have taken effect, or may still do so. The object is
//! read back and compared by the nonce in its value; the put is never sent twice.

use pomeloridge_base::id::Revision;
use serde_json::Value;

use crate::client::Client;
use crate::error::PlatformError;
use crate::object::{Expect, Object};

/// Field of a value that identifies the write.
const NONCE_FIELD: &str = "nonce";

/// Outcome of a confirmed put.
#[derive(Clone, Debug, PartialEq)]
pub enum PutOutcome {
    /// It took effect at this version.
    Written(Revision),
    /// It did not take effect and never will; holds the object found instead, if any.
    Conflict(Option<Object>),
    /// Unknown: it may have taken effect and been overwritten, or may still take
    /// effect; holds the object found, if it could be read.
    Unconfirmed(Option<Object>),
}

/// Reason why a put is not known to have succeeded before the object is read back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutFailure {
    /// The precondition failed.
    Refused,
    /// No usable response arrived.
    Lost,
}

/// Determines the outcome of a put from the object that was read back.
pub fn resolve_put(failure: PutFailure, nonce: &str, found: Option<Object>) -> PutOutcome {
    if let Some(object) = &found
        && nonce_of(&object.value) == Some(nonce)
    {
        return PutOutcome::Written(object.version);
    }
    match failure {
        PutFailure::Refused => PutOutcome::Conflict(found),
        PutFailure::Lost => PutOutcome::Unconfirmed(found),
    }
}

/// Returns the nonce of a value, if it has one.
pub fn nonce_of(value: &Value) -> Option<&str> {
    value.get(NONCE_FIELD)?.as_str()
}

/// Returns a new random nonce.
pub fn new_nonce() -> String {
    format!("{:032x}", rand::random::<u128>())
}

impl Client {
    /// Writes a JSON object if `expect` holds, and determines whether the write took effect.
    ///
    /// Uses the value's `nonce`, or adds a new one. An error means that nothing was
    /// written.
    pub async fn put_confirmed(
        &self,
        key: &str,
        value: Value,
        expect: Expect,
    ) -> Result<PutOutcome, PlatformError> {
        self.put_confirmed_if(key, value, expect, || true).await
    }

    /// Like [`Self::put_confirmed`], but writes only if `allowed` returns true directly
    /// before.
    pub async fn put_confirmed_if(
        &self,
        key: &str,
        mut value: Value,
        expect: Expect,
        allowed: impl FnOnce() -> bool,
    ) -> Result<PutOutcome, PlatformError> {
        let nonce = ensure_nonce(&mut value)?;
        let failure = match self.put_if(key, &value, expect, allowed).await {
            Ok(version) => return Ok(PutOutcome::Written(version)),
            Err(PlatformError::Conflict { .. }) => PutFailure::Refused,
            // An unreadable response does not show whether the write took effect.
            Err(PlatformError::Unconfirmed(_) | PlatformError::Malformed(_)) => PutFailure::Lost,
            Err(error) => return Err(error),
        };
        let outcome = match self.get(key).await {
            Ok(found) => resolve_put(failure, &nonce, found),
            Err(error) => {
                log::warn!("put key={key} answer={failure:?} read_back=failed reason={error:?}");
                PutOutcome::Unconfirmed(None)
            }
        };
        Ok(outcome)
    }
}

fn ensure_nonce(value: &mut Value) -> Result<String, PlatformError> {
    let Value::Object(fields) = value else {
        let text = "a confirmed put requires a JSON object".to_owned();
        return Err(PlatformError::Malformed(text));
    };
    let nonce = fields
        .entry(NONCE_FIELD)
        .or_insert_with(|| Value::String(new_nonce()));
    let text = nonce.as_str().filter(|text| !text.is_empty());
    text.map(str::to_owned)
        .ok_or_else(|| PlatformError::Malformed("the nonce is not a non-empty string".to_owned()))
}
