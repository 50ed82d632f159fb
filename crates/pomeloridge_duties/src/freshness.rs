//! Checks that the inputs of a decision are recent and complete enough.

use std::time::{Duration, Instant};

use derive_more::Display;

/// Age beyond which the demand is stale.
const MAX_DEMAND_AGE: Duration = Duration::from_secs(5);
/// Age beyond which the server list is stale.
const MAX_LIST_AGE: Duration = Duration::from_secs(10);

/// Reason why no order may be given.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StaleInput {
    /// The demand is too old.
    #[display("demand is stale")]
    Demand,
    /// The platform's server list is too old.
    #[display("list of servers is stale")]
    List,
    /// Fewer than half of the known nodes reported their demand.
    #[display("too few nodes were heard of")]
    Nodes,
}

/// Timestamps and node counts of a decision's inputs.
#[derive(Clone, Copy, Debug)]
pub struct DecisionInputs {
    /// Time of the oldest demand report.
    pub demand_at: Instant,
    /// Number of nodes whose demand is included.
    pub reporting_nodes: usize,
    /// Number of known nodes.
    pub known_nodes: usize,
    /// Time just before the server list was requested.
    pub listed_at: Instant,
}

/// Checks the inputs of a decision.
///
/// # Errors
/// Returns the stale input; no order may be given then.
pub fn check_fresh(inputs: DecisionInputs, now: Instant) -> Result<(), StaleInput> {
    if now.saturating_duration_since(inputs.demand_at) > MAX_DEMAND_AGE {
        Err(StaleInput::Demand)
    } else if now.saturating_duration_since(inputs.listed_at) > MAX_LIST_AGE {
        Err(StaleInput::List)
    } else if inputs.reporting_nodes * 2 < inputs.known_nodes || inputs.reporting_nodes == 0 {
        Err(StaleInput::Nodes)
    } else {
        Ok(())
    }
}
