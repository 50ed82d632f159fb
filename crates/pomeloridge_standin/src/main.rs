//! Runs a fake of an external service: one subcommand for each interface.

use clap::Parser;
use pomeloridge_standin::Args;

fn main() -> std::io::Result<()> {
    pomeloridge_standin::run(Args::parse())
}
