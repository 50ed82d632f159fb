//! Measures the prefix hints: which backend servers have cached which prompt blocks.

use pomeloridge_policy::prefix::{BlockHash, PrefixHints, block_hashes};
use pomeloridge_policy::server::ServerKey;
use pomeloridge_policy::server_table::{ServerTable, ServerTableSettings};

use crate::fixture::{data_centre, server, server_id};
use crate::meter::{bytes, nanoseconds};
use crate::row::{Row, Unit};

/// Numbers of blocks in the hints.
const BLOCKS: [usize; 4] = [1_024, 4_096, 16_384, 65_536];
/// Prompt lengths, in bytes.
const PROMPTS: [usize; 4] = [1_024, 4_096, 8_192, 16_384];
/// Blocks of a long prompt.
const PROMPT_BLOCKS: usize = 64;

/// Returns the measurements of the hints.
pub fn rows() -> Vec<Row> {
    let row = |what, unit, measure: fn(usize) -> f64| {
        Row::measure("hints", what, "block", unit, &BLOCKS, measure)
    };
    vec![
        row("memory", Unit::Bytes, |count| {
            let key = server_key();
            bytes(|| full_hints(count, key))
        }),
        row("note a prompt of 64 blocks", Unit::Nanoseconds, add_prompt),
        row("look up a prompt of 64 blocks", Unit::Nanoseconds, look_up),
        row("forget a server", Unit::Nanoseconds, |count| {
            let key = server_key();
            let mut hints = full_hints(count, key);
            nanoseconds(|| hints.remove_server(key))
        }),
        Row::measure(
            "hints",
            "hash a prompt",
            "byte",
            Unit::Nanoseconds,
            &PROMPTS,
            |length| {
                let prompt = vec![b'x'; length];
                nanoseconds(|| block_hashes(&prompt))
            },
        ),
    ]
}

fn server_key() -> ServerKey {
    let mut table = ServerTable::new(ServerTableSettings::new(data_centre(0)));
    table.sync(vec![server(0)]);
    table.key_of(&server_id(0)).unwrap_or_default()
}

fn full_hints(count: usize, key: ServerKey) -> PrefixHints {
    let mut hints = PrefixHints::new(count);
    for block in 0..count as u64 {
        hints.add(key, BlockHash(block));
    }
    hints
}

fn prompt(first: u64) -> Vec<BlockHash> {
    (first..first + PROMPT_BLOCKS as u64)
        .map(BlockHash)
        .collect()
}

fn add_prompt(count: usize) -> f64 {
    let key = server_key();
    let mut hints = full_hints(count, key);
    let mut first = count as u64;
    nanoseconds(|| {
        first += PROMPT_BLOCKS as u64;
        hints.add_blocks(key, &prompt(first));
    })
}

fn look_up(count: usize) -> f64 {
    let key = server_key();
    let hints = full_hints(count, key);
    let prompt = prompt(0);
    nanoseconds(|| hints.cached_tokens(key, &prompt))
}
