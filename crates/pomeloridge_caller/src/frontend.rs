//! Entry point of requests: authentication, routing and the refusals that need no
//! backend server.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub use pomeloridge_base::LocalFuture;
use pomeloridge_base::clock::SharedClock;
use pomeloridge_base::config::{ConfigView, RouteConfig, RouteKind};
use pomeloridge_base::error::{ErrorKind, RunStatus};
use pomeloridge_base::http::{Fault, Request, Responder};
use pomeloridge_base::id::Name;
use pomeloridge_base::meter::{Counter, Meter};
use pomeloridge_policy::admission::Admission;
use pomeloridge_policy::demand::DemandMeter;
use pomeloridge_policy::estimate::OutputEstimates;
use pomeloridge_policy::prefix::PrefixHints;
use pomeloridge_policy::retry::RetryBudget;
use pomeloridge_policy::routing::Router;
use pomeloridge_policy::server_table::ServerTable;
use pomeloridge_policy::suspicion::{Fingerprint, Suspicions, Treatment};
use rand::rngs::StdRng;

use crate::auth;
use crate::claim::ClaimStore;
use crate::decisions::DecisionLog;
use crate::in_flight::RunningRequests;
use crate::permit::Waiters;
use crate::refusal::{self, Refusal};
use crate::request_id::IdGenerator;

/// Billed usage of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Request ID.
    pub request_id: String,
    /// Client account.
    pub account: Name,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
}

/// State of the policies, shared with the node's other tasks.
pub struct Policy {
    /// Table of backend servers.
    pub servers: RefCell<ServerTable>,
    /// Prompt blocks that are probably cached on each server.
    pub hints: RefCell<PrefixHints>,
    /// Routing policy.
    pub router: RefCell<Router>,
    /// Admission queues.
    pub admission: RefCell<Admission>,
    /// Live nodes that share the pools, including this one.
    pub nodes: Cell<u32>,
    /// Requests waiting for admission.
    pub waiters: Waiters,
    /// Requests running on each server.
    pub running: RunningRequests,
    /// Recent demand at this node.
    pub demand: RefCell<DemandMeter>,
    /// Estimated output of requests.
    pub estimates: RefCell<OutputEstimates>,
    /// Retry budget.
    pub budget: RefCell<RetryBudget>,
    /// Suspected and quarantined requests.
    pub suspicions: RefCell<Suspicions>,
    /// Random number generator of routing.
    pub rng: RefCell<StdRng>,
    /// Decisions for recent requests.
    pub decisions: RefCell<DecisionLog>,
}

/// Request handler of the callers' port.
pub struct Frontend {
    /// Clock.
    pub clock: SharedClock,
    /// Configuration in force.
    pub config: Rc<RefCell<ConfigView>>,
    /// State of the policies.
    pub policy: Rc<Policy>,
    /// Generator of request IDs.
    pub ids: IdGenerator,
    /// Timeout for connecting to a backend server.
    pub connect_timeout: Duration,
    /// Returns an error while new requests are refused, as on a node that is cut off.
    pub gate: Box<dyn Fn() -> Result<(), ErrorKind>>,
    /// Replicates usage to a peer; waits a bounded time for it.
    pub record_usage: Box<dyn Fn(Usage) -> LocalFuture<()>>,
    /// Shares suspicions and reservations with the peers, within a bounded time.
    pub share_suspicions: Box<dyn Fn() -> LocalFuture<()>>,
    /// This node's name.
    pub node: Name,
    /// Claims of idempotency keys.
    pub claims: ClaimStore,
    /// Counters and timers.
    pub meter: Meter,
}

/// A request that passed all checks before admission.
pub(crate) struct AcceptedRequest {
    pub(crate) request: Request,
    pub(crate) route: RouteConfig,
    pub(crate) account: Name,
    pub(crate) weight: f64,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
}

impl Frontend {
    /// Handles one request.
    pub async fn handle(&self, request: Result<Request, Fault>, responder: &mut Responder) {
        self.meter.increment(Counter::Requests);
        let accepted = match self.accept(request) {
            Ok(accepted) => accepted,
            Err(refusal) => {
                self.refuse(&refusal, None, responder).await;
                return;
            }
        };
        match accepted.route.kind {
            RouteKind::Completions | RouteKind::Chat => {
                crate::generate::serve(self, &accepted, responder).await;
            }
            RouteKind::Service => crate::service::serve(self, &accepted, responder).await,
        }
    }

    /// Refuses a quarantined request, with an unknown run if a server may have run it.
    pub(crate) fn check_quarantine(
        &self,
        fingerprint: &Fingerprint,
        may_have_run: bool,
    ) -> Result<(), Refusal> {
        let suspicions = self.policy.suspicions.borrow();
        match suspicions.treatment(fingerprint, self.clock.now()) {
            Treatment::Normal | Treatment::Isolate => Ok(()),
            Treatment::Refuse(left) => Err(Refusal {
                retry_after: Some(left),
                run: may_have_run.then_some(RunStatus::Unknown),
                ..Refusal::from(ErrorKind::Quarantined)
            }),
        }
    }

    /// Makes all checks that precede admission.
    fn accept(&self, request: Result<Request, Fault>) -> Result<AcceptedRequest, Refusal> {
        let request = request?;
        let config = self.config.borrow();
        let route = config.route(request.path()).cloned();
        let route = route.ok_or(ErrorKind::UnknownPath)?;
        let method = request.method.as_str();
        if !route.methods.iter().any(|allowed| allowed == method) {
            let detail = format!("allowed are: {}", route.methods.join(", "));
            return Err(Refusal::with_detail(ErrorKind::UnknownPath, detail));
        }
        let account = auth::authenticate(&request, &route, &config)?;
        if request.body.len() > route.body_bytes {
            let detail = format!("the route takes {} bytes", route.body_bytes);
            return Err(Refusal::with_detail(ErrorKind::BodyTooLarge, detail));
        }
        (self.gate)()?;
        let weight = config.account(&account).map_or(1.0, |found| found.weight);
        let arrived = self.clock.now();
        Ok(AcceptedRequest {
            deadline: arrived + route.deadline(),
            arrived,
            account,
            weight,
            route,
            request,
        })
    }

    /// Responds with a refusal.
    pub(crate) async fn refuse(
        &self,
        refusal: &Refusal,
        id: Option<&str>,
        responder: &mut Responder,
    ) {
        let counter = match refusal.run() {
            RunStatus::NotRun => Counter::Refused,
            RunStatus::Ran | RunStatus::Unknown => Counter::Failed,
        };
        self.meter.increment(counter);
        if let Some(id) = id {
            let code = refusal.kind.answer().code;
            let text = format!("outcome=refused code={code} run=\"{}\"", refusal.run());
            self.record_decision(id, text);
        }
        let _ = responder.send(refusal::refusal_response(refusal, id)).await;
    }

    /// Logs and stores a decision for a request.
    pub(crate) fn record_decision(&self, id: &str, text: String) {
        self.policy.decisions.borrow_mut().record(id, text);
    }
}
