//! The `pomeloridge` program: node, gateway and command line for operators.

mod args;
mod commands;
mod logging;
mod metrics;
mod serve;

use std::process::ExitCode;

use clap::Parser;

use pomeloridge_operator::cli::OperatorCommand;

use args::{Args, Command};

fn main() -> ExitCode {
    match Args::parse().command {
        Command::Serve { settings } => commands::serve::run(&settings),
        Command::Gateway { settings, set } => commands::gateway::run(&settings, set),
        Command::Check { settings, gateway } => commands::check::run(&settings, gateway),
        Command::Operator(OperatorCommand::Explain {
            connection,
            id,
            files,
        }) if connection.node.is_none() => commands::explain::run(&id, &files, connection.json),
        Command::Operator(command) => commands::operator::run(&command),
    }
}
