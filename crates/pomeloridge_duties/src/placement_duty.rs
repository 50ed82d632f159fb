//! Runs the placement duty: autoscaling, and placement of roles and models.
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
    pub interval: Duration,
    /// Initial estimate of the time from an order until the server is ready.
    pub provisioning_delay: Duration,
    /// Settings of autoscaling.
    pub autoscaling: AutoscalingOptions,
    /// Policy of autoscaling.
    pub autoscaling_policy: AutoscalingPolicy,
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
            interval: Duration::from_secs(1),
            provisioning_delay: Duration::from_mins(1),
            autoscaling: AutoscalingOptions::default(),
            autoscaling_policy: AutoscalingPolicy::default(),
            placement: PlacementOptions::default(),
            placement_policy: PlacementPolicy::default(),
            engines: EngineGoalOptions::default(),
        }
    }
}

/// Scales servers and places roles while the lease is held, until `stopping` returns true.
///
/// `snapshot` is called once a round for the current state of the fleet.
pub async fn run_placement(
    client: Client,
    authority: Authority,
    meter: Meter,
    snapshot: impl Fn() -> FleetSnapshot,
    options: PlacementDutyOptions,
    stopping: impl Fn() -> bool,
) {
    let mut duty: Option<Duty> = None;
    while !stopping() {
        monoio::time::sleep(options.interval).await;
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
        let mut current = match duty.take().filter(|duty| duty.is_current(&context)) {
            Some(current) => current,
            None => match Duty::load(&context, options).await {
                Ok(loaded) => loaded,
                Err(error) => {
                    log::warn!(
                        "placement choice=wait reason=\"outstanding orders cannot be read\" error={error:?}"
                    );
                    continue;
                }
            },
        };
        if let Err(error) = current.round(&context, &snapshot).await {
            log::warn!("placement choice=wait error={error:?}");
        }
        duty = Some(current);
    }
}

/// State of the duty while one holder has the lease.
struct Duty {
    epoch: Epoch,
    options: PlacementDutyOptions,
    engines: EngineGoals,
    autoscaler: Autoscaler,
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
        let autoscaler = Autoscaler::load(
            client,
            options.autoscaling_policy,
            options.autoscaling,
            options.provisioning_delay,
        );
        Ok(Self {
            epoch: context.permit.epoch(),
            options,
            engines: EngineGoals::load(client).await?,
            autoscaler: autoscaler.await?,
            placement: Placement::new(options.placement_policy, options.placement),
            stale: None,
        })
    }

    fn is_current(&self, context: &DutyContext) -> bool {
        let stale = self.engines.is_stale() || self.autoscaler.is_stale();
        self.epoch == context.permit.epoch() && !stale
    }

    async fn round(
        &mut self,
        context: &DutyContext,
        snapshot: impl Fn() -> FleetSnapshot,
    ) -> Result<(), PlatformError> {
        let orders = context.client.orders().await?;
        let listed_at = context.now();
        let servers = context.client.servers().await?;
        self.autoscaler.settle(context, &orders, &servers).await;
        let options = self.options.engines;
        self.engines.advance(context, &options, &servers).await;
        let snapshot = snapshot();
        if !self.is_fresh(&snapshot, listed_at, context.now()) {
            return Ok(());
        }
        self.autoscaler.observe(&snapshot);
        for config in &snapshot.pools {
            let goals = (&mut self.engines, &options);
            self.autoscaler
                .reconcile(context, goals, &snapshot, config, &servers)
                .await?;
            let goals = (&mut self.engines, &options);
            self.placement
                .reconcile(context, goals, &snapshot, config, &servers)
                .await?;
        }
        Ok(())
    }

    /// Returns whether the inputs are fresh; logs only changes of the result.
    fn is_fresh(&mut self, snapshot: &FleetSnapshot, listed_at: Instant, now: Instant) -> bool {
        let inputs = DecisionInputs {
            demand_at: snapshot.demand.measured_at,
            reporting_nodes: snapshot.demand.reporting_nodes,
            known_nodes: snapshot.demand.known_nodes,
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
