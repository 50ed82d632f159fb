//! Development tools: start deployments of separate processes on loopback, test them
//! under faults and measure them.

pub mod caller;
pub mod check;
pub mod launch;
pub mod soak;
pub mod table;
