//! Everything that is decided about a request before a server is chosen.

use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::Name;
use pomeloridge_base::secret::KeyHash;
use pomeloridge_policy::suspicion::Fingerprint;
use pomeloridge_policy::timeouts::{caller_ttft_timeout, silence_timeout};

use crate::config::{Account, Route, RouteKind, ServingConfig};
use crate::request::Inbound;
use crate::state::State;

/// Time that a caller is taken to wait if it does not say so.
const PATIENCE: Duration = Duration::from_secs(30);
/// Lowest rank that engines know.
const LAST_RANK: u8 = 9;

/// A request that was let in.
pub(crate) struct Accepted {
    pub(crate) inbound: Inbound,
    /// The same for each return of the caller with this request.
    pub(crate) print: Fingerprint,
    pub(crate) route: Rc<Route>,
    pub(crate) service: Name,
    pub(crate) account: Option<Name>,
    pub(crate) rank: u8,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
}

/// Part of the callers' patience that a prediction may take.
const PREDICTED_PART: f64 = 0.9;

impl Accepted {
    /// Time after which a server that was to send something within `predicted`, and is
    /// silent, is given up; `None` where the request may not be repeated, so that giving up
    /// gains nothing.
    pub(crate) fn silence(&self, predicted: Duration) -> Option<Duration> {
        let repeatable = self.route.kind.is_retryable();
        repeatable.then(|| silence_timeout(predicted))
    }

    /// Whether the caller will have left before a first piece that comes after `first`.
    pub(crate) fn gives_up_before(&self, first: Duration) -> bool {
        if !matches!(self.route.kind, RouteKind::Stream { .. }) {
            return false;
        }
        let longest = self.deadline.saturating_duration_since(self.arrived);
        let patience =
            caller_ttft_timeout(self.route.latency_target, self.route.gap_target, longest);
        first > patience.mul_f64(PREDICTED_PART)
    }

    /// Time that is left for the request.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Lets a request in, or gives the reason why not.
pub(crate) fn accept(
    state: &State,
    inbound: Inbound,
) -> Result<Accepted, Box<(ErrorKind, Inbound)>> {
    let arrived = state.now();
    match check(state, &inbound) {
        Ok((route, account, service)) => {
            let patience = inbound
                .caller_timeout
                .unwrap_or(PATIENCE)
                .min(route.timeout);
            let priority = account.as_ref().and_then(|account| account.priority);
            let account = account.map(|account| account.name);
            let known = account.clone().unwrap_or_default();
            Ok(Accepted {
                print: Fingerprint::of(&known, inbound.path(), &inbound.body),
                rank: priority.unwrap_or(route.priority).min(LAST_RANK),
                deadline: arrived + patience,
                inbound,
                route,
                service,
                account,
                arrived,
            })
        }
        Err(kind) => Err(Box::new((kind, inbound))),
    }
}

type Checked = (Rc<Route>, Option<Account>, Name);

fn check(state: &State, inbound: &Inbound) -> Result<Checked, ErrorKind> {
    let config = state.config().ok_or(ErrorKind::NoConfig)?;
    if state.is_cut_off() {
        return Err(ErrorKind::CutOff);
    }
    let route = config.route(&inbound.host, inbound.path());
    let route = route.cloned().ok_or(ErrorKind::UnknownPath)?;
    let account = account(&config, &route, inbound)?;
    let service = route
        .service(rand::random())
        .cloned()
        .ok_or(ErrorKind::NoServer)?;
    Ok((route, account, service))
}

fn account(
    config: &ServingConfig,
    route: &Route,
    inbound: &Inbound,
) -> Result<Option<Account>, ErrorKind> {
    let Some(accounts) = &config.accounts else {
        return Ok(None);
    };
    let known = inbound.key.as_ref();
    let known = known.and_then(|key| accounts.get(&KeyHash::of(key)));
    match (known, route.public) {
        (Some(account), _) => Ok(Some(account.clone())),
        (None, true) => Ok(None),
        (None, false) if inbound.key.is_none() => Err(ErrorKind::KeyMissing),
        (None, false) => Err(ErrorKind::KeyUnknown),
    }
}
