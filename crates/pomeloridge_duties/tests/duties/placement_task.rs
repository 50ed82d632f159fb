//! Tests of the placement duty's task against a fake platform and fake engines.

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
use crate::support::{FakePlatform, acquire, block_on, client};

/// Time after which a test fails.
const TIMEOUT: Duration = Duration::from_mins(1);

struct Fixture {
    platform: Rc<FakePlatform>,
    client: Client,
    config: PoolConfig,
    exceptions: ServerExceptions,
    engines: BTreeMap<Name, Rc<FakeEngine>>,
    demand_age: Duration,
    options: PlacementDutyOptions,
    role_changes: Rc<Cell<u64>>,
}

impl Fixture {
    fn new() -> Self {
        let (platform, address) = FakePlatform::start();
        platform.free_lease("placement");
        let mut options = PlacementDutyOptions {
            interval: Duration::from_millis(10),
            ..PlacementDutyOptions::default()
        };
        options.engines.longest_order = Duration::ZERO;
        let fixture = Self {
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
            role_changes: Rc::default(),
        };
        fixture.list_engines(true);
        fixture.set_orders(&json!([]));
        fixture
    }

    /// Adds an engine in its own data centre.
    fn add_engine(&mut self, id: &str) -> Rc<FakeEngine> {
        let engine = FakeEngine::start();
        self.engines.insert(id.into(), Rc::clone(&engine));
        self.list_engines(true);
        engine
    }

