//! HTTP/1.1 over `monoio`, with the codecs of `monoio-http`.
//!
//! This module fills the buffer that the codecs decode, because the library's own reads limit
//! neither the size of heads and bodies nor the time. Here, every read and write has a
//! deadline, and every buffer has a limit.

mod buffered;
mod client;
mod fault;
mod memory;
mod message;
mod server;

pub use client::{
    ConnectOptions, Connection, HttpResponseHead, OutgoingRequest, RefusalMark, Unframed, call,
};
pub use fault::Fault;
pub use memory::{MAX_HELD_BYTES, held_bytes, return_freed_buffers};
pub use message::{Limits, Request, Response};
pub use server::{Responder, Server};
