//! The decisions about backend servers.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use pomeloridge_base::config::{Exception, ExceptionKind, FleetConfig, ModelConfig};
use pomeloridge_base::id::Name;
use pomeloridge_duties::autoscaling::{AutoscalingOptions, order};
use pomeloridge_duties::autoscaling_baseline::AutoscalingPolicy;
use pomeloridge_duties::autoscaling_view::{
    Drain, PendingServer, PoolView, Prices, ScalingAction, ScalingDecision, ScalingReason,
    ServerView,
};
use pomeloridge_duties::demand::{Demand, DemandHistory};
use pomeloridge_duties::freshness::{DecisionInputs, StaleInput, check_fresh};
use pomeloridge_duties::plan::{PoolPlan, ServerRates, pool_plans};
use pomeloridge_policy::server::{ServerKind, ServerState};
use proptest::prelude::*;
use yare::parameterized;

use crate::support::config;

const RATES: ServerRates = ServerRates {
    prefill: 4000.0,
    decode: 400.0,
};
const DELAY: Duration = Duration::from_mins(1);
const PRICES: Prices = Prices {
    cheap: Some(0.3),
    regular: Some(1.0),
};

fn plan(floor: u32, ceiling: u32) -> PoolPlan {
    PoolPlan {
        pool: "chat".into(),
        floor,
        ceiling,
        held: false,
        rates: Some(RATES),
    }
}

fn names(list: &[&str]) -> BTreeSet<Name> {
    list.iter().map(|name| Name::from(*name)).collect()
}

fn server(id: usize, data_centre: &str, cheap: bool) -> ServerView {
    ServerView {
        id: format!("chat-{id:02}").into(),
        data_centre: data_centre.into(),
        kind: ServerKind::Engine,
        cheap,
        price: if cheap { 0.3 } else { 1.0 },
        state: ServerState::Ready,
        load: 1,
        drained: None,
        excepted: false,
        reachable: true,
    }
}

/// Samples each second over `seconds`, from busy servers to busy servers.
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

/// A pool that is changed by what is decided, as if each order were carried out at once.
struct Pool {
    plan: PoolPlan,
    history: DemandHistory,
    servers: Vec<ServerView>,
    arriving: Vec<PendingServer>,
    centres: BTreeSet<Name>,
    reclaimed: BTreeSet<Name>,
}

impl Pool {
    fn new(plan: PoolPlan, history: DemandHistory, servers: Vec<ServerView>) -> Self {
        Self {
            plan,
            history,
            servers,
            arriving: Vec::new(),
            centres: names(&["a", "b", "c"]),
            reclaimed: BTreeSet::new(),
        }
    }

    fn view(&self) -> PoolView<'_> {
        PoolView {
            plan: &self.plan,
            history: &self.history,
            servers: &self.servers,
            arriving: &self.arriving,
            data_centres: &self.centres,
            reclaimed: &self.reclaimed,
            delay: DELAY,
            prices: PRICES,
        }
    }

    fn decide(&self) -> Vec<ScalingDecision> {
        order(&self.view(), &AutoscalingOptions::default())
    }

    fn apply(&mut self, choice: &ScalingAction) {
        match choice {
            ScalingAction::Add { data_centre, cheap } => {
                let id = self.servers.len();
                self.servers.push(server(id, data_centre.as_str(), *cheap));
            }
            ScalingAction::Drain(id) => {
                let server = self
                    .servers
                    .iter_mut()
                    .find(|server| server.id == *id)
                    .unwrap();
                server.load = 0;
                server.drained = Some(Drain {
                    time: Duration::ZERO,
                    ended: true,
                });
            }
            ScalingAction::Release(id) => self.servers.retain(|server| server.id != *id),
            ScalingAction::Resume(id) => {
                let server = self
                    .servers
                    .iter_mut()
                    .find(|server| server.id == *id)
                    .unwrap();
                server.drained = None;
            }
        }
    }

    /// Carries decisions out until none is left.
    fn settle(&mut self) {
        for _ in 0..500 {
            let decisions = self.decide();
            if decisions.is_empty() {
                return;
            }
            for decision in decisions {
                self.apply(&decision.choice);
            }
        }
        panic!("the pool does not settle");
    }

    fn total(&self) -> usize {
        self.servers.len()
    }

    fn survivors(&self) -> usize {
        let cheap = |centre: &Name| {
            let here = self.servers.iter();
            here.filter(|server| server.cheap && server.data_centre == *centre)
                .count()
        };
        self.total() - self.centres.iter().map(cheap).max().unwrap_or(0)
    }
}

