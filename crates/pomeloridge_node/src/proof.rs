//! Proof of the fleet secret in the handshake of a link.
//!
//! Each end signs both nonces, both names and its own side. A proof can therefore
//! neither be reflected as that of the other side nor replayed on another link. The
//! secret itself is never sent.

use pomeloridge_base::id::Name;
use pomeloridge_base::secret::{sign, verify};

/// Length of a nonce, in bytes.
pub(crate) const NONCE_BYTES: usize = 32;

/// End of a link that proves the secret.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Side {
    Caller,
    Called,
}

/// Names and nonces that both ends of a link have exchanged.
#[derive(Clone, Debug)]
pub(crate) struct Handshake {
    pub(crate) caller: Name,
    pub(crate) called: Name,
    pub(crate) caller_nonce: Vec<u8>,
    pub(crate) called_nonce: Vec<u8>,
}

impl Handshake {
    /// Computes the proof of one side.
    pub(crate) fn prove(&self, secret: &[u8], side: Side) -> Vec<u8> {
        sign(secret, &self.message(side)).to_vec()
    }

    /// Returns whether `proof` is the proof of one side; compares in constant time.
    pub(crate) fn verify(&self, secret: &[u8], side: Side, proof: &[u8]) -> bool {
        verify(secret, &self.message(side), proof)
    }

    fn message(&self, side: Side) -> Vec<u8> {
        let label: &[u8] = match side {
            Side::Caller => b"pomeloridge caller",
            Side::Called => b"pomeloridge called",
        };
        let parts = [
            label,
            self.caller.as_bytes(),
            self.called.as_bytes(),
            &self.caller_nonce,
            &self.called_nonce,
        ];
        // Length prefixes keep the boundaries between the parts unambiguous.
        let framed = parts.iter().flat_map(|part| {
            let length = (part.len() as u64).to_be_bytes();
            length.into_iter().chain(part.iter().copied())
        });
        framed.collect()
    }
}

/// Generates an unpredictable nonce.
pub(crate) fn random_nonce() -> Vec<u8> {
    rand::random::<[u8; NONCE_BYTES]>().to_vec()
}
