//! Measures in one process how the time and memory of a node's components grow
//! with the size of their tables, and fits a straight line to each.
//!
//! No other process is involved, and no network except in [`exchange`]: the
//! other figures exclude system calls, message framing and the surrounding
//! tasks.

pub mod admission;
pub mod alloc;
pub mod config;
pub mod exchange;
pub mod fit;
pub mod fixture;
pub mod fleet;
pub mod gateway;
pub mod heartbeat;
pub mod hints;
pub mod membership;
pub mod meter;
pub mod row;
pub mod table;
pub mod usage;

mod wire;
