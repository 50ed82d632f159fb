//! Fakes of the platform, the model engine and the plain service.
//!
//! Each implements the wire format of `docs/INTERFACES.md`, records a history of the
//! requests it receives and injects faults on request, so that tests and trials can
//! check the system against what was actually sent to external services.

mod engine;
mod history;
mod leak;
mod listen;
mod platform;
mod service;
mod signal;
mod token;

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use clap::{Parser, Subcommand};

pub use engine::{BLOCK_BYTES, EngineArgs, block_hashes};
pub use platform::PlatformArgs;
pub use service::ServiceArgs;
pub use token::{prompt_hash, token};

/// Command line of the program.
#[derive(Debug, Parser)]
#[command(
    name = "pomeloridge_standin",
    about = "Small fakes for tests and trials"
)]
pub struct Args {
    /// Interface to fake.
    #[command(subcommand)]
    pub command: Command,
}

/// The interfaces that can be faked.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// The platform: objects, VMs, backend servers and usage.
    Platform(PlatformArgs),
    /// One model engine.
    Engine(EngineArgs),
    /// One plain service.
    Service(ServiceArgs),
}

/// Runs one fake until SIGTERM; fails if its address is unavailable.
pub fn run(args: Args) -> io::Result<()> {
    // The signal handler exits the process itself, so a busy or silent fake stops too.
    let enabled = Arc::new(AtomicBool::new(true));
    signal_hook::flag::register_conditional_shutdown(signal_hook::consts::SIGTERM, 0, enabled)?;
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match args.command {
            Command::Platform(args) => platform::run(args).await,
            Command::Engine(args) => engine::run(args).await,
            Command::Service(args) => service::run(args).await,
        }
    })
}
