//! The entry of every request: who sent it, which route it takes, and the
//! refusals that need no backend server.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub use pomeloridge_base::LocalFuture;
use pomeloridge_base::clock::SharedClock;
use pomeloridge_base::config::{ConfigView, RouteConfig, RouteKind};
use pomeloridge_base::error::{ErrorKind, Run};
use pomeloridge_base::http::{Fault, Request, Responder};
use pomeloridge_base::id::Name;
use pomeloridge_base::meter::{Counter, Meter};
use pomeloridge_policy::admission::Admission;
use pomeloridge_policy::demand::DemandMeter;
use pomeloridge_policy::estimate::OutputEstimates;
use pomeloridge_policy::fleet::Fleet;
use pomeloridge_policy::prefix::PrefixHints;
use pomeloridge_policy::retry::RetryBudget;
use pomeloridge_policy::routing::Router;
use pomeloridge_policy::suspicion::{Fingerprint, Suspicions, Treatment};
use rand::rngs::StdRng;

use crate::auth;
use crate::claim::ClaimStore;
use crate::decisions::DecisionLog;
use crate::in_flight::RunningRequests;
use crate::permit::Waiters;
use crate::refusal::{self, Refusal};
use crate::request_id::IdGenerator;

/// A line of usage: one request, as it is billed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The request's identifier.
    pub request_id: String,
    /// Client account.
    pub account: Name,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
}

/// The decisions' state, shared with the tasks of the other peers.
pub struct Policy {
    /// View of the backend servers.
    pub fleet: RefCell<Fleet>,
    /// Which server holds which prompt blocks.
    pub hints: RefCell<PrefixHints>,
    /// Choice of servers.
    pub router: RefCell<Router>,
    /// Fair queues.
    pub admission: RefCell<Admission>,
    /// Live nodes that share the pools.
    pub nodes: Cell<u32>,
    /// Requests that wait for their turn.
    pub waiters: Waiters,
    /// Requests that run on each server.
    pub running: RunningRequests,
    /// What this node was asked for of late.
    pub demand: RefCell<DemandMeter>,
    /// Output expected of requests.
    pub estimates: RefCell<OutputEstimates>,
    /// Budget of retries.
    pub budget: RefCell<RetryBudget>,
    /// Requests that may crash servers.
    pub suspicions: RefCell<Suspicions>,
    /// Random numbers for routing.
    pub rng: RefCell<StdRng>,
    /// Decisions of recent requests.
    pub decisions: RefCell<DecisionLog>,
}

/// Everything that a request on the callers' port needs.
pub struct Frontend {
    /// Clock.
    pub clock: SharedClock,
    /// Configuration in force.
    pub config: Rc<RefCell<ConfigView>>,
    /// State of the decisions.
    pub policy: Rc<Policy>,
    /// Maker of request identifiers.
    pub ids: IdGenerator,
    /// Time to connect to a backend server.
    pub connect_timeout: Duration,
    /// Whether new work is taken; cut-off nodes refuse it.
    pub gate: Box<dyn Fn() -> Result<(), ErrorKind>>,
    /// Hands usage on, and waits a bounded time until a peer has it.
    pub record_usage: Box<dyn Fn(Usage) -> LocalFuture<()>>,
    /// Exchanges with the peers what is known of suspects, within a bounded time.
    pub share_suspicions: Box<dyn Fn() -> LocalFuture<()>>,
    /// This node's name.
    pub node: Name,
    /// Claims of idempotency keys.
    pub claims: ClaimStore,
    /// Counts and times.
    pub meter: Meter,
}

/// A request that was let in.
pub(crate) struct AcceptedRequest {
    pub(crate) request: Request,
    pub(crate) route: RouteConfig,
    pub(crate) account: Name,
    pub(crate) weight: f64,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
}

impl Frontend {
    /// Answers one request.
    pub async fn handle(&self, request: Result<Request, Fault>, responder: &mut Responder) {
        self.meter.one(Counter::Requests);
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

    /// Refuses a request that is quarantined; `written` if a server may have had it.
    pub(crate) fn check_quarantine(
        &self,
        fingerprint: &Fingerprint,
        may_have_run: bool,
    ) -> Result<(), Refusal> {
        let suspicions = self.policy.suspicions.borrow();
        match suspicions.treatment(fingerprint, self.clock.now()) {
            Treatment::Normal | Treatment::Isolate => Ok(()),
            Treatment::Refuse(left) => Err(Refusal {
                retry: Some(left),
                run: may_have_run.then_some(Run::Unknown),
                ..Refusal::from(ErrorKind::Quarantined)
            }),
        }
    }

    /// Checks everything that can be checked before a turn is waited for.
    fn accept(&self, request: Result<Request, Fault>) -> Result<AcceptedRequest, Refusal> {
        let request = request?;
        let config = self.config.borrow();
        let route = config.route(request.path()).cloned();
        let route = route.ok_or(ErrorKind::UnknownPath)?;
        let method = request.method.as_str();
        if !route.methods.iter().any(|allowed| allowed == method) {
            let detail = format!("allowed are: {}", route.methods.join(", "));
            return Err(Refusal::at(ErrorKind::UnknownPath, detail));
        }
        let account = auth::authenticate(&request, &route, &config)?;
        if request.body.len() > route.body_bytes {
            let detail = format!("the route takes {} bytes", route.body_bytes);
            return Err(Refusal::at(ErrorKind::BodyTooLarge, detail));
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

    /// Gives a request its final answer as a refusal.
    pub(crate) async fn refuse(
        &self,
        refusal: &Refusal,
        id: Option<&str>,
        responder: &mut Responder,
    ) {
        let counter = match refusal.run() {
            Run::NotRun => Counter::Refused,
            Run::Ran | Run::Unknown => Counter::Failed,
        };
        self.meter.one(counter);
        if let Some(id) = id {
            let code = refusal.kind.answer().code;
            let text = format!("outcome=refused code={code} run=\"{}\"", refusal.run());
            self.record_decision(id, text);
        }
        let _ = responder.send(refusal::refusal_response(refusal, id)).await;
    }

    /// Logs a decision for a request.
    pub(crate) fn record_decision(&self, id: &str, text: String) {
        self.policy.decisions.borrow_mut().record(id, text);
    }
}
