//! Commands for those who work on pomeloridge.

mod codegen;
mod demo;
mod experiment;
mod latency;
mod reference;
mod slopes;

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use pomeloridge_dev::check::{Options, Scenario, run_all};
use pomeloridge_dev::launch::build_binaries;

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
    /// Makes the reference pages in `docs/`: settings, rules, errors, metrics.
    Reference {
        /// Writes nothing; exit code 1 says that a committed page is not current.
        #[arg(long)]
        check: bool,
    },
    /// Measures the delay that a node adds, and what a request costs.
    Latency,
    /// Compares policies under a load whose mix swings, with a data centre lost midway.
    Experiment(experiment::ExperimentArgs),
    /// Measures how a node's cost grows with the number of nodes.
    Slopes {
        /// Numbers of nodes.
        #[arg(long, value_delimiter = ',', default_values_t = [3, 7, 15, 30])]
        nodes: Vec<usize>,
        /// Changes the configuration once a second meanwhile.
        #[arg(long)]
        change: bool,
    },
    /// Starts a small deployment, uses it, and shows what was checked.
    Demo {
        /// Only starts it, prints where everything is, and serves until SIGTERM.
        #[arg(long)]
        hold: bool,
    },
    /// Runs gateways on a fake of the fleet's platform under random faults; exit code 1
    /// if a promise was broken.
    Soak {
        /// Number of seeds.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// First seed.
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// Gateways in each run.
        #[arg(long, default_value_t = pomeloridge_dev::soak::GATEWAYS)]
        gateways: usize,
    },
    /// Runs deployments under failure and checks their histories; exit code 1 if
    /// a promise was broken.
    Check {
        /// Number of seeds.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// First seed.
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// Only the scenario of this name.
        #[arg(long)]
        scenario: Option<String>,
        /// Also fails on times that are over their targets.
        #[arg(long)]
        timing: bool,
        /// Takes the programs as they were built.
        #[arg(long)]
        no_build: bool,
    },
}

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Codegen { check } => codegen::run(check).map_err(|error| error.to_string()),
        Command::Experiment(args) => experiment::run(&args),
        Command::Reference { check } => reference::run(check),
        Command::Slopes { nodes, change } => slopes::run(&nodes, change),
        Command::Demo { hold } => demo::run(hold),
        Command::Check {
            seeds,
            first,
            scenario,
            timing,
            no_build,
        } => {
            let built = if no_build { Ok(()) } else { build_binaries() };
            built.and_then(|()| check(first, seeds, scenario.as_deref(), timing))
        }
        Command::Soak {
            seeds,
            first,
            gateways,
        } => build_binaries().map(|()| pomeloridge_dev::soak::run_all(first, seeds, gateways)),
        Command::Latency => latency::run(),
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

fn check(first: u64, seeds: u64, scenario: Option<&str>, timing: bool) -> Result<bool, String> {
    let unknown = |name: &str| {
        let known = Scenario::ALL.map(|known| known.to_string());
        format!("no scenario `{name}`; there are: {}", known.join(", "))
    };
    let scenario = match scenario {
        Some(name) => Some(Scenario::from_name(name).ok_or_else(|| unknown(name))?),
        None => None,
    };
    Ok(run_all(&Options {
        first,
        seeds,
        scenario,
        timing,
    }))
}
