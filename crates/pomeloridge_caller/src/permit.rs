//! Admission of requests: waiting for a permit, and releasing it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use local_sync::oneshot;
use pomeloridge_base::clock::SharedClock;
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::Name;
use pomeloridge_base::meter::Timer;
use pomeloridge_policy::server::Work;
use pomeloridge_policy::ticket::{self, AdmissionDecision, AdmissionRequest, TicketKey};

use crate::frontend::{AcceptedRequest, Frontend, Policy};
use crate::refusal::Refusal;

type AdmissionResult = Result<(), ticket::Refusal>;

/// Requests waiting for admission, by ticket.
#[derive(Default)]
pub struct Waiters(RefCell<HashMap<TicketKey, oneshot::Sender<AdmissionResult>>>);

impl Waiters {
    fn register(&self, ticket: TicketKey) -> oneshot::Receiver<AdmissionResult> {
        let (sender, receiver) = oneshot::channel();
        self.0.borrow_mut().insert(ticket, sender);
        receiver
    }

    fn notify(&self, ticket: TicketKey, result: AdmissionResult) {
        if let Some(sender) = self.0.borrow_mut().remove(&ticket) {
            // The request may have been cancelled in the meantime.
            let _ = sender.send(result);
        }
    }

    fn remove(&self, ticket: TicketKey) {
        self.0.borrow_mut().remove(&ticket);
    }
}

impl Policy {
    /// Refuses expired requests and admits the next one if there is capacity.
    ///
    /// Only one is admitted at a time: the remaining capacity is known once it has been
    /// counted on a server.
    pub fn admit_next(&self, clock: &SharedClock) {
        let now = clock.now();
        for expired in self.admission.borrow_mut().expire(now) {
            self.waiters.notify(expired.ticket, Err(expired.refusal));
        }
        let next = self.admission.borrow_mut().start_next(now);
        if let Some(ticket) = next {
            self.waiters.notify(ticket, Ok(()));
        }
    }

    /// Updates the capacity of a pool.
    pub fn set_capacity(&self, pool: &Name, clock: &SharedClock) {
        let capacity = self.servers.borrow().capacity(pool, clock.now());
        let mut admission = self.admission.borrow_mut();
        admission.set_capacity(pool, capacity, self.nodes.get());
    }
}

/// Returns the maximum admission wait of a request.
///
/// A first token after its target is of little value, and the time spent on it
/// delays the requests behind it as well.
fn max_wait(frontend: &Frontend, accepted: &AcceptedRequest, pool: &Name) -> Duration {
    let config = frontend.config.borrow();
    let model = config.fleet().models.get(pool);
    let wait_ms = model.map_or(accepted.route.first_byte_ms, |model| model.wait_ms);
    Duration::from_millis(wait_ms.min(accepted.route.first_byte_ms))
}

/// Permit of an admitted request; dropping it admits the next one.
pub(crate) struct AdmissionPermit {
    ticket: TicketKey,
    policy: Rc<Policy>,
    clock: SharedClock,
    answered: bool,
}

impl AdmissionPermit {
    /// Waits for admission to a pool; refuses at once if it would be too late.
    pub(crate) async fn acquire(
        frontend: &Frontend,
        accepted: &AcceptedRequest,
        id: &str,
        pool: &Name,
        work: Work,
    ) -> Result<Self, Refusal> {
        let max_wait = max_wait(frontend, accepted, pool);
        let request = AdmissionRequest {
            account: accepted.account.clone(),
            pool: pool.clone(),
            work,
            account_weight: accepted.weight,
            route_weight: accepted.route.weight,
            deadline: accepted.deadline.min(accepted.arrived + max_wait),
        };
        let now = frontend.clock.now();
        let decision = frontend.policy.admission.borrow_mut().arrive(&request, now);
        if matches!(decision, AdmissionDecision::Refuse(_)) {
            frontend
                .policy
                .demand
                .borrow_mut()
                .record_refusal(pool, now);
        }
        let permit = |ticket| Self {
            ticket,
            policy: Rc::clone(&frontend.policy),
            clock: Rc::clone(&frontend.clock),
            answered: false,
        };
        match decision {
            AdmissionDecision::Start(ticket) => {
                frontend.record_decision(id, format!("admission=now pool={pool}"));
                frontend
                    .policy
                    .demand
                    .borrow_mut()
                    .record_start(pool, work.prompt, now);
                Ok(permit(ticket))
            }
            AdmissionDecision::Refuse(refusal) => Err(refusal.into()),
            AdmissionDecision::Enqueue(ticket) => {
                frontend.record_decision(id, format!("admission=wait pool={pool}"));
                let permit = permit(ticket);
                let result = permit.wait_admitted().await;
                let mut demand = frontend.policy.demand.borrow_mut();
                match &result {
                    Ok(()) => demand.record_start(pool, work.prompt, frontend.clock.now()),
                    Err(_) => demand.record_refusal(pool, frontend.clock.now()),
                }
                drop(demand);
                result?;
                let waited = frontend.clock.now().saturating_duration_since(now);
                frontend.meter.record(Timer::AdmissionWait, waited);
                frontend.record_decision(
                    id,
                    format!("admission=granted waited_ms={}", waited.as_millis()),
                );
                Ok(permit)
            }
        }
    }

    /// Returns the request to the queue and waits for admission again.
    pub(crate) async fn requeue(&self) -> Result<(), Refusal> {
        self.policy.admission.borrow_mut().requeue(self.ticket);
        self.wait_admitted().await
    }

    async fn wait_admitted(&self) -> Result<(), Refusal> {
        let receiver = self.policy.waiters.register(self.ticket);
        self.policy.admit_next(&self.clock);
        match receiver.await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(refusal)) => Err(refusal.into()),
            Err(_) => Err(ErrorKind::Overloaded.into()),
        }
    }

    /// Charges output tokens to the client account.
    pub(crate) fn charge(&self, tokens: u64) {
        let now = self.clock.now();
        let mut admission = self.policy.admission.borrow_mut();
        admission.charge_output(self.ticket, tokens, now);
    }

    /// Marks the request as answered, so that its duration is recorded.
    pub(crate) fn mark_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.policy.waiters.remove(self.ticket);
        {
            let mut admission = self.policy.admission.borrow_mut();
            if self.answered {
                admission.finish(self.ticket, self.clock.now());
            } else {
                admission.cancel(self.ticket);
            }
        }
        self.policy.admit_next(&self.clock);
    }
}
