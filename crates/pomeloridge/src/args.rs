//! Command-line arguments.

use std::path::PathBuf;

use clap::{Parser, Subcommand};
use pomeloridge_base::settings::GivenSetting;
use pomeloridge_operator::cli::OperatorCommand;

/// Serves language models and booking services on a limited fleet.
#[derive(Debug, Parser)]
#[command(name = "pomeloridge", version)]
pub(crate) struct Args {
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Subcommands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Runs a node until SIGTERM.
    ///
    /// The first line on standard output is a JSON object with the addresses
    /// that the node listens on.
    Serve {
        /// INI file with the node's settings.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Runs a gateway on the fleet's platform until SIGTERM.
    ///
    /// Its log goes to standard output.
    Gateway {
        /// INI file with the gateway's settings.
        #[arg(long)]
        settings: PathBuf,
        /// Setting that is not in the file, as SECTION.KEY=VALUE; may be repeated.
        #[arg(long, value_name = "SECTION.KEY=VALUE")]
        set: Vec<GivenSetting>,
    },
    /// Checks a settings file without serving; exit code 2 if there are problems.
    Check {
        /// INI file with the settings.
        #[arg(long)]
        settings: PathBuf,
        /// Check the settings of a gateway instead of a node.
        #[arg(long)]
        gateway: bool,
    },
    /// Commands for operators, sent to any node.
    #[command(flatten)]
    Operator(OperatorCommand),
}
