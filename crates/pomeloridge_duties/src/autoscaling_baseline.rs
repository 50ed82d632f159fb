//! Selects the autoscaling policy, and implements the baselines that it is compared with.

use pomeloridge_base::id::Name;
use pomeloridge_policy::server::ServerState;

use crate::autoscaling::{AutoscalingOptions, decide};
use crate::autoscaling_view::{
    PoolView, ScalingAction, ScalingDecision, ScalingReason, ServerView,
};

/// Utilisation above which a server is added.
const SCALE_UP_UTILISATION: f64 = 0.8;
/// Utilisation below which a server is released.
const SCALE_DOWN_UTILISATION: f64 = 0.4;

/// Policy by which servers are ordered and released.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AutoscalingPolicy {
    /// Provides for the forecast load; see [`decide`].
    #[default]
    Forecast,
    /// Never orders or releases a server.
    Static,
    /// Compares the current utilisation with two fixed thresholds.
    Threshold,
}

impl AutoscalingPolicy {
    /// Decides which servers of one pool to add, drain, resume or release.
    pub fn decide(self, view: &PoolView, options: &AutoscalingOptions) -> Vec<ScalingDecision> {
        match self {
            Self::Forecast => decide(view, options),
            Self::Static => Vec::new(),
            Self::Threshold => threshold(view).into_iter().collect(),
        }
    }
}

fn threshold(view: &PoolView) -> Option<ScalingDecision> {
    let config = view.config;
    let serving: Vec<_> = view
        .servers
        .iter()
        .filter(|server| server.counts_as_capacity())
        .collect();
    let total = (serving.len() + view.pending.len()) as u32;
    let busy_servers = view.history.forecast(std::time::Duration::ZERO);
    let utilisation = if total == 0 {
        1.0
    } else {
        busy_servers / f64::from(total)
    };
    let reason = if total < config.floor {
        ScalingReason::Floor
    } else {
        ScalingReason::Threshold
    };
    let action = if config.held {
        None
    } else if (utilisation > SCALE_UP_UTILISATION && total < config.ceiling) || total < config.floor
    {
        least_populated_data_centre(view, &serving).map(|data_centre| ScalingAction::Add {
            data_centre,
            preemptible: true,
        })
    } else if utilisation < SCALE_DOWN_UTILISATION && total > config.floor {
        let ready = serving
            .iter()
            .filter(|server| server.state == ServerState::Ready);
        let least_loaded = ready.min_by_key(|server| (server.load, &server.id));
        least_loaded.map(|server| ScalingAction::Release(server.id.clone()))
    } else {
        None
    };
    action.map(|action| ScalingDecision { action, reason })
}

fn least_populated_data_centre(view: &PoolView, serving: &[&ServerView]) -> Option<Name> {
    let count = |name: &&Name| {
        let servers = serving.iter().filter(|server| server.data_centre == **name);
        servers.count()
    };
    view.data_centres.iter().min_by_key(count).cloned()
}
