//! The task of the placement duty: scaling servers, and placing roles and models.
//!
//! Both belong to the holder of one lease, because both send orders to engines,
//! and an engine compares the fencing tokens of a single lease only.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Epoch;
use pomeloridge_base::meter::Meter;
use pomeloridge_platform::{Authority, Client, PlatformError};

use crate::autoscaling::AutoscalingOptions;
use crate::autoscaling_baseline::AutoscalingPolicy;
use crate::autoscaling_task::Autoscaler;
use crate::engine_goals::{EngineGoalOptions, EngineGoals};
use crate::engine_order::DutyContext;
use crate::fleet_snapshot::FleetSnapshot;
use crate::freshness::{DecisionInputs, StaleInput, check_fresh};
use crate::placement::PlacementOptions;
use crate::placement_baseline::PlacementPolicy;
use crate::placement_task::Placement;

/// Settings of the placement duty.
#[derive(Clone, Copy, Debug)]
pub struct PlacementDutyOptions {
    /// Time between rounds.
    pub pause: Duration,
    /// Initial estimate of the delivery delay of an ordered server.
    pub delay: Duration,
    /// Settings of autoscaling.
    pub ordering: AutoscalingOptions,
    /// Policy of autoscaling.
    pub order_policy: AutoscalingPolicy,
    /// Settings of role and model placement.
    pub placement: PlacementOptions,
    /// Policy of role placement.
    pub placement_policy: PlacementPolicy,
    /// Settings of the orders to engines.
    pub engines: EngineGoalOptions,
}

impl Default for PlacementDutyOptions {
    fn default() -> Self {
        Self {
            pause: Duration::from_secs(1),
            delay: Duration::from_mins(1),
            ordering: AutoscalingOptions::default(),
            order_policy: AutoscalingPolicy::default(),
            placement: PlacementOptions::default(),
            placement_policy: PlacementPolicy::default(),
            engines: EngineGoalOptions::default(),
        }
    }
}

/// Scales servers and places roles while the lease is held, until `stopping` returns true.
///
/// `facts` is called once a round for the current state of the fleet.
pub async fn run_placement(
    client: Client,
    authority: Authority,
    meter: Meter,
    facts: impl Fn() -> FleetSnapshot,
    options: PlacementDutyOptions,
    stopping: impl Fn() -> bool,
) {
    let mut duty: Option<Duty> = None;
    while !stopping() {
        monoio::time::sleep(options.pause).await;
        let Some(permit) = authority.permit() else {
            duty = None;
            continue;
        };
        let context = DutyContext {
            client: client.clone(),
            authority: authority.clone(),
            permit,
            meter: meter.clone(),
        };
        let mut held = match duty.take().filter(|duty| duty.is_current(&context)) {
            Some(held) => held,
            None => match Duty::load(&context, options).await {
                Ok(held) => held,
                Err(error) => {
                    log::warn!(
                        "placement choice=wait reason=\"outstanding orders cannot be read\" error={error:?}"
                    );
                    continue;
                }
            },
        };
        if let Err(error) = held.round(&context, &facts).await {
            log::warn!("placement choice=wait error={error:?}");
        }
        duty = Some(held);
    }
}

/// State of the duty while one holder has the lease.
struct Duty {
    epoch: Epoch,
    options: PlacementDutyOptions,
    engines: EngineGoals,
    ordering: Autoscaler,
    placement: Placement,
    stale: Option<StaleInput>,
}

impl Duty {
    /// Loads the orders that earlier holders left outstanding.
    async fn load(
        context: &DutyContext,
        options: PlacementDutyOptions,
    ) -> Result<Self, PlatformError> {
        let client = &context.client;
        let ordering = Autoscaler::load(
            client,
            options.order_policy,
            options.ordering,
            options.delay,
        );
        Ok(Self {
            epoch: context.permit.epoch(),
            options,
            engines: EngineGoals::load(client).await?,
            ordering: ordering.await?,
            placement: Placement::new(options.placement_policy, options.placement),
            stale: None,
        })
    }

    fn is_current(&self, context: &DutyContext) -> bool {
        let stale = self.engines.is_stale() || self.ordering.is_stale();
        self.epoch == context.permit.epoch() && !stale
    }

    async fn round(
        &mut self,
        context: &DutyContext,
        facts: impl Fn() -> FleetSnapshot,
    ) -> Result<(), PlatformError> {
        let orders = context.client.orders().await?;
        let listed_at = context.now();
        let servers = context.client.servers().await?;
        self.ordering.settle(context, &orders, &servers).await;
        let options = self.options.engines;
        self.engines.advance(context, &options, &servers).await;
        let facts = facts();
        if !self.is_fresh(&facts, listed_at, context.now()) {
            return Ok(());
        }
        self.ordering.observe(&facts);
        for plan in &facts.plans {
            let line = (&mut self.engines, &options);
            self.ordering
                .act(context, line, &facts, plan, &servers)
                .await?;
            let line = (&mut self.engines, &options);
            self.placement
                .act(context, line, &facts, plan, &servers)
                .await?;
        }
        Ok(())
    }

    /// Returns whether the inputs are fresh; logs only changes of the result.
    fn is_fresh(&mut self, facts: &FleetSnapshot, listed_at: Instant, now: Instant) -> bool {
        let inputs = DecisionInputs {
            demand_at: facts.demand.measured_at,
            reporting_nodes: facts.demand.reporting_nodes,
            known_nodes: facts.demand.known_nodes,
            listed_at,
        };
        let stale = check_fresh(inputs, now).err();
        if stale != self.stale {
            match stale {
                Some(reason) => log::info!("placement choice=order_nothing reason=\"{reason}\""),
                None => log::info!("placement choice=go_on reason=\"inputs are fresh\""),
            }
            self.stale = stale;
        }
        stale.is_none()
    }
}
