//! Orders to engines: at most one goal an engine, kept as an intent and carried
//! on by whoever holds the duty.
//!
//! The identifiers of a goal's orders come from its intent, so that a new
//! holder begins the goal anew with the same orders, and an engine that has
//! had some of them takes them as repeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_base::meter::Counter;
use pomeloridge_platform::intent::{
    self, ENGINE_INTENTS, Kept, Recorded, Settlement, Slot, read_intents, settlement,
};
use pomeloridge_platform::{BackendServer, Client, PlatformError};

use crate::autoscaling_view::Drain;
use crate::engine_order::{DutyContext, Progress, ended, send};
use crate::goal::Goal;

/// Time after a goal's end for which load reports may still be from before it.
const REPORT_LAG: Duration = Duration::from_secs(5);

/// Settings of the orders to engines.
#[derive(Clone, Copy, Debug)]
pub struct EngineGoalOptions {
    /// Time after which an engine is taken to be drained though it still has work.
    pub drain_limit: Duration,
    /// Time after which a goal that is not reached is given up.
    pub deadline: Duration,
    /// Longest time that an order of an earlier holder may still take to arrive and end,
    /// at engines that don't check fencing numbers.
    pub longest_order: Duration,
}

impl Default for EngineGoalOptions {
    fn default() -> Self {
        Self {
            drain_limit: Duration::from_mins(1),
            deadline: Duration::from_mins(5),
            longest_order: Duration::from_secs(30),
        }
    }
}

/// How far a goal has come in this holding.
#[derive(Clone, Debug)]
struct Run {
    count: u64,
    step: usize,
    accepted: Option<Instant>,
    began: Instant,
}

/// The goals of all engines.
#[derive(Debug, Default)]
pub(crate) struct EngineGoals {
    kept: BTreeMap<Name, Kept<Goal>>,
    runs: BTreeMap<Name, Run>,
    drained: BTreeMap<Name, Instant>,
    ended: BTreeMap<Name, Instant>,
    stale: bool,
}

impl EngineGoals {
    /// Reads the goals of earlier holders.
    pub(crate) async fn load(client: &Client) -> Result<Self, PlatformError> {
        let kept = read_intents::<Goal>(client, ENGINE_INTENTS).await?;
        let named = kept.into_iter().map(|kept| (kept.slot.id().into(), kept));
        Ok(Self {
            kept: named.collect(),
            ..Self::default()
        })
    }

    /// Whether the outcome of a write is unknown, so that all must be read again.
    pub(crate) fn is_stale(&self) -> bool {
        self.stale
    }

    /// Whether a goal of an engine is outstanding.
    pub(crate) fn is_open(&self, engine: &Name) -> bool {
        let kept = self.kept.get(engine);
        kept.is_some_and(|kept| kept.intent.is_open())
    }

    /// Whether a goal is outstanding, or ended so lately that load reports may not show it.
    pub(crate) fn is_changing(&self, engine: &Name, now: Instant) -> bool {
        let ended = self.ended.get(engine);
        let lately = |at: &Instant| now.saturating_duration_since(*at) < REPORT_LAG;
        self.is_open(engine) || ended.is_some_and(lately)
    }

    /// Loads of models that are outstanding.
    pub(crate) fn open_load_count(&self) -> usize {
        let loads = self
            .kept
            .values()
            .filter(|kept| kept.intent.is_open() && matches!(kept.intent.order, Goal::Load { .. }));
        loads.count()
    }

    /// The drain of an engine for a release, if one was ordered.
    pub(crate) fn release_drain(&mut self, engine: &Name, now: Instant) -> Option<Drain> {
        let kept = self.kept.get(engine)?;
        if kept.intent.order != Goal::Release {
            self.drained.remove(engine);
            return None;
        }
        let since = *self.drained.entry(engine.clone()).or_insert(now);
        Some(Drain {
            time: now.saturating_duration_since(since),
            ended: !kept.intent.is_open(),
        })
    }

    /// Writes a goal for an engine that has none outstanding.
    pub(crate) async fn begin(
        &mut self,
        context: &DutyContext,
        options: &EngineGoalOptions,
        engine: &Name,
        goal: Goal,
    ) -> Result<(), PlatformError> {
        if self.is_open(engine) || self.stale {
            return Ok(());
        }
        let is_role = matches!(goal, Goal::Role { .. });
        let current = self.kept.get(engine);
        let recorded = intent::begin(
            &context.client,
            &context.permit,
            Slot::engine(engine),
            current,
            goal,
            options.deadline,
        );
        let recorded = recorded.await?;
        if is_role && matches!(recorded, Recorded::Written(_)) {
            context.meter.one(Counter::RoleChanges);
        }
        self.take_in(engine, recorded);
        Ok(())
    }

