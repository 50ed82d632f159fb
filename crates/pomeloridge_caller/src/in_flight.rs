//! Accounting of requests that run on backend servers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use pomeloridge_backend::BackendError;
use pomeloridge_base::clock::SharedClock;
use pomeloridge_base::meter::{Counter, Meter};
use pomeloridge_policy::server::{DispatchKey, ServerKey, Work};
use pomeloridge_policy::suspicion::{self, Fingerprint};

use crate::frontend::{Frontend, Policy};

/// Requests running on each server.
#[derive(Default)]
pub struct RunningRequests(RefCell<HashMap<ServerKey, Vec<suspicion::InFlight>>>);

impl RunningRequests {
    fn add(&self, server: ServerKey, request: suspicion::InFlight) {
        let mut running = self.0.borrow_mut();
        running.entry(server).or_default().push(request);
    }

    fn remove(&self, server: ServerKey, request: suspicion::InFlight) {
        let mut running = self.0.borrow_mut();
        let Some(requests) = running.get_mut(&server) else {
            return;
        };
        if let Some(at) = requests.iter().position(|other| *other == request) {
            requests.swap_remove(at);
        }
        if requests.is_empty() {
            running.remove(&server);
        }
    }

    fn on_server(&self, server: ServerKey) -> Vec<suspicion::InFlight> {
        let running = self.0.borrow();
        running.get(&server).cloned().unwrap_or_default()
    }
}

/// Counts a request as running on its server until dropped.
pub(crate) struct InFlightGuard {
    policy: Rc<Policy>,
    clock: SharedClock,
    meter: Meter,
    server: ServerKey,
    dispatch: DispatchKey,
    request: suspicion::InFlight,
    output_tokens: Option<u64>,
}

impl InFlightGuard {
    /// Counts a request on the server that it is about to be sent to.
    pub(crate) fn start(
        frontend: &Frontend,
        server: ServerKey,
        work: Work,
        fingerprint: Fingerprint,
        suspect: bool,
    ) -> Self {
        let request = suspicion::InFlight {
            fingerprint,
            suspect,
        };
        let now = frontend.clock.now();
        let dispatch = frontend
            .policy
            .servers
            .borrow_mut()
            .record_dispatch(server, work, now);
        frontend
            .policy
            .admit_after_dispatch(server, &frontend.clock);
        frontend.policy.running.add(server, request);
        Self {
            policy: Rc::clone(&frontend.policy),
            clock: Rc::clone(&frontend.clock),
            meter: frontend.meter.clone(),
            server,
            dispatch,
            request,
            output_tokens: None,
        }
    }

    /// Records the first output of the server.
    pub(crate) fn record_first_output(&self) {
        let now = self.clock.now();
        let mut servers = self.policy.servers.borrow_mut();
        servers.record_first_token(self.dispatch, now);
        servers.record_success(self.server);
    }

    /// Records a complete answer.
    pub(crate) fn record_answer(&mut self, tokens: u64) {
        let now = self.clock.now();
        self.output_tokens = Some(tokens);
        self.policy.budget.borrow_mut().record_success();
        let mut suspicions = self.policy.suspicions.borrow_mut();
        if suspicions.clear(&self.request.fingerprint, now) {
            log::info!(target: "decision", "suspect=cleared");
        }
    }

    /// Records a failure against the server and, if it was lost, the requests on it.
    pub(crate) fn record_failure(&self, error: BackendError) {
        let now = self.clock.now();
        if error.indicates_server_down() {
            let mut servers = self.policy.servers.borrow_mut();
            let known = servers.server(self.server);
            let was_ejected = known.is_some_and(|server| server.ejection.is_ejected());
            let data_centre_suspect = servers.record_failure(self.server, now);
            let server = servers.server(self.server);
            let ejected = server.filter(|server| !was_ejected && server.ejection.is_ejected());
            if let Some(info) = ejected.map(|server| &server.info) {
                self.meter.increment(Counter::Ejections);
                log::info!(
                    target: "decision",
                    "ejected server={} data_centre={} reason=\"{error}\" data_centre_suspect={data_centre_suspect}",
                    info.id,
                    info.data_centre
                );
            }
        }
        if error == BackendError::Lost {
            self.suspect_in_flight();
        }
    }

    /// Makes every request that ran on the lost server a suspect.
    fn suspect_in_flight(&self) {
        let servers = self.policy.servers.borrow();
        let Some(info) = servers.server(self.server).map(|server| &server.info) else {
            return;
        };
        let lost = self.policy.running.on_server(self.server);
        let now = self.clock.now();
        let mut suspicions = self.policy.suspicions.borrow_mut();
        suspicions.engine_lost(&info.id, &lost, now);
        log::info!(
            target: "decision",
            "suspects={} server={} reason=\"the server was lost while they ran there\"",
            lost.len(),
            info.id
        );
    }
}

impl Policy {
    /// Admits the next request if the pool of `server` still has capacity.
    fn admit_after_dispatch(&self, server: ServerKey, clock: &SharedClock) {
        let pool = {
            let servers = self.servers.borrow();
            servers
                .server(server)
                .map(|server| server.info.pool.clone())
        };
        if let Some(pool) = pool {
            self.set_capacity(&pool, clock);
            self.admit_next(clock);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let now = self.clock.now();
        self.policy.running.remove(self.server, self.request);
        let mut servers = self.policy.servers.borrow_mut();
        servers.record_end(self.dispatch, self.output_tokens, now);
        if self.request.suspect {
            servers.release_from_suspect(self.server);
        }
    }
}
