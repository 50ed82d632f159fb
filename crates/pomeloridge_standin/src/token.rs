//! The text that a fake engine generates.
//!
//! Each token depends only on the prompt and its place, so a generation that
//! was continued on another engine can be checked by anyone.

use sha2::{Digest, Sha256};

/// Bytes of a prompt's hash that are shown.
const HASH_BYTES: usize = 8;

/// The token at `index` of the generation for `prompt`.
pub fn token(prompt: &str, index: usize) -> String {
    token_of(&prompt_hash(prompt), index)
}

/// The hash by which a prompt is named in histories, as hexadecimal text.
pub fn prompt_hash(prompt: &str) -> String {
    hex::encode(&Sha256::digest(prompt.as_bytes())[..HASH_BYTES])
}

/// The token at `index` for a prompt that has been hashed.
pub(crate) fn token_of(hash: &str, index: usize) -> String {
    let digest = Sha256::digest(format!("{hash}/{index}").as_bytes());
    format!(" w{}", hex::encode(&digest[..2]))
}
