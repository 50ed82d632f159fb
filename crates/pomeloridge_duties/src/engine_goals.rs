//! Goals of engines, such as a change of role. Each engine has at most one outstanding goal,
//! stored as an intent and pursued by whichever node holds the duty's lease.
//!
//! The ids of a goal's orders derive from its intent. A new holder therefore starts the goal
//! again with the same orders, and an engine recognises those it already has as repeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_base::meter::Counter;
use pomeloridge_platform::intent::{
    self, ENGINE_INTENTS, Slot, SlotStatus, StoredIntent, WriteOutcome, read_intents, slot_status,
};
use pomeloridge_platform::{BackendServer, Client, PlatformError};

use crate::autoscaling_view::Drain;
use crate::engine_order::{DutyContext, OrderProgress, check_progress, send};
use crate::goal::Goal;

/// Time for which load reports may still show the state before a finished goal.
const LOAD_REPORT_LAG: Duration = Duration::from_secs(5);

/// Settings of engine goals.
#[derive(Clone, Copy, Debug)]
pub struct EngineGoalOptions {
    /// Time after which an engine counts as drained even if requests are still running.
    pub drain_timeout: Duration,
    /// Time after which a goal is abandoned.
    pub goal_timeout: Duration,
    /// Maximum time that an order of an earlier holder may take to arrive and finish at an
    /// engine that doesn't check fencing tokens.
    pub longest_order: Duration,
}

impl Default for EngineGoalOptions {
    fn default() -> Self {
        Self {
            drain_timeout: Duration::from_mins(1),
            goal_timeout: Duration::from_mins(5),
            longest_order: Duration::from_secs(30),
        }
    }
}

/// Progress of a goal in this tenure of the lease.
#[derive(Clone, Debug)]
struct GoalProgress {
    /// Number of the goal within the engine's slot.
    goal_number: u64,
    /// Index of the current step.
    step: usize,
    /// When the engine accepted the order of the current step.
    accepted_at: Option<Instant>,
    started_at: Instant,
}

/// The goals of all engines.
#[derive(Debug, Default)]
pub(crate) struct EngineGoals {
    intents: BTreeMap<Name, StoredIntent<Goal>>,
    progress: BTreeMap<Name, GoalProgress>,
    /// When this holder first saw each engine's drain for a release.
    release_drains: BTreeMap<Name, Instant>,
    /// When each engine's last goal was finished.
    finished_at: BTreeMap<Name, Instant>,
    stale: bool,
}

impl EngineGoals {
    /// Reads the goals of earlier lease holders.
    pub(crate) async fn load(client: &Client) -> Result<Self, PlatformError> {
        let stored = read_intents::<Goal>(client, ENGINE_INTENTS).await?;
        let by_engine = stored
            .into_iter()
            .map(|stored| (stored.slot.id().into(), stored));
        Ok(Self {
            intents: by_engine.collect(),
            ..Self::default()
        })
    }

    /// Returns whether the outcome of a write is unknown, so that the intents must be read
    /// again.
    pub(crate) fn is_stale(&self) -> bool {
        self.stale
    }

    /// Returns whether an engine has an outstanding goal.
    pub(crate) fn is_open(&self, engine: &Name) -> bool {
        let stored = self.intents.get(engine);
        stored.is_some_and(|stored| stored.intent.is_open())
    }

    /// Returns whether an engine has an outstanding goal, or one that finished so recently
    /// that load reports may not reflect it.
    pub(crate) fn is_changing(&self, engine: &Name, now: Instant) -> bool {
        let finished_at = self.finished_at.get(engine);
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < LOAD_REPORT_LAG;
        self.is_open(engine) || finished_at.is_some_and(is_recent)
    }

    /// Counts the outstanding goals to load a model.
    pub(crate) fn open_load_count(&self) -> usize {
        let loads = self.intents.values().filter(|stored| {
            stored.intent.is_open() && matches!(stored.intent.order, Goal::Load { .. })
        });
        loads.count()
    }

    /// Returns the drain that precedes an engine's release, if one was ordered.
    pub(crate) fn release_drain(&mut self, engine: &Name, now: Instant) -> Option<Drain> {
        let stored = self.intents.get(engine)?;
        if stored.intent.order != Goal::Release {
            self.release_drains.remove(engine);
            return None;
        }
        let since = *self.release_drains.entry(engine.clone()).or_insert(now);
        Some(Drain {
            elapsed: now.saturating_duration_since(since),
            finished: !stored.intent.is_open(),
        })
    }

