//! Tests of the autoscaling decisions and their inputs.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use pomeloridge_base::config::{Exception, ExceptionKind, FleetConfig, ModelConfig};
use pomeloridge_base::id::Name;
use pomeloridge_duties::autoscaling::{AutoscalingOptions, decide};
use pomeloridge_duties::autoscaling_baseline::AutoscalingPolicy;
use pomeloridge_duties::autoscaling_view::{
    Drain, PendingServer, PoolView, Prices, ScalingAction, ScalingDecision, ScalingReason,
    ServerView,
};
use pomeloridge_duties::demand::{Demand, DemandHistory};
use pomeloridge_duties::freshness::{DecisionInputs, StaleInput, check_fresh};
use pomeloridge_duties::pool_config::{PoolConfig, ServerRates, pool_configs};
use pomeloridge_policy::server::{ServerKind, ServerState};
use proptest::prelude::*;
use yare::parameterized;

use crate::support::config;

const RATES: ServerRates = ServerRates {
    prefill: 4000.0,
    decode: 400.0,
};
const PROVISIONING_DELAY: Duration = Duration::from_mins(1);
const PRICES: Prices = Prices {
    preemptible: Some(0.3),
    on_demand: Some(1.0),
};

fn pool_config(floor: u32, ceiling: u32) -> PoolConfig {
    PoolConfig {
        name: "chat".into(),
        floor,
        ceiling,
        held: false,
        rates: Some(RATES),
    }
}

fn names(list: &[&str]) -> BTreeSet<Name> {
    list.iter().map(|name| Name::from(*name)).collect()
}

fn server(id: usize, data_centre: &str, preemptible: bool) -> ServerView {
    ServerView {
        id: format!("chat-{id:02}").into(),
        data_centre: data_centre.into(),
        kind: ServerKind::Engine,
        preemptible,
        hourly_price: if preemptible { 0.3 } else { 1.0 },
        state: ServerState::Ready,
        load: 1,
        drain: None,
        excluded: false,
        reachable: true,
    }
}

/// Builds a history with one sample per second, which changes linearly from `from` to `to`
/// busy servers over `seconds`.
fn history(seconds: u64, from: f64, to: f64) -> DemandHistory {
    let begin = Instant::now();
    let mut history = DemandHistory::default();
    for second in 0..=seconds {
        let part = second as f64 / seconds as f64;
        let at = begin + Duration::from_secs(second);
        history.push(at, from + part * (to - from), Duration::from_mins(10));
    }
    history
}

/// Pool to which each decision is applied immediately.
struct Pool {
    config: PoolConfig,
    history: DemandHistory,
    servers: Vec<ServerView>,
    pending: Vec<PendingServer>,
    data_centres: BTreeSet<Name>,
    recently_reclaimed: BTreeSet<Name>,
}

impl Pool {
    fn new(config: PoolConfig, history: DemandHistory, servers: Vec<ServerView>) -> Self {
        Self {
            config,
            history,
            servers,
            pending: Vec::new(),
            data_centres: names(&["a", "b", "c"]),
            recently_reclaimed: BTreeSet::new(),
        }
    }

