//! Decides which backend servers are ordered, drained and released.

use std::collections::BTreeMap;
use std::time::Duration;

use pomeloridge_base::id::Name;
use pomeloridge_policy::server::{ServerKind, ServerState};

use crate::autoscaling_view::{
    PoolView, Prices, ScalingAction, ScalingDecision, ScalingReason, ServerView,
};

/// Tolerance, in servers, for floating-point error when rounding a count up.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Settings of the autoscaler.
#[derive(Clone, Copy, Debug)]
pub struct AutoscalingOptions {
    /// Utilisation to plan for at the forecast load, between 0 and 1.
    pub target_utilisation: f64,
    /// Utilisation to plan for after one data centre loses its preemptible servers.
    pub utilisation_after_loss: f64,
    /// Time for which demand must have been low before a server is released.
    pub scale_down_delay: Duration,
    /// Time after which a draining server is released even if requests are still running.
    pub drain_timeout: Duration,
    /// Maximum number of pending orders for servers of one pool.
    pub max_open_orders: usize,
}

impl Default for AutoscalingOptions {
    fn default() -> Self {
        Self {
            target_utilisation: 0.7,
            utilisation_after_loss: 0.9,
            scale_down_delay: Duration::from_mins(5),
            drain_timeout: Duration::from_mins(2),
            max_open_orders: 8,
        }
    }
}

/// Decides which servers of one pool to add, drain, resume or release.
///
/// The rules `COVER`, `SPREAD` and `RELEASE` in [`crate::rules`] describe the policy.
pub fn decide(view: &PoolView, options: &AutoscalingOptions) -> Vec<ScalingDecision> {
    if view.config.held {
        return Vec::new();
    }
    let required = RequiredServers::new(
        view.history.forecast(view.provisioning_delay),
        view,
        options,
    );
    let scale_up = scale_up(view, required, options);
    if !scale_up.is_empty() {
        return scale_up;
    }
    scale_down(view, options).into_iter().collect()
}

/// Number of servers required, limited by the pool's floor and ceiling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RequiredServers {
    /// In total.
    total: u32,
    /// Left after any one data centre loses its preemptible servers.
    after_loss: u32,
}

impl RequiredServers {
    fn new(busy_servers: f64, view: &PoolView, options: &AutoscalingOptions) -> Self {
        let config = view.config;
        let count =
            |utilisation: f64| (busy_servers / utilisation - ROUNDING_TOLERANCE).ceil() as u32;
        Self {
            total: count(options.target_utilisation)
                .max(config.floor)
                .min(config.ceiling),
            after_loss: count(options.utilisation_after_loss).min(config.ceiling),
        }
    }
}

/// Serving, starting and pending servers, by data centre.
#[derive(Clone, Debug)]
struct ServerCounts {
    by_data_centre: BTreeMap<Name, DataCentreCount>,
    total: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct DataCentreCount {
    preemptible: u32,
    all: u32,
}

impl ServerCounts {
    fn new(view: &PoolView) -> Self {
        let data_centres = view.data_centres.iter();
        let mut counts = Self {
            by_data_centre: data_centres
                .map(|name| (name.clone(), DataCentreCount::default()))
                .collect(),
            total: 0,
        };
        for server in view
            .servers
            .iter()
            .filter(|server| server.counts_as_capacity())
        {
            counts.add(&server.data_centre, server.preemptible);
        }
        for server in view.pending.iter().filter(|server| !server.overdue) {
            counts.add(&server.data_centre, server.preemptible);
        }
        counts
    }

    fn add(&mut self, data_centre: &Name, preemptible: bool) {
        let count = self.by_data_centre.entry(data_centre.clone()).or_default();
        count.all += 1;
        count.preemptible += u32::from(preemptible);
        self.total += 1;
    }

