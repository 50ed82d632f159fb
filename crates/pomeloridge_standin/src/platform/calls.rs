//! Parsing and handling of the platform's calls.

use std::time::Duration;

use http::Method;
use pomeloridge_base::http::{Request, Responder, Response};
use pomeloridge_base::id::Revision;
use serde_json::{Value, json};

use super::Platform;
use super::objects::WriteError;
use super::orders::{OrderBody, SubmitOutcome};
use super::usage::{ReportOutcome, UsageBody};
use crate::listen::{Rejection, error, percent_decode, query_number, query_text, read_json};

/// Maximum size of an object's value in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;
/// Maximum size of a body that is recorded in the history, in bytes.
const MAX_RECORDED_BYTES: usize = 16 * 1024;
/// Maximum wait of a watch, in ms.
const MAX_WATCH_MS: u64 = 60_000;
/// Wait of a watch without `wait_ms`, in ms.
const DEFAULT_WATCH_MS: u64 = 10_000;

/// A call to the platform; all are counted.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    Get(String),
    Put(String),
    Delete(String),
    List,
    Watch,
    Vms,
    Backends,
    Order,
    Orders,
    Usage,
}

impl Call {
    /// Parses a request; `None` if there is no such call.
    pub(crate) fn from_request(request: &Request) -> Option<Self> {
        let path = request.path();
        if let Some(key) = path.strip_prefix("/objects/") {
            let key = percent_decode(key);
            return match request.method {
                Method::GET => Some(Self::Get(key)),
                Method::PUT => Some(Self::Put(key)),
                Method::DELETE => Some(Self::Delete(key)),
                _ => None,
            };
        }
        match (&request.method, path) {
            (&Method::GET, "/list") => Some(Self::List),
            (&Method::GET, "/watch") => Some(Self::Watch),
            (&Method::GET, "/vms") => Some(Self::Vms),
            (&Method::GET, "/backends") => Some(Self::Backends),
            (&Method::POST, "/orders") => Some(Self::Order),
            (&Method::GET, "/orders") => Some(Self::Orders),
            (&Method::POST, "/usage") => Some(Self::Usage),
            _ => None,
        }
    }

    /// Returns the name under which the call is counted and recorded.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Get(_) => "get",
            Self::Put(_) => "put",
            Self::Delete(_) => "delete",
            Self::List => "list",
            Self::Watch => "watch",
            Self::Vms => "vms",
            Self::Backends => "backends",
            Self::Order => "order",
            Self::Orders => "orders",
            Self::Usage => "usage",
        }
    }

    /// Returns whether the call modifies state; only such calls are recorded and can have
    /// their response dropped.
    pub(crate) fn is_write(&self) -> bool {
        match self {
            Self::Put(_) | Self::Delete(_) | Self::Order | Self::Usage => true,
            Self::Get(_) | Self::List | Self::Watch | Self::Vms | Self::Backends | Self::Orders => {
                false
            }
        }
    }

    /// Returns the fields of the request for the history.
    pub(crate) fn history_fields(&self, request: &Request) -> Value {
        let body = if request.body.len() <= MAX_RECORDED_BYTES {
            serde_json::from_slice(&request.body).unwrap_or(Value::Null)
        } else {
            Value::Null
        };
        match self {
            Self::Put(key) | Self::Delete(key) => json!({
                "key": key,
                "expect": request.query("expect").and_then(|text| text.parse::<u64>().ok()),
                "value": body,
                "bytes": request.body.len(),
            }),
            Self::Order | Self::Usage if body.is_object() => body,
            _ => json!({ "bytes": request.body.len() }),
        }
    }
}

/// Handles one call; `None` if the peer disconnected during a watch.
pub(crate) async fn answer(
    platform: &Platform,
    call: &Call,
    request: &Request,
    responder: &mut Responder,
) -> Option<Result<Response, Rejection>> {
    Some(match call {
        Call::Get(key) => Ok(get(platform, key)),
        Call::Put(key) => put(platform, key, request),
        Call::Delete(key) => delete(platform, key, request),
        Call::List => Ok(list(platform, request)),
        Call::Watch => {
            monoio::select! {
                answer = watch(platform, request) => answer,
                _ = responder.closed() => return None,
            }
        }
        Call::Vms => Ok(vms(platform)),
        Call::Backends => Ok(backends(platform)),
        Call::Order => order(platform, request),
        Call::Orders => Ok(orders(platform)),
        Call::Usage => usage(platform, request),
    })
}

fn get(platform: &Platform, key: &str) -> Response {
    let state = platform.state.borrow();
    match state.objects.get(key) {
        Some(entry) => Response::json(200, entry),
        None => error(404, "no such object"),
    }
}

