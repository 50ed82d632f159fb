//! Draws the servers that are compared for a request.
//!
//! The known loads of peers are as old as their last heartbeat. If each node chose the best of
//! all servers, all would choose the same one until the next heartbeat. So each compares a random
//! sample, smaller the more nodes there are: the server that looks best to all of them then gets
//! only a few times what one node sends.

use super::{Dispatcher, Stage, TargetKey};
use crate::hash::splitmix64;

/// Fewest servers of a stage that are compared for a request, if there are as many.
const MIN_SAMPLE: usize = 3;
/// Multiple of one node's requests that may reach the server that looks best to all nodes before
/// they learn of each other's choices.
const MAX_HERD: usize = 8;
/// Number of servers that are alike above which only a sample of them is compared.
const SAMPLING_THRESHOLD: usize = 40;
/// Servers in such a sample; enough to include engines of both stages.
const EVEN_SAMPLE: usize = 24;
/// Servers of other data centres in it.
const EVEN_REMOTE_SAMPLE: usize = 8;
/// Inverse of the share of other data centres in a sample, if the local one has enough servers.
const REMOTE_SAMPLE_DIVISOR: usize = 3;

/// Numbers by which a choice samples servers and decides between equal ones.
#[derive(Clone, Copy, Debug)]
pub(super) struct Draw {
    /// Counts requests, to alternate between servers of equal cost.
    pub(super) rotation: usize,
    /// State of the random generator that samples servers.
    pub(super) random_state: u64,
}

impl Draw {
    /// Returns the numbers of the next choice.
    pub(super) fn next(self) -> Self {
        Self {
            rotation: self.rotation.wrapping_add(1),
            random_state: splitmix64(self.random_state),
        }
    }
}

/// How servers are selected for a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Selection {
    /// A sample of those that may take the request.
    Sample,
    /// All of those.
    All,
    /// A sample that includes ejected servers and those changing their stage.
    LastResort,
}

impl Dispatcher {
    /// Sets the number of other nodes that send to the same servers.
    pub fn set_peer_count(&mut self, count: usize) {
        self.peer_count = count;
    }

    /// Selects the engines that are compared for a request.
    pub(super) fn select(&self, keys: Vec<TargetKey>, selection: Selection) -> Vec<TargetKey> {
        match selection {
            Selection::All => keys,
            Selection::Sample | Selection::LastResort => self.sample_targets(keys),
        }
    }

    /// Draws a random sample of the servers of each stage for each request, most of them local.
    pub(super) fn sample_targets(&self, keys: Vec<TargetKey>) -> Vec<TargetKey> {
        let service = keys.first().map(|key| &self.targets[*key].info.service);
        if !service.is_some_and(|service| self.is_uneven(service)) {
            return self.sample_even(keys);
        }
        let is_prefill = |key: &TargetKey| self.targets[*key].info.stage == Stage::Prefill;
        let (prefill, others): (Vec<_>, Vec<_>) = keys.into_iter().partition(is_prefill);
        let mut sample = self.sample_stage(prefill);
        sample.extend(self.sample_stage(others));
        sample
    }

    /// Draws a sample of many servers that are alike.
    fn sample_even(&self, mut keys: Vec<TargetKey>) -> Vec<TargetKey> {
        if keys.len() <= SAMPLING_THRESHOLD {
            return keys;
        }
        self.shuffle(&mut keys);
        self.truncate_sample(keys, EVEN_SAMPLE, EVEN_REMOTE_SAMPLE)
    }

    /// Puts servers in a random order, another one for each request and on each node.
    fn shuffle(&self, keys: &mut [TargetKey]) {
        let state = self.draw.get().random_state;
        keys.sort_unstable_by_key(|key| splitmix64(u64::from(self.targets[*key].id_hash) ^ state));
    }

    /// Keeps the first servers up to a number, of which `remote_size` are of other data centres
    /// unless one of both has too few.
    fn truncate_sample(
        &self,
        keys: Vec<TargetKey>,
        size: usize,
        remote_size: usize,
    ) -> Vec<TargetKey> {
        let is_local = |key: &TargetKey| self.targets[*key].info.data_centre == self.data_centre;
        let (mut local, mut remote): (Vec<_>, Vec<_>) = keys.into_iter().partition(is_local);
        let remote_size = remote_size.min(remote.len());
        local.truncate(size - remote_size);
        remote.truncate(size - local.len());
        local.extend(remote);
        local
    }

    fn sample_stage(&self, mut keys: Vec<TargetKey>) -> Vec<TargetKey> {
        let bounded = keys.len() * MAX_HERD / self.peer_count.max(1);
        let size = bounded.max(MIN_SAMPLE);
        // Also puts servers of equal cost in another order on each node.
        self.shuffle(&mut keys);
        if keys.len() <= size {
            return keys;
        }
        self.truncate_sample(keys, size, size / REMOTE_SAMPLE_DIVISOR)
    }
}
