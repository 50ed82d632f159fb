//! Allotments of client accounts on the request path: each run of a request takes credit first,
//! which this node has at hand or asks of the account's holders.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::Name;
use pomeloridge_base::meter::{Counter, Timer};
use pomeloridge_base::refusal::Refusal;
use pomeloridge_base::settings::SettingValues;
use pomeloridge_policy::account_quota::{
    ANSWER_TIMEOUT, AccountId, AccountLimit, AccountQuota, Ask, AskId, Claim, Credit, Denial,
    FleetFacts, FleetView, Grant, HolderReport, KnownNode, LimitChanges, NodeId, QuotaTerms,
    SentAsk, Step,
};

use crate::accept::Accepted;
use crate::peers::{self, name_hash};
use crate::state::State;

/// Upper bound of the time that a request waits for credit.
const MAX_CREDIT_WAIT: Duration = Duration::from_millis(250);
/// Part of its route's latency target that a request waits at most.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Shortest retry delay that a refusal for the allotment gives the caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Upper bound of the random factor that spreads the callers' retries.
const MAX_RETRY_JITTER_FACTOR: f64 = 1.25;
/// Shortest time between two log lines on the known nodes.
const NODES_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// This node's part in the allotments of client accounts.
#[derive(Debug)]
pub(crate) struct QuotaState {
    own: NodeId,
    quota: RefCell<AccountQuota>,
    /// Version of the configuration from which the limits are.
    config: Cell<Option<u64>>,
    /// Names and addresses of the known peers.
    peers: RefCell<HashMap<NodeId, (Name, SocketAddr)>>,
    /// Requests that wait for answers to their asks.
    waiting: RefCell<Vec<Waker>>,
    /// Whether an earlier process of this node was known to the others.
    is_restarted: Cell<bool>,
    /// Numbers of nodes in the latest log line, and its time.
    logged_nodes: Cell<Option<((usize, usize), Instant)>>,
}

impl QuotaState {
    pub(crate) fn new(name: &Name, settings: &SettingValues) -> Self {
        let own = NodeId(name_hash(name));
        let terms = QuotaTerms {
            slack: settings.amount("quota", "slack"),
            window: settings.time("quota", "window_s"),
        };
        Self {
            own,
            quota: RefCell::new(AccountQuota::new(own, terms)),
            config: Cell::default(),
            peers: RefCell::default(),
            waiting: RefCell::default(),
            is_restarted: Cell::default(),
            logged_nodes: Cell::default(),
        }
    }

    /// Records that an earlier process of this node was known to the others.
    pub(crate) fn record_restart(&self) {
        self.is_restarted.set(true);
    }

    fn node_name(&self, node: NodeId) -> Name {
        let peers = self.peers.borrow();
        peers
            .get(&node)
            .map_or_else(|| Name::from("own"), |(name, _)| name.clone())
    }
}

fn account_id(name: &Name) -> AccountId {
    AccountId(name_hash(name))
}

/// Takes over the limits of the active configuration, if they are of another version.
pub(crate) fn sync_limits(state: &State) {
    let Some(config) = state.config() else { return };
    let quota = &state.account_quota;
    if quota.config.replace(Some(config.version)) == Some(config.version) {
        return;
    }
    let accounts = config.accounts.iter().flat_map(HashMap::values);
    let limits = accounts.filter_map(|account| Some((account_id(&account.name), account.limit?)));
    let mut held = quota.quota.borrow_mut();
    let changes = held.set_limits(limits.collect(), state.now());
    if changes != LimitChanges::default() {
        log::info!(
            "allotments config={} choice=adopt added={} changed={} removed={}",
            config.version,
            changes.added,
            changes.changed,
            changes.removed
        );
    }
}

