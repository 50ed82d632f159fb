//! What is done to a deployment while callers use it, drawn from a seed.

use derive_more::Display;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use super::faults::{
    duties, engine_crash, engine_fault, leave, node_crash, node_pause, pair, partition, platform,
    service_fault, silent_link, step, stops,
};
use super::record::Expectation;
use crate::launch::RelayMode;

/// A kind of run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Scenario {
    /// No fault; operators race and withdraw a key.
    #[display("healthy")]
    Healthy,
    /// Nodes are stopped in the middle of streams, one or all in turn, and others
    /// take their places.
    #[display("planned-stop")]
    PlannedStop,
    /// A backend server is marked as leaving.
    #[display("leaving")]
    Leaving,
    /// An engine is killed in the middle of streams and started again.
    #[display("engine-crash")]
    EngineCrash,
    /// An engine truncates, crosses, refuses, or turns silent.
    #[display("engine-fault")]
    EngineFault,
    /// A service cuts, crosses, refuses, turns silent, or is killed.
    #[display("service-fault")]
    ServiceFault,
    /// A node is killed and started again.
    #[display("node-crash")]
    NodeCrash,
    /// A node is paused while a key is withdrawn.
    #[display("node-pause")]
    NodePause,
    /// The platform is down, slow, or loses answers.
    #[display("platform")]
    Platform,
    /// The way from a node to the platform is cut, silent or slow.
    #[display("partition")]
    Partition,
    /// One prompt crashes each engine that runs it, and is sent again.
    #[display("poison")]
    Poison,
    /// The cheap servers of a data centre are taken away.
    #[display("reclaim")]
    Reclaim,
    /// Orders are wanted while their giver is paused past its lease and killed,
    /// and the platform loses answers.
    #[display("duties")]
    Duties,
    /// The way to a backend server turns silent for a while, or its open
    /// connections do for good.
    #[display("silent-link")]
    SilentLink,
    /// More callers than backend servers take, while an engine is killed, a service
    /// fails, or nodes are stopped.
    #[display("overload")]
    Overload,
    /// Two of the faults at once.
    #[display("pair")]
    Pair,
}

/// Something that is done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// SIGKILL to a node.
    KillNode(usize),
    /// Starts a node again, under its name, at new ports.
    RestartNode(usize),
    /// SIGSTOP to a node.
    PauseNode(usize),
    /// SIGCONT to a node.
    ResumeNode(usize),
    /// SIGTERM to a node, and another one in its index.
    StopNode(usize),
    /// SIGKILL to an engine.
    KillEngine(usize),
    /// Starts an engine at a new port and lists it.
    RestartEngine(usize),
    /// SIGKILL to a service.
    KillService(usize),
    /// Starts a service at a new port and lists it.
    RestartService(usize),
    /// SIGSTOP to an engine.
    PauseEngine(usize),
    /// SIGCONT to an engine.
    ResumeEngine(usize),
    /// SIGSTOP to a service.
    PauseService(usize),
    /// SIGCONT to a service.
    ResumeService(usize),
    /// Changes a switch of an engine.
    Engine(usize, Value),
    /// Changes a switch of a service.
    Service(usize, Value),
    /// Changes a switch of the platform.
    Platform(Value),
    /// Changes the relay before a node.
    Relay(usize, RelayMode),
    /// Makes the open connections of the relay before a node silent for good.
    Freeze(usize),
    /// Changes the relay before an engine.
    EngineLink(usize, RelayMode),
    /// Makes the open connections to an engine silent for good.
    FreezeEngine(usize),
    /// Changes the relay before a service.
    ServiceLink(usize, RelayMode),
    /// Makes the open connections to a service silent for good.
    FreezeService(usize),
    /// Marks an engine as leaving in the platform's list.
    ListLeaving(usize),
    /// Marks an engine as leaving in its own report.
    SayLeaving(usize),
    /// Marks an engine as leaving by an operator's exception.
    Drain(usize),
    /// Takes the cheap servers of a data centre away.
    Reclaim(&'static str),
    /// Withdraws a key in use.
    Withdraw,
    /// Starts the caller of a prompt that crashes engines.
    Poison,
    /// An operator's exception: identifier, kind, target, value.
    Except(&'static str, &'static str, String, String),
    /// SIGSTOP to the node that gives orders.
    PauseHolder,
    /// Changes the relay before the node that gives orders.
    RelayHolder(RelayMode),
    /// SIGKILL to the node that gives orders, and another start of it.
    KillHolder,
    /// SIGCONT to every node, and every relay passes bytes on.
    ResumeAll,
}

/// An action and when it is done.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time after the callers' start, in ms.
    pub after_ms: u64,
    /// Action.
    pub action: Action,
}

/// What is done in one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Acts, in order of time.
    pub steps: Vec<Step>,
    /// How long callers send, in ms.
    pub load_ms: u64,
    /// What callers may expect.
    pub expect: Expectation,
    /// Operators that race.
    pub racers: usize,
    /// Engines that can be ordered.
    pub spares: usize,
    /// Whether backend servers are reached through relays.
    pub relayed: bool,
    /// Callers that send at once.
    pub callers: u64,
    /// Whether backend servers take few requests at once.
    pub tight: bool,
}

/// Nodes of the deployment.
pub const NODES: usize = 3;
/// Engines of the deployment.
pub const ENGINES: usize = 3;
/// Services of the deployment.
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

    /// The scenario of a name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|known| known.to_string() == name)
    }

    /// What is done for a seed.
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
            Self::PlannedStop => (stops(rng, at), 5000, Expectation::All),
            Self::Leaving => (vec![step(at, leave(rng))], 5000, Expectation::All),
            Self::EngineCrash => (engine_crash(rng, at), 5000, Expectation::Completions),
            Self::Overload => match rng.random_range(0..3) {
                0 => (stops(rng, at), 5000, Expectation::All),
                1 => (service_fault(rng, at), 4000, Expectation::Completions),
                _ => (engine_crash(rng, at), 5000, Expectation::Completions),
            },
            Self::EngineFault => (engine_fault(rng, at), 5000, Expectation::Completions),
            Self::ServiceFault => (service_fault(rng, at), 4000, Expectation::Completions),
            Self::NodeCrash => (node_crash(rng, at), 5000, Expectation::Streams),
            Self::NodePause => {
                // Some pauses are longer than any time a withdrawn key may work.
                let long = rng.random_range(0..4) == 0;
                let pause = if long {
                    15_000
                } else {
                    rng.random_range(500..5500)
                };
                (
                    node_pause(rng, at, pause),
                    at + pause + 3500,
                    Expectation::Any,
                )
            }
            Self::Platform => (platform(rng, at), 6000, Expectation::Completions),
            Self::Partition => (partition(rng, at), 8000, Expectation::Completions),
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
            Self::Duties => (duties(rng), 12_000, Expectation::Any),
            Self::SilentLink => (silent_link(rng, at), 6000, Expectation::Completions),
            Self::Pair => (pair(rng, at), 9000, Expectation::Any),
        };
        let racers = match self {
            Self::Healthy => 3,
            Self::Platform | Self::Partition | Self::NodeCrash | Self::Pair => 2,
            _ => 0,
        };
        let spares = if self == Self::Duties { 4 } else { 0 };
        Plan {
            steps,
            load_ms: load,
            expect,
            racers,
            spares,
            callers: if self == Self::Overload { 28 } else { 8 },
            tight: self == Self::Overload,
            relayed: matches!(self, Self::Duties | Self::SilentLink | Self::Pair),
        }
    }
}
