//! Allotments of client accounts: the requests or tokens a second that an account may run on the
//! whole fleet.
//!
//! The allotment of an account is split among a few nodes, its holders: the first of a ranking by
//! rendezvous hashing of the account over the known nodes. Each holder owns an equal part, and
//! records what it grants of it. A node that has a request asks holders for credit, which a holder
//! records before it answers. What is granted anywhere thus never exceeds the sum of the parts,
//! whichever messages are lost or repeated.
//!
//! Two nodes must not own the same part. A node that replaces a silent one grants only after the
//! silent one must have stopped, and a node that has just come grants only once the node whose
//! place it takes knows of it.

mod fleet;
mod ledger;
mod limit;
mod requester;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use derive_more::Display;

pub use fleet::{FleetFacts, FleetView, KnownNode, StandingChange};
pub use ledger::{Ask, Grant};
pub use limit::{AccountLimit, InvalidAccountLimit, Part, QuotaUnit};
pub use requester::{Claim, Credit, Denial, HolderReport, Step};

use fleet::Standing;
use ledger::Ledger;
use requester::{OpenAsk, Requester};

/// Time from an ask after which its credit is no longer used. All that is used in a window was
/// granted in it or at most this long before, which bounds the excess to this time's rate: 6 % of
/// a window of 8 s.
pub const CREDIT_LIFE: Duration = Duration::from_millis(500);
/// Time for which a holder may leave an ask unanswered before another one is asked.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Silence after which a holder is no longer asked, and another node is to take its place.
pub const REPLACE_TIME: Duration = Duration::from_secs(15);
/// Time without the majority of the nodes after which a node no longer grants. Shorter than the
/// time after which it is replaced, as the others may have heard it last some seconds before.
pub const HOLD_TIME: Duration = Duration::from_secs(10);
/// Maximum number of holders of an account.
pub const MAX_HOLDERS: usize = 8;
/// Time without requests after which an account's credit and estimates are forgotten.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Hash of a node's name.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{_0:016x}")]
pub struct NodeId(pub u64);

/// Hash of an account's name.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{_0:016x}")]
pub struct AccountId(pub u64);

/// Number of an ask, unique on its node.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub struct AskId(pub u64);

/// An ask that is to be sent to a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAsk {
    /// Number by which the grant names it.
    pub id: AskId,
    /// Holder that is asked.
    pub holder: NodeId,
    /// What is asked for.
    pub ask: Ask,
}

/// What is the same on all nodes of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Amount beyond the allotments that the platform tolerates in a window.
    pub slack: f64,
    /// Length of the window over which the platform counts.
    pub window: Duration,
}

/// An account's limit, and since when it has had one.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    limit: AccountLimit,
    since: Instant,
}

/// The numbers of accounts whose limits are new, others or gone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitChanges {
    /// Accounts that had none.
    pub added: usize,
    /// Accounts that had another one.
    pub changed: usize,
    /// Accounts that no longer have one.
    pub removed: usize,
}

/// One node's part in the allotments: what it holds, and the credit of its requests.
#[derive(Debug)]
pub struct AccountQuota {
    terms: QuotaTerms,
    limits: HashMap<AccountId, KnownLimit>,
    view: FleetView,
    /// Number of changes of the nodes that are asked.
    view_number: u64,
    standing: Standing,
    /// What this node holds of the allotments, by account, once it has been asked.
    ledgers: HashMap<AccountId, Ledger>,
    requesters: HashMap<AccountId, Requester>,
    open_asks: HashMap<AskId, OpenAsk>,
    next_ask: u64,
}

impl AccountQuota {
    /// Creates the state of a node that knows no limits and no other nodes.
    pub fn new(own: NodeId, terms: QuotaTerms) -> Self {
        Self {
            terms,
            limits: HashMap::new(),
            view: FleetView::new(own, Vec::new()),
            view_number: 0,
            standing: Standing::default(),
            ledgers: HashMap::new(),
            requesters: HashMap::new(),
            open_asks: HashMap::new(),
            next_ask: 0,
        }
    }