/// Updates what this node knows of the other nodes, which decides who holds what.
pub(crate) fn refresh(state: &State) {
    let quota = &state.account_quota;
    let now = state.now();
    if !quota.quota.borrow().has_limits() {
        if state.peers.borrow().is_initialized(now) {
            quota.quota.borrow_mut().record_known(now);
        }
        return;
    }
    let hears_majority = state.hears_majority();
    let peers = state.peers.borrow();
    let facts = FleetFacts {
        knows_nodes: peers.is_initialized(now),
        is_restarted: quota.is_restarted.get(),
        // A node that has heard nobody for long is cut off, whichever nodes it heard lately.
        hears_majority: hears_majority && (peers.known_count() == 0 || peers.live_count(now) > 0),
    };
    let mut names = HashMap::new();
    let mut nodes = Vec::new();
    for peer in peers.known_peers(now) {
        let id = NodeId(name_hash(&peer.name));
        names.insert(id, (peer.name, peer.address));
        nodes.push(KnownNode {
            id,
            is_local: peer.is_local,
            silence: peer.silence,
        });
    }
    drop(peers);
    // Asks that nobody answered leave their wakers behind.
    for waker in quota.waiting.take() {
        waker.wake();
    }
    quota.peers.replace(names);
    let view = FleetView::new(quota.own, nodes);
    let mut held = quota.quota.borrow_mut();
    let change = held.set_view(view, facts, now);
    let counts = held.node_counts();
    drop(held);
    if let Some(change) = change {
        log::info!(
            "allotments choice={change} knows_nodes={} hears_majority={} restarted={} asked={} \
             known={}",
            facts.knows_nodes,
            facts.hears_majority,
            facts.is_restarted,
            counts.0,
            counts.1
        );
    }
    log_nodes(quota, counts, now);
}

fn log_nodes(quota: &QuotaState, counts: (usize, usize), now: Instant) {
    let logged = quota.logged_nodes.get();
    let is_due = logged.is_none_or(|(logged, at)| {
        logged != counts && now.saturating_duration_since(at) >= NODES_LOG_INTERVAL
    });
    if is_due {
        quota.logged_nodes.set(Some((counts, now)));
        let (asked, known) = counts;
        log::info!("allotments nodes={asked} silent={}", known - asked);
    }
}

/// Answers a node that asks for credit.
pub(crate) fn handle_ask(state: &State, account: AccountId, ask: Ask) -> Grant {
    let mut quota = state.account_quota.quota.borrow_mut();
    quota.handle_ask(account, ask, state.now())
}

/// Adds the credit of a grant, and wakes the requests that wait for one.
pub(crate) fn handle_grant(state: &State, id: AskId, grant: Grant) {
    let quota = &state.account_quota;
    let is_known = quota
        .quota
        .borrow_mut()
        .record_grant(id, grant, state.now());
    if is_known {
        for waker in quota.waiting.take() {
            waker.wake();
        }
    }
}

/// Takes the credit for one run of a request, or refuses it. Returns `None` if its account has no
/// limit. Credit counts as used from now on unless it is given back.
pub(crate) async fn charge_run(
    state: &Rc<State>,
    accepted: &Accepted,
) -> Result<Option<Credit>, Refusal> {
    let Some((account, limit)) = limit_of(state, accepted) else {
        return Ok(None);
    };
    let quota = &state.account_quota.quota;
    let since = state.now();
    let cost = limit.cost(accepted.inbound.total_tokens());
    let mut claim = Claim::new(account, cost, since + longest_wait(accepted, since));
    loop {
        let step = quota.borrow_mut().next_step(&mut claim, state.now());
        match step {
            Step::Run(credit) => {
                let waited = state.now().saturating_duration_since(since);
                let (rounds, answers) = claim.asked();
                if rounds > 0 {
                    state.meter.record(Timer::AllotmentWait, waited);
                }
                log::info!(
                    "request id={} choice=charge account={} limit=\"{limit}\" cost={cost} \
                     rounds={rounds} answers={answers} waited_ms={}",
                    accepted.inbound.label(),
                    accepted.account.clone().unwrap_or_default(),
                    waited.as_millis()
                );
                return Ok(Some(credit));
            }
            Step::Ask(asks) => ask_holders(state, accepted, &mut claim, &asks).await,
            Step::Wait(time) => monoio::time::sleep(time).await,
            Step::Refuse(denial) => {
                log_denial(state, accepted, &claim, limit, denial, since);
                return Err(refusal(state, denial));
            }
        }
    }
}

