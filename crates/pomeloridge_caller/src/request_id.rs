//! Request IDs that any node can verify.
//!
//! An ID consists of a prefix for the node's incarnation, a counter, and a MAC under
//! the fleet secret over the client account and the request's fingerprint. A caller
//! that reconnects with an ID can resume only its own request, and another node bills
//! the request under the same ID.

use std::cell::Cell;

use pomeloridge_base::id::{Incarnation, Name};
use pomeloridge_base::secret::sign;

/// Length of a truncated MAC in an ID, in bytes.
const MAC_BYTES: usize = 8;

/// Generates the request IDs of one incarnation of a node.
pub struct IdGenerator {
    prefix: String,
    secret: Vec<u8>,
    count: Cell<u64>,
}

impl IdGenerator {
    /// Creates a generator whose prefix is a MAC of the node's name and incarnation, so
    /// that an ID reveals neither to a caller.
    pub fn new(node: &Name, incarnation: Incarnation, secret: &[u8]) -> Self {
        let start = format!("{node}/{incarnation}");
        let mac = sign(secret, start.as_bytes());
        Self {
            prefix: hex::encode(&mac[..MAC_BYTES]),
            secret: secret.to_vec(),
            count: Cell::new(0),
        }
    }

    /// Returns a new ID for a request of `account` with `fingerprint`.
    pub fn next(&self, account: &Name, fingerprint: &[u8]) -> String {
        self.count.set(self.count.get() + 1);
        let serial = format!("{}{:x}", self.prefix, self.count.get());
        let mac = self.mac(&serial, account, fingerprint);
        format!("r-{serial}-{mac}")
    }

    /// Returns whether a node of the fleet issued an ID for this account and fingerprint.
    pub fn verify(&self, id: &str, account: &Name, fingerprint: &[u8]) -> bool {
        let parts = id.strip_prefix("r-").and_then(|rest| rest.split_once('-'));
        parts.is_some_and(|(serial, mac)| mac == self.mac(serial, account, fingerprint))
    }

    fn mac(&self, serial: &str, account: &Name, fingerprint: &[u8]) -> String {
        let mut message = serial.as_bytes().to_vec();
        message.push(0);
        message.extend_from_slice(account.as_bytes());
        message.push(0);
        message.extend_from_slice(fingerprint);
        hex::encode(&sign(&self.secret, &message)[..MAC_BYTES])
    }
}
