//! Tests of the compression of lists that nodes send to one another.

use pomeloridge_gateway::{compress, decompress};
use proptest::prelude::*;

/// Guards against saturated links when hundreds of servers register at once and each of hundreds
/// of nodes receives their entries.
#[test]
fn server_entries_compress_well() {
    let entry = |index: u32| {
        format!(
            "{{\"service\":\"huvo11a\",\"address\":\"10.128.{}.{}:8080\",\"zone\":\"fyn-a\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"stage\":\"decode\",\
             \"born\":17830000{:05}}}",
            index / 250,
            index % 250,
            index * 37
        )
    };
    let list: String = (0..266).map(entry).collect();
    let compressed = compress(list.as_bytes()).unwrap();
    assert!(
        compressed.len() * 5 < list.len(),
        "{} of {}",
        compressed.len(),
        list.len()
    );
    assert_eq!(decompress(&compressed).unwrap(), list.as_bytes());
}

/// Guards against a short datagram that decompresses to more than a VM's memory.
#[test]
fn oversized_decompressed_data_is_rejected() {
    let compressed = compress(&vec![0_u8; 17 * 1024 * 1024]).unwrap();
    assert!(compressed.len() < 128 * 1024);
    assert!(decompress(&compressed).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_decompressed_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..2000)) {
        let _ = decompress(&bytes);
        prop_assert_eq!(decompress(&compress(&bytes).unwrap()).unwrap(), bytes);
    }
}
