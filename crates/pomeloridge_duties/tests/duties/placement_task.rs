//! The placement task against a small platform and small engines.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_base::meter::{Counter, Meter};
use pomeloridge_duties::demand::DemandReport;
use pomeloridge_duties::fleet_snapshot::{FleetSnapshot, ServerLoad};
use pomeloridge_duties::pool_config::{PoolConfig, ServerExceptions, ServerRates};
use pomeloridge_duties::{PlacementDutyOptions, run_placement};
use pomeloridge_platform::Client;
use pomeloridge_policy::server::Role;
use serde_json::json;

use crate::fake_engine::FakeEngine;
use crate::support::{FakePlatform, block_on, client, take};

/// Time after which a test is given up.
const PATIENCE: Duration = Duration::from_mins(1);

struct Bench {
    platform: Rc<FakePlatform>,
    client: Client,
    config: PoolConfig,
    exceptions: ServerExceptions,
    engines: BTreeMap<Name, Rc<FakeEngine>>,
    demand_age: Duration,
    options: PlacementDutyOptions,
    changes: Rc<Cell<u64>>,
}

impl Bench {
    fn new() -> Self {
        let (platform, address) = FakePlatform::start();
        platform.free_lease("placement");
        let mut options = PlacementDutyOptions {
            interval: Duration::from_millis(10),
            ..PlacementDutyOptions::default()
        };
        options.engines.longest_order = Duration::ZERO;
        let bench = Self {
            platform,
            client: client(address),
            config: PoolConfig {
                name: "chat".into(),
                floor: 0,
                ceiling: 8,
                held: false,
                rates: Some(ServerRates {
                    prefill: 4000.0,
                    decode: 400.0,
                }),
            },
            exceptions: ServerExceptions::default(),
            engines: BTreeMap::new(),
            demand_age: Duration::ZERO,
            options,
            changes: Rc::default(),
        };
        bench.list(true);
        bench.set_orders(&json!([]));
        bench
    }

    /// Adds an engine in a data centre of its own.
    fn add_engine(&mut self, id: &str) -> Rc<FakeEngine> {
        let engine = FakeEngine::start();
        self.engines.insert(id.into(), Rc::clone(&engine));
        self.list(true);
        engine
    }

    /// Has the platform list the engines.
    fn list(&self, checks_fence: bool) {
        let listed = self.engines.iter().map(|(id, engine)| {
            json!({
                "id": id, "address": engine.address.to_string(), "data_centre": id,
                "pool": "chat", "kind": "engine", "cheap": true, "price": 0.3,
                "checks_fence": checks_fence, "state": "ready",
            })
        });
        let servers = json!({"servers": listed.collect::<Vec<_>>()});
        let mut lists = self.platform.lists.borrow_mut();
        lists.insert("/backends".to_owned(), servers);
    }

    fn set_orders(&self, orders: &serde_json::Value) {
        let mut lists = self.platform.lists.borrow_mut();
        lists.insert("/orders".to_owned(), json!({ "orders": orders }));
    }

    fn snapshot(&self) -> FleetSnapshot {
        let load = |engine: &FakeEngine| ServerLoad {
            running: engine.running.get(),
            role: match engine.role.borrow().as_str() {
                "prefill" => Role::Prefill,
                "decode" => Role::Decode,
                _ => Role::Mixed,
            },
            models: engine
                .models
                .borrow()
                .iter()
                .map(|model| model.as_str().into())
                .collect(),
            reachable: true,
            ..ServerLoad::default()
        };
        let loads = self
            .engines
            .iter()
            .map(|(id, engine)| (id.clone(), load(engine)));
        FleetSnapshot {
            pools: vec![self.config.clone()],
            exceptions: self.exceptions.clone(),
            demand: DemandReport {
                measured_at: Instant::now().checked_sub(self.demand_age).unwrap(),
                reporting_nodes: 1,
                known_nodes: 1,
                pools: BTreeMap::new(),
            },
            loads: loads.collect(),
            data_centres: ["a", "b"].map(Name::from).into(),
        }
    }

    /// Holds the duty until `done`, then gives it up.
    async fn hold(&self, holder: &str, done: impl Fn() -> bool) {
        let mut lease = take(&self.client, "placement", holder).await;
        let changes = Rc::clone(&self.changes);
        let count = move |counter, by| {
            if counter == Counter::RoleChanges {
                changes.set(changes.get() + by);
            }
        };
        let end = Instant::now() + PATIENCE;
        run_placement(
            self.client.clone(),
            lease.authority(),
            Meter::new(count, |_, _| {}),
            || self.snapshot(),
            self.options,
            || done() || Instant::now() > end,
        )
        .await;
        assert!(Instant::now() < end, "{holder} waited in vain");
        lease.release().await;
    }

    fn intent_state(&self, key: &str) -> Option<String> {
        let intent = self.platform.object(key)?;
        intent["state"].as_str().map(str::to_owned)
    }
}

/// Holds after some rounds of a task.
fn rounds(count: u32) -> impl Fn() -> bool {
    let seen = Cell::new(0);
    move || seen.replace(seen.get() + 1) >= count
}