    fn view(&self) -> PoolView<'_> {
        PoolView {
            config: &self.config,
            history: &self.history,
            servers: &self.servers,
            pending: &self.pending,
            data_centres: &self.data_centres,
            recently_reclaimed: &self.recently_reclaimed,
            provisioning_delay: PROVISIONING_DELAY,
            prices: PRICES,
        }
    }

    fn decide(&self) -> Vec<ScalingDecision> {
        decide(&self.view(), &AutoscalingOptions::default())
    }

    fn apply(&mut self, action: &ScalingAction) {
        match action {
            ScalingAction::Add {
                data_centre,
                preemptible,
            } => {
                let id = self.servers.len();
                self.servers
                    .push(server(id, data_centre.as_str(), *preemptible));
            }
            ScalingAction::Drain(id) => {
                let server = self
                    .servers
                    .iter_mut()
                    .find(|server| server.id == *id)
                    .unwrap();
                server.load = 0;
                server.drain = Some(Drain {
                    elapsed: Duration::ZERO,
                    finished: true,
                });
            }
            ScalingAction::Release(id) => self.servers.retain(|server| server.id != *id),
            ScalingAction::Resume(id) => {
                let server = self
                    .servers
                    .iter_mut()
                    .find(|server| server.id == *id)
                    .unwrap();
                server.drain = None;
            }
        }
    }

    /// Applies decisions until none is left.
    fn settle(&mut self) {
        for _ in 0..500 {
            let decisions = self.decide();
            if decisions.is_empty() {
                return;
            }
            for decision in decisions {
                self.apply(&decision.action);
            }
        }
        panic!("the pool does not reach a steady state");
    }

    fn total(&self) -> usize {
        self.servers.len()
    }

    /// Servers left after the data centre with the most preemptible servers loses them.
    fn after_loss(&self) -> usize {
        let preemptible = |data_centre: &Name| {
            let servers = self.servers.iter();
            servers
                .filter(|server| server.preemptible && server.data_centre == *data_centre)
                .count()
        };
        self.total() - self.data_centres.iter().map(preemptible).max().unwrap_or(0)
    }
}

fn added_servers(decisions: &[ScalingDecision]) -> Vec<(&str, bool)> {
    let is_add = |decision: &ScalingDecision| matches!(decision.action, ScalingAction::Add { .. });
    assert!(decisions.iter().all(is_add), "{decisions:?}");
    let placements = decisions.iter().map(|decision| match &decision.action {
        ScalingAction::Add {
            data_centre,
            preemptible,
        } => (data_centre.as_str(), *preemptible),
        _ => unreachable!(),
    });
    placements.collect()
}

#[test]
fn preemptible_servers_are_spread_until_the_loss_of_one_data_centre_is_covered() {
    let mut pool = Pool::new(pool_config(0, 64), history(400, 5.4, 5.4), Vec::new());
    pool.settle();
    assert_eq!(pool.after_loss(), 6);
    assert_eq!(pool.total(), 9);
    assert!(pool.servers.iter().all(|server| server.preemptible));
}

#[parameterized(flat = { 7.0, 10 }, rising = { 5.0, 13 }, falling = { 9.0, 11 })]
fn servers_are_ordered_ahead_of_rising_demand(minute_ago: f64, servers: usize) {
    let mut pool = Pool::new(pool_config(0, 64), history(60, minute_ago, 7.0), Vec::new());
    pool.data_centres = names(&["a"]);
    pool.settle();
    assert_eq!(pool.total(), servers);
    assert!(
        pool.servers.iter().all(|server| !server.preemptible),
        "a single data centre gets no preemptible servers"
    );
}

#[parameterized(
    floor = { 3, 8, 0.0, 3, ScalingReason::Floor },
    ceiling = { 1, 4, 40.0, 4, ScalingReason::Floor },
    open_orders = { 0, 64, 40.0, 8, ScalingReason::Forecast },
)]
fn additions_respect_floor_ceiling_and_open_order_limit(
    floor: u32,
    ceiling: u32,
    busy: f64,
    count: usize,
    first: ScalingReason,
) {
    let pool = Pool::new(
        pool_config(floor, ceiling),
        history(400, busy, busy),
        Vec::new(),
    );
    let decisions = pool.decide();
    assert_eq!(decisions.len(), count, "{decisions:?}");
    assert_eq!(decisions[0].reason, first);
}

