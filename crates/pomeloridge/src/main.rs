//! The one binary: a node, and the command line for operators.

mod args;
mod commands;
mod logging;
mod metrics;
mod serve;

use std::process::ExitCode;

use clap::Parser;

use args::{Args, Command};

fn main() -> ExitCode {
    match Args::parse().command {
        Command::Serve { settings } => commands::serve::run(&settings),
        Command::Gateway { settings } => commands::gateway::run(&settings),
        Command::Check { settings, gateway } => commands::check::run(&settings, gateway),
        Command::Trace { id, files, json } => commands::trace::run(&id, &files, json),
        Command::Operator(command) => commands::operator::run(&command),
    }
}
