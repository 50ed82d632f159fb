//! Small fakes of the platform, the model engine and the plain service.
//!
//! Each speaks the wire forms of `docs/INTERFACES.md`, keeps a history of what
//! it received, and fails on request, so that tests and trials can check the
//! system against what really reached the outside.

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

pub use engine::{BLOCK_BYTES, EngineArgs, blocks};
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
    /// Which interface to fake.
    #[command(subcommand)]
    pub part: Part,
}

/// The interfaces that can be faked.
#[derive(Debug, Subcommand)]
pub enum Part {
    /// The platform: objects, VMs, backend servers and usage.
    Platform(PlatformArgs),
    /// One model engine.
    Engine(EngineArgs),
    /// One plain service.
    Service(ServiceArgs),
}

/// Runs one stand-in until SIGTERM; fails if its address can't be taken.
pub fn run(args: Args) -> io::Result<()> {
    // The handler ends the process itself, so a busy or silent stand-in ends too.
    let always = Arc::new(AtomicBool::new(true));
    signal_hook::flag::register_conditional_shutdown(signal_hook::consts::SIGTERM, 0, always)?;
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match args.part {
            Part::Platform(args) => platform::run(args).await,
            Part::Engine(args) => engine::run(args).await,
            Part::Service(args) => service::run(args).await,
        }
    })
}