/// Returns credit that was taken for a run which no server has made or will make.
pub(crate) fn give_back(state: &State, credit: Credit) {
    let mut quota = state.account_quota.quota.borrow_mut();
    quota.give_back(credit, state.now());
}

/// Whether the credit for one more run of a request can probably be had.
pub(crate) fn may_charge(state: &State, accepted: &Accepted) -> bool {
    limit_of(state, accepted).is_none_or(|(account, limit)| {
        let cost = limit.cost(accepted.inbound.total_tokens());
        let quota = state.account_quota.quota.borrow();
        quota.may_have(account, cost, state.now())
    })
}

fn limit_of(state: &State, accepted: &Accepted) -> Option<(AccountId, AccountLimit)> {
    let quota = state.account_quota.quota.borrow();
    if !quota.has_limits() {
        return None;
    }
    let account = account_id(accepted.account.as_ref()?);
    Some((account, quota.limit(account)?))
}

/// Returns how long a request may wait for credit: a part of the time in which its caller wants
/// the answer to begin.
fn longest_wait(accepted: &Accepted, now: Instant) -> Duration {
    let target = accepted.route.latency_target;
    let wait = if target.is_zero() {
        MAX_CREDIT_WAIT
    } else {
        target.mul_f64(MAX_WAIT_FRACTION).min(MAX_CREDIT_WAIT)
    };
    wait.min(accepted.time_left(now))
}

/// Asks holders, and waits until they have answered or the time for that is over.
async fn ask_holders(state: &Rc<State>, accepted: &Accepted, claim: &mut Claim, asks: &[SentAsk]) {
    let quota = &state.account_quota;
    let (own, others): (Vec<SentAsk>, Vec<SentAsk>) =
        asks.iter().partition(|ask| ask.holder == quota.own);
    for ask in own {
        let grant = handle_ask(state, claim.account, ask.ask);
        handle_grant(state, ask.id, grant);
    }
    if !others.is_empty() {
        state.meter.add(Counter::AllotmentAsks, others.len() as u64);
        send_asks(state, claim.account, &others);
        monoio::select! {
            () = answers(state, &others) => {}
            () = monoio::time::sleep(ANSWER_TIMEOUT) => {}
        }
    }
    let now = state.now();
    let silent = quota.quota.borrow_mut().finish_asks(claim, asks, now);
    state
        .meter
        .add(Counter::AllotmentSilent, silent.len() as u64);
    for holder in silent {
        log::info!(
            "request id={} choice=ask_elsewhere account={} holder={} reason=\"no answer in {} ms\"",
            accepted.inbound.label(),
            accepted.account.clone().unwrap_or_default(),
            quota.node_name(holder),
            ANSWER_TIMEOUT.as_millis()
        );
    }
}

fn send_asks(state: &Rc<State>, account: AccountId, asks: &[SentAsk]) {
    let peers = state.account_quota.peers.borrow();
    let reachable = asks.iter().filter_map(|ask| {
        let (_, address) = peers.get(&ask.holder)?;
        Some((*address, *ask))
    });
    peers::send_asks(state, account, reachable);
}

/// Waits until all asks have been answered.
async fn answers(state: &State, asks: &[SentAsk]) {
    let quota = &state.account_quota;
    poll_fn(|context| {
        if quota.quota.borrow().are_answered(asks) {
            return Poll::Ready(());
        }
        quota.waiting.borrow_mut().push(context.waker().clone());
        Poll::Pending
    })
    .await;
}

