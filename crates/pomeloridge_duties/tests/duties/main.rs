//! Tests of the duties: decisions, histories of holders, and the tasks against a small platform.

mod autoscaling;
mod fake_engine;
mod placement;
mod placement_task;
mod support;
mod usage;
mod usage_history;
mod usage_task;
