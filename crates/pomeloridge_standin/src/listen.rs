//! Listener, request parsing and error responses that all fakes share.

use std::cell::Cell;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::rc::Rc;

use pomeloridge_base::http::{Fault, Limits, Request, Responder, Response, Server};
use serde::de::DeserializeOwned;
use serde_json::json;

/// Maximum size of a request body in bytes; above the limit of every route, so that
/// handlers can reject a body with the response of their route.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// An error response that ends the handling of a request.
#[derive(Debug)]
pub(crate) struct Rejection(Box<Response>);

impl From<Response> for Rejection {
    fn from(response: Response) -> Self {
        Self(Box::new(response))
    }
}

impl From<Rejection> for Response {
    fn from(rejection: Rejection) -> Self {
        *rejection.0
    }
}

/// Listens on `address`, prints the bound address as the first line and serves requests.
pub(crate) async fn serve<H>(address: SocketAddr, handler: H) -> io::Result<()>
where
    H: AsyncFn(Result<Request, Fault>, &mut Responder) + 'static,
{
    let listener = pomeloridge_base::net::listen(address)?;
    let address = listener.local_addr()?;
    let mut out = io::stdout().lock();
    writeln!(out, "{}", json!({ "address": address.to_string() }))?;
    out.flush()?;
    drop(out);
    let server = Server {
        limits: Cell::new(Limits {
            body_bytes: MAX_BODY_BYTES,
            ..Limits::default()
        }),
        handler,
        stopping: || false,
    };
    Rc::new(server).run(listener).await;
    Ok(())
}

/// Responds to a request, or closes the connection if `answer` returns `None`.
pub(crate) async fn reply(
    request: Result<Request, Fault>,
    responder: &mut Responder,
    answer: impl AsyncFn(&Request, &mut Responder) -> Option<Response>,
) {
    let response = match request {
        Ok(request) => answer(&request, responder).await,
        Err(fault) => Some(fault_response(&fault)),
    };
    if let Some(response) = response
        && let Err(fault) = responder.send(response).await
    {
        log::debug!("failed to write the response: {fault}");
    }
}

/// Returns the response to a request that could not be read.
pub(crate) fn fault_response(fault: &Fault) -> Response {
    let status = match fault {
        Fault::BodyTooLarge => 413,
        Fault::HeadTooLarge => 431,
        Fault::Timeout => 408,
        Fault::OutOfMemory => 503,
        Fault::Connect(_) | Fault::Closed | Fault::Io(_) | Fault::Malformed(_) => 400,
    };
    error(status, &fault.to_string())
}

/// Returns an error response with `text` as its message.
pub(crate) fn error(status: u16, text: &str) -> Response {
    Response::json(status, &json!({ "error": text }))
}

/// Parses a JSON body.
pub(crate) fn read_json<T: DeserializeOwned>(request: &Request) -> Result<T, Rejection> {
    serde_json::from_slice(&request.body).map_err(|cause| error(400, &cause.to_string()).into())
}

/// Returns a percent-decoded query parameter; empty if it is missing.
pub(crate) fn query_text(request: &Request, name: &str) -> String {
    percent_decode(request.query(name).unwrap_or_default())
}

/// Returns a numeric query parameter.
pub(crate) fn query_number(request: &Request, name: &str) -> Result<Option<u64>, Rejection> {
    let Some(text) = request.query(name) else {
        return Ok(None);
    };
    let number = text.parse();
    number
        .map(Some)
        .map_err(|_| error(400, &format!("{name} is not a number")).into())
}

/// Decodes `%XX` sequences; malformed ones are left unchanged.
pub(crate) fn percent_decode(text: &str) -> String {
    let mut rest = text.as_bytes();
    let mut out = Vec::with_capacity(rest.len());
    while let [first, tail @ ..] = rest {
        let code = match (first, tail) {
            (b'%', [high, low, ..]) => std::str::from_utf8(&[*high, *low])
                .ok()
                .and_then(|digits| u8::from_str_radix(digits, 16).ok()),
            _ => None,
        };
        out.push(code.unwrap_or(*first));
        rest = if code.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Decrements a count of pending faults; returns whether there was one.
pub(crate) fn take_fault(count: &mut u64) -> bool {
    let taken = *count > 0;
    *count -= u64::from(taken);
    taken
}
