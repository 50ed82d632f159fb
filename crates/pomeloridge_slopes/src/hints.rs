//! Hints of which backend server holds which prompt blocks.

use pomeloridge_policy::prefix::{BlockHash, PrefixHints, block_hashes};
use pomeloridge_policy::server::ServerKey;
use pomeloridge_policy::server_table::{ServerTable, ServerTableSettings};

use crate::fixture::{data_centre, server, server_id};
use crate::meter::{bytes, nanoseconds};
use crate::row::{Row, Unit};

/// Numbers of blocks remembered.
const BLOCKS: [usize; 4] = [1_024, 4_096, 16_384, 65_536];
/// Bytes of a prompt.
const PROMPTS: [usize; 4] = [1_024, 4_096, 8_192, 16_384];
/// Blocks of one long prompt.
const PROMPT_BLOCKS: usize = 64;

/// Measures the hints.
pub fn rows() -> Vec<Row> {
    let row = |what, unit, measure: fn(usize) -> f64| {
        Row::measure("hints", what, "block", unit, &BLOCKS, measure)
    };
    vec![
        row("memory", Unit::Bytes, |count| {
            let key = some_server();
            bytes(|| full(count, key))
        }),
        row("note a prompt of 64 blocks", Unit::Nanoseconds, note),
        row("look up a prompt of 64 blocks", Unit::Nanoseconds, look),
        row("forget a server", Unit::Nanoseconds, |count| {
            let key = some_server();
            let mut hints = full(count, key);
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

fn some_server() -> ServerKey {
    let mut table = ServerTable::new(ServerTableSettings::new(data_centre(0)));
    table.sync(vec![server(0)]);
    table.key_of(&server_id(0)).unwrap_or_default()
}

fn full(count: usize, key: ServerKey) -> PrefixHints {
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

fn note(count: usize) -> f64 {
    let key = some_server();
    let mut hints = full(count, key);
    let mut first = count as u64;
    nanoseconds(|| {
        first += PROMPT_BLOCKS as u64;
        hints.add_blocks(key, &prompt(first));
    })
}

fn look(count: usize) -> f64 {
    let key = some_server();
    let hints = full(count, key);
    let prompt = prompt(0);
    nanoseconds(|| hints.cached_tokens(key, &prompt))
}