fn put(platform: &Platform, key: &str, request: &Request) -> Result<Response, Rejection> {
    if request.body.len() > MAX_VALUE_BYTES {
        return Err(error(413, "the value is over 1 MB").into());
    }
    let expect = query_number(request, "expect")?;
    let value = read_json(request)?;
    let result = platform.state.borrow_mut().objects.put(key, expect, value);
    Ok(write_answer(platform, result))
}

fn delete(platform: &Platform, key: &str, request: &Request) -> Result<Response, Rejection> {
    let expect = query_number(request, "expect")?;
    let result = platform.state.borrow_mut().objects.delete(key, expect);
    Ok(write_answer(platform, result))
}

fn write_answer(platform: &Platform, result: Result<Revision, WriteError>) -> Response {
    match result {
        Ok(version) => {
            platform.changed.notify();
            Response::json(200, &json!({ "version": version }))
        }
        Err(WriteError::Conflict(version)) => Response::json(409, &json!({ "version": version })),
        Err(WriteError::Missing) => error(404, "no such object"),
    }
}

fn list(platform: &Platform, request: &Request) -> Response {
    let objects = &platform.state.borrow().objects;
    let listed = objects.list(&query_text(request, "prefix"));
    Response::json(
        200,
        &json!({ "revision": objects.revision(), "objects": listed }),
    )
}

async fn watch(platform: &Platform, request: &Request) -> Result<Response, Rejection> {
    let prefix = query_text(request, "prefix");
    let after = Revision(query_number(request, "after")?.unwrap_or(0));
    let wait_ms = query_number(request, "wait_ms")?.unwrap_or(DEFAULT_WATCH_MS);
    let end = platform.clock.now() + Duration::from_millis(wait_ms.min(MAX_WATCH_MS));
    loop {
        let seen = platform.changed.count();
        if platform.state.borrow().faults.outage {
            return Err(error(503, "outage").into());
        }
        let (revision, events) = changes(platform, &prefix, after)?;
        let left = end.saturating_duration_since(platform.clock.now());
        if !events.is_empty() || left.is_zero() {
            let body = json!({ "revision": revision, "events": events });
            return Ok(Response::json(200, &body));
        }
        // The next iteration determines whether it was a notification or the timeout.
        let _ = monoio::time::timeout(left, platform.changed.wait(seen)).await;
    }
}

fn changes(
    platform: &Platform,
    prefix: &str,
    after: Revision,
) -> Result<(Revision, Vec<super::objects::Entry>), Rejection> {
    let objects = &platform.state.borrow().objects;
    let events = objects.changes(prefix, after);
    let events = events.ok_or_else(|| error(410, "the revision is too old; list again"))?;
    Ok((objects.revision(), events))
}

fn vms(platform: &Platform) -> Response {
    let at = platform
        .clock
        .unix_ms()
        .saturating_sub(platform.args.vms_lag_ms);
    let state = platform.state.borrow();
    Response::json(200, &json!({ "vms": state.vms.list(at) }))
}

fn backends(platform: &Platform) -> Response {
    platform.advance();
    let state = platform.state.borrow();
    Response::json(200, &json!({ "servers": state.servers.list() }))
}

fn order(platform: &Platform, request: &Request) -> Result<Response, Rejection> {
    let order: OrderBody = read_json(request)?;
    platform.advance();
    let now = platform.clock.unix_ms();
    let mut state = platform.state.borrow_mut();
    let state = &mut *state;
    let id = order.order_id.clone();
    let outcome = state
        .orders
        .submit(order, &mut state.servers, platform.delays(), now);
    Ok(match outcome {
        SubmitOutcome::New => Response::json(200, &json!({ "order_id": id, "repeated": false })),
        SubmitOutcome::Repeated => {
            Response::json(200, &json!({ "order_id": id, "repeated": true }))
        }
        SubmitOutcome::Stale(fence) => Response::json(409, &json!({ "fence": fence })),
        SubmitOutcome::MissingServer => error(400, "a release names its server"),
    })
}

fn orders(platform: &Platform) -> Response {
    platform.advance();
    let state = platform.state.borrow();
    let orders = state.orders.list(&state.servers);
    Response::json(200, &json!({ "orders": orders }))
}

fn usage(platform: &Platform, request: &Request) -> Result<Response, Rejection> {
    let report: UsageBody = read_json(request)?;
    let outcome = platform.state.borrow_mut().usage.record(&report);
    let answer = |repeated| json!({ "window": report.window, "repeated": repeated });
    Ok(match outcome {
        ReportOutcome::New => Response::json(200, &answer(false)),
        ReportOutcome::Repeated => Response::json(200, &answer(true)),
        ReportOutcome::Conflict => error(409, "the window was reported with other figures"),
    })
}