    /// Sets the platform's server list to the engines.
    fn list_engines(&self, checks_fence: bool) {
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

    /// Runs the duty under the given name until `done` returns true, then releases the lease.
    async fn run_until(&self, holder: &str, done: impl Fn() -> bool) {
        let mut lease = acquire(&self.client, "placement", holder).await;
        let role_changes = Rc::clone(&self.role_changes);
        let count = move |counter, by| {
            if counter == Counter::RoleChanges {
                role_changes.set(role_changes.get() + by);
            }
        };
        let end = Instant::now() + TIMEOUT;
        run_placement(
            self.client.clone(),
            lease.authority(),
            Meter::new(count, |_, _| {}),
            || self.snapshot(),
            self.options,
            || done() || Instant::now() > end,
        )
        .await;
        assert!(Instant::now() < end, "{holder} timed out");
        lease.release().await;
    }

    fn intent_state(&self, key: &str) -> Option<String> {
        let intent = self.platform.object(key)?;
        intent["state"].as_str().map(str::to_owned)
    }
}

/// Returns a condition that is true once it has been checked `count` times, once a round.
fn rounds(count: u32) -> impl Fn() -> bool {
    let checks = Cell::new(0);
    move || checks.replace(checks.get() + 1) >= count
}

#[test]
fn every_holder_repeats_an_outstanding_order_unchanged() {
    block_on(async {
        let mut fixture = Fixture::new();
        fixture.config.floor = 1;
        // The responses to the writes of the lease, the intent and the order are lost.
        fixture.platform.drop_responses.set(3);
        let has_sent = |count| fixture.platform.posted("/orders").len() >= count;
        fixture.run_until("vm-1", || has_sent(2)).await;
        fixture.run_until("vm-2", || has_sent(3)).await;
        let orders = fixture.platform.posted("/orders");
        let sent: Vec<_> = orders
            .iter()
            .map(|order| {
                (
                    order["order_id"].as_str().unwrap(),
                    order["fence"].as_u64().unwrap(),
                )
            })
            .collect();
        let id = "chat.add.0#1";
        assert_eq!(sent, [(id, 1), (id, 1), (id, 2)]);

        fixture.add_engine("chat-1");
        fixture.set_orders(&json!([
            {"order_id": id, "action": "add", "server": "chat-1", "state": "ready"}
        ]));
        let key = "intent/orders/chat.add.0";
        fixture
            .run_until("vm-3", || {
                fixture.intent_state(key).as_deref() == Some("done")
            })
            .await;
        fixture.run_until("vm-4", rounds(5)).await;
        assert_eq!(fixture.platform.posted("/orders").len(), 3);
    });
}

#[test]
fn no_order_is_given_on_stale_demand() {
    block_on(async {
        let mut fixture = Fixture::new();
        fixture.config.floor = 1;
        fixture.demand_age = Duration::from_secs(6);
        fixture.run_until("vm-1", rounds(5)).await;
        assert!(fixture.platform.posted("/orders").is_empty());
        assert!(
            fixture
                .platform
                .object("intent/orders/chat.add.0")
                .is_none()
        );
    });
}

#[test]
fn role_change_drains_the_engine_first_and_resumes_it_afterwards() {
    block_on(async {
        let mut fixture = Fixture::new();
        let engine = fixture.add_engine("chat-1");
        fixture
            .exceptions
            .pinned
            .insert("chat-1".into(), Role::Prefill);
        let key = "intent/engine/chat-1";
        fixture
            .run_until("vm-1", || {
                fixture.intent_state(key).as_deref() == Some("done")
            })
            .await;
        let order = |action: &str| (format!("chat-1#1.{action}"), 1);
        let history = engine.history().into_iter();
        let history: Vec<_> = history.map(|(id, _, fence)| (id, fence)).collect();
        assert_eq!(history, [order("drain"), order("role"), order("resume")]);
        assert_eq!(fixture.role_changes.get(), 1);
    });
}

#[test]
fn next_holder_completes_an_outstanding_role_change_first() {
    block_on(async {
        let mut fixture = Fixture::new();
        let engine = fixture.add_engine("chat-1");
        engine.running.set(1);
        fixture
            .exceptions
            .pinned
            .insert("chat-1".into(), Role::Prefill);
        // The engine has a running request, so the first holder gets no further than the drain.
        fixture
            .run_until("vm-1", || !engine.orders.borrow().is_empty())
            .await;
        engine.running.set(0);
        fixture
            .exceptions
            .pinned
            .insert("chat-1".into(), Role::Decode);
        let key = "intent/engine/chat-1";
        fixture
            .run_until("vm-2", || {
                fixture.intent_state(key).as_deref() == Some("done")
            })
            .await;
        let sent: Vec<_> = engine
            .history()
            .into_iter()
            .map(|(id, action, fence)| format!("{id} {action} {fence}"))
            .collect();
        assert_eq!(
            sent,
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
fn no_order_is_sent_to_an_engine_without_fencing_before_the_wait_ends() {
    block_on(async {
        let mut fixture = Fixture::new();
        let engine = fixture.add_engine("chat-1");
        fixture.list_engines(false);
        fixture.options.engines.longest_order = Duration::from_hours(1);
        fixture
            .exceptions
            .pinned
            .insert("chat-1".into(), Role::Prefill);
        fixture.run_until("vm-1", rounds(8)).await;
        assert!(fixture.platform.object("intent/engine/chat-1").is_some());
        assert!(engine.orders.borrow().is_empty());
        fixture.list_engines(true);
        fixture
            .run_until("vm-2", || !engine.orders.borrow().is_empty())
            .await;
        assert!(
            !engine.orders.borrow().is_empty(),
            "an engine that checks fencing tokens needs no wait"
        );
    });
}

#[test]
fn server_is_released_after_its_engine_has_drained() {
    block_on(async {
        let mut fixture = Fixture::new();
        let engine = fixture.add_engine("chat-1");
        engine.running.set(1);
        fixture.options.autoscaling.scale_down_delay = Duration::ZERO;
        fixture
            .run_until("vm-1", || !engine.orders.borrow().is_empty())
            .await;
        fixture.run_until("vm-2", rounds(5)).await;
        assert!(
            fixture.platform.posted("/orders").is_empty(),
            "a request is still running"
        );
        engine.running.set(0);
        let released = || !fixture.platform.posted("/orders").is_empty();
        fixture.run_until("vm-3", released).await;
        let order = fixture.platform.posted("/orders").remove(0);
        assert_eq!(order["action"], "release");
        assert_eq!(order["server"], "chat-1");
        assert_eq!(
            fixture.intent_state("intent/engine/chat-1").as_deref(),
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
fn missing_model_is_loaded() {
    block_on(async {
        let mut fixture = Fixture::new();
        fixture.config.floor = 1;
        let engine = fixture.add_engine("chat-1");
        *engine.models.borrow_mut() = vec!["other".to_owned()];
        let key = "intent/engine/chat-1";
        fixture
            .run_until("vm-1", || {
                fixture.intent_state(key).as_deref() == Some("done")
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
