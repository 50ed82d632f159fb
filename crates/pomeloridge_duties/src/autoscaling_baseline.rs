//! Rules of ordering to compare with, in the shape of the forecast's rule.

use pomeloridge_base::id::Name;
use pomeloridge_policy::server::ServerState;

use crate::autoscaling::{AutoscalingOptions, order};
use crate::autoscaling_view::{
    PoolView, ScalingAction, ScalingDecision, ScalingReason, ServerView,
};

/// Utilisation above which a server is added.
const HIGH_USE: f64 = 0.8;
/// Utilisation below which a server is released.
const LOW_USE: f64 = 0.4;

/// Which rule decides on orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AutoscalingPolicy {
    /// Covers the forecast.
    #[default]
    Forecast,
    /// Orders nothing.
    Static,
    /// Adds and releases by present utilisation alone.
    Threshold,
}

impl AutoscalingPolicy {
    /// Decides what is ordered for one pool.
    pub fn decide(self, view: &PoolView, options: &AutoscalingOptions) -> Vec<ScalingDecision> {
        match self {
            Self::Forecast => order(view, options),
            Self::Static => Vec::new(),
            Self::Threshold => threshold(view).into_iter().collect(),
        }
    }
}

fn threshold(view: &PoolView) -> Option<ScalingDecision> {
    let plan = view.plan;
    let serving: Vec<_> = view
        .servers
        .iter()
        .filter(|server| server.counts())
        .collect();
    let total = (serving.len() + view.arriving.len()) as u32;
    let busy = view.history.forecast(std::time::Duration::ZERO);
    let usage = if total == 0 {
        1.0
    } else {
        busy / f64::from(total)
    };
    let reason = if total < plan.floor {
        ScalingReason::Floor
    } else {
        ScalingReason::Threshold
    };
    let choice = if plan.held {
        None
    } else if (usage > HIGH_USE && total < plan.ceiling) || total < plan.floor {
        emptiest(view, &serving).map(|data_centre| ScalingAction::Add {
            data_centre,
            cheap: true,
        })
    } else if usage < LOW_USE && total > plan.floor {
        let ready = serving
            .iter()
            .filter(|server| server.state == ServerState::Ready);
        let least = ready.min_by_key(|server| (server.load, &server.id));
        least.map(|server| ScalingAction::Release(server.id.clone()))
    } else {
        None
    };
    choice.map(|choice| ScalingDecision { choice, reason })
}

fn emptiest(view: &PoolView, serving: &[&ServerView]) -> Option<Name> {
    let count = |name: &&Name| {
        let here = serving.iter().filter(|server| server.data_centre == **name);
        here.count()
    };
    view.data_centres.iter().min_by_key(count).cloned()
}
