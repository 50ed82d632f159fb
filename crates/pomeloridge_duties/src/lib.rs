//! Fleet-wide duties, each run by the one node that holds its lease: usage accounting,
//! autoscaling of backend servers, and placement of engine roles.
//!
//! Each duty consists of pure decision functions, which take all input as arguments and do
//! no I/O, and a task that carries out the decisions while the lease is held. State of other
//! nodes is passed in as closures and plain data.

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
pub mod pool_config;
pub mod rules;
mod server_orders;
pub mod usage;

pub use engine_goals::EngineGoalOptions;
pub use placement_duty::{PlacementDutyOptions, run_placement};
