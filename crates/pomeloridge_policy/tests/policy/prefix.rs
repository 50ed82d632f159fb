//! Tests of the prefix cache hints.

use pomeloridge_policy::prefix::{BLOCK_TOKENS, BlockHash, PrefixHints, block_hashes};
use proptest::prelude::*;

use crate::support::{CASES, config, key, table};

#[test]
fn a_block_hash_covers_all_blocks_before_it() {
    let shared = [b'a'; 512];
    let first = block_hashes(&[&shared[..], &[b'b'; 256]].concat());
    let second = block_hashes(&[&shared[..], &[b'c'; 300]].concat());
    assert_eq!(first.len(), 3);
    assert_eq!(second.len(), 3, "an incomplete block is ignored");
    assert_eq!(first[..2], second[..2]);
    assert_ne!(first[2], second[2]);
    assert_ne!(
        first[0], first[1],
        "equal text at another position has another hash"
    );
}

#[test]
fn cached_tokens_cover_only_the_contiguous_prefix() {
    let table = table(2);
    let (e0, e1) = (key(&table, "e0"), key(&table, "e1"));
    let prompt = block_hashes(&[b'a'; 1024]);
    let mut hints = PrefixHints::new(100);
    hints.add_blocks(e0, &prompt);
    hints.add(e1, prompt[0]);
    hints.add(e1, prompt[2]);
    assert_eq!(hints.cached_tokens(e0, &prompt), 4 * BLOCK_TOKENS);
    assert_eq!(hints.cached_tokens(e1, &prompt), BLOCK_TOKENS);
    hints.remove(e0, prompt[1]);
    assert_eq!(hints.cached_tokens(e0, &prompt), BLOCK_TOKENS);
    hints.remove_server(e0);
    assert_eq!(hints.cached_tokens(e0, &prompt), 0);
}

proptest! {
    #![proptest_config(config(CASES))]

    #[test]
    fn the_number_of_blocks_is_bounded(added in proptest::collection::vec(any::<u64>(), 0..200), limit in 1_usize..50) {
        let table = table(1);
        let mut hints = PrefixHints::new(limit);
        for block in added {
            hints.add(key(&table, "e0"), BlockHash(block));
            prop_assert!(hints.len() <= limit);
        }
    }
}
