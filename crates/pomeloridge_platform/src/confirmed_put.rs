//! Conditional puts whose answer may be lost.
//!
//! A put whose answer is lost may have taken effect, or may yet do so. It is
//! read back and recognised by the nonce in its value; it is never sent twice.

use pomeloridge_base::id::Revision;
use serde_json::Value;

use crate::client::Client;
use crate::error::PlatformError;
use crate::object::{Expect, Object};

/// Field of a value that tells one write from every other.
const NONCE_FIELD: &str = "nonce";

/// What became of a confirmed put.
#[derive(Clone, Debug, PartialEq)]
pub enum PutOutcome {
    /// It took effect at this version.
    Written(Revision),
    /// It did not take effect and never will; the object that was found, if there is one.
    Conflict(Option<Object>),
    /// Unknown: it may have taken effect and been overwritten, or may yet take
    /// effect; the object that was found, if it could be read.
    Unconfirmed(Option<Object>),
}

/// How a put ended before anything was read back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutFailure {
    /// The service said that the object is not as expected.
    Refused,
    /// The answer was lost.
    Lost,
}

/// Judges a put by the object that was found after it.
pub fn resolve_put(answer: PutFailure, nonce: &str, found: Option<Object>) -> PutOutcome {
    if let Some(object) = &found
        && nonce_of(&object.value) == Some(nonce)
    {
        return PutOutcome::Written(object.version);
    }
    match answer {
        PutFailure::Refused => PutOutcome::Conflict(found),
        PutFailure::Lost => PutOutcome::Unconfirmed(found),
    }
}

/// The nonce of a value, if it has one.
pub fn nonce_of(value: &Value) -> Option<&str> {
    value.get(NONCE_FIELD)?.as_str()
}

/// A nonce that no other write has.
pub fn new_nonce() -> String {
    format!("{:032x}", rand::random::<u128>())
}

impl Client {
    /// Writes a JSON object if it is as expected, and finds out whether it took effect.
    ///
    /// The value's `nonce` is used; a value without one is given a new one. An
    /// error means that nothing was written.
    pub async fn put_confirmed(
        &self,
        key: &str,
        value: Value,
        expect: Expect,
    ) -> Result<PutOutcome, PlatformError> {
        self.put_confirmed_if(key, value, expect, || true).await
    }

    /// As [`Self::put_confirmed`], if `allowed` holds directly before the write.
    pub async fn put_confirmed_if(
        &self,
        key: &str,
        mut value: Value,
        expect: Expect,
        allowed: impl FnOnce() -> bool,
    ) -> Result<PutOutcome, PlatformError> {
        let nonce = ensure_nonce(&mut value)?;
        let answer = match self.put_if(key, &value, expect, allowed).await {
            Ok(version) => return Ok(PutOutcome::Written(version)),
            Err(PlatformError::Conflict { .. }) => PutFailure::Refused,
            // An answer that can't be read says as little as a lost one.
            Err(PlatformError::Unconfirmed(_) | PlatformError::Malformed(_)) => PutFailure::Lost,
            Err(error) => return Err(error),
        };
        let outcome = match self.get(key).await {
            Ok(found) => resolve_put(answer, &nonce, found),
            Err(error) => {
                log::warn!("put key={key} answer={answer:?} read_back=failed reason={error:?}");
                PutOutcome::Unconfirmed(None)
            }
        };
        Ok(outcome)
    }
}

fn ensure_nonce(value: &mut Value) -> Result<String, PlatformError> {
    let Value::Object(fields) = value else {
        let text = "a confirmed put takes a JSON object".to_owned();
        return Err(PlatformError::Malformed(text));
    };
    let nonce = fields
        .entry(NONCE_FIELD)
        .or_insert_with(|| Value::String(new_nonce()));
    let text = nonce.as_str().filter(|text| !text.is_empty());
    text.map(str::to_owned)
        .ok_or_else(|| PlatformError::Malformed("the nonce is not a text".to_owned()))
}
