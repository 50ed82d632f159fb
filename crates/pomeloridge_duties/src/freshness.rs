//! Whether what a decision would rest on is recent and whole enough.

use std::time::{Duration, Instant};

use derive_more::Display;

/// Age beyond which demand is stale.
const DEMAND_TTL: Duration = Duration::from_secs(5);
/// Age beyond which the list of servers is stale.
const LIST_TTL: Duration = Duration::from_secs(10);

/// Why nothing is ordered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StaleInput {
    /// The nodes' demand is too old.
    #[display("demand is stale")]
    Demand,
    /// The platform's list of servers is too old.
    #[display("list of servers is stale")]
    List,
    /// Fewer than half of the nodes were heard of.
    #[display("too few nodes were heard of")]
    Nodes,
}

/// The ages of what a decision rests on.
#[derive(Clone, Copy, Debug)]
pub struct DecisionInputs {
    /// When the demand was true.
    pub demand_at: Instant,
    /// Nodes whose demand is in it.
    pub reporting_nodes: usize,
    /// Nodes that are known.
    pub known_nodes: usize,
    /// Taken before the list of servers was read.
    pub listed_at: Instant,
}

/// Checks the inputs of a decision.
///
/// # Errors
/// What is stale; nothing may be ordered then.
pub fn check_fresh(inputs: DecisionInputs, now: Instant) -> Result<(), StaleInput> {
    if now.saturating_duration_since(inputs.demand_at) > DEMAND_TTL {
        Err(StaleInput::Demand)
    } else if now.saturating_duration_since(inputs.listed_at) > LIST_TTL {
        Err(StaleInput::List)
    } else if inputs.reporting_nodes * 2 < inputs.known_nodes || inputs.reporting_nodes == 0 {
        Err(StaleInput::Nodes)
    } else {
        Ok(())
    }
}
