//! Decides how many preemptible and on-demand servers to order in each data centre.
//!
//! Preemptible servers cost a small fraction of on-demand servers, but all of those in a
//! data centre may be reclaimed at once. They are spread so that the loss of any one data
//! centre leaves enough. On-demand servers are released once preemptible servers replace
//! them, and ordered where preemptible servers are not available. While a data centre is
//! sold out, the others take its share, and keep it until an order there has been met.

use pomeloridge_base::id::Name;

/// Utilization of the servers at which capacity is planned.
const TARGET_UTILIZATION: f64 = 0.5;
/// Share of a data centre's maximum that is ordered as preemptible servers even without
/// load; they cost so little that headroom for bursts is worth more.
const BASE_PREEMPTIBLE_SHARE: f64 = 0.75;
/// Utilization allowed after the loss of the data centre with the most preemptible servers.
const LOSS_UTILIZATION: f64 = 0.8;

/// The number of servers of one kind in a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCount {
    /// Servers that take requests.
    pub ready: u32,
    /// Servers that take requests or were ordered recently and are still starting.
    pub expected: u32,
}

/// The servers of a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreView {
    /// Data centre.
    pub data_centre: Name,
    /// Servers that cannot be reclaimed.
    pub on_demand: ServerCount,
    /// Servers that may be reclaimed.
    pub preemptible: ServerCount,
    /// Whether the latest order for preemptible servers there was not met.
    pub sold_out: bool,
    /// Whether such an order may be tried again.
    pub retry_due: bool,
}

/// The state on which the decision is based.
#[derive(Clone, Debug)]
pub struct ScalingView {
    /// Data centres in which the service runs.
    pub data_centres: Vec<DataCentreView>,
    /// Minimum number of servers in a data centre.
    pub min: u32,
    /// Maximum number of servers in a data centre.
    pub max: u32,
    /// Whether preemptible servers are offered for the service.
    pub has_preemptible: bool,
    /// Load as the number of servers that it would fully use.
    pub load: f64,
    /// Whether the load of all nodes is known. Until then it may be higher, and no server is
    /// released.
    pub load_known: bool,
}

/// The numbers of servers to order in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreTarget {
    /// Data centre.
    pub data_centre: Name,
    /// Servers that cannot be reclaimed.
    pub on_demand: u32,
    /// Servers that may be reclaimed.
    pub preemptible: u32,
}

/// Returns the numbers of servers for every data centre of a service.
pub fn plan_server_counts(view: &ScalingView) -> Vec<DataCentreTarget> {
    let preemptible_each = if view.has_preemptible {
        preemptible_per_data_centre(view)
    } else {
        0
    };
    let ready = view
        .data_centres
        .iter()
        .map(|c| c.on_demand.ready + c.preemptible.ready);
    let expected = view
        .data_centres
        .iter()
        .map(|c| c.on_demand.expected + c.preemptible.expected);
    let needed = servers_needed(view.load, TARGET_UTILIZATION).max(view.data_centres.len() as u32);
    let mut surplus = ready.sum::<u32>().saturating_sub(needed);
    let mut missing = servers_needed(view.load, LOSS_UTILIZATION).saturating_sub(expected.sum());
    let mut target = |centre: &DataCentreView| {
        let min_on_demand = view.min.saturating_sub(centre.preemptible.ready);
        // On-demand servers are released only as far as the current load allows.
        let released = if view.has_preemptible && view.load_known {
            centre
                .on_demand
                .ready
                .saturating_sub(min_on_demand)
                .min(surplus)
        } else {
            0
        };
        surplus -= released;
        let kept = centre
            .on_demand
            .expected
            .saturating_sub(released)
            .max(min_on_demand);
        let room = view.max.saturating_sub(kept + centre.preemptible.expected);
        let added = if released == 0 { missing.min(room) } else { 0 };
        missing -= added;
        let on_demand = kept + added;
        let wanted = preemptible_each.min(view.max.saturating_sub(on_demand));
        DataCentreTarget {
            data_centre: centre.data_centre.clone(),
            on_demand,
            preemptible: match (centre.sold_out, centre.retry_due) {
                (false, _) if view.load_known => wanted,
                (false, _) | (true, true) => wanted.max(centre.preemptible.ready),
                (true, false) => centre.preemptible.ready,
            },
        }
    };
    view.data_centres.iter().map(&mut target).collect()
}

/// Returns the number of preemptible servers for each data centre that is not sold out.
fn preemptible_per_data_centre(view: &ScalingView) -> u32 {
    let (sold_out, available): (Vec<_>, Vec<_>) =
        view.data_centres.iter().partition(|centre| centre.sold_out);
    let centres = available.len().max(1) as u32;
    let base = (f64::from(view.max) * BASE_PREEMPTIBLE_SHARE).ceil() as u32;
    let left = sold_out.iter().map(|centre| centre.preemptible.ready);
    let missing: u32 = left.map(|left| base.saturating_sub(left)).sum();
    let base = if available.is_empty() {
        base
    } else {
        base + missing.div_ceil(centres)
    };
    let even = servers_needed(view.load, TARGET_UTILIZATION).div_ceil(centres);
    let after_loss =
        servers_needed(view.load, LOSS_UTILIZATION).div_ceil(centres.saturating_sub(1).max(1));
    base.max(even).max(after_loss).clamp(view.min, view.max)
}

/// Returns the number of servers that carry a load at the given utilization.
fn servers_needed(load: f64, utilization: f64) -> u32 {
    (load / utilization).ceil() as u32
}
