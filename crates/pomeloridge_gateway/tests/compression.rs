//! Lists between nodes.

use pomeloridge_gateway::{compress, decompress};
use proptest::prelude::*;

/// Pattern: hundreds of servers register at once, and each of hundreds of nodes is told.
#[test]
fn entries_of_servers_take_little_room() {
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
    let packed = compress(list.as_bytes()).unwrap();
    assert!(
        packed.len() * 5 < list.len(),
        "{} of {}",
        packed.len(),
        list.len()
    );
    assert_eq!(decompress(&packed).unwrap(), list.as_bytes());
}

/// Guards against a short datagram that unpacks to more than a VM's memory.
#[test]
fn what_unpacks_to_too_much_is_refused() {
    let packed = compress(&vec![0_u8; 17 * 1024 * 1024]).unwrap();
    assert!(packed.len() < 128 * 1024);
    assert!(decompress(&packed).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_unpacked_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..2000)) {
        let _ = decompress(&bytes);
        prop_assert_eq!(decompress(&compress(&bytes).unwrap()).unwrap(), bytes);
    }
}
