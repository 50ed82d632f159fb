//! The text that a fake engine generates.
//!
//! Each token depends only on the prompt and its index, so any reader can check a
//! generation that was resumed on another engine.

use sha2::{Digest, Sha256};

/// Bytes of the SHA-256 digest that make up a prompt's hash.
const HASH_BYTES: usize = 8;

/// Returns the token at `index` of the generation for `prompt`.
pub fn token(prompt: &str, index: usize) -> String {
    token_for_hash(&prompt_hash(prompt), index)
}

/// Returns the hexadecimal hash that identifies a prompt in histories.
pub fn prompt_hash(prompt: &str) -> String {
    hex::encode(&Sha256::digest(prompt.as_bytes())[..HASH_BYTES])
}

/// Returns the token at `index` for the prompt with the given hash.
pub(crate) fn token_for_hash(hash: &str, index: usize) -> String {
    let digest = Sha256::digest(format!("{hash}/{index}").as_bytes());
    format!(" w{}", hex::encode(&digest[..2]))
}
