//! The limits that servers name, and the node's part of them.

use std::time::Instant;

use pomeloridge_base::id::Name;

use super::{Dispatcher, TargetKey};
use crate::crashes::ServerIncarnation;
use crate::rate_limit::{LimitReport, RateLimit, SenderPlace, ServerLimit};

impl Dispatcher {
    /// Records the limit that a server named in its response to a request sent at `sent_at`, or
    /// that it named none. Returns whether that is a change.
    ///
    /// The end of a limit shows only in responses to requests that were sent after it was last
    /// stated.
    pub fn record_limit(
        &mut self,
        key: TargetKey,
        limit: Option<RateLimit>,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let Some(target) = self.targets.get_mut(key) else {
            return false;
        };
        target.has_malformed_limit = false;
        match (&mut target.rate_limit, limit) {
            (None, None) => false,
            (None, Some(_)) => {
                target.rate_limit = Some(ServerLimit::new(limit, now, now));
                true
            }
            (Some(known), None) if !known.is_older_than(sent_at) => false,
            (Some(known), _) => known.update(limit, now),
        }
    }

    /// Records that a server named a malformed limit. Returns whether that is new.
    pub fn record_malformed_limit(&mut self, key: TargetKey) -> bool {
        let target = self.targets.get_mut(key);
        target.is_some_and(|target| !std::mem::replace(&mut target.has_malformed_limit, true))
    }

    /// Merges the reports of a peer. Returns the servers whose limit is another one now.
    pub fn merge_limits(
        &mut self,
        reports: &[LimitReport],
        now: Instant,
    ) -> Vec<(Name, Option<RateLimit>)> {
        let mut changed = Vec::new();
        for LimitReport { server, limit, age } in reports {
            let mut targets = self.targets.values_mut();
            let target = targets.find(|target| target.incarnation == *server);
            let (Some(target), Some(stated_at)) = (target, now.checked_sub(*age)) else {
                continue;
            };
            let is_change = if let Some(known) = &mut target.rate_limit {
                known.merge(*limit, stated_at)
            } else {
                target.rate_limit = Some(ServerLimit::new(*limit, stated_at, now));
                limit.is_some()
            };
            if is_change {
                changed.push((target.info.id.clone(), *limit));
            }
        }
        changed
    }

    /// Returns what this node knows of the servers' limits, to send to peers.
    pub fn limit_reports(&self, now: Instant) -> Vec<LimitReport> {
        let reports = self
            .targets
            .values()
            .filter_map(|target| target.rate_limit.as_ref()?.report(target.incarnation, now));
        reports.collect()
    }

    /// Returns whether any server has named a limit lately.
    pub fn has_limits(&self) -> bool {
        let mut targets = self.targets.values();
        targets.any(|target| target.rate_limit.is_some())
    }

    /// Sets this node's place among the senders of each limited server; `None` if it must not
    /// send to one.
    pub fn set_sender_places(
        &mut self,
        place: impl Fn(ServerIncarnation) -> Option<SenderPlace>,
        now: Instant,
    ) {
        for target in self.targets.values_mut() {
            if let Some(limit) = &mut target.rate_limit {
                limit.set_place(place(target.incarnation), now);
            }
        }
    }

    /// Forgets limits that ended so long ago that no peer can still report them.
    pub fn forget_ended_limits(&mut self, now: Instant) {
        for target in self.targets.values_mut() {
            target.rate_limit.take_if(|limit| limit.is_expired(now));
        }
    }

    /// Counts a call that is sent to a server now; returns whether the server's limit allows it.
    pub fn try_send(&mut self, key: TargetKey, now: Instant) -> bool {
        let limit = self.targets.get_mut(key);
        let limit = limit.and_then(|target| target.rate_limit.as_mut());
        limit.is_none_or(|limit| limit.try_send(now))
    }

    /// Returns the number of a service's servers whose limits let this node send nothing now.
    pub fn over_limit_count(&self, service: &Name, now: Instant) -> usize {
        let targets = self.targets.values();
        let over = targets.filter(|t| t.info.service == *service && !t.is_within_limit(now));
        over.count()
    }
}
