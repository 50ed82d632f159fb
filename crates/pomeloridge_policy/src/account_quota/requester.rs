//! The credit that one node has for an account's requests, and which holders it asks for more.
//!
//! A node remembers what each holder had left, so that the requests of an account that has used
//! up its allotment are refused without asking.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use super::{
    AccountId, AccountLimit, Ask, CREDIT_LIFE, Grant, MAX_HOLDERS, NodeId, Part, QuotaTerms,
};

/// Time for which a holder that was silent is not asked, doubled with each further silence.
const SILENCE_PAUSE: Duration = Duration::from_millis(200);
/// Upper bound of that time.
const MAX_SILENCE_PAUSE: Duration = Duration::from_secs(2);
/// Time for which a holder that grants nothing is not asked.
const CLOSED_PAUSE: Duration = Duration::from_millis(500);
/// Number of times that one request asks holders: each of them once, which tells what they have,
/// and as often again.
const MAX_ROUNDS: u32 = 2 * MAX_HOLDERS as u32;
/// Time whose expected requests credit is asked for in advance.
const ADVANCE_TIME: Duration = Duration::from_millis(200);
/// Number of requests that must be expected in that time; with fewer, too much credit would lapse.
const MIN_ADVANCE_REQUESTS: f64 = 2.0;
/// Time over which requests are counted to expect further ones.
const DEMAND_SPAN: Duration = Duration::from_millis(500);
/// Most time into the future for which refused requests are given their turns.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(3);
/// Largest fraction of what a holder has at most that is asked of a single one.
const MAX_SINGLE_FRACTION: f64 = 0.5;
/// Shortest wait for a holder to gain what a request lacks.
const MIN_WAIT: Duration = Duration::from_millis(2);

/// Credit for a run, taken from what a node has at hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Credit {
    /// Account.
    pub account: AccountId,
    /// Units.
    pub amount: u64,
    /// When it lapses; `None` if the account has no limit.
    expires: Option<Instant>,
}

impl Credit {
    /// Returns the credit of an account without a limit.
    pub(super) fn unlimited(account: AccountId) -> Self {
        Self {
            account,
            amount: 0,
            expires: None,
        }
    }

    /// Returns whether a run may no longer be sent with it.
    pub fn has_lapsed(self, now: Instant) -> bool {
        self.expires.is_some_and(|at| at <= now)
    }
}

/// A request that needs credit for a run.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Account.
    pub account: AccountId,
    /// Units that the run counts as.
    pub cost: u64,
    /// Until when it may wait.
    pub give_up_at: Instant,
    rounds: u32,
    answers: usize,
    /// Whether it has waited for its turn.
    has_waited: bool,
}

impl Claim {
    /// Creates the claim of a request that has asked no holder yet.
    pub fn new(account: AccountId, cost: u64, give_up_at: Instant) -> Self {
        Self {
            account,
            cost,
            give_up_at,
            rounds: 0,
            answers: 0,
            has_waited: false,
        }
    }

    /// Returns how often holders were asked for it, and how many answers came.
    pub fn asked(&self) -> (u32, usize) {
        (self.rounds, self.answers)
    }

    pub(super) fn record_answers(&mut self, answers: usize) {
        self.rounds += 1;
        self.answers += answers;
    }
}

/// Why a request gets no credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The allotment is used up.
    Exhausted {
        /// Time until it should have room for the request, behind those refused before.
        retry_after: Duration,
    },
    /// The request is larger than what the account ever has at a time.
    TooLarge,
    /// No holder answered or might grant.
    Unanswered,
}

/// What a request that needs credit is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Run with this credit.
    Run(Credit),
    /// Ask holders.
    Ask(Vec<super::SentAsk>),
    /// Wait for the allotment to refill.
    Wait(Duration),
    /// Be refused.
    Refuse(Denial),
}

/// The same before the asks are numbered.
pub(super) enum Decision {
    Run(Credit),
    Ask(Vec<(NodeId, Ask)>),
    Wait(Duration),
    Refuse(Denial),
}

/// An ask that has not been answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenAsk {
    pub(super) account: AccountId,
    pub(super) holder: NodeId,
    pub(super) sent_at: Instant,
}

/// Credit that lapses at one time.
#[derive(Clone, Copy, Debug)]
struct Lot {
    amount: u64,
    expires: Instant,
}