    /// Returns whether any account has a limit.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Returns an account's limit.
    pub fn limit(&self, account: AccountId) -> Option<AccountLimit> {
        self.limits.get(&account).map(|known| known.limit)
    }

    /// Replaces the limits of all accounts. The part of an account that had none fills from now.
    pub fn set_limits(
        &mut self,
        limits: HashMap<AccountId, AccountLimit>,
        now: Instant,
    ) -> LimitChanges {
        let mut changes = LimitChanges::default();
        let mut former = std::mem::take(&mut self.limits);
        for (account, limit) in limits {
            let known = former.remove(&account);
            let known = known.filter(|known| known.limit.counts_like(limit));
            if let Some(known) = known {
                changes.changed += usize::from(known.limit != limit);
            } else {
                changes.added += 1;
                self.forget(account);
            }
            let since = known.map_or(now, |known| known.since);
            self.limits.insert(account, KnownLimit { limit, since });
        }
        for account in former.into_keys() {
            changes.removed += 1;
            self.forget(account);
        }
        changes
    }

    fn forget(&mut self, account: AccountId) {
        self.ledgers.remove(&account);
        self.requesters.remove(&account);
    }

    /// Records that this node has learned which nodes exist, while no account has a limit: they get
    /// to know it meanwhile.
    pub fn record_known(&mut self, now: Instant) {
        self.standing.record_known(self.terms.window, now);
    }

    /// Updates the known nodes and what this node knows of its contact to them. Returns whether it
    /// begins or ceases to grant.
    pub fn set_view(
        &mut self,
        view: FleetView,
        facts: FleetFacts,
        now: Instant,
    ) -> Option<StandingChange> {
        let window = self.terms.window;
        if view.asked() != self.view.asked() {
            self.view_number += 1;
        }
        if view.blockers(window) != self.view.blockers(window) {
            if view.lacks_blocker_of(&self.view, window) {
                self.standing.record_departure(now);
            }
            let (limits, terms) = (&self.limits, self.terms);
            self.ledgers.retain(|account, _| {
                let known = limits.get(account);
                known.is_some_and(|known| view.own_part(*account, known.limit, terms).is_some())
            });
        }
        self.view = view;
        let update = self.standing.update(facts, window, now);
        if update.is_lost {
            self.ledgers.clear();
        }
        self.sweep(now);
        update.change
    }

    /// Returns the numbers of nodes that are asked and known, this one included.
    pub fn node_counts(&self) -> (usize, usize) {
        (self.view.asked().len(), self.view.len())
    }

    fn sweep(&mut self, now: Instant) {
        let age = |at| now.saturating_duration_since(at);
        self.open_asks
            .retain(|_, ask| age(ask.sent_at) < CREDIT_LIFE);
        self.requesters
            .retain(|_, requester| age(requester.used_at()) < IDLE_TIME);
    }

    /// Answers a node that asks for credit; what is granted is taken from this node's part.
    pub fn handle_ask(&mut self, account: AccountId, ask: Ask, now: Instant) -> Grant {
        let part = self.limits.get(&account).and_then(|known| {
            let from = self.standing.granting_from(now)?;
            let part = self.view.own_part(account, known.limit, self.terms)?;
            Some((part, from.max(known.since)))
        });
        let Some((part, since)) = part else {
            return Grant::CLOSED;
        };
        let ledger = self.ledgers.entry(account);
        // Credit that was granted before a window may be used in it.
        let counted_time = self.terms.window + CREDIT_LIFE;
        let ledger = ledger.or_insert_with(|| Ledger::new(part, counted_time, since));
        ledger.set_part(part, now);
        ledger.grant(ask, now)
    }

