//! Tools for those who work on pomeloridge: deployments of separate processes on
//! loopback, and what is tried and measured on them.

pub mod caller;
pub mod check;
pub mod launch;
pub mod soak;
pub mod table;