#[test]
fn on_demand_servers_are_ordered_after_reclaims_in_all_but_one_data_centre() {
    let mut pool = Pool::new(pool_config(2, 8), history(400, 0.0, 0.0), Vec::new());
    pool.recently_reclaimed = names(&["a"]);
    assert_eq!(added_servers(&pool.decide()), [("b", true), ("c", true)]);
    pool.recently_reclaimed = names(&["a", "b"]);
    assert_eq!(added_servers(&pool.decide()), [("a", false), ("b", false)]);
}

#[test]
fn pending_orders_are_not_repeated_unless_overdue() {
    let mut pool = Pool::new(pool_config(2, 8), history(400, 0.0, 0.0), Vec::new());
    for data_centre in ["a", "b"] {
        let data_centre = data_centre.into();
        pool.pending.push(PendingServer {
            data_centre,
            preemptible: true,
            overdue: false,
        });
    }
    assert!(pool.decide().is_empty());
    pool.pending[0].overdue = true;
    assert_eq!(added_servers(&pool.decide()), [("a", true)]);
    pool.config.ceiling = 2;
    assert!(
        pool.decide().is_empty(),
        "an overdue server may still arrive and counts towards the ceiling"
    );
}

#[test]
fn an_engine_is_drained_before_it_is_released() {
    let servers = vec![
        server(0, "a", false),
        server(1, "b", true),
        server(2, "c", false),
    ];
    let mut pool = Pool::new(pool_config(1, 8), history(400, 0.0, 0.0), servers);
    pool.servers[0].load = 5;
    let decision = pool.decide().remove(0);
    assert_eq!(
        decision.action,
        ScalingAction::Drain("chat-02".into()),
        "the most expensive and least loaded server is drained"
    );
    assert_eq!(decision.reason, ScalingReason::LowDemand);
    let mut drain = Drain {
        elapsed: Duration::from_secs(30),
        finished: false,
    };
    pool.servers[2].drain = Some(drain);
    pool.servers[2].load = 0;
    assert!(
        pool.decide().is_empty(),
        "an idle load report may be from before the drain"
    );
    drain.finished = true;
    pool.servers[2].drain = Some(drain);
    pool.servers[2].load = 1;
    assert!(pool.decide().is_empty(), "a request is still running");
    pool.servers[2].load = 0;
    let release = ScalingAction::Release("chat-02".into());
    assert_eq!(pool.decide()[0].action, release);
    pool.servers[2].load = 1;
    drain.elapsed = Duration::from_mins(2);
    pool.servers[2].drain = Some(drain);
    assert_eq!(
        pool.decide()[0].action,
        release,
        "the drain timeout has passed"
    );
    pool.config.floor = 3;
    assert_eq!(
        pool.decide()[0].action,
        ScalingAction::Resume("chat-02".into())
    );
}

#[parameterized(
    short_history = { 200, 0.0, false },
    low = { 400, 0.0, true },
    busy_a_while_ago = { 400, 4.0, false },
)]
fn servers_are_released_only_after_demand_was_low_for_the_scale_down_delay(
    seconds: u64,
    from: f64,
    released: bool,
) {
    let servers = (0..6)
        .map(|id| server(id, ["a", "b", "c"][id % 3], true))
        .collect();
    let pool = Pool::new(pool_config(1, 8), history(seconds, from, 0.0), servers);
    assert_eq!(!pool.decide().is_empty(), released, "{:?}", pool.decide());
}

#[test]
fn a_held_pool_is_not_scaled() {
    let mut pool = Pool::new(pool_config(5, 8), history(400, 9.0, 9.0), Vec::new());
    pool.config.held = true;
    assert!(pool.decide().is_empty());
}

