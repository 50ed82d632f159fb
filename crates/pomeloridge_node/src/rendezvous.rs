//! Rendezvous hashing: all nodes that know the same members make the same choice.

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the weight of `member` for `key`; the heaviest member is chosen.
pub(crate) fn weight(key: &[u8], member: &[u8]) -> u64 {
    // The length prefix distinguishes pairs whose concatenated bytes are equal.
    let length = (key.len() as u64).to_le_bytes();
    let bytes = length.iter().chain(key).chain(member);
    let hash = bytes.fold(FNV_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// Spreads the differences between similar names over all bits.
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 30;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^= hash >> 27;
    hash = hash.wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