    /// Returns the counts after the removal of `server`.
    fn without(&self, server: &ServerView) -> Self {
        let mut remaining = self.clone();
        if server.counts_as_capacity()
            && let Some(count) = remaining.by_data_centre.get_mut(&server.data_centre)
        {
            count.all -= 1;
            count.preemptible -= u32::from(server.preemptible);
            remaining.total -= 1;
        }
        remaining
    }

    /// Returns the number of servers left if the data centre with the most preemptible
    /// servers loses them all.
    fn after_loss(&self) -> u32 {
        let largest_loss = self
            .by_data_centre
            .values()
            .map(|count| count.preemptible)
            .max();
        self.total - largest_loss.unwrap_or(0)
    }

    /// Returns why there are too few servers, or `None` if there are enough.
    fn shortage(&self, required: RequiredServers, floor: u32) -> Option<ScalingReason> {
        if self.total < floor {
            Some(ScalingReason::Floor)
        } else if self.total < required.total {
            Some(ScalingReason::Forecast)
        } else if self.after_loss() < required.after_loss {
            Some(ScalingReason::DataCentreLoss)
        } else {
            None
        }
    }
}

fn scale_up(
    view: &PoolView,
    required: RequiredServers,
    options: &AutoscalingOptions,
) -> Vec<ScalingDecision> {
    let mut planned = ServerCounts::new(view);
    // Draining and unreachable servers and overdue orders don't count as capacity, but
    // are or may still be billed, so the ceiling applies to them as well.
    let mut billable = billable_servers(view);
    let mut resumable = resumable_servers(view);
    let mut decisions = Vec::new();
    let mut open_orders = view.pending.len();
    while let Some(reason) = planned.shortage(required, view.config.floor) {
        if planned.total >= view.config.ceiling {
            break;
        }
        if let Some(server) = resumable.pop() {
            planned.add(&server.data_centre, server.preemptible);
            let action = ScalingAction::Resume(server.id.clone());
            decisions.push(ScalingDecision { action, reason });
            continue;
        }
        if open_orders >= options.max_open_orders || billable >= view.config.ceiling {
            break;
        }
        let Some((data_centre, preemptible)) = choose_placement(view, &planned) else {
            break;
        };
        planned.add(&data_centre, preemptible);
        billable += 1;
        open_orders += 1;
        let action = ScalingAction::Add {
            data_centre,
            preemptible,
        };
        decisions.push(ScalingDecision { action, reason });
    }
    decisions
}

/// Counts the servers that are billed now or may be billed soon.
fn billable_servers(view: &PoolView) -> u32 {
    let is_staying = |server: &&ServerView| server.state != ServerState::Leaving;
    (view.servers.iter().filter(is_staying).count() + view.pending.len()) as u32
}

/// Returns the draining servers that could serve again.
fn resumable_servers<'a>(view: &PoolView<'a>) -> Vec<&'a ServerView> {
    let usable = |server: &&ServerView| {
        server.drain.is_some()
            && server.state != ServerState::Leaving
            && !server.excluded
            && server.reachable
    };
    view.servers.iter().filter(usable).collect()
}

/// Chooses the data centre of the next server, and whether the server is preemptible.
fn choose_placement(view: &PoolView, planned: &ServerCounts) -> Option<(Name, bool)> {
    let data_centres = || view.data_centres.iter();
    let without_reclaims: Vec<_> = data_centres()
        .filter(|name| !view.recently_reclaimed.contains(*name))
        .collect();
    let count = |name: &Name| {
        planned
            .by_data_centre
            .get(name)
            .copied()
            .unwrap_or_default()
    };
    if preemptible_is_worthwhile(without_reclaims.len(), view.prices) {
        let fewest = |name: &&&Name| (count(name).preemptible, count(name).all);
        return without_reclaims
            .iter()
            .min_by_key(fewest)
            .map(|name| ((*name).clone(), true));
    }
    let name = data_centres().min_by_key(|name| count(name).all)?;
    Some((name.clone(), false))
}

