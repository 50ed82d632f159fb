//! What callers, operators and looks need of a deployment, and the threads that they run in.

use std::sync::{Arc, Mutex};
use std::thread::{Scope, ScopedJoinHandle};
use std::time::{Duration, Instant};

use pomeloridge_base::http::OutgoingRequest;
use serde_json::json;

use super::balancer::{Balancer, now_ms};
use super::callers::Caller;
use super::checkers::interruptions::POISON;
use super::checkers::usage::UNCOUNTED_ACCOUNT;
use super::operators::{self, IssuedKey, probe_key, race};
use super::record::{ConfigCall, Event, EventKind, Exchange, KeyProbe};
use super::scenario::{Action, Plan};
use crate::caller::authorized;
use crate::launch::{Cluster, post_json, request};

/// Time for every node to take a key that was issued.
const READY_TIME: Duration = Duration::from_secs(20);
/// Pause between two looks.
const PROBE_PAUSE: Duration = Duration::from_millis(50);

/// What the threads of a run found.
#[derive(Default)]
pub(super) struct Recorder {
    pub(super) exchanges: Mutex<Vec<Exchange>>,
    pub(super) key_probes: Mutex<Vec<KeyProbe>>,
    pub(super) config_calls: Mutex<Vec<ConfigCall>>,
    pub(super) events: Mutex<Vec<Event>>,
}

/// Adds to a list that threads share.
fn add<T>(list: &Mutex<Vec<T>>, more: impl IntoIterator<Item = T>) {
    list.lock()
        .expect("no holder of the lock panics")
        .extend(more);
}

/// Takes what a list that threads share holds.
pub(super) fn taken<T>(list: &Mutex<Vec<T>>) -> Vec<T> {
    std::mem::take(&mut list.lock().expect("no holder of the lock panics"))
}

/// What callers and operators need to know.
pub(super) struct Workload {
    pub(super) balancer: Arc<Balancer>,
    seed: u64,
    callers: u64,
    accounts: Vec<(String, String)>,
    /// Path of the plain service.
    path: String,
    model: String,
    /// A key that is in use and withdrawn, if the plan has that.
    issued: Option<IssuedKey>,
}

impl Workload {
    pub(super) fn prepare(cluster: &Cluster, plan: &Plan, seed: u64) -> Result<Self, String> {
        let balancer = Balancer::new(&cluster.nodes, cluster.operator_token());
        let path = format!("/{}", cluster.spec().services[0].pool);
        let has = |action: &Action| plan.steps.iter().any(|step| step.action == *action);
        if has(&Action::Poison) {
            for engine in &cluster.engines {
                post_json(engine.address, "/control", &json!({"poison": POISON}))?;
            }
        }
        let mut issued = None;
        if has(&Action::Withdraw) {
            let key = operators::issue(&balancer.endpoint(0), balancer.token(), UNCOUNTED_ACCOUNT)?;
            wait_for_key(cluster, &key, &path)?;
            issued = Some(key);
        }
        let accounts = cluster
            .keys
            .iter()
            .filter(|(account, _)| account != UNCOUNTED_ACCOUNT);
        Ok(Self {
            accounts: accounts.cloned().collect(),
            model: cluster.spec().engines[0].model.clone(),
            balancer,
            seed,
            callers: plan.callers,
            path,
            issued,
        })
    }

    fn caller(&self, number: u64) -> Caller<'_> {
        Caller {
            balancer: &self.balancer,
            account: &self.accounts[number as usize % self.accounts.len()],
            seed: self.seed,
            number,
            model: &self.model,
            service: &self.path,
        }
    }

    /// Starts the looks at nodes and at the key that is withdrawn.
    pub(super) fn start_probes<'a>(&'a self, scope: &'a Scope<'a, '_>, found: &'a Recorder) {
        for index in 0..self.balancer.len() {
            scope.spawn(move || self.balancer.watch(index));
            if let Some(issued) = &self.issued {
                let target = format!("{}/1", self.path);
                scope.spawn(move || {
                    add(
                        &found.key_probes,
                        probe_key(&self.balancer, index, issued, &target),
                    );
                });
            }
        }
    }

    /// Starts callers and racing operators, who end with the load.
    pub(super) fn start_load<'a>(
        &'a self,
        scope: &'a Scope<'a, '_>,
        found: &'a Recorder,
        racers: usize,
    ) -> Vec<ScopedJoinHandle<'a, ()>> {
        let callers = (0..self.callers)
            .map(|number| scope.spawn(move || add(&found.exchanges, self.caller(number).run())));
        let mut threads: Vec<_> = callers.collect();
        threads.extend((0..racers).map(|by| {
            scope.spawn(move || add(&found.config_calls, race(&self.balancer, self.seed, by)))
        }));
        threads
    }

    /// Does what a injector starts and does not wait for.
    pub(super) fn beside(&self, action: &Action, found: &Recorder) {
        match (action, &self.issued) {
            (Action::Withdraw, Some(issued)) => withdraw(&self.balancer, issued, found),
            _ => add(&found.exchanges, self.caller(self.callers).run_poison()),
        }
    }
}

/// Waits until every node takes a key.
fn wait_for_key(cluster: &Cluster, issued: &IssuedKey, path: &str) -> Result<(), String> {
    let end = Instant::now() + READY_TIME;
    for node in &cluster.nodes {
        let message = authorized(OutgoingRequest::get(format!("{path}/1")), &issued.key);
        while request(node.caller, &message)?.status == 401 {
            if Instant::now() >= end {
                return Err(format!("{} does not take a key that was issued", node.name));
            }
            std::thread::sleep(PROBE_PAUSE);
        }
    }
    Ok(())
}

fn withdraw(balancer: &Balancer, issued: &IssuedKey, found: &Recorder) {
    match operators::withdraw(balancer, issued) {
        Ok(at) => {
            let kind = EventKind::Withdrawn {
                key: issued.id.clone(),
            };
            add(&found.events, [Event { at, kind }]);
        }
        Err(error) => {
            let kind = EventKind::Note(format!("at {}: {error}", now_ms()));
            add(&found.events, [Event { at: now_ms(), kind }]);
        }
    }
}
