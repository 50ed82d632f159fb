//! The choice of peers that a node sends heartbeats to.
//!
//! A small fleet is a full mesh. In a larger one a node has a bounded number of
//! peers: its successor on a ring, which keeps the whole fleet connected, one
//! node in each other data centre, and others by rendezvous hash.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::member::{Member, MemberState};
use crate::membership::Membership;
use crate::rendezvous::weight;

/// Time after which another node that is down is tried.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

impl Membership {
    /// Whether every node is a peer of every other.
    pub fn is_full_mesh(&self) -> bool {
        self.records.len() <= self.options.fan_out
    }

    /// The nodes to send heartbeats to, at most `fan_out`.
    pub fn peers(&self) -> Vec<Member> {
        if self.is_full_mesh() {
            return self.members().collect();
        }
        let (down, up): (Vec<_>, Vec<_>) = self
            .members()
            .partition(|member| member.state == MemberState::Down);
        let probe = self.probe(down);
        let room = (self.options.fan_out).saturating_sub(usize::from(probe.is_some()));
        let mut peers = self.choose(up, room);
        peers.extend(probe);
        peers
    }

    /// The one node that is down and tried now, so that the two sides of a
    /// healed partition find each other again.
    fn probe(&self, down: Vec<Member>) -> Option<Member> {
        let since = self.timeline.since_start();
        let turn = since.as_secs() / PROBE_INTERVAL.as_secs();
        let key = [self.own.name.as_bytes(), &turn.to_le_bytes()].concat();
        down.into_iter()
            .max_by_key(|member| weight(&key, member.name.as_bytes()))
    }

    fn choose(&self, up: Vec<Member>, room: usize) -> Vec<Member> {
        let own = self.own.name.as_bytes();
        let mut others: Vec<_> = (up.into_iter())
            .map(|member| (weight(own, member.name.as_bytes()), member))
            .collect();
        others.sort_by(|(a, left), (b, right)| b.cmp(a).then_with(|| left.name.cmp(&right.name)));
        let mut first = Vec::new();
        if let Some(next) = self.successor(&others) {
            first.push(others.remove(next));
        }
        // The members come in falling weight: the first of a data centre is its heaviest.
        let mut centres = BTreeMap::new();
        for (index, (_, member)) in others.iter().enumerate() {
            let met = first
                .iter()
                .any(|(_, peer)| peer.data_centre == member.data_centre);
            if member.data_centre != self.own.data_centre && !met {
                centres.entry(member.data_centre.clone()).or_insert(index);
            }
        }
        let mut chosen: Vec<_> = centres.into_values().collect();
        chosen.sort_unstable();
        for index in chosen.into_iter().rev() {
            first.push(others.remove(index));
        }
        let ordered = first.into_iter().chain(others);
        ordered.map(|(_, member)| member).take(room).collect()
    }

    /// Index of the next node on the ring.
    fn successor(&self, others: &[(u64, Member)]) -> Option<usize> {
        let place = |name: &[u8]| weight(b"ring", name);
        let own = place(self.own.name.as_bytes());
        let distance = |member: &Member| place(member.name.as_bytes()).wrapping_sub(own);
        let nearest = (others.iter().enumerate()).min_by_key(|(_, (_, peer))| distance(peer));
        nearest.map(|(index, _)| index)
    }
}
