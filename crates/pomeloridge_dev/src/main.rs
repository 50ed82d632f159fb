//! Development commands of pomeloridge.

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
use pomeloridge_dev::soak::{self, Plan};

/// Development commands of pomeloridge.
#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Generates the code of the calls between nodes.
    Codegen {
        /// Writes nothing; exits with code 1 if the committed file is out of date.
        #[arg(long)]
        check: bool,
    },
    /// Generates the reference pages in `docs/`: settings, rules, errors, metrics.
    Reference {
        /// Writes nothing; exits with code 1 if a committed page is out of date.
        #[arg(long)]
        check: bool,
    },
    /// Measures the latency that a node adds and the CPU time per request.
    Latency,
    /// Compares policies under a varying load mix, with a data centre lost midway.
    Experiment(experiment::ExperimentArgs),
    /// Measures how a node's cost grows with the number of nodes.
    Slopes {
        /// Numbers of nodes.
        #[arg(long, value_delimiter = ',', default_values_t = [3, 7, 15, 30])]
        nodes: Vec<usize>,
        /// Changes the configuration once a second during the measurement.
        #[arg(long)]
        change: bool,
    },
    /// Starts a small deployment, sends requests to it, and prints a table of checks.
    Demo {
        /// Only starts it, prints its addresses and keys, and serves until SIGTERM or SIGINT.
        #[arg(long)]
        hold: bool,
    },
    /// Runs gateways on a fake fleet platform under random faults; exits with code 1 if a
    /// guarantee was violated.
    Soak {
        /// Number of seeds.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// First seed.
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// Number of gateways in each run.
        #[arg(long, default_value_t = pomeloridge_dev::soak::GATEWAYS)]
        gateways: usize,
        /// Has software versions come and leave, and kills all gateways at once.
        #[arg(long)]
        versions: bool,
        /// Has an account ask for more than its allotment, beside the faults.
        #[arg(long, conflicts_with = "versions")]
        allotments: bool,
    },
    /// Runs deployments under faults and checks their histories; exits with code 1 if a
    /// guarantee was violated.
    Check {
        /// Number of seeds.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// First seed.
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// Runs only the scenario of this name.
        #[arg(long)]
        scenario: Option<String>,
        /// Also fails if a time exceeds its target.
        #[arg(long)]
        timing: bool,
        /// Uses the programs already built.
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
            versions,
            allotments,
        } => {
            let plan = if versions {
                Plan::Versions
            } else if allotments {
                Plan::Allotments
            } else {
                Plan::Faults
            };
            build_binaries().map(|()| soak::run_all(first, seeds, gateways, plan))
        }
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
