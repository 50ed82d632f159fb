//! How many servers of a service are ordered in each data centre, and of which kind.
//!
//! Pattern answered: a fleet whose cheap servers cost a small part of the others
//! but may be reclaimed, all of a data centre at once. Cheap servers are spread so
//! that the loss of any one data centre leaves enough; the others are released
//! once cheap ones stand in for them, and ordered where cheap ones can't be had. While a
//! data centre has none to give, the others take its share.

use pomeloridge_base::id::Name;

/// Part of the servers' time that the load may take.
const TARGET_USE: f64 = 0.5;
/// Part of the most servers of a data centre that is ordered as cheap ones without
/// load; they cost so little that room for bursts is worth more.
const BASE_PART: f64 = 0.75;
/// Part of their time after the loss of the data centre with most cheap servers.
const LOSS_USE: f64 = 0.8;

/// Servers of one kind in a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCount {
    /// Those that take requests.
    pub ready: u32,
    /// Those that take requests or were ordered lately and are still to come.
    pub expected: u32,
}

/// The servers of a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CentreView {
    /// Data centre.
    pub data_centre: Name,
    /// Servers that are not reclaimed.
    pub on_demand: ServerCount,
    /// Cheap servers.
    pub preemptible: ServerCount,
    /// Whether no more cheap ones are to be had there for now.
    pub sold_out: bool,
}

/// What the decision is made from.
#[derive(Clone, Debug)]
pub struct ScalingView {
    /// Data centres in which the service runs.
    pub centres: Vec<CentreView>,
    /// Fewest servers in a data centre.
    pub min: u32,
    /// Most servers in a data centre.
    pub max: u32,
    /// Whether there are cheap servers.
    pub has_preemptible: bool,
    /// Load, in servers that would be fully used by it.
    pub load: f64,
}

/// What is ordered in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CentreTarget {
    /// Data centre.
    pub data_centre: Name,
    /// Servers that are not reclaimed.
    pub on_demand: u32,
    /// Cheap servers.
    pub preemptible: u32,
}

/// Decides the numbers for every data centre of a service.
pub fn plan_server_counts(view: &ScalingView) -> Vec<CentreTarget> {
    let each = if view.has_preemptible { share(view) } else { 0 };
    let there = view
        .centres
        .iter()
        .map(|c| c.on_demand.ready + c.preemptible.ready);
    let expected = view
        .centres
        .iter()
        .map(|c| c.on_demand.expected + c.preemptible.expected);
    let needed = needed(view.load, TARGET_USE).max(view.centres.len() as u32);
    let mut surplus = there.sum::<u32>().saturating_sub(needed);
    let mut missing = self::needed(view.load, LOSS_USE).saturating_sub(expected.sum());
    let mut target = |centre: &CentreView| {
        let least = view.min.saturating_sub(centre.preemptible.ready);
        // Cheap ones stand in for the others as far as the load allows it now.
        let spare = if view.has_preemptible {
            centre.on_demand.ready.saturating_sub(least).min(surplus)
        } else {
            0
        };
        surplus -= spare;
        let kept = centre.on_demand.expected.saturating_sub(spare).max(least);
        let room = view.max.saturating_sub(kept + centre.preemptible.expected);
        let more = if spare == 0 { missing.min(room) } else { 0 };
        missing -= more;
        let on_demand = kept + more;
        CentreTarget {
            data_centre: centre.data_centre.clone(),
            on_demand,
            preemptible: if centre.sold_out {
                centre.preemptible.ready
            } else {
                each.min(view.max.saturating_sub(on_demand))
            },
        }
    };
    view.centres.iter().map(&mut target).collect()
}

/// Cheap servers wanted in each data centre where there are some to be had.
fn share(view: &ScalingView) -> u32 {
    let open = view.centres.iter().filter(|centre| !centre.sold_out);
    let centres = open.count().max(1) as u32;
    let base = (f64::from(view.max) * BASE_PART).ceil() as u32;
    let even = needed(view.load, TARGET_USE).div_ceil(centres);
    let after_loss = needed(view.load, LOSS_USE).div_ceil(centres.saturating_sub(1).max(1));
    base.max(even).max(after_loss).clamp(view.min, view.max)
}

/// Servers that carry the load at a part of their time.
fn needed(load: f64, part: f64) -> u32 {
    (load / part).ceil() as u32
}
