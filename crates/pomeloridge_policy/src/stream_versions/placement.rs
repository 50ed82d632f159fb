//! Which nodes keep a copy of a stream's version, besides the node that began it.

use std::collections::HashMap;

use super::StreamId;

/// Number of nodes that are sent a copy.
pub const COPIES: usize = 3;

/// Number of nodes that are asked for a copy. More than hold one, as the node that asks does not
/// know exactly the same nodes as the one that sent the copies.
pub const ASKED: usize = 5;

/// A node that may keep copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyNode<K> {
    /// Key of the node for the caller of [`copy_nodes`].
    pub key: K,
    /// Hash of the node's name, equal on all nodes.
    pub name_hash: u64,
    /// Hash of the name of its data centre.
    pub data_centre_hash: u32,
}

/// Returns the first `count` nodes in the order in which they keep copies of a stream's version.
///
/// Nodes that know about the same others agree on it: each is ranked by a hash of its name and the
/// stream. One of each data centre comes before any second one, so that the copies outlive a data
/// centre.
pub fn copy_nodes<K: Copy>(
    stream: StreamId,
    nodes: impl Iterator<Item = CopyNode<K>>,
    count: usize,
) -> Vec<K> {
    let ranked = nodes.map(|node| (mix(stream.0 ^ mix(node.name_hash)), node));
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    let mut before: HashMap<u32, usize> = HashMap::new();
    let mut ordered: Vec<_> = ranked
        .into_iter()
        .map(|(_, node)| {
            let place = before.entry(node.data_centre_hash).or_default();
            *place += 1;
            (*place, node.key)
        })
        .collect();
    ordered.sort_by_key(|(place, _)| *place);
    ordered.truncate(count);
    ordered.into_iter().map(|(_, key)| key).collect()
}

/// Spreads the bits of a number (the finaliser of `SplitMix64`), the same in every build.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