    /// Writes a goal for an engine. Does nothing if the engine has an outstanding goal.
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
        let is_role_change = matches!(goal, Goal::Role { .. });
        let current = self.intents.get(engine);
        let outcome = intent::begin(
            &context.client,
            &context.permit,
            Slot::engine(engine),
            current,
            goal,
            options.goal_timeout,
        );
        let outcome = outcome.await?;
        if is_role_change && matches!(outcome, WriteOutcome::Written(_)) {
            context.meter.increment(Counter::RoleChanges);
        }
        self.apply(engine, outcome);
        Ok(())
    }

    /// Sends or checks the current step of every outstanding goal.
    pub(crate) async fn advance(
        &mut self,
        context: &DutyContext,
        options: &EngineGoalOptions,
        servers: &[BackendServer],
    ) {
        let open = self
            .intents
            .iter()
            .filter(|(_, stored)| stored.intent.is_open());
        let engines: Vec<Name> = open.map(|(engine, _)| engine.clone()).collect();
        for engine in engines {
            let server = servers.iter().find(|server| server.id == engine);
            let result = match server {
                Some(server) => self.advance_engine(context, options, server).await,
                None => {
                    self.finish(context, &engine, "engine is no longer listed")
                        .await
                }
            };
            if let Err(error) = result {
                log::warn!("placement engine={engine} choice=retry error={error:?}");
            }
        }
    }

    async fn advance_engine(
        &mut self,
        context: &DutyContext,
        options: &EngineGoalOptions,
        server: &BackendServer,
    ) -> Result<(), PlatformError> {
        let wait = context.authority.unfenced_wait(options.longest_order);
        if !server.checks_fence && !wait.is_zero() {
            let wait_ms = wait.as_millis();
            log::debug!(
                "placement engine={} choice=wait wait_ms={wait_ms}",
                server.id
            );
            return Ok(());
        }
        let engine = &server.id;
        let Some(stored) = self.intents.get(engine).cloned() else {
            return Ok(());
        };
        match slot_status(&stored.intent, context.permit.epoch(), Duration::ZERO) {
            SlotStatus::Own => {}
            SlotStatus::Inherited => {
                let outcome = intent::adopt(&context.client, &context.permit, &stored).await?;
                self.apply(engine, outcome);
                return Ok(());
            }
            SlotStatus::Free | SlotStatus::Overdue | SlotStatus::Superseded => return Ok(()),
        }
        self.advance_step(context, options, server.address, &stored)
            .await
    }

    /// Sends the order of the current step, or checks whether it has finished.
    async fn advance_step(
        &mut self,
        context: &DutyContext,
        options: &EngineGoalOptions,
        address: SocketAddr,
        stored: &StoredIntent<Goal>,
    ) -> Result<(), PlatformError> {
        let engine = Name::from(stored.slot.id());
        let steps = stored.intent.order.steps();
        let now = context.now();
        let mut progress = self.current_progress(&engine, stored.intent.number, now);
        let overdue = now.saturating_duration_since(progress.started_at) >= options.goal_timeout;
        if overdue && progress.step + 1 < steps.len() {
            // Skips to the last step, which puts the engine back into service.
            log::warn!(
                "placement engine={engine} choice=give_up goal=\"{}\"",
                stored.intent.order
            );
            progress.step = steps.len() - 1;
            progress.accepted_at = None;
        }
        let action = steps[progress.step].clone();
        match progress.accepted_at {
            None => {
                progress.accepted_at = send(context, address, stored, &action)
                    .await?
                    .then_some(now);
            }
            Some(at) => {
                let waited = now.saturating_duration_since(at);
                match check_progress(address, &action, waited >= options.drain_timeout).await {
                    OrderProgress::Finished => {
                        progress.step += 1;
                        progress.accepted_at = None;
                    }
                    OrderProgress::Running => {}
                    OrderProgress::Lost => progress.accepted_at = None,
                }
            }
        }
        let finished = progress.step >= steps.len();
        self.progress.insert(engine.clone(), progress);
        if finished {
            self.finish(context, &engine, "goal is reached").await?;
        }
        Ok(())
    }

    /// Returns the progress of an engine's goal, which starts at the first step.
    fn current_progress(&self, engine: &Name, goal_number: u64, now: Instant) -> GoalProgress {
        let progress = self
            .progress
            .get(engine)
            .filter(|progress| progress.goal_number == goal_number);
        progress.cloned().unwrap_or(GoalProgress {
            goal_number,
            step: 0,
            accepted_at: None,
            started_at: now,
        })
    }

    async fn finish(
        &mut self,
        context: &DutyContext,
        engine: &Name,
        reason: &str,
    ) -> Result<(), PlatformError> {
        let Some(stored) = self.intents.get(engine).cloned() else {
            return Ok(());
        };
        log::info!(
            "placement engine={engine} goal=\"{}\" choice=finish reason=\"{reason}\"",
            stored.intent.order
        );
        let outcome = intent::finish(&context.client, &stored).await?;
        self.apply(engine, outcome);
        self.progress.remove(engine);
        self.finished_at.insert(engine.clone(), context.now());
        Ok(())
    }

    fn apply(&mut self, engine: &Name, outcome: WriteOutcome<Goal>) {
        match outcome {
            WriteOutcome::Written(stored) | WriteOutcome::Changed(stored) => {
                self.intents.insert(engine.clone(), stored);
            }
            WriteOutcome::Unconfirmed => self.stale = true,
        }
    }
}
