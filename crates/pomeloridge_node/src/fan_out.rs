//! Selection of the peers that a node sends heartbeats to.
//!
//! A small fleet is a full mesh. In a larger one, a node has a bounded number of
//! peers: its successor on a hash ring, which keeps the whole fleet connected, one
//! node in each other data centre, and others by rendezvous hash.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::member::{Member, MemberState};
use crate::membership::Membership;
use crate::rendezvous::weight;

/// Interval after which another down node is probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

impl Membership {
    /// Returns whether every node is a peer of every other.
    pub fn is_full_mesh(&self) -> bool {
        self.records.len() <= self.options.fan_out
    }

    /// Returns the nodes to send heartbeats to, at most `fan_out`.
    pub fn peers(&self) -> Vec<Member> {
        if self.is_full_mesh() {
            return self.members().collect();
        }
        let (down, up): (Vec<_>, Vec<_>) = self
            .members()
            .partition(|member| member.state == MemberState::Down);
        let probe = self.probe(down);
        let capacity = (self.options.fan_out).saturating_sub(usize::from(probe.is_some()));
        let mut peers = self.select(up, capacity);
        peers.extend(probe);
        peers
    }

    /// Returns the down node to probe now. Probing down nodes reconnects the two
    /// sides of a healed partition.
    fn probe(&self, down: Vec<Member>) -> Option<Member> {
        let since = self.timeline.since_start();
        let turn = since.as_secs() / PROBE_INTERVAL.as_secs();
        let key = [self.own.name.as_bytes(), &turn.to_le_bytes()].concat();
        down.into_iter()
            .max_by_key(|member| weight(&key, member.name.as_bytes()))
    }

    fn select(&self, up: Vec<Member>, capacity: usize) -> Vec<Member> {
        let own = self.own.name.as_bytes();
        let mut others: Vec<_> = (up.into_iter())
            .map(|member| (weight(own, member.name.as_bytes()), member))
            .collect();
        others.sort_by(|(a, left), (b, right)| b.cmp(a).then_with(|| left.name.cmp(&right.name)));
        let mut selected = Vec::new();
        if let Some(next) = self.successor(&others) {
            selected.push(others.remove(next));
        }
        // In order of falling weight, so the first node of a data centre is its heaviest.
        let mut data_centres = BTreeMap::new();
        for (index, (_, member)) in others.iter().enumerate() {
            let covered = selected
                .iter()
                .any(|(_, peer)| peer.data_centre == member.data_centre);
            if member.data_centre != self.own.data_centre && !covered {
                data_centres
                    .entry(member.data_centre.clone())
                    .or_insert(index);
            }
        }
        let mut indices: Vec<_> = data_centres.into_values().collect();
        indices.sort_unstable();
        for index in indices.into_iter().rev() {
            selected.push(others.remove(index));
        }
        let ordered = selected.into_iter().chain(others);
        ordered.map(|(_, member)| member).take(capacity).collect()
    }

    /// Returns the index of the next node on the hash ring.
    fn successor(&self, others: &[(u64, Member)]) -> Option<usize> {
        let position = |name: &[u8]| weight(b"ring", name);
        let own = position(self.own.name.as_bytes());
        let distance = |member: &Member| position(member.name.as_bytes()).wrapping_sub(own);
        let nearest = (others.iter().enumerate()).min_by_key(|(_, (_, peer))| distance(peer));
        nearest.map(|(index, _)| index)
    }
}