fn adds(decisions: &[ScalingDecision]) -> Vec<(&str, bool)> {
    let add = |decision: &ScalingDecision| matches!(decision.choice, ScalingAction::Add { .. });
    assert!(decisions.iter().all(add), "{decisions:?}");
    let place = decisions.iter().map(|decision| match &decision.choice {
        ScalingAction::Add { data_centre, cheap } => (data_centre.as_str(), *cheap),
        _ => unreachable!(),
    });
    place.collect()
}

#[test]
fn cheap_servers_are_spread_until_one_data_centre_may_be_lost() {
    let mut pool = Pool::new(plan(0, 64), history(400, 5.4, 5.4), Vec::new());
    pool.settle();
    assert_eq!(pool.survivors(), 6);
    assert_eq!(pool.total(), 9);
    assert!(pool.servers.iter().all(|server| server.cheap));
}

#[parameterized(flat = { 7.0, 10 }, rising = { 5.0, 13 }, falling = { 9.0, 11 })]
fn a_rising_demand_is_covered_ahead(minute_ago: f64, servers: usize) {
    let mut pool = Pool::new(plan(0, 64), history(60, minute_ago, 7.0), Vec::new());
    pool.centres = names(&["a"]);
    pool.settle();
    assert_eq!(pool.total(), servers);
    assert!(
        pool.servers.iter().all(|server| !server.cheap),
        "nothing to spread over"
    );
}

#[parameterized(
    floor = { 3, 8, 0.0, 3, ScalingReason::Floor },
    ceiling = { 1, 4, 40.0, 4, ScalingReason::Floor },
    open_orders = { 0, 64, 40.0, 8, ScalingReason::Forecast },
)]
fn adds_keep_to_the_limits(
    floor: u32,
    ceiling: u32,
    busy: f64,
    count: usize,
    first: ScalingReason,
) {
    let pool = Pool::new(plan(floor, ceiling), history(400, busy, busy), Vec::new());
    let decisions = pool.decide();
    assert_eq!(decisions.len(), count, "{decisions:?}");
    assert_eq!(decisions[0].reason, first);
}

#[test]
fn regular_servers_are_ordered_where_cheap_ones_were_reclaimed() {
    let mut pool = Pool::new(plan(2, 8), history(400, 0.0, 0.0), Vec::new());
    pool.reclaimed = names(&["a"]);
    assert_eq!(adds(&pool.decide()), [("b", true), ("c", true)]);
    pool.reclaimed = names(&["a", "b"]);
    assert_eq!(adds(&pool.decide()), [("a", false), ("b", false)]);
}

#[test]
fn orders_under_way_are_not_given_again() {
    let mut pool = Pool::new(plan(2, 8), history(400, 0.0, 0.0), Vec::new());
    for centre in ["a", "b"] {
        let data_centre = centre.into();
        pool.arriving.push(PendingServer {
            data_centre,
            cheap: true,
            late: false,
        });
    }
    assert!(pool.decide().is_empty());
    pool.arriving[0].late = true;
    assert_eq!(adds(&pool.decide()), [("a", true)]);
    pool.plan.ceiling = 2;
    assert!(pool.decide().is_empty(), "a late one may still come");
}

