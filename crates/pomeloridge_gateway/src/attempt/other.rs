//! The second attempt of a request that runs beside the first one, or whichever of both is left
//! behind.
//!
//! It is kept apart from the attempts that follow one another, and counted with them once the
//! attempt that goes on has failed, too.

use std::time::Instant;

use pomeloridge_policy::dispatch::{DispatchRequest, TargetKey};

use super::{Attempts, MAX_REFUSED_SENDS};
use crate::crash_detection;
use crate::exchange::Failure;

/// An attempt beside the one that goes on.
#[derive(Clone, Copy, Debug)]
pub(super) struct OtherAttempt {
    pub(super) server: TargetKey,
    pub(super) state: OtherState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OtherState {
    Running,
    /// This node has cancelled it.
    Cancelled,
    Failed(Failure),
}

impl Attempts<'_> {
    /// Returns the servers that have got the request, `server` included.
    pub(crate) fn tried_with(&self, server: TargetKey) -> Vec<TargetKey> {
        let other = self.other.get().map(|other| other.server);
        let tried = self.tried.iter().copied();
        tried.chain([server]).chain(other).collect()
    }

    /// Returns what decides where the request may run next, on one server.
    pub(crate) fn request_beside<'b>(
        &'b self,
        tried: &'b [TargetKey],
        now: Instant,
    ) -> DispatchRequest<'b> {
        DispatchRequest {
            service: &self.accepted.service,
            prompt: self.accepted.inbound.prompt.as_ref(),
            tried,
            allow_separate_prefill: false,
            version: self.version.get(),
            needs: self.needs(now),
        }
    }

    /// Returns whether the request may run at another server while it is running at one.
    pub(crate) fn allows_hedge(&self) -> bool {
        self.other.get().is_none()
            && self.possible_runs + 2 <= self.accepted.route.max_attempts
            && self.refusals < MAX_REFUSED_SENDS
    }

    /// Records that an attempt at `server` begins beside the running one.
    pub(crate) fn begin_other(&self, server: TargetKey) {
        self.set_other(server, OtherState::Running);
    }

    /// Records that an attempt is cancelled, as the other one was answered or was first.
    pub(crate) fn cancel_other(&self, server: TargetKey) {
        self.cancelled.set(Some(server));
        self.set_other(server, OtherState::Cancelled);
    }

    /// Records that an attempt has failed while the other one goes on.
    pub(crate) fn fail_other(&self, server: TargetKey, failure: Failure) {
        // What a server answered but is not delivered ends unread.
        let is_unread = failure == Failure::ServerError;
        self.cancelled.set(is_unread.then_some(server));
        self.set_other(server, OtherState::Failed(failure));
        self.eject_if_dead(server, failure);
        if failure.may_be_crash() {
            crash_detection::probe(self.state, server);
        }
    }

    fn set_other(&self, server: TargetKey, state: OtherState) {
        self.other.set(Some(OtherAttempt { server, state }));
    }

    /// Counts the attempt beside the one that has failed now. It has a charge of its own.
    pub(super) fn settle_other(&mut self) {
        let Some(OtherAttempt { server, state }) = self.other.take() else {
            return;
        };
        if let OtherState::Failed(failure) = state {
            let charge = self.charge.take();
            self.count_failure(server, failure);
            self.charge = charge;
        } else {
            self.tried.push(server);
            self.deliveries += 1;
            self.possible_runs += 1;
        }
    }
}
