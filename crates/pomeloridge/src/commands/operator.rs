//! Commands for operators, which are sent to a node's operator port.

use std::process::ExitCode;

use pomeloridge_operator::cli::{self, OperatorCommand};

/// Runs a command and returns its documented exit code.
pub(crate) fn run(command: &OperatorCommand) -> ExitCode {
    let runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build();
    match runtime {
        Ok(mut runtime) => runtime.block_on(cli::run(command)).into(),
        Err(error) => {
            eprintln!("the runtime cannot start: {error}");
            ExitCode::FAILURE
        }
    }
}