#[test]
fn an_order_is_repeated_as_the_same_order_by_whoever_holds_the_duty() {
    block_on(async {
        let mut bench = Bench::new();
        bench.config.floor = 1;
        // Lost are the answers to the lease, to the intent, and to the order.
        bench.platform.drop_responses.set(3);
        let sent = |count| bench.platform.posted("/orders").len() >= count;
        bench.hold("vm-1", || sent(2)).await;
        bench.hold("vm-2", || sent(3)).await;
        let orders = bench.platform.posted("/orders");
        let shown: Vec<_> = orders
            .iter()
            .map(|order| {
                (
                    order["order_id"].as_str().unwrap(),
                    order["fence"].as_u64().unwrap(),
                )
            })
            .collect();
        let id = "chat.add.0#1";
        assert_eq!(shown, [(id, 1), (id, 1), (id, 2)]);

        bench.add_engine("chat-1");
        bench.set_orders(&json!([
            {"order_id": id, "action": "add", "server": "chat-1", "state": "ready"}
        ]));
        let key = "intent/orders/chat.add.0";
        bench
            .hold("vm-3", || {
                bench.intent_state(key).as_deref() == Some("done")
            })
            .await;
        bench.hold("vm-4", rounds(5)).await;
        assert_eq!(bench.platform.posted("/orders").len(), 3);
    });
}

#[test]
fn nothing_is_ordered_on_stale_demand() {
    block_on(async {
        let mut bench = Bench::new();
        bench.config.floor = 1;
        bench.demand_age = Duration::from_secs(6);
        bench.hold("vm-1", rounds(5)).await;
        assert!(bench.platform.posted("/orders").is_empty());
        assert!(bench.platform.object("intent/orders/chat.add.0").is_none());
    });
}

#[test]
fn a_change_of_role_drains_before_and_serves_after() {
    block_on(async {
        let mut bench = Bench::new();
        let engine = bench.add_engine("chat-1");
        bench
            .exceptions
            .pinned
            .insert("chat-1".into(), Role::Prefill);
        let key = "intent/engine/chat-1";
        bench
            .hold("vm-1", || {
                bench.intent_state(key).as_deref() == Some("done")
            })
            .await;
        let order = |action: &str| (format!("chat-1#1.{action}"), 1);
        let history = engine.history().into_iter();
        let history: Vec<_> = history.map(|(id, _, fence)| (id, fence)).collect();
        assert_eq!(history, [order("drain"), order("role"), order("resume")]);
        assert_eq!(bench.changes.get(), 1);
    });
}

#[test]
fn the_next_holder_ends_the_same_change_before_anything_else() {
    block_on(async {
        let mut bench = Bench::new();
        let engine = bench.add_engine("chat-1");
        engine.running.set(1);
        bench
            .exceptions
            .pinned
            .insert("chat-1".into(), Role::Prefill);
        // The engine has work, so that the first holder stops with the drain.
        bench
            .hold("vm-1", || !engine.orders.borrow().is_empty())
            .await;
        engine.running.set(0);
        bench
            .exceptions
            .pinned
            .insert("chat-1".into(), Role::Decode);
        let key = "intent/engine/chat-1";
        bench
            .hold("vm-2", || {
                bench.intent_state(key).as_deref() == Some("done")
            })
            .await;
        let shown: Vec<_> = engine
            .history()
            .into_iter()
            .map(|(id, action, fence)| format!("{id} {action} {fence}"))
            .collect();
        assert_eq!(
            shown,
            [
                "chat-1#1.drain drain 1",
                "chat-1#1.drain drain 2",
                "chat-1#1.role role 2",
                "chat-1#1.resume resume_service 2",
            ]
        );
        assert_eq!(engine.orders.borrow()[2]["role"], "prefill");
    });
}

#[test]
fn an_engine_that_does_not_check_is_given_no_order_before_the_wait_is_over() {
    block_on(async {
        let mut bench = Bench::new();
        let engine = bench.add_engine("chat-1");
        bench.list(false);
        bench.options.engines.longest_order = Duration::from_hours(1);
        bench
            .exceptions
            .pinned
            .insert("chat-1".into(), Role::Prefill);
        bench.hold("vm-1", rounds(8)).await;
        assert!(bench.platform.object("intent/engine/chat-1").is_some());
        assert!(engine.orders.borrow().is_empty());
        bench.list(true);
        bench
            .hold("vm-2", || !engine.orders.borrow().is_empty())
            .await;
        assert!(
            !engine.orders.borrow().is_empty(),
            "one that checks need not wait"
        );
    });
}

#[test]
fn a_server_is_released_after_the_engine_has_ended_its_drain() {
    block_on(async {
        let mut bench = Bench::new();
        let engine = bench.add_engine("chat-1");
        engine.running.set(1);
        bench.options.autoscaling.scale_down_delay = Duration::ZERO;
        bench
            .hold("vm-1", || !engine.orders.borrow().is_empty())
            .await;
        bench.hold("vm-2", rounds(5)).await;
        assert!(
            bench.platform.posted("/orders").is_empty(),
            "it still has work"
        );
        engine.running.set(0);
        let released = || !bench.platform.posted("/orders").is_empty();
        bench.hold("vm-3", released).await;
        let order = bench.platform.posted("/orders").remove(0);
        assert_eq!(order["action"], "release");
        assert_eq!(order["server"], "chat-1");
        assert_eq!(
            bench.intent_state("intent/engine/chat-1").as_deref(),
            Some("done")
        );
        assert!(
            engine
                .history()
                .iter()
                .all(|(id, ..)| id == "chat-1#1.drain")
        );
    });
}

#[test]
fn a_lacking_model_is_loaded() {
    block_on(async {
        let mut bench = Bench::new();
        bench.config.floor = 1;
        let engine = bench.add_engine("chat-1");
        *engine.models.borrow_mut() = vec!["other".to_owned()];
        let key = "intent/engine/chat-1";
        bench
            .hold("vm-1", || {
                bench.intent_state(key).as_deref() == Some("done")
            })
            .await;
        let actions: Vec<_> = engine
            .history()
            .into_iter()
            .map(|(_, action, _)| action)
            .collect();
        assert_eq!(actions, ["drain", "load", "resume_service"]);
        assert_eq!(engine.orders.borrow()[1]["model"], "chat");
    });
}
