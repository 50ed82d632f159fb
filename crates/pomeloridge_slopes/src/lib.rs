//! Measures in one process how the time and the memory of a node's parts grow
//! with the tables that they work on, and fits a straight line to each.
//!
//! No other process takes part, and no network but for [`exchange`]: what the
//! other figures leave out are system calls, the framing of messages and the
//! tasks around the parts.

pub mod admission;
pub mod alloc;
pub mod config;
pub mod exchange;
pub mod fit;
pub mod fixture;
pub mod fleet;
pub mod heartbeat;
pub mod hints;
pub mod membership;
pub mod meter;
pub mod row;
pub mod table;
pub mod usage;

mod wire;