/// Why a holder is not asked for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pause {
    None,
    Silent(Instant),
    Closed(Instant),
}

/// What a node knows of a holder.
#[derive(Clone, Copy, Debug)]
struct HolderState {
    id: NodeId,
    /// What it had left, and when; `None` if it never answered.
    balance: Option<(u64, Instant)>,
    pause: Pause,
    /// Number of asks in succession that it left unanswered.
    silences: u32,
}

impl HolderState {
    fn new(id: NodeId) -> Self {
        Self {
            id,
            balance: None,
            pause: Pause::None,
            silences: 0,
        }
    }

    /// Returns what it probably has now.
    fn estimate(&self, part: Part, now: Instant) -> u64 {
        let estimate = self.balance.map_or(part.capacity, |(balance, at)| {
            let elapsed = now.saturating_duration_since(at);
            (balance as f64 + part.rate * elapsed.as_secs_f64()).min(part.capacity)
        });
        estimate as u64
    }

    fn is_paused(&self, now: Instant) -> bool {
        match self.pause {
            Pause::None => false,
            Pause::Silent(until) | Pause::Closed(until) => now < until,
        }
    }

    fn is_closed(&self, now: Instant) -> bool {
        matches!(self.pause, Pause::Closed(until) if now < until)
    }
}

/// What a node knows of a holder, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderReport {
    /// Holder.
    pub id: NodeId,
    /// Units that it probably has.
    pub estimate: u64,
    /// Time since it last told what it had; `None` if it never did.
    pub age: Option<Duration>,
    /// Whether it is not asked now, as it was silent or granted nothing.
    pub is_paused: bool,
}

/// The requests of an account at this node, counted over a span to expect further ones.
#[derive(Debug)]
struct Demand {
    since: Instant,
    current: (u32, u64),
    /// Requests and units of the span before.
    last: (u32, u64),
}

impl Demand {
    fn record(&mut self, cost: u64, now: Instant) {
        let age = now.saturating_duration_since(self.since);
        if age >= DEMAND_SPAN {
            let is_recent = age < 2 * DEMAND_SPAN;
            self.last = if is_recent { self.current } else { (0, 0) };
            self.current = (0, 0);
            self.since = now;
        }
        self.current.0 += 1;
        self.current.1 = self.current.1.saturating_add(cost);
    }

    /// Returns the units to ask for in advance.
    fn expected(&self) -> u64 {
        let (count, units) = self.last;
        let spans = ADVANCE_TIME.div_duration_f64(DEMAND_SPAN);
        if f64::from(count) * spans < MIN_ADVANCE_REQUESTS {
            return 0;
        }
        (units as f64 * spans) as u64
    }
}

/// The credit and the holders of one account, as one node knows them.
#[derive(Debug)]
pub(super) struct Requester {
    /// Credit at hand, the first to lapse first.
    lots: Vec<Lot>,
    /// Holders in the order in which they are preferred.
    holders: Vec<HolderState>,
    /// Number of the view that the holders were computed from.
    view_number: Option<u64>,
    /// What waiting requests lack, and until when they wait.
    waiting: Vec<(u64, Instant)>,
    demand: Demand,
    /// Turn of the latest refused request.
    next_turn: Instant,
    used_at: Instant,
}