#[parameterized(
    fresh = { 1, 1, 4, 7, None },
    old_demand = { 6, 1, 7, 7, Some(StaleInput::Demand) },
    old_list = { 1, 11, 7, 7, Some(StaleInput::List) },
    few_nodes = { 1, 1, 3, 7, Some(StaleInput::Nodes) },
    alone = { 1, 1, 1, 1, None },
    nobody = { 1, 1, 0, 0, Some(StaleInput::Nodes) },
)]
fn stale_inputs_are_detected(
    demand: u64,
    list: u64,
    reporting_nodes: usize,
    known_nodes: usize,
    stale: Option<StaleInput>,
) {
    let begin = Instant::now();
    let now = begin + Duration::from_mins(1);
    let inputs = DecisionInputs {
        demand_at: now.checked_sub(Duration::from_secs(demand)).unwrap(),
        reporting_nodes,
        known_nodes,
        listed_at: now.checked_sub(Duration::from_secs(list)).unwrap(),
    };
    assert_eq!(check_fresh(inputs, now).err(), stale);
}

#[test]
fn exceptions_override_model_defaults() {
    let exception = |kind, value: &str| Exception {
        id: "e".into(),
        kind,
        target: "chat".into(),
        value: value.to_owned(),
        reason: "test".to_owned(),
        by: Name::default(),
    };
    let mut config = FleetConfig::default();
    config.models.insert("chat".into(), ModelConfig::default());
    config.exceptions = vec![
        exception(ExceptionKind::Floor, "9"),
        exception(ExceptionKind::Ceiling, "4"),
        exception(ExceptionKind::Hold, ""),
    ];
    let pool = pool_configs(&config).remove(0);
    assert_eq!((pool.floor, pool.ceiling, pool.held), (4, 4, true));
}

#[parameterized(
    prompts = { Demand { requests: 4.0, prompt: 8000.0, output: 400.0, queued: 0, refused: 0.0 }, 2.0 },
    output = { Demand { requests: 4.0, prompt: 400.0, output: 1200.0, queued: 0, refused: 0.0 }, 3.0 },
    refused = { Demand { requests: 4.0, prompt: 8000.0, output: 0.0, queued: 0, refused: 2.0 }, 3.0 },
    queued = { Demand { requests: 4.0, prompt: 8000.0, output: 0.0, queued: 20, refused: 0.0 }, 3.0 },
    all_refused = { Demand { requests: 0.0, prompt: 0.0, output: 0.0, queued: 0, refused: 2.0 }, 1.0 },
)]
fn offered_load_includes_queued_and_refused_requests(demand: Demand, servers: f64) {
    assert!((demand.offered_load(RATES).busy_servers() - servers).abs() < 1e-9);
}

#[test]
fn baseline_policies_decide_on_the_same_input() {
    let pool = Pool::new(
        pool_config(1, 8),
        history(400, 9.0, 9.0),
        vec![server(0, "a", true)],
    );
    let options = AutoscalingOptions::default();
    assert!(
        AutoscalingPolicy::Static
            .decide(&pool.view(), &options)
            .is_empty()
    );
    let decisions = AutoscalingPolicy::Threshold.decide(&pool.view(), &options);
    assert_eq!(added_servers(&decisions), [("b", true)]);
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn a_steady_pool_covers_demand_and_data_centre_loss_within_its_limits(
        busy in 0.0_f64..30.0,
        floor in 0_u32..6,
        more in 0_u32..60,
        servers in prop::collection::vec((0_usize..3, any::<bool>()), 0..40),
    ) {
        let ceiling = floor + more;
        let servers = servers.into_iter().enumerate();
        let servers = servers.map(|(id, (data_centre, preemptible))| {
            server(id, ["a", "b", "c"][data_centre], preemptible)
        });
        let mut pool = Pool::new(pool_config(floor, ceiling), history(400, busy, busy), servers.collect());
        pool.settle();
        let total = pool.total() as u32;
        prop_assert!((floor..=ceiling).contains(&total));
        let needed = ((busy / 0.7 - 1e-6).ceil() as u32).min(ceiling);
        prop_assert!(total >= needed);
        let needed_after_loss = (busy / 0.9 - 1e-6).ceil() as u32;
        prop_assert!(pool.after_loss() as u32 >= needed_after_loss || total == ceiling);
    }
}