    /// Returns what a request that needs credit is to do next.
    pub fn next_step(&mut self, claim: &mut Claim, now: Instant) -> Step {
        let Some(known) = self.limits.get(&claim.account) else {
            return Step::Run(Credit::unlimited(claim.account));
        };
        let requester = self.requesters.entry(claim.account);
        let requester = requester.or_insert_with(|| Requester::new(now));
        requester.update(self.view_number, now, || {
            self.view.holders(claim.account, known.limit, self.terms)
        });
        let asks = match requester.next_step(claim, known.limit, self.terms, now) {
            requester::Decision::Ask(asks) => asks,
            requester::Decision::Run(credit) => return Step::Run(credit),
            requester::Decision::Wait(time) => return Step::Wait(time),
            requester::Decision::Refuse(denial) => return Step::Refuse(denial),
        };
        let asks = asks.into_iter().map(|(holder, ask)| {
            let id = AskId(self.next_ask);
            self.next_ask += 1;
            let account = claim.account;
            let open = OpenAsk {
                account,
                holder,
                sent_at: now,
            };
            self.open_asks.insert(id, open);
            SentAsk { id, holder, ask }
        });
        Step::Ask(asks.collect())
    }

    /// Adds the credit of a grant. Returns false if the ask is not known or was answered before.
    pub fn record_grant(&mut self, id: AskId, grant: Grant, now: Instant) -> bool {
        let Some(open) = self.open_asks.remove(&id) else {
            return false;
        };
        if let Some(requester) = self.requesters.get_mut(&open.account) {
            requester.record_grant(open, grant, now);
        }
        true
    }

    /// Returns whether none of the asks is open.
    pub fn are_answered(&self, asks: &[SentAsk]) -> bool {
        asks.iter().all(|ask| !self.open_asks.contains_key(&ask.id))
    }

    /// Records that a claim's asks have been answered or the time for that is over. Returns the
    /// holders that were silent.
    pub fn finish_asks(
        &mut self,
        claim: &mut Claim,
        asks: &[SentAsk],
        now: Instant,
    ) -> Vec<NodeId> {
        let silent: HashSet<NodeId> = asks
            .iter()
            .filter(|ask| self.open_asks.contains_key(&ask.id))
            .map(|ask| ask.holder)
            .collect();
        claim.record_answers(asks.len() - silent.len());
        if let Some(requester) = self.requesters.get_mut(&claim.account) {
            requester.record_silence(&silent, now);
        }
        let mut silent: Vec<NodeId> = silent.into_iter().collect();
        silent.sort_unstable();
        silent
    }

    /// Returns the credit of a run that no server has run or will run.
    pub fn give_back(&mut self, credit: Credit, now: Instant) {
        if let Some(requester) = self.requesters.get_mut(&credit.account) {
            requester.give_back(credit, now);
        }
    }

    /// Returns whether the holders probably have the credit for one more run.
    pub fn may_have(&self, account: AccountId, cost: u64, now: Instant) -> bool {
        let Some(known) = self.limits.get(&account) else {
            return true;
        };
        let requester = self.requesters.get(&account);
        requester.is_none_or(|requester| requester.may_have(cost, known.limit, self.terms, now))
    }

    /// Returns what this node knows of an account's holders.
    pub fn holder_reports(&self, account: AccountId, now: Instant) -> Vec<HolderReport> {
        let requester = self.requesters.get(&account);
        let known = requester.zip(self.limit(account));
        known.map_or_else(Vec::new, |(requester, limit)| {
            requester.holder_reports(limit, self.terms, now)
        })
    }

    /// Returns the credit at hand for an account.
    pub fn at_hand(&self, account: AccountId, now: Instant) -> u64 {
        let requester = self.requesters.get(&account);
        requester.map_or(0, |requester| requester.at_hand(now))
    }

    /// Returns the number of accounts for which this node keeps anything.
    pub fn kept_accounts(&self) -> usize {
        let accounts: HashSet<&AccountId> =
            self.ledgers.keys().chain(self.requesters.keys()).collect();
        accounts.len()
    }
}
