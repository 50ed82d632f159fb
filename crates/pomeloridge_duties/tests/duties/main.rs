//! Tests of the duties: pure decisions, sequences of lease holders, and the tasks against a
//! fake platform and fake engines.

mod autoscaling;
mod fake_engine;
mod placement;
mod placement_task;
mod support;
mod usage;
mod usage_history;
mod usage_task;
