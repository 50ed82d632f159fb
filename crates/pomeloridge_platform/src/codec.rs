//! Codecs for an object service: encode calls as requests and decode responses.
//!
//! The client handles connections, deadlines, eras and authority. A codec only translates, so
//! that leases, intents and seals work on any platform. Its revisions are those on the wire,
//! without the era.

use std::time::Duration;

use http::{Method, StatusCode};
use pomeloridge_base::http::{Fault, OutgoingRequest, Response};
use pomeloridge_base::id::{Era, Revision};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::PlatformError;
use crate::object::{Changes, Expect, Object};
use crate::wire::{ListWire, ObjectWire, VersionWire, WatchWire};

/// One page of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// Revision at which the page was read.
    pub revision: Revision,
    /// Objects on the page.
    pub objects: Vec<Object>,
    /// Name after which the next page starts; `None` on the last page.
    pub next: Option<String>,
}

/// Encodes the calls to an object service and decodes its responses.
#[derive(Clone, Copy)]
pub struct ObjectCodec {
    /// Encodes a read of one object.
    pub get: fn(&str) -> OutgoingRequest,
    /// Encodes a conditional write of one object.
    pub put: fn(&str, &Value, Expect) -> OutgoingRequest,
    /// Encodes a conditional deletion of one object.
    pub delete: fn(&str, Expect) -> OutgoingRequest,
    /// Encodes a request for one page of the objects under a prefix, after a name.
    pub list: fn(&str, Option<&str>) -> OutgoingRequest,
    /// Encodes a wait for changes under a prefix.
    pub watch: fn(&str, Revision, Duration) -> OutgoingRequest,
    /// Decodes the era of the service that sent a response; `None` if it names none.
    pub era: fn(&Response) -> Option<Era>,
    /// Converts the status of a failed response into an error.
    pub check: fn(Response) -> Result<Response, PlatformError>,
    /// Decodes an object; the key is that of the call.
    pub object: fn(&str, &Response) -> Result<Object, PlatformError>,
    /// Decodes the new version after a write.
    pub version: fn(&Response) -> Result<Revision, PlatformError>,
    /// Decodes a page of a list; the prefix is that of the call.
    pub page: fn(&str, &Response) -> Result<Page, PlatformError>,
    /// Decodes the changes reported by a watch; the prefix is that of the call.
    pub changes: fn(&str, &Response) -> Result<Changes, PlatformError>,
}

impl ObjectCodec {
    /// Returns the codec of the project's own object service.
    pub fn native() -> Self {
        Self {
            get: |key| OutgoingRequest::get(format!("/objects/{key}")),
            put: |key, value, expect| {
                OutgoingRequest::new(Method::PUT, conditional_path(key, expect)).json(value)
            },
            delete: |key, expect| {
                OutgoingRequest::new(Method::DELETE, conditional_path(key, expect))
            },
            list: |prefix, _| OutgoingRequest::get(format!("/list?prefix={prefix}")),
            watch: |prefix, after, wait| {
                let wait_ms = wait.as_millis();
                OutgoingRequest::get(format!(
                    "/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}"
                ))
            },
            era: |_| None,
            check: check_response,
            object: |_, response| Ok(decode::<ObjectWire>(response)?.into()),
            version: |response| Ok(decode::<VersionWire>(response)?.version),
            page: |_, response| {
                let (revision, objects) = ListWire::decode(&response.body)?.into();
                Ok(Page {
                    revision,
                    objects,
                    next: None,
                })
            },
            changes: |_, response| Ok(WatchWire::decode(&response.body)?.into()),
        }
    }
}

fn conditional_path(key: &str, expect: Expect) -> String {
    match expect {
        Expect::Any => format!("/objects/{key}"),
        Expect::Absent => format!("/objects/{key}?expect=0"),
        Expect::Version(version) => format!("/objects/{key}?expect={version}"),
    }
}

/// Converts an error status; a 409 means a conflict here, and some calls map it further.
fn check_response(response: Response) -> Result<Response, PlatformError> {
    match response.status {
        StatusCode::CONFLICT => Err(conflict(&response)),
        _ => check_status(response),
    }
}

/// Converts the error statuses that have the same meaning for every codec.
pub fn check_status(response: Response) -> Result<Response, PlatformError> {
    match response.status {
        StatusCode::NOT_FOUND => Err(PlatformError::NotFound),
        StatusCode::GONE => Err(PlatformError::TooOld),
        StatusCode::SERVICE_UNAVAILABLE => Err(PlatformError::Outage),
        // Other server errors leave open whether the call took effect.
        status if status.is_server_error() => {
            let fault = Fault::Malformed("the platform failed while it ran the call");
            Err(PlatformError::Unconfirmed(fault))
        }
        status if status.is_success() => Ok(response),
        status => Err(PlatformError::Refused(status.as_u16())),
    }
}

/// Decodes a 409 response; only responses about objects contain a version.
fn conflict(response: &Response) -> PlatformError {
    let wire = decode::<VersionWire>(response);
    PlatformError::Conflict {
        current: wire.map(|wire| wire.version).unwrap_or_default(),
    }
}

/// Decodes the JSON body of a response.
pub fn decode<T: DeserializeOwned>(response: &Response) -> Result<T, PlatformError> {
    let decoded = serde_json::from_slice(&response.body);
    decoded.map_err(|error| PlatformError::Malformed(error.to_string()))
}
