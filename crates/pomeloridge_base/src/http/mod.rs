//! HTTP/1.1 over `monoio`, with the codecs of `monoio-http`.
//!
//! The codecs decode from a buffer that this module fills, because the
//! library's own reading has no bound on heads, bodies or waiting. Every read
//! and write here has a deadline, and every buffer has a limit.

mod client;
mod fault;
mod message;
mod server;
mod wire;

pub use client::{ConnectOptions, Connection, HttpResponseHead, OutgoingRequest, Unframed, call};
pub use fault::Fault;
pub use message::{Limits, Request, Response};
pub use server::{Responder, Server};
