//! Listening, telling the address, and the parts that every stand-in answers alike.

use std::cell::Cell;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::rc::Rc;

use pomeloridge_base::http::{Fault, Limits, Request, Responder, Response, Server};
use serde::de::DeserializeOwned;
use serde_json::json;

/// Bytes that a request's body may have; more than any form allows, so that
/// the handlers can refuse with the form's own answer.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// A refusal, which is an answer as well.
#[derive(Debug)]
pub(crate) struct Refused(Box<Response>);

impl From<Response> for Refused {
    fn from(response: Response) -> Self {
        Self(Box::new(response))
    }
}

impl From<Refused> for Response {
    fn from(refused: Refused) -> Self {
        *refused.0
    }
}

/// Listens, prints the address as the first line, and serves.
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
            body_bytes: BODY_BYTES,
            ..Limits::default()
        }),
        handler,
        stopping: || false,
    };
    Rc::new(server).run(listener).await;
    Ok(())
}

/// Answers a request; without an answer the server closes the connection.
pub(crate) async fn reply(
    request: Result<Request, Fault>,
    responder: &mut Responder,
    answer: impl AsyncFn(&Request, &mut Responder) -> Option<Response>,
) {
    let response = match request {
        Ok(request) => answer(&request, responder).await,
        Err(fault) => Some(unreadable(&fault)),
    };
    if let Some(response) = response
        && let Err(fault) = responder.send(response).await
    {
        log::debug!("an answer could not be written: {fault}");
    }
}

/// The answer to a request that could not be read.
pub(crate) fn unreadable(fault: &Fault) -> Response {
    let status = match fault {
        Fault::BodyTooLarge => 413,
        Fault::HeadTooLarge => 431,
        Fault::Timeout => 408,
        Fault::Connect(_) | Fault::Closed | Fault::Io(_) | Fault::Malformed(_) => 400,
    };
    error(status, &fault.to_string())
}

/// An answer that says what was wrong.
pub(crate) fn error(status: u16, text: &str) -> Response {
    Response::json(status, &json!({ "error": text }))
}

/// Reads a JSON body; the error is the answer to give.
pub(crate) fn read_json<T: DeserializeOwned>(request: &Request) -> Result<T, Refused> {
    serde_json::from_slice(&request.body).map_err(|cause| error(400, &cause.to_string()).into())
}

/// A query parameter with `%XX` decoded.
pub(crate) fn query_text(request: &Request, name: &str) -> String {
    decode(request.query(name).unwrap_or_default())
}

/// A query parameter that is a number; the error is the answer to give.
pub(crate) fn query_number(request: &Request, name: &str) -> Result<Option<u64>, Refused> {
    let Some(text) = request.query(name) else {
        return Ok(None);
    };
    let number = text.parse();
    number
        .map(Some)
        .map_err(|_| error(400, &format!("{name} is not a number")).into())
}

/// Text with `%XX` decoded.
pub(crate) fn decode(text: &str) -> String {
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

/// Takes one off a count of failures still to come; says whether there was one.
pub(crate) fn take_one(count: &mut u64) -> bool {
    let taken = *count > 0;
    *count -= u64::from(taken);
    taken
}