fn refusal(state: &State, denial: Denial) -> Refusal {
    match denial {
        Denial::Exhausted { retry_after } => {
            state.meter.increment(Counter::AllotmentRefused);
            let factor = rand::random_range(1.0..MAX_RETRY_JITTER_FACTOR);
            Refusal {
                retry_after: Some(retry_after.mul_f64(factor).max(MIN_RETRY_AFTER)),
                ..ErrorKind::AllotmentUsed.into()
            }
        }
        Denial::TooLarge => {
            state.meter.increment(Counter::AllotmentRefused);
            ErrorKind::AllotmentTooSmall.into()
        }
        Denial::Unanswered => {
            state.meter.increment(Counter::AllotmentUnknown);
            ErrorKind::AllotmentUnknown.into()
        }
    }
}

fn log_denial(
    state: &State,
    accepted: &Accepted,
    claim: &Claim,
    limit: AccountLimit,
    denial: Denial,
    since: Instant,
) {
    let now = state.now();
    let quota = state.account_quota.quota.borrow();
    let reports = quota.holder_reports(claim.account, now);
    let holders = reports.iter().map(|report| {
        let name = state.account_quota.node_name(report.id);
        format!("{name}:{}", describe(report))
    });
    let holders: Vec<String> = holders.collect();
    let reason = match denial {
        Denial::Exhausted { .. } => "allotment used",
        Denial::TooLarge => "larger than the allotment",
        Denial::Unanswered => "no holder of the allotment answers",
    };
    let (rounds, answers) = claim.asked();
    log::info!(
        "request id={} choice=refuse account={} limit=\"{limit}\" cost={} at_hand={} rounds={rounds} \
         answers={answers} waited_ms={} holders=\"{}\" reason=\"{reason}\"",
        accepted.inbound.label(),
        accepted.account.clone().unwrap_or_default(),
        claim.cost,
        quota.at_hand(claim.account, now),
        now.saturating_duration_since(since).as_millis(),
        holders.join(" ")
    );
}

/// Formats what a holder probably has, when it last told that, and whether it is passed over.
fn describe(report: &HolderReport) -> String {
    let age = report.age.map_or_else(
        || "never".to_owned(),
        |age| format!("{}ms", age.as_millis()),
    );
    let paused = if report.is_paused { "/paused" } else { "" };
    format!("{}@{age}{paused}", report.estimate)
}

/// The credit of one request's runs. What no run was begun with is given back at the end.
pub(crate) struct RunCredits<'a> {
    state: &'a Rc<State>,
    accepted: &'a Accepted,
    /// Credit of the next run.
    next: Cell<Option<Credit>>,
    /// Credit of the run that was begun last.
    begun: Cell<Option<Credit>>,
}

impl<'a> RunCredits<'a> {
    pub(crate) fn new(state: &'a Rc<State>, accepted: &'a Accepted) -> Self {
        Self {
            state,
            accepted,
            next: Cell::default(),
            begun: Cell::default(),
        }
    }

    /// Takes the credit for the next run unless it is there.
    pub(crate) async fn charge(&self) -> Result<(), Refusal> {
        let now = self.state.now();
        if self.next.get().is_none_or(|credit| credit.has_lapsed(now)) {
            let credit = charge_run(self.state, self.accepted).await?;
            self.next.set(credit);
        }
        Ok(())
    }

    /// Whether the credit for one more run can probably be had.
    pub(crate) fn may_charge(&self) -> bool {
        self.next.get().is_some() || may_charge(self.state, self.accepted)
    }

    /// Uses the credit for a run that may be sent from now on. Of two runs at a time, neither's
    /// credit is given back: which of them has failed is not told.
    pub(crate) fn begin_run(&self) {
        let next = self.next.take();
        let is_beside = self.begun.take().is_some();
        self.begun.set(next.filter(|_| !is_beside));
    }

    /// Records that the latest run has failed; its credit is kept if no server has run it.
    pub(crate) fn end_run(&self, not_run: bool) {
        let begun = self.begun.take();
        if not_run && begun.is_some() {
            self.next.set(begun);
        }
    }
}

impl Drop for RunCredits<'_> {
    fn drop(&mut self) {
        if let Some(credit) = self.next.take() {
            give_back(self.state, credit);
        }
    }
}
