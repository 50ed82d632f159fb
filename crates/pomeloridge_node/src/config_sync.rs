//! Comparison of two nodes' configuration revisions.

use std::collections::BTreeMap;

use pomeloridge_base::id::Revision;

/// Returns the keys of which the other node has a higher revision.
pub fn newer_keys(own: &[(String, Revision)], other: &[(String, Revision)]) -> Vec<String> {
    let own: BTreeMap<_, _> = own.iter().map(|(key, revision)| (key, *revision)).collect();
    let newer = other
        .iter()
        .filter(|(key, revision)| *revision > own.get(key).copied().unwrap_or_default());
    newer.map(|(key, _)| key.clone()).collect()
}
