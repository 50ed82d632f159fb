//! Proof by checking the histories of concurrent runs under failure.
//!
//! Each run starts a deployment of separate processes, lets callers and
//! operators use it at once while faults come from a seeded plan, gathers what
//! the callers and the stand-ins saw, and gives it to one checker a promise.

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