#[test]
fn a_server_is_drained_before_it_is_released() {
    let servers = vec![
        server(0, "a", false),
        server(1, "b", true),
        server(2, "c", false),
    ];
    let mut pool = Pool::new(plan(1, 8), history(400, 0.0, 0.0), servers);
    pool.servers[0].load = 5;
    let decision = pool.decide().remove(0);
    assert_eq!(
        decision.choice,
        ScalingAction::Drain("chat-02".into()),
        "dear and idle"
    );
    assert_eq!(decision.reason, ScalingReason::Low);
    let mut drain = Drain {
        time: Duration::from_secs(30),
        ended: false,
    };
    pool.servers[2].drained = Some(drain);
    pool.servers[2].load = 0;
    assert!(
        pool.decide().is_empty(),
        "an idle report may be from before the drain"
    );
    drain.ended = true;
    pool.servers[2].drained = Some(drain);
    pool.servers[2].load = 1;
    assert!(pool.decide().is_empty(), "it still has work");
    pool.servers[2].load = 0;
    let release = ScalingAction::Release("chat-02".into());
    assert_eq!(pool.decide()[0].choice, release);
    pool.servers[2].load = 1;
    drain.time = Duration::from_mins(2);
    pool.servers[2].drained = Some(drain);
    assert_eq!(pool.decide()[0].choice, release, "its time has passed");
    pool.plan.floor = 3;
    assert_eq!(
        pool.decide()[0].choice,
        ScalingAction::Resume("chat-02".into())
    );
}

#[parameterized(
    short_history = { 200, 0.0, false },
    low = { 400, 0.0, true },
    busy_a_while_ago = { 400, 4.0, false },
)]
fn a_release_waits_for_the_hold_time(seconds: u64, from: f64, released: bool) {
    let servers = (0..6)
        .map(|id| server(id, ["a", "b", "c"][id % 3], true))
        .collect();
    let pool = Pool::new(plan(1, 8), history(seconds, from, 0.0), servers);
    assert_eq!(!pool.decide().is_empty(), released, "{:?}", pool.decide());
}

#[test]
fn a_held_pool_is_left_as_it_is() {
    let mut pool = Pool::new(plan(5, 8), history(400, 9.0, 9.0), Vec::new());
    pool.plan.held = true;
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
fn nothing_is_decided_on_stale_inputs(
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
fn exceptions_go_before_defaults() {
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
    let plan = pool_plans(&config).remove(0);
    assert_eq!((plan.floor, plan.ceiling, plan.held), (4, 4, true));
}

#[parameterized(
    prompts = { Demand { requests: 4.0, prompt: 8000.0, output: 400.0, queued: 0, refused: 0.0 }, 2.0 },
    output = { Demand { requests: 4.0, prompt: 400.0, output: 1200.0, queued: 0, refused: 0.0 }, 3.0 },
    refused = { Demand { requests: 4.0, prompt: 8000.0, output: 0.0, queued: 0, refused: 2.0 }, 3.0 },
    queued = { Demand { requests: 4.0, prompt: 8000.0, output: 0.0, queued: 20, refused: 0.0 }, 3.0 },
    all_refused = { Demand { requests: 0.0, prompt: 0.0, output: 0.0, queued: 0, refused: 2.0 }, 1.0 },
)]
fn demand_counts_what_was_not_served(demand: Demand, servers: f64) {
    assert!((demand.offered_load(RATES).busy_servers() - servers).abs() < 1e-9);
}

#[test]
fn baselines_decide_in_the_same_shape() {
    let pool = Pool::new(
        plan(1, 8),
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
    assert_eq!(adds(&decisions), [("b", true)]);
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn a_settled_pool_covers_demand_and_loss_within_its_limits(
        busy in 0.0_f64..30.0,
        floor in 0_u32..6,
        more in 0_u32..60,
        servers in prop::collection::vec((0_usize..3, any::<bool>()), 0..40),
    ) {
        let ceiling = floor + more;
        let servers = servers.into_iter().enumerate();
        let servers = servers.map(|(id, (centre, cheap))| server(id, ["a", "b", "c"][centre], cheap));
        let mut pool = Pool::new(plan(floor, ceiling), history(400, busy, busy), servers.collect());
        pool.settle();
        let total = pool.total() as u32;
        prop_assert!((floor..=ceiling).contains(&total));
        let needed = ((busy / 0.7 - 1e-6).ceil() as u32).min(ceiling);
        prop_assert!(total >= needed);
        let surviving = (busy / 0.9 - 1e-6).ceil() as u32;
        prop_assert!(pool.survivors() as u32 >= surviving || total == ceiling);
    }
}
