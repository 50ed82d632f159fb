//! Commands for those who work on pomeloridge.

mod codegen;
mod demo;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Commands for those who work on pomeloridge.
#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Makes the code of the calls between nodes.
    Codegen {
        /// Writes nothing; exit code 1 says that the committed file is not current.
        #[arg(long)]
        check: bool,
    },
    /// Starts a small deployment, uses it, and shows what was checked.
    Demo {
        /// Only starts it, prints where everything is, and serves until SIGTERM.
        #[arg(long)]
        hold: bool,
    },
}

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Codegen { check } => codegen::run(check).map_err(|error| error.to_string()),
        Command::Demo { hold } => demo::run(hold),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
