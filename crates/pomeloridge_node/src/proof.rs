//! Proof of the fleet secret at the start of a link.
//!
//! Each end signs both nonces and both names together with its own side, so
//! that no answer can be sent back as a proof of the other side or used for
//! another link. The secret itself is never sent.

use pomeloridge_base::id::Name;
use pomeloridge_base::secret::{sign, verify};

/// Bytes of a nonce.
pub(crate) const NONCE_BYTES: usize = 32;

/// The end of a link that proves the secret.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Side {
    Caller,
    Called,
}

/// What both ends of a link have told each other.
#[derive(Clone, Debug)]
pub(crate) struct Handshake {
    pub(crate) caller: Name,
    pub(crate) called: Name,
    pub(crate) caller_nonce: Vec<u8>,
    pub(crate) called_nonce: Vec<u8>,
}

impl Handshake {
    /// The proof of one side.
    pub(crate) fn prove(&self, secret: &[u8], side: Side) -> Vec<u8> {
        sign(secret, &self.message(side)).to_vec()
    }

    /// Whether `proof` is the proof of one side; compared in constant time.
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
        // Lengths before the parts keep a byte from passing for one of another part.
        let framed = parts.iter().flat_map(|part| {
            let length = (part.len() as u64).to_be_bytes();
            length.into_iter().chain(part.iter().copied())
        });
        framed.collect()
    }
}

/// A nonce that nobody can foresee.
pub(crate) fn random_nonce() -> Vec<u8> {
    rand::random::<[u8; NONCE_BYTES]>().to_vec()
}
