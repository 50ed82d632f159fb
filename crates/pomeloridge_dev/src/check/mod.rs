//! Checks of recorded histories of concurrent runs under failure.
//!
//! Each run starts a deployment of separate processes and injects faults from a seeded
//! plan while callers and operators use it concurrently. It then merges the records of
//! callers and stand-ins into one history and runs one checker per guarantee over it.

pub mod balancer;
pub mod callers;
pub mod checkers;
mod faults;
pub mod histories;
pub mod injector;
pub mod operators;
pub mod record;
pub mod report;
pub mod run;
pub mod scenario;
mod workload;

pub use report::{Options, run_all};
pub use run::{Outcome, run};
pub use scenario::Scenario;