    /// Carries every outstanding goal on by one step.
    pub(crate) async fn advance(
        &mut self,
        context: &DutyContext,
        options: &EngineGoalOptions,
        servers: &[BackendServer],
    ) {
        let open = self.kept.iter().filter(|(_, kept)| kept.intent.is_open());
        let engines: Vec<Name> = open.map(|(engine, _)| engine.clone()).collect();
        for engine in engines {
            let server = servers.iter().find(|server| server.id == engine);
            let result = match server {
                Some(server) => self.carry_on(context, options, server).await,
                None => self.finish(context, &engine, "engine is gone").await,
            };
            if let Err(error) = result {
                log::warn!("placement engine={engine} choice=retry error={error:?}");
            }
        }
    }

    async fn carry_on(
        &mut self,
        context: &DutyContext,
        options: &EngineGoalOptions,
        server: &BackendServer,
    ) -> Result<(), PlatformError> {
        let wait = context.authority.order_wait(options.longest_order);
        if !server.checks_fence && !wait.is_zero() {
            let wait_ms = wait.as_millis();
            log::debug!(
                "placement engine={} choice=wait wait_ms={wait_ms}",
                server.id
            );
            return Ok(());
        }
        let engine = &server.id;
        let Some(kept) = self.kept.get(engine).cloned() else {
            return Ok(());
        };
        match settlement(&kept.intent, context.permit.epoch(), Duration::ZERO) {
            Settlement::Own => {}
            Settlement::TakeOn => {
                let recorded = intent::take_on(&context.client, &context.permit, &kept).await?;
                self.take_in(engine, recorded);
                return Ok(());
            }
            Settlement::Free | Settlement::Overdue | Settlement::Superseded => return Ok(()),
        }
        self.step(context, options, server.address, &kept).await
    }

    /// Sends the order of the present step, or looks whether it has ended.
    async fn step(
        &mut self,
        context: &DutyContext,
        options: &EngineGoalOptions,
        address: SocketAddr,
        kept: &Kept<Goal>,
    ) -> Result<(), PlatformError> {
        let engine = Name::from(kept.slot.id());
        let steps = kept.intent.order.steps();
        let now = context.now();
        let mut run = self.run(&engine, kept.intent.count, now);
        let overdue = now.saturating_duration_since(run.began) >= options.deadline;
        if overdue && run.step + 1 < steps.len() {
            // The last step lets the engine serve again.
            log::warn!(
                "placement engine={engine} choice=give_up goal=\"{}\"",
                kept.intent.order
            );
            run.step = steps.len() - 1;
            run.accepted = None;
        }
        let action = steps[run.step].clone();
        match run.accepted {
            None => run.accepted = send(context, address, kept, &action).await?.then_some(now),
            Some(at) => {
                let waited = now.saturating_duration_since(at);
                match ended(address, &action, waited >= options.drain_limit).await {
                    Progress::Ended => {
                        run.step += 1;
                        run.accepted = None;
                    }
                    Progress::Running => {}
                    Progress::Forgotten => run.accepted = None,
                }
            }
        }
        let finished = run.step >= steps.len();
        self.runs.insert(engine.clone(), run);
        if finished {
            self.finish(context, &engine, "goal is reached").await?;
        }
        Ok(())
    }

    fn run(&self, engine: &Name, count: u64, now: Instant) -> Run {
        let run = self.runs.get(engine).filter(|run| run.count == count);
        run.cloned().unwrap_or(Run {
            count,
            step: 0,
            accepted: None,
            began: now,
        })
    }

    async fn finish(
        &mut self,
        context: &DutyContext,
        engine: &Name,
        reason: &str,
    ) -> Result<(), PlatformError> {
        let Some(kept) = self.kept.get(engine).cloned() else {
            return Ok(());
        };
        log::info!(
            "placement engine={engine} goal=\"{}\" choice=finish reason=\"{reason}\"",
            kept.intent.order
        );
        let recorded = intent::finish(&context.client, &kept).await?;
        self.take_in(engine, recorded);
        self.runs.remove(engine);
        self.ended.insert(engine.clone(), context.now());
        Ok(())
    }

    fn take_in(&mut self, engine: &Name, recorded: Recorded<Goal>) {
        match recorded {
            Recorded::Written(kept) | Recorded::Changed(kept) => {
                self.kept.insert(engine.clone(), kept);
            }
            Recorded::Unconfirmed => self.stale = true,
        }
    }
}
