//! The operator port of a node, which also serves probes and metrics, and its command line
//! client.

mod accounts;
mod change;
pub mod check;
pub mod cli;
mod exceptions;
mod fleet;
mod percent;
mod port;
mod refusal;
mod state;

pub use port::handle;
pub use state::{LookupFn, NodeCountFn, OperatorState, ReadFn, Store, StoreFuture, StoredObject};
