//! Threads of callers, operators and probes.

use std::sync::{Arc, Mutex};
use std::thread::{Scope, ScopedJoinHandle};
use std::time::{Duration, Instant};

use pomeloridge_base::http::OutgoingRequest;
use serde_json::json;

use super::balancer::{Balancer, now_ms};
use super::callers::Caller;
use super::checkers::interruptions::POISON;
use super::checkers::usage::UNCOUNTED_ACCOUNT;
use super::operators::{self, IssuedKey, change_config, probe_key};
use super::record::{ConfigCall, Event, EventKind, Exchange, KeyProbe};
use super::scenario::{Action, Plan};
use crate::caller::authorized;
use crate::launch::{Cluster, post_json, request};

/// Timeout for every node to accept an issued key.
const KEY_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two attempts with an issued key.
const PROBE_PAUSE: Duration = Duration::from_millis(50);

/// Records of a run, collected by its threads.
#[derive(Default)]
pub(super) struct Recorder {
    pub(super) exchanges: Mutex<Vec<Exchange>>,
    pub(super) key_probes: Mutex<Vec<KeyProbe>>,
    pub(super) config_calls: Mutex<Vec<ConfigCall>>,
    pub(super) events: Mutex<Vec<Event>>,
}

/// Appends to a shared list.
fn append<T>(list: &Mutex<Vec<T>>, more: impl IntoIterator<Item = T>) {
    list.lock()
        .expect("no holder of the lock panics")
        .extend(more);
}

/// Takes the contents of a shared list.
pub(super) fn take<T>(list: &Mutex<Vec<T>>) -> Vec<T> {
    std::mem::take(&mut list.lock().expect("no holder of the lock panics"))
}

/// Parameters of callers and operators.
pub(super) struct Workload {
    pub(super) balancer: Arc<Balancer>,
    seed: u64,
    callers: u64,
    accounts: Vec<(String, String)>,
    /// Path of the plain service.
    path: String,
    model: String,
    /// Key to use and withdraw, if the plan includes a withdrawal.
    issued_key: Option<IssuedKey>,
}

impl Workload {
    /// Prepares the poison switch and the key that the plan needs.
    pub(super) fn prepare(cluster: &Cluster, plan: &Plan, seed: u64) -> Result<Self, String> {
        let balancer = Balancer::new(&cluster.nodes, cluster.operator_token());
        let path = format!("/{}", cluster.spec().services[0].pool);
        let has = |action: &Action| plan.steps.iter().any(|step| step.action == *action);
        if has(&Action::Poison) {
            for engine in &cluster.engines {
                post_json(engine.address, "/control", &json!({"poison": POISON}))?;
            }
        }
        let mut issued_key = None;
        if has(&Action::Withdraw) {
            let key = operators::issue(&balancer.endpoint(0), balancer.token(), UNCOUNTED_ACCOUNT)?;
            wait_for_key(cluster, &key, &path)?;
            issued_key = Some(key);
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
            issued_key,
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

    /// Starts the probes of the nodes, and those with the key to withdraw.
    pub(super) fn start_probes<'a>(&'a self, scope: &'a Scope<'a, '_>, recorder: &'a Recorder) {
        for index in 0..self.balancer.len() {
            scope.spawn(move || self.balancer.watch(index));
            if let Some(issued) = &self.issued_key {
                let target = format!("{}/1", self.path);
                scope.spawn(move || {
                    append(
                        &recorder.key_probes,
                        probe_key(&self.balancer, index, issued, &target),
                    );
                });
            }
        }
    }

    /// Starts callers and concurrent operators, which end with the load.
    pub(super) fn start_load<'a>(
        &'a self,
        scope: &'a Scope<'a, '_>,
        recorder: &'a Recorder,
        operators: usize,
    ) -> Vec<ScopedJoinHandle<'a, ()>> {
        let callers = (0..self.callers).map(|number| {
            scope.spawn(move || append(&recorder.exchanges, self.caller(number).run()))
        });
        let mut threads: Vec<_> = callers.collect();
        threads.extend((0..operators).map(|operator| {
            scope.spawn(move || {
                append(
                    &recorder.config_calls,
                    change_config(&self.balancer, self.seed, operator),
                );
            })
        }));
        threads
    }

    /// Runs a withdrawal or a poison caller to its end.
    pub(super) fn run_background(&self, action: &Action, recorder: &Recorder) {
        match (action, &self.issued_key) {
            (Action::Withdraw, Some(issued)) => withdraw(&self.balancer, issued, recorder),
            _ => append(&recorder.exchanges, self.caller(self.callers).run_poison()),
        }
    }
}

/// Waits until every node accepts a key.
fn wait_for_key(cluster: &Cluster, issued: &IssuedKey, path: &str) -> Result<(), String> {
    let end = Instant::now() + KEY_TIMEOUT;
    for node in &cluster.nodes {
        let message = authorized(OutgoingRequest::get(format!("{path}/1")), &issued.key);
        while request(node.caller, &message)?.status == 401 {
            if Instant::now() >= end {
                return Err(format!("{} does not accept an issued key", node.name));
            }
            std::thread::sleep(PROBE_PAUSE);
        }
    }
    Ok(())
}

fn withdraw(balancer: &Balancer, issued: &IssuedKey, recorder: &Recorder) {
    match operators::withdraw(balancer, issued) {
        Ok(at) => {
            let kind = EventKind::Withdrawn {
                key: issued.id.clone(),
            };
            append(&recorder.events, [Event { at, kind }]);
        }
        Err(error) => {
            let kind = EventKind::Note(format!("at {}: {error}", now_ms()));
            append(&recorder.events, [Event { at: now_ms(), kind }]);
        }
    }
}
