//! Fault scenarios and the plans drawn for them from a seed.

use derive_more::Display;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use super::faults::{
    break_engine, break_platform, break_service, crash_engine, crash_node, disturb_duties,
    draw_pair, mark_leaving, partition_nodes, pause_node, silence_links, step, stop_nodes,
};
use super::record::Expectation;
use crate::launch::RelayMode;

/// Kind of fault or change that a run injects.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Scenario {
    /// No fault; operators change the configuration concurrently and withdraw a key.
    #[display("healthy")]
    Healthy,
    /// Nodes are stopped in the middle of streams, one, two or all in turn, and
    /// replaced.
    #[display("planned-stop")]
    PlannedStop,
    /// A backend server is marked as leaving.
    #[display("leaving")]
    Leaving,
    /// An engine is killed in the middle of streams and restarted.
    #[display("engine-crash")]
    EngineCrash,
    /// An engine truncates, mislabels or refuses responses, stops responding, or is paused.
    #[display("engine-fault")]
    EngineFault,
    /// A service interrupts, mislabels or refuses responses, stops responding, or is
    /// paused or killed.
    #[display("service-fault")]
    ServiceFault,
    /// A node is killed and restarted.
    #[display("node-crash")]
    NodeCrash,
    /// A node is paused while a key is withdrawn.
    #[display("node-pause")]
    NodePause,
    /// The platform is down, slow, or loses responses.
    #[display("platform")]
    Platform,
    /// The link between a node and the platform is cut, silent or slow.
    #[display("partition")]
    Partition,
    /// A prompt that crashes each engine that runs it is sent repeatedly.
    #[display("poison")]
    Poison,
    /// The preemptible servers of a data centre are reclaimed.
    #[display("reclaim")]
    Reclaim,
    /// Orders are due while the lease holder is paused past its lease or killed, and
    /// the platform loses responses.
    #[display("duties")]
    Duties,
    /// The link to a backend server is silent for a while, or its open connections
    /// are silent for good.
    #[display("silent-link")]
    SilentLink,
    /// Load exceeds the capacity of the backend servers while an engine is killed, a
    /// service fails, or nodes are stopped.
    #[display("overload")]
    Overload,
    /// Two faults at once.
    #[display("pair")]
    Pair,
}

/// Action on the deployment.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends SIGKILL to a node.
    KillNode(usize),
    /// Restarts a node under its name, at new ports.
    RestartNode(usize),
    /// Sends SIGSTOP to a node.
    PauseNode(usize),
    /// Sends SIGCONT to a node.
    ResumeNode(usize),
    /// Sends SIGTERM to a node and starts a replacement.
    StopNode(usize),
    /// Sends SIGKILL to an engine.
    KillEngine(usize),
    /// Restarts an engine at a new port and registers it with the platform.
    RestartEngine(usize),
    /// Sends SIGKILL to a service.
    KillService(usize),
    /// Restarts a service at a new port and registers it with the platform.
    RestartService(usize),
    /// Sends SIGSTOP to an engine.
    PauseEngine(usize),
    /// Sends SIGCONT to an engine.
    ResumeEngine(usize),
    /// Sends SIGSTOP to a service.
    PauseService(usize),
    /// Sends SIGCONT to a service.
    ResumeService(usize),
    /// Changes the fault settings of an engine.
    Engine(usize, Value),
    /// Changes the fault settings of a service.
    Service(usize, Value),
    /// Changes the fault settings of the platform.
    Platform(Value),
    /// Sets the mode of the relay between a node and the platform.
    Relay(usize, RelayMode),
    /// Silences the open connections between a node and the platform for good.
    Freeze(usize),
    /// Sets the mode of the relay in front of an engine.
    EngineLink(usize, RelayMode),
    /// Silences the open connections to an engine for good.
    FreezeEngine(usize),
    /// Sets the mode of the relay in front of a service.
    ServiceLink(usize, RelayMode),
    /// Silences the open connections to a service for good.
    FreezeService(usize),
    /// Marks an engine as leaving in the platform's list.
    ListLeaving(usize),
    /// Marks an engine as leaving in its own load report.
    SayLeaving(usize),
    /// Marks an engine as leaving by an operator's `drain` exception.
    Drain(usize),
    /// Reclaims the preemptible servers of a data centre.
    Reclaim(&'static str),
    /// Withdraws a key that is in use.
    Withdraw,
    /// Starts a caller that sends a prompt that crashes engines.
    Poison,
    /// Adds an operator's exception: identifier, kind, target, value.
    Except(&'static str, &'static str, String, String),
    /// Sends SIGSTOP to the holder of the placement lease.
    PauseHolder,
    /// Sets the mode of the relay between the lease holder and the platform.
    RelayHolder(RelayMode),
    /// Sends SIGKILL to the lease holder and restarts it.
    KillHolder,
    /// Sends SIGCONT to every node and lets their relays forward again.
    ResumeAll,
}

