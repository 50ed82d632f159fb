//! Prints how the time and memory of a node's components grow with their tables.

use clap::Parser;
use pomeloridge_slopes::alloc::CountingAllocator;
use pomeloridge_slopes::fixture::SEED;
use pomeloridge_slopes::row::Row;
use pomeloridge_slopes::table::render;
use pomeloridge_slopes::{
    admission, config, exchange, fleet, gateway, heartbeat, hints, membership, usage,
};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Measures how the time and memory of a node's parts grow.
#[derive(Parser)]
struct Args {
    /// Prints one JSON document in place of the table.
    #[arg(long)]
    json: bool,
    /// Measures only this part.
    #[arg(long)]
    part: Option<String>,
}

/// A part's name and its measurement.
type Part = (&'static str, fn() -> Vec<Row>);

/// All parts, in the order of the report.
const PARTS: [Part; 9] = [
    ("config", config::rows),
    ("fleet", fleet::rows),
    ("gateway", gateway::rows),
    ("admission", admission::rows),
    ("membership", membership::rows),
    ("heartbeat", heartbeat::rows),
    ("exchange", exchange::rows),
    ("usage", usage::rows),
    ("hints", hints::rows),
];

fn main() {
    let args = Args::parse();
    let is_selected = |(name, _): &&Part| args.part.as_ref().is_none_or(|part| part == name);
    let parts = PARTS.iter().filter(is_selected);
    let rows: Vec<Row> = parts.flat_map(|(_, rows)| rows()).collect();
    if args.json {
        println!("{}", serde_json::json!({"seed": SEED, "rows": rows}));
    } else {
        println!("seed {SEED}");
        print!("{}", render(&rows));
    }
}
