//! The operators' peer: the port of a node that operators, probes and metrics
//! use, and the command line that speaks to it.

mod accounts;
mod answer;
mod change;
pub mod check;
pub mod cli;
mod exceptions;
mod fleet;
mod percent;
mod port;
mod state;

pub use port::handle;
pub use state::{LookupFn, NodeCountFn, OperatorState, ReadFn, Store, StoreFuture, StoredObject};
