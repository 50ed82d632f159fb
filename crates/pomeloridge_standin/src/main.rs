//! The stand-ins' program: one subcommand for each interface to the outside.

use clap::Parser;
use pomeloridge_standin::Args;

fn main() -> std::io::Result<()> {
    pomeloridge_standin::run(Args::parse())
}