/// Returns whether preemptible servers, spread over `data_centres`, cost less than on-demand
/// servers. Assumes that they do if a price is unknown.
///
/// To keep n servers after the loss of one of d data centres, n/(d-1) servers are needed in
/// each, so that d/(d-1) times as many are paid for.
fn preemptible_is_worthwhile(data_centres: usize, prices: Prices) -> bool {
    if data_centres < 2 {
        return false;
    }
    let (Some(preemptible), Some(on_demand)) = (prices.preemptible, prices.on_demand) else {
        return true;
    };
    let redundancy = data_centres as f64 / (data_centres - 1) as f64;
    preemptible * redundancy < on_demand
}

fn scale_down(view: &PoolView, options: &AutoscalingOptions) -> Option<ScalingDecision> {
    let current = ServerCounts::new(view);
    let reason = if current.total > view.config.ceiling {
        ScalingReason::Ceiling
    } else {
        ScalingReason::LowDemand
    };
    // One server is removed at a time. A draining server was already chosen for removal,
    // and the caller has found that it is not needed.
    if let Some(server) = resumable_servers(view)
        .into_iter()
        .min_by_key(|server| server.load)
    {
        return release_if_drained(server, reason, options);
    }
    let required = match reason {
        ScalingReason::Ceiling => RequiredServers {
            total: view.config.ceiling,
            after_loss: 0,
        },
        _ => required_at_recent_peak(view, options)?,
    };
    // No server is removed while others are being added.
    if !view.pending.is_empty() || view.servers.iter().any(is_starting) {
        return None;
    }
    let is_surplus = |server: &&ServerView| {
        let remaining = current.without(server);
        remaining.shortage(required, view.config.floor).is_none()
    };
    let ready =
        |server: &&ServerView| server.counts_as_capacity() && server.state == ServerState::Ready;
    let candidates = view.servers.iter().filter(ready).filter(is_surplus);
    let server = candidates.min_by(|a, b| removal_order(a, b))?;
    // Services accept no drain order. The platform marks a released service as leaving,
    // which stops routing to it, and its running requests end before it is removed.
    let action = match server.kind {
        ServerKind::Engine => ScalingAction::Drain(server.id.clone()),
        ServerKind::Service if server.load == 0 => ScalingAction::Release(server.id.clone()),
        ServerKind::Service => return None,
    };
    Some(ScalingDecision { action, reason })
}

/// Returns the servers required for the peak load of the scale-down delay, or `None` if the
/// history is shorter than that.
fn required_at_recent_peak(
    view: &PoolView,
    options: &AutoscalingOptions,
) -> Option<RequiredServers> {
    // The load of a service is not known well enough to release one of its servers.
    view.config.rates?;
    let peak = view.history.peak(options.scale_down_delay)?;
    let busy_servers = peak.max(view.history.forecast(view.provisioning_delay));
    Some(RequiredServers::new(busy_servers, view, options))
}

fn release_if_drained(
    server: &ServerView,
    reason: ScalingReason,
    options: &AutoscalingOptions,
) -> Option<ScalingDecision> {
    let drain = server.drain?;
    let action = ScalingAction::Release(server.id.clone());
    // A load report from before the drain finished may miss requests that arrived later.
    let idle = drain.finished && server.load == 0;
    let can_release = idle || drain.elapsed >= options.drain_timeout;
    can_release.then_some(ScalingDecision { action, reason })
}

fn is_starting(server: &ServerView) -> bool {
    server.state == ServerState::Starting
}

/// Compares servers by the order of their removal: the most expensive first, then the
/// least loaded, then by id.
fn removal_order(a: &ServerView, b: &ServerView) -> std::cmp::Ordering {
    let price = b.hourly_price.total_cmp(&a.hourly_price);
    let load = || a.load.cmp(&b.load);
    price.then_with(load).then_with(|| a.id.cmp(&b.id))
}
