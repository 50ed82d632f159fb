//! The decision which backend servers are ordered and released.

use std::collections::BTreeMap;
use std::time::Duration;

use pomeloridge_base::id::Name;
use pomeloridge_policy::server::{ServerKind, ServerState};

use crate::autoscaling_view::{
    PoolView, Prices, ScalingAction, ScalingDecision, ScalingReason, ServerView,
};

/// Part of a server that is left to rounding errors.
const ROUNDING: f64 = 1e-6;

/// Settings of the ordering of servers.
#[derive(Clone, Copy, Debug)]
pub struct AutoscalingOptions {
    /// Part of the servers' time that the forecast may take.
    pub target_use: f64,
    /// Part of their time after the loss of a data centre's cheap servers.
    pub loss_use: f64,
    /// Time for which demand must have been low before a release.
    pub hold: Duration,
    /// Time after which a drained server is released though it still has work.
    pub drain_limit: Duration,
    /// Orders for servers of one pool that may be open at once.
    pub open_orders: usize,
}

impl Default for AutoscalingOptions {
    fn default() -> Self {
        Self {
            target_use: 0.7,
            loss_use: 0.9,
            hold: Duration::from_mins(5),
            drain_limit: Duration::from_mins(2),
            open_orders: 8,
        }
    }
}

/// Decides what is ordered for one pool; see the rules on ordering.
pub fn order(view: &PoolView, options: &AutoscalingOptions) -> Vec<ScalingDecision> {
    if view.plan.held {
        return Vec::new();
    }
    let needs = Needs::of(view.history.forecast(view.delay), view, options);
    let adds = add(view, needs, options);
    if !adds.is_empty() {
        return adds;
    }
    release(view, options).into_iter().collect()
}

/// Servers needed, within floor and ceiling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Needs {
    /// In all.
    total: u32,
    /// Without the cheap servers of any one data centre.
    survivors: u32,
}

impl Needs {
    fn of(busy: f64, view: &PoolView, options: &AutoscalingOptions) -> Self {
        let plan = view.plan;
        let count = |usable: f64| (busy / usable - ROUNDING).ceil() as u32;
        Self {
            total: count(options.target_use).max(plan.floor).min(plan.ceiling),
            survivors: count(options.loss_use).min(plan.ceiling),
        }
    }
}

/// Servers that are counted on, by data centre.
#[derive(Clone, Debug)]
struct Tally {
    /// Those with their data centre, and whether they are cheap.
    counts: BTreeMap<Name, Count>,
    total: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    cheap: u32,
    all: u32,
}

impl Tally {
    fn of(view: &PoolView) -> Self {
        let centres = view.data_centres.iter();
        let mut tally = Self {
            counts: centres
                .map(|name| (name.clone(), Count::default()))
                .collect(),
            total: 0,
        };
        for server in view.servers.iter().filter(|server| server.counts()) {
            tally.add(&server.data_centre, server.cheap);
        }
        for server in view.arriving.iter().filter(|server| !server.late) {
            tally.add(&server.data_centre, server.cheap);
        }
        tally
    }

    fn add(&mut self, data_centre: &Name, cheap: bool) {
        let count = self.counts.entry(data_centre.clone()).or_default();
        count.all += 1;
        count.cheap += u32::from(cheap);
        self.total += 1;
    }

    fn without(&self, server: &ServerView) -> Self {
        let mut tally = self.clone();
        if server.counts()
            && let Some(count) = tally.counts.get_mut(&server.data_centre)
        {
            count.all -= 1;
            count.cheap -= u32::from(server.cheap);
            tally.total -= 1;
        }
        tally
    }

    /// Servers left after the loss of the cheap ones of the worst data centre.
    fn survivors(&self) -> u32 {
        let most = self.counts.values().map(|count| count.cheap).max();
        self.total - most.unwrap_or(0)
    }

    fn lacks(&self, needs: Needs, floor: u32) -> Option<ScalingReason> {
        if self.total < floor {
            Some(ScalingReason::Floor)
        } else if self.total < needs.total {
            Some(ScalingReason::Forecast)
        } else if self.survivors() < needs.survivors {
            Some(ScalingReason::Loss)
        } else {
            None
        }
    }
}

fn add(view: &PoolView, needs: Needs, options: &AutoscalingOptions) -> Vec<ScalingDecision> {
    let mut tally = Tally::of(view);
    // Servers that are on their way out or unreachable may come to be paid for
    // again, and so may late orders: the ceiling holds for all of them.
    let mut paid = paid(view);
    let mut resumable = drained(view);
    let mut decisions = Vec::new();
    let mut open = view.arriving.len();
    while let Some(reason) = tally.lacks(needs, view.plan.floor) {
        if tally.total >= view.plan.ceiling {
            break;
        }
        if let Some(server) = resumable.pop() {
            tally.add(&server.data_centre, server.cheap);
            let choice = ScalingAction::Resume(server.id.clone());
            decisions.push(ScalingDecision { choice, reason });
            continue;
        }
        if open >= options.open_orders || paid >= view.plan.ceiling {
            break;
        }
        let Some((data_centre, cheap)) = place(view, &tally) else {
            break;
        };
        tally.add(&data_centre, cheap);
        paid += 1;
        open += 1;
        let choice = ScalingAction::Add { data_centre, cheap };
        decisions.push(ScalingDecision { choice, reason });
    }
    decisions
}

