//! What callers, operators and looks need of a deployment, and the threads that they run in.

use std::sync::{Arc, Mutex};
use std::thread::{Scope, ScopedJoinHandle};
use std::time::{Duration, Instant};

use pomeloridge_base::http::OutgoingRequest;
use serde_json::json;

use super::callers::Caller;
use super::doors::{Doors, now_ms};
use super::operators::{self, Issued, race, use_key};
use super::promise::usage::UNCOUNTED;
use super::promise::whole::POISON;
use super::record::{ConfigCall, Event, Happening, KeyLook, Sent};
use super::scenario::{Act, Plan};
use crate::caller::authorized;
use crate::launch::{Cluster, post_json, request};

/// Time for every node to take a key that was issued.
const READY_TIME: Duration = Duration::from_secs(20);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// What the threads of a run found.
#[derive(Default)]
pub(super) struct Found {
    pub(super) sent: Mutex<Vec<Sent>>,
    pub(super) keys: Mutex<Vec<KeyLook>>,
    pub(super) calls: Mutex<Vec<ConfigCall>>,
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
pub(super) struct Stage {
    pub(super) doors: Arc<Doors>,
    seed: u64,
    callers: u64,
    accounts: Vec<(String, String)>,
    /// Path of the plain service.
    path: String,
    model: String,
    /// A key that is in use and withdrawn, if the plan has that.
    issued: Option<Issued>,
}

impl Stage {
    pub(super) fn prepare(cluster: &Cluster, plan: &Plan, seed: u64) -> Result<Self, String> {
        let doors = Doors::new(&cluster.nodes, cluster.operator_token());
        let path = format!("/{}", cluster.spec().services[0].pool);
        let has = |act: &Act| plan.steps.iter().any(|step| step.act == *act);
        if has(&Act::Poison) {
            for engine in &cluster.engines {
                post_json(engine.address, "/control", &json!({"poison": POISON}))?;
            }
        }
        let mut issued = None;
        if has(&Act::Withdraw) {
            let key = operators::issue(&doors.at(0), doors.token(), UNCOUNTED)?;
            wait_for_key(cluster, &key, &path)?;
            issued = Some(key);
        }
        let accounts = cluster
            .keys
            .iter()
            .filter(|(account, _)| account != UNCOUNTED);
        Ok(Self {
            accounts: accounts.cloned().collect(),
            model: cluster.spec().engines[0].model.clone(),
            doors,
            seed,
            callers: plan.callers,
            path,
            issued,
        })
    }

    fn caller(&self, number: u64) -> Caller<'_> {
        Caller {
            doors: &self.doors,
            account: &self.accounts[number as usize % self.accounts.len()],
            seed: self.seed,
            number,
            model: &self.model,
            service: &self.path,
        }
    }

    /// Starts the looks at nodes and at the key that is withdrawn.
    pub(super) fn start_looks<'a>(&'a self, scope: &'a Scope<'a, '_>, found: &'a Found) {
        for place in 0..self.doors.len() {
            scope.spawn(move || self.doors.watch(place));
            if let Some(issued) = &self.issued {
                let target = format!("{}/1", self.path);
                scope.spawn(move || {
                    add(&found.keys, use_key(&self.doors, place, issued, &target));
                });
            }
        }
    }

    /// Starts callers and racing operators, who end with the load.
    pub(super) fn start_load<'a>(
        &'a self,
        scope: &'a Scope<'a, '_>,
        found: &'a Found,
        racers: usize,
    ) -> Vec<ScopedJoinHandle<'a, ()>> {
        let callers = (0..self.callers)
            .map(|number| scope.spawn(move || add(&found.sent, self.caller(number).run())));
        let mut threads: Vec<_> = callers.collect();
        threads
            .extend((0..racers).map(|by| {
                scope.spawn(move || add(&found.calls, race(&self.doors, self.seed, by)))
            }));
        threads
    }

    /// Does what a director starts and does not wait for.
    pub(super) fn beside(&self, act: &Act, found: &Found) {
        match (act, &self.issued) {
            (Act::Withdraw, Some(issued)) => withdraw(&self.doors, issued, found),
            _ => add(&found.sent, self.caller(self.callers).run_poison()),
        }
    }
}

/// Waits until every node takes a key.
fn wait_for_key(cluster: &Cluster, issued: &Issued, path: &str) -> Result<(), String> {
    let end = Instant::now() + READY_TIME;
    for node in &cluster.nodes {
        let message = authorized(OutgoingRequest::get(format!("{path}/1")), &issued.key);
        while request(node.caller, &message)?.status == 401 {
            if Instant::now() >= end {
                return Err(format!("{} does not take a key that was issued", node.name));
            }
            std::thread::sleep(LOOK_PAUSE);
        }
    }
    Ok(())
}

fn withdraw(doors: &Doors, issued: &Issued, found: &Found) {
    match operators::withdraw(doors, issued) {
        Ok(at) => {
            let what = Happening::Withdrawn {
                key: issued.id.clone(),
            };
            add(&found.events, [Event { at, what }]);
        }
        Err(error) => {
            let what = Happening::Note(format!("at {}: {error}", now_ms()));
            add(&found.events, [Event { at: now_ms(), what }]);
        }
    }
}
