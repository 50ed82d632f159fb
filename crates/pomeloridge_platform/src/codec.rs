//! The form in which objects go over the wire: calls into requests, answers into objects.
//!
//! The client owns connections, deadlines and the check of authority; a form only
//! translates, so that the same leases, intents and seals run on any platform.

use std::time::Duration;

use http::{Method, StatusCode};
use pomeloridge_base::http::{Fault, OutgoingRequest, Response};
use pomeloridge_base::id::Revision;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::PlatformError;
use crate::object::{Changes, Expect, Object};
use crate::wire::{ListWire, ObjectWire, VersionWire, WatchWire};

/// One page of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// Revision at which it was read.
    pub revision: Revision,
    /// Objects.
    pub objects: Vec<Object>,
    /// Name to go on after; `None` on the last page.
    pub next: Option<String>,
}

/// How the calls of an object service are written, and its answers read.
#[derive(Clone, Copy)]
pub struct ObjectCodec {
    /// Reading of one object.
    pub get: fn(&str) -> OutgoingRequest,
    /// Conditional write of one object.
    pub put: fn(&str, &Value, Expect) -> OutgoingRequest,
    /// Conditional removal of one object.
    pub delete: fn(&str, Expect) -> OutgoingRequest,
    /// A page of the objects under a prefix, after a name.
    pub list: fn(&str, Option<&str>) -> OutgoingRequest,
    /// Wait for changes under a prefix.
    pub watch: fn(&str, Revision, Duration) -> OutgoingRequest,
    /// Sorting of an answer by its status.
    pub check: fn(Response) -> Result<Response, PlatformError>,
    /// The object of an answer; the key is that of the call.
    pub object: fn(&str, &Response) -> Result<Object, PlatformError>,
    /// The version that a write left.
    pub version: fn(&Response) -> Result<Revision, PlatformError>,
    /// The page of a list; the prefix is that of the call.
    pub page: fn(&str, &Response) -> Result<Page, PlatformError>,
    /// The changes that a watch saw; the prefix is that of the call.
    pub changes: fn(&str, &Response) -> Result<Changes, PlatformError>,
}

impl ObjectCodec {
    /// The project's own form.
    pub fn native() -> Self {
        Self {
            get: |key| OutgoingRequest::get(format!("/objects/{key}")),
            put: |key, value, expect| {
                OutgoingRequest::new(Method::PUT, conditional(key, expect)).json(value)
            },
            delete: |key, expect| OutgoingRequest::new(Method::DELETE, conditional(key, expect)),
            list: |prefix, _| OutgoingRequest::get(format!("/list?prefix={prefix}")),
            watch: |prefix, after, wait| {
                let wait_ms = wait.as_millis();
                OutgoingRequest::get(format!(
                    "/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}"
                ))
            },
            check: check_response,
            object: |_, response| Ok(decode::<ObjectWire>(response)?.into()),
            version: |response| Ok(decode::<VersionWire>(response)?.version),
            page: |_, response| {
                let (revision, objects) = decode::<ListWire>(response)?.into();
                Ok(Page {
                    revision,
                    objects,
                    next: None,
                })
            },
            changes: |_, response| Ok(decode::<WatchWire>(response)?.into()),
        }
    }
}

fn conditional(key: &str, expect: Expect) -> String {
    match expect {
        Expect::Any => format!("/objects/{key}"),
        Expect::Absent => format!("/objects/{key}?expect=0"),
        Expect::Version(version) => format!("/objects/{key}?expect={version}"),
    }
}

/// Sorts an answer by its status; 409 is left to the call that knows its meaning.
fn check_response(response: Response) -> Result<Response, PlatformError> {
    match response.status {
        StatusCode::CONFLICT => Err(conflict(&response)),
        _ => check_status(response),
    }
}

/// Sorts an answer by those statuses that every form gives the same meaning.
pub fn check_status(response: Response) -> Result<Response, PlatformError> {
    match response.status {
        StatusCode::NOT_FOUND => Err(PlatformError::NotFound),
        StatusCode::GONE => Err(PlatformError::TooOld),
        StatusCode::SERVICE_UNAVAILABLE => Err(PlatformError::Outage),
        // Another server error does not say whether the call took effect.
        status if status.is_server_error() => {
            let fault = Fault::Malformed("the platform failed while it ran the call");
            Err(PlatformError::Unconfirmed(fault))
        }
        status if status.is_success() => Ok(response),
        status => Err(PlatformError::Refused(status.as_u16())),
    }
}

/// The conflict that a 409 tells of; the version stands only in answers about objects.
fn conflict(response: &Response) -> PlatformError {
    let wire = decode::<VersionWire>(response);
    PlatformError::Conflict {
        current: wire.map(|wire| wire.version).unwrap_or_default(),
    }
}

/// Reads the JSON of an answer.
pub fn decode<T: DeserializeOwned>(response: &Response) -> Result<T, PlatformError> {
    let read = serde_json::from_slice(&response.body);
    read.map_err(|error| PlatformError::Malformed(error.to_string()))
}