/// Servers that are paid for, now or soon.
fn paid(view: &PoolView) -> u32 {
    let stays = |server: &&ServerView| server.state != ServerState::Leaving;
    (view.servers.iter().filter(stays).count() + view.arriving.len()) as u32
}

/// Drained servers that could serve again.
fn drained<'a>(view: &PoolView<'a>) -> Vec<&'a ServerView> {
    let usable = |server: &&ServerView| {
        server.drained.is_some()
            && server.state != ServerState::Leaving
            && !server.excepted
            && server.reachable
    };
    view.servers.iter().filter(usable).collect()
}

/// Where the next server comes from, and whether it is a cheap one.
fn place(view: &PoolView, tally: &Tally) -> Option<(Name, bool)> {
    let centres = || view.data_centres.iter();
    let safe: Vec<_> = centres()
        .filter(|name| !view.reclaimed.contains(*name))
        .collect();
    let count = |name: &Name| tally.counts.get(name).copied().unwrap_or_default();
    if cheap_pays(safe.len(), view.prices) {
        let fewest = |name: &&&Name| (count(name).cheap, count(name).all);
        return safe
            .iter()
            .min_by_key(fewest)
            .map(|name| ((*name).clone(), true));
    }
    let name = centres().min_by_key(|name| count(name).all)?;
    Some((name.clone(), false))
}

/// Whether cheap servers are worth their price, spread over so many data centres.
///
/// To be sure of n servers after the loss of one data centre, n/(d-1) of them
/// are needed in each of d data centres.
fn cheap_pays(data_centres: usize, prices: Prices) -> bool {
    if data_centres < 2 {
        return false;
    }
    let (Some(cheap), Some(regular)) = (prices.cheap, prices.regular) else {
        return true;
    };
    let spread = data_centres as f64 / (data_centres - 1) as f64;
    cheap * spread < regular
}

fn release(view: &PoolView, options: &AutoscalingOptions) -> Option<ScalingDecision> {
    let tally = Tally::of(view);
    let reason = if tally.total > view.plan.ceiling {
        ScalingReason::Ceiling
    } else {
        ScalingReason::Low
    };
    // One server leaves at a time. That a drained one is to leave was decided
    // when its drain was ordered, and it is not needed now.
    if let Some(server) = drained(view).into_iter().min_by_key(|server| server.load) {
        return release_drained(server, reason, options);
    }
    let needs = match reason {
        ScalingReason::Ceiling => Needs {
            total: view.plan.ceiling,
            survivors: 0,
        },
        _ => low_needs(view, options)?,
    };
    // None leaves while others come.
    if !view.arriving.is_empty() || view.servers.iter().any(is_starting) {
        return None;
    }
    let spared = |server: &&ServerView| {
        let left = tally.without(server);
        left.lacks(needs, view.plan.floor).is_none()
    };
    let ready = |server: &&ServerView| server.counts() && server.state == ServerState::Ready;
    let candidates = view.servers.iter().filter(ready).filter(spared);
    let server = candidates.min_by(|a, b| cost_to_lose(a, b))?;
    // A plain service takes no order to drain: its routing stops with the
    // platform's mark, and what runs there ends before it is taken away.
    let choice = match server.kind {
        ServerKind::Engine => ScalingAction::Drain(server.id.clone()),
        ServerKind::Service if server.load == 0 => ScalingAction::Release(server.id.clone()),
        ServerKind::Service => return None,
    };
    Some(ScalingDecision { choice, reason })
}

/// The needs of the busiest time within the hold time; `None` before that much is known.
fn low_needs(view: &PoolView, options: &AutoscalingOptions) -> Option<Needs> {
    // A plain service's load is not known well enough to release one of its servers.
    view.plan.rates?;
    let peak = view.history.peak(options.hold)?;
    let busy = peak.max(view.history.forecast(view.delay));
    Some(Needs::of(busy, view, options))
}

fn release_drained(
    server: &ServerView,
    reason: ScalingReason,
    options: &AutoscalingOptions,
) -> Option<ScalingDecision> {
    let drain = server.drained?;
    let choice = ScalingAction::Release(server.id.clone());
    // An idle report from before the drain says nothing of what came since.
    let idle = drain.ended && server.load == 0;
    let over = idle || drain.time >= options.drain_limit;
    over.then_some(ScalingDecision { choice, reason })
}

fn is_starting(server: &ServerView) -> bool {
    server.state == ServerState::Starting
}

/// Orders servers by what their loss costs: dear ones go first, then idle ones.
fn cost_to_lose(a: &ServerView, b: &ServerView) -> std::cmp::Ordering {
    let price = b.price.total_cmp(&a.price);
    let load = || a.load.cmp(&b.load);
    price.then_with(load).then_with(|| a.id.cmp(&b.id))
}
