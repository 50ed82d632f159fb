//! Hashing and comparison of client account keys, operator tokens and the fleet secret.

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 hash of a client account key or operator token.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hashes the bytes of a key or token.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the hash as lower-case hexadecimal text.
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }

    /// Parses hexadecimal text; returns `None` unless it encodes 32 bytes.
    pub fn from_hex(text: &str) -> Option<Self> {
        let bytes = hex::decode(text).ok()?;
        Some(Self(bytes.try_into().ok()?))
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl std::fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// Returns the HMAC-SHA-256 of `message` under `secret`.
pub fn sign(secret: &[u8], message: &[u8]) -> [u8; 32] {
    let mut mac = new_mac(secret);
    mac.update(message);
    mac.finalize().into_bytes().into()
}

/// Returns whether `code` is the HMAC-SHA-256 of `message` under `secret`; compares in constant
/// time.
pub fn verify(secret: &[u8], message: &[u8], code: &[u8]) -> bool {
    let mut mac = new_mac(secret);
    mac.update(message);
    mac.verify_slice(code).is_ok()
}

fn new_mac(secret: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(secret).expect("HMAC accepts a key of any length")
}
