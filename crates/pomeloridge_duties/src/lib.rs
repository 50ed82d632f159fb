//! What one node does for the whole fleet, by lease: usage, ordering of backend
//! servers, and placement of roles.
//!
//! Each duty has pure decisions, which are given all they need and wait for
//! nothing, and one task that carries them out while its lease is held. What
//! comes from other nodes is passed in as closures and plain data.

pub mod demand;
mod engine_line;
mod engine_step;
pub mod facts;
pub mod freshness;
pub mod goal;
mod order_line;
pub mod ordering;
pub mod ordering_baseline;
mod ordering_task;
pub mod ordering_view;
pub mod placement;
pub mod placement_baseline;
mod placement_duty;
mod placement_task;
pub mod placement_view;
pub mod plan;
pub mod rules;
pub mod usage;

pub use engine_line::EngineOptions;
pub use placement_duty::{PlacementDutyOptions, run_placement};
