//! Block hashes of prompts, which identify blocks in cache events.

use pomeloridge_standin::{BLOCK_BYTES, block_hashes};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn shared_block_hashes_match_the_common_prefix(
        start in "[ab]{0,700}",
        one in "[ab]{0,700}",
        other in "[ab]{0,700}",
    ) {
        let one = format!("{start}{one}");
        let other = format!("{start}{other}");
        let equal = one.bytes().zip(other.bytes()).take_while(|(a, b)| a == b).count();
        let (one, other) = (block_hashes(&one), block_hashes(&other));
        let shared = one.iter().zip(&other).take_while(|(a, b)| a == b).count();
        prop_assert_eq!(shared, equal / BLOCK_BYTES);
    }
}