impl Requester {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            lots: Vec::new(),
            holders: Vec::new(),
            view_number: None,
            waiting: Vec::new(),
            demand: Demand {
                since: now,
                current: (0, 0),
                last: (0, 0),
            },
            next_turn: now,
            used_at: now,
        }
    }

    pub(super) fn used_at(&self) -> Instant {
        self.used_at
    }

    /// Updates the holders if the known nodes have changed, and forgets what has lapsed.
    pub(super) fn update(
        &mut self,
        view_number: u64,
        now: Instant,
        holders: impl FnOnce() -> Vec<NodeId>,
    ) {
        self.used_at = now;
        self.lots.retain(|lot| now < lot.expires);
        self.waiting.retain(|(_, until)| now < *until);
        if self.view_number == Some(view_number) {
            return;
        }
        self.view_number = Some(view_number);
        let former = std::mem::take(&mut self.holders);
        let holders = holders().into_iter().map(|id| {
            let known = former.iter().find(|holder| holder.id == id);
            known.copied().unwrap_or(HolderState::new(id))
        });
        self.holders = holders.collect();
    }

    /// Returns the credit at hand.
    pub(super) fn at_hand(&self, now: Instant) -> u64 {
        let lots = self.lots.iter().filter(|lot| now < lot.expires);
        lots.map(|lot| lot.amount).fold(0, u64::saturating_add)
    }

    /// Decides what a request does next.
    pub(super) fn next_step(
        &mut self,
        claim: &mut Claim,
        limit: AccountLimit,
        terms: QuotaTerms,
        now: Instant,
    ) -> Decision {
        let Claim { account, cost, .. } = *claim;
        if cost as f64 > limit.capacity(terms) {
            return Decision::Refuse(Denial::TooLarge);
        }
        if claim.rounds == 0 {
            self.demand.record(cost, now);
        }
        let at_hand = self.at_hand(now);
        if at_hand >= cost {
            return Decision::Run(self.take(account, cost));
        }
        let needed = cost - at_hand;
        let part = limit.part(terms, self.holders.len());
        let candidates = self.candidates(now);
        let is_late = claim.give_up_at <= now || claim.rounds >= MAX_ROUNDS;
        if candidates.is_empty() || (is_late && claim.rounds > 0 && claim.answers == 0) {
            return Decision::Refuse(Denial::Unanswered);
        }
        // Requests that came later wait behind this one.
        let ahead = self.waiting.iter().filter(|_| !claim.has_waited);
        let ahead = ahead.map(|(lacking, _)| *lacking);
        let wanted = ahead.fold(needed, u64::saturating_add);
        let estimates: Vec<(usize, u64)> = candidates
            .iter()
            .map(|index| (*index, self.holders[*index].estimate(part, now)))
            .collect();
        let total = estimates.iter().map(|(_, estimate)| *estimate);
        let total = total.fold(0, u64::saturating_add);
        let asks = self.choose(needed, part, &estimates);
        if total < wanted || asks.is_empty() || is_late {
            let rate = part.rate * candidates.len() as f64;
            let lacking = wanted.saturating_sub(total) as f64;
            let most = estimates.iter().map(|(_, estimate)| *estimate).max();
            let single = needed.saturating_sub(most.unwrap_or_default()) as f64;
            let is_split = is_split(needed, part);
            let seconds = if is_split {
                lacking / rate
            } else {
                (lacking / rate).max(single / part.rate)
            };
            let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_QUEUE_TIME);
            let wait = wait.max(MIN_WAIT);
            if is_late || now + wait > claim.give_up_at {
                let retry_after = self.take_turn(needed, wait, limit, now);
                return Decision::Refuse(Denial::Exhausted { retry_after });
            }
            claim.has_waited = true;
            self.waiting.push((needed, now + wait));
            return Decision::Wait(wait);
        }
        for (holder, ask) in &asks {
            let holder = self.holders.iter_mut().find(|state| state.id == *holder);
            if let Some(holder) = holder {
                let left = holder.estimate(part, now).saturating_sub(ask.needed);
                holder.balance = Some((left, now));
            }
        }
        Decision::Ask(asks)
    }

    /// Returns the holders that may be asked now: those that were silent only if there is no other.
    fn candidates(&self, now: Instant) -> Vec<usize> {
        let indices = || 0..self.holders.len();
        let ready: Vec<usize> = indices()
            .filter(|index| !self.holders[*index].is_paused(now))
            .collect();
        if !ready.is_empty() {
            return ready;
        }
        indices()
            .filter(|index| !self.holders[*index].is_closed(now))
            .collect()
    }

    /// Chooses the preferred holder that has what is needed, or for a large request as few as
    /// possible that have it together. What several holders grant to requests that don't get the
    /// rest would lapse.
    fn choose(&self, needed: u64, part: Part, estimates: &[(usize, u64)]) -> Vec<(NodeId, Ask)> {
        let single = estimates.iter().find(|(_, estimate)| *estimate >= needed);
        if let Some((index, _)) = single {
            let extra = self.demand.expected();
            let ask = Ask { needed, extra };
            return vec![(self.holders[*index].id, ask)];
        }
        if !is_split(needed, part) {
            return Vec::new();
        }
        let mut estimates = estimates.to_vec();
        estimates.sort_by_key(|(_, estimate)| std::cmp::Reverse(*estimate));
        let mut lacking = needed;
        let mut asks = Vec::new();
        for (index, estimate) in estimates {
            let needed = estimate.min(lacking);
            if needed == 0 {
                break;
            }
            lacking -= needed;
            let extra = 0;
            asks.push((self.holders[index].id, Ask { needed, extra }));
        }
        asks
    }

    /// Returns the time until the turn of a refused request: when the allotment has room for it,
    /// behind the requests that were refused before.
    fn take_turn(
        &mut self,
        needed: u64,
        wait: Duration,
        limit: AccountLimit,
        now: Instant,
    ) -> Duration {
        let latest = now + MAX_QUEUE_TIME;
        let turn = self.next_turn.max(now + wait).min(latest);
        let time = Duration::try_from_secs_f64(needed as f64 / limit.rate());
        let time = time.unwrap_or(MAX_QUEUE_TIME).min(MAX_QUEUE_TIME);
        self.next_turn = (turn + time).min(latest);
        turn - now
    }

    /// Takes credit for a run, the first to lapse first.
    fn take(&mut self, account: AccountId, cost: u64) -> Credit {
        let mut lacking = cost;
        let mut expires = None;
        for lot in &mut self.lots {
            if lacking == 0 {
                break;
            }
            let taken = lot.amount.min(lacking);
            lot.amount -= taken;
            lacking -= taken;
            expires = expires.or(Some(lot.expires));
        }
        self.lots.retain(|lot| lot.amount > 0);
        Credit {
            account,
            amount: cost,
            expires,
        }
    }

    fn add(&mut self, lot: Lot) {
        if lot.amount == 0 {
            return;
        }
        let place = self.lots.partition_point(|old| old.expires <= lot.expires);
        self.lots.insert(place, lot);
    }

    /// Adds the credit of a grant, which lapses with the age of the ask: the holder may have
    /// granted it just after that was sent.
    pub(super) fn record_grant(&mut self, open: OpenAsk, grant: Grant, now: Instant) {
        let expires = open.sent_at + CREDIT_LIFE;
        if now < expires {
            let amount = grant.amount;
            self.add(Lot { amount, expires });
        }
        let holder = self
            .holders
            .iter_mut()
            .find(|state| state.id == open.holder);
        if let Some(holder) = holder {
            holder.silences = 0;
            holder.pause = if grant.is_closed {
                Pause::Closed(now + CLOSED_PAUSE)
            } else {
                holder.balance = Some((grant.balance, now));
                Pause::None
            };
        }
    }

    /// Records that holders left asks unanswered.
    pub(super) fn record_silence(&mut self, silent: &HashSet<NodeId>, now: Instant) {
        let silent = |holder: &&mut HolderState| silent.contains(&holder.id);
        for holder in self.holders.iter_mut().filter(silent) {
            let pause = SILENCE_PAUSE * 2_u32.pow(holder.silences.min(8));
            holder.pause = Pause::Silent(now + pause.min(MAX_SILENCE_PAUSE));
            holder.silences += 1;
        }
    }

    /// Puts back the credit of a run that was not made.
    pub(super) fn give_back(&mut self, credit: Credit, now: Instant) {
        let expires = credit.expires.filter(|at| now < *at);
        if let Some(expires) = expires {
            let amount = credit.amount;
            self.add(Lot { amount, expires });
        }
    }

    pub(super) fn holder_reports(
        &self,
        limit: AccountLimit,
        terms: QuotaTerms,
        now: Instant,
    ) -> Vec<HolderReport> {
        let part = limit.part(terms, self.holders.len());
        let reports = self.holders.iter().map(|holder| HolderReport {
            id: holder.id,
            estimate: holder.estimate(part, now),
            age: holder
                .balance
                .map(|(_, at)| now.saturating_duration_since(at)),
            is_paused: holder.is_paused(now),
        });
        reports.collect()
    }

    /// Returns whether the holders probably have the credit for one more run.
    pub(super) fn may_have(
        &self,
        cost: u64,
        limit: AccountLimit,
        terms: QuotaTerms,
        now: Instant,
    ) -> bool {
        let part = limit.part(terms, self.holders.len());
        let candidates = self.candidates(now).into_iter();
        let estimates = candidates.map(|index| self.holders[index].estimate(part, now));
        let total = estimates.fold(self.at_hand(now), u64::saturating_add);
        total >= cost
    }
}

/// Returns whether several holders are asked for the parts of what a request needs.
fn is_split(needed: u64, part: Part) -> bool {
    needed as f64 > part.capacity * MAX_SINGLE_FRACTION
}