/// Action and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Delay after the callers' start, in ms.
    pub after_ms: u64,
    /// Action.
    pub action: Action,
}

/// Plan of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Steps, by time.
    pub steps: Vec<Step>,
    /// Duration for which callers send, in ms.
    pub load_ms: u64,
    /// Guarantee to callers.
    pub expect: Expectation,
    /// Number of operators that change the configuration concurrently.
    pub operators: usize,
    /// Number of spare engines that the platform can provide.
    pub spares: usize,
    /// Whether backend servers are reached through relays.
    pub relayed: bool,
    /// Number of concurrent callers.
    pub callers: u64,
    /// Whether backend servers have few slots.
    pub few_slots: bool,
}

/// Number of nodes in the deployment.
pub const NODES: usize = 3;
/// Number of engines in the deployment.
pub const ENGINES: usize = 3;
/// Number of services in the deployment.
pub const SERVICES: usize = 2;
/// Data centres of the deployment.
pub const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 16] = [
        Self::Healthy,
        Self::PlannedStop,
        Self::Leaving,
        Self::EngineCrash,
        Self::EngineFault,
        Self::ServiceFault,
        Self::NodeCrash,
        Self::NodePause,
        Self::Platform,
        Self::Partition,
        Self::Poison,
        Self::Reclaim,
        Self::Duties,
        Self::SilentLink,
        Self::Overload,
        Self::Pair,
    ];

    /// Returns the scenario with a name, such as `engine-crash`.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|known| known.to_string() == name)
    }

    /// Draws the plan for a seed.
    pub fn plan(self, seed: u64) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut plan = self.draw(&mut rng);
        plan.steps.sort_by_key(|step| step.after_ms);
        plan
    }

    fn draw(self, rng: &mut StdRng) -> Plan {
        let at = rng.random_range(600..1400);
        let (steps, load, expect) = match self {
            Self::Healthy => (vec![step(at, Action::Withdraw)], 4000, Expectation::All),
            Self::PlannedStop => (stop_nodes(rng, at), 5000, Expectation::All),
            Self::Leaving => (vec![step(at, mark_leaving(rng))], 5000, Expectation::All),
            Self::EngineCrash => (crash_engine(rng, at), 5000, Expectation::Completions),
            Self::Overload => match rng.random_range(0..3) {
                0 => (stop_nodes(rng, at), 5000, Expectation::All),
                1 => (break_service(rng, at), 4000, Expectation::Completions),
                _ => (crash_engine(rng, at), 5000, Expectation::Completions),
            },
            Self::EngineFault => (break_engine(rng, at), 5000, Expectation::Completions),
            Self::ServiceFault => (break_service(rng, at), 4000, Expectation::Completions),
            Self::NodeCrash => (crash_node(rng, at), 5000, Expectation::Streams),
            Self::NodePause => {
                // Some pauses outlast the time for which a withdrawn key may work.
                let long = rng.random_range(0..4) == 0;
                let pause = if long {
                    15_000
                } else {
                    rng.random_range(500..5500)
                };
                (
                    pause_node(rng, at, pause),
                    at + pause + 3500,
                    Expectation::Any,
                )
            }
            Self::Platform => (break_platform(rng, at), 6000, Expectation::Completions),
            Self::Partition => (partition_nodes(rng, at), 8000, Expectation::Completions),
            Self::Poison => (
                vec![step(at, Action::Poison)],
                7000,
                Expectation::Completions,
            ),
            Self::Reclaim => {
                let centre = DATA_CENTRES[rng.random_range(0..DATA_CENTRES.len())];
                (
                    vec![step(at, Action::Reclaim(centre))],
                    5000,
                    Expectation::Completions,
                )
            }
            Self::Duties => (disturb_duties(rng), 12_000, Expectation::Any),
            Self::SilentLink => (silence_links(rng, at), 6000, Expectation::Completions),
            Self::Pair => (draw_pair(rng, at), 9000, Expectation::Any),
        };
        let operators = match self {
            Self::Healthy => 3,
            Self::Platform | Self::Partition | Self::NodeCrash | Self::Pair => 2,
            _ => 0,
        };
        let spares = if self == Self::Duties { 4 } else { 0 };
        Plan {
            steps,
            load_ms: load,
            expect,
            operators,
            spares,
            callers: if self == Self::Overload { 28 } else { 8 },
            few_slots: self == Self::Overload,
            relayed: matches!(self, Self::Duties | Self::SilentLink | Self::Pair),
        }
    }
}
