//! Command line client of the operator port.

mod command;
mod exit;
mod plan;
mod render;
mod run;

pub use command::{
    AccountCommand, ConfigCommand, ConnectionArgs, ExceptionCommand, KeyCommand, OperatorCommand,
    RouteCommand, Token, TokenCounts,
};
pub use exit::Exit;
pub use render::{
    render_accounts, render_change, render_config, render_error, render_exceptions, render_history,
    render_issued, render_report, render_usage,
};
pub use run::{CommandOutput, execute, run};
