//! What one node does for the whole fleet, by lease: usage, ordering of backend
//! servers, and placement of roles.
//!
//! Each duty has pure decisions, which are given all they need and wait for
//! nothing, and one task that carries them out while its lease is held. What
//! comes from other nodes is passed in as closures and plain data.

pub mod autoscaling;
pub mod autoscaling_baseline;
mod autoscaling_task;
pub mod autoscaling_view;
pub mod demand;
mod engine_goals;
mod engine_order;
pub mod fleet_snapshot;
pub mod freshness;
pub mod goal;
pub mod placement;
pub mod placement_baseline;
mod placement_duty;
mod placement_task;
pub mod placement_view;
pub mod plan;
pub mod rules;
mod server_orders;
pub mod usage;

pub use engine_goals::EngineGoalOptions;
pub use placement_duty::{PlacementDutyOptions, run_placement};
