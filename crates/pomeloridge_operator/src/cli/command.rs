//! Operator commands and their arguments.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use clap::{Args, Subcommand};

/// An operator's token; `Debug` does not print it.
#[derive(Clone)]
pub struct Token(pub(crate) String);

impl FromStr for Token {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.to_owned()))
    }
}

impl std::fmt::Debug for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Token(..)")
    }
}

/// Numbers of tokens of a request: of its prompt and of the expected output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCounts {
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens.
    pub output: u64,
}

impl FromStr for TokenCounts {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed = text.split_once(',').and_then(|(prompt, output)| {
            Some(Self {
                prompt: prompt.parse().ok()?,
                output: output.parse().ok()?,
            })
        });
        parsed.ok_or("write two whole numbers as IN,OUT")
    }
}

/// Arguments of all commands: node, token and output format.
#[derive(Args, Clone, Debug)]
pub struct ConnectionArgs {
    /// Operator port of any node, as IP:PORT.
    #[arg(long, global = true, value_name = "IP:PORT")]
    pub node: Option<SocketAddr>,
    /// Operator's token; taken from `POMELORIDGE_TOKEN` if left out.
    #[arg(long, global = true)]
    pub token: Option<Token>,
    /// Shows the node's answer as JSON.
    #[arg(long, global = true)]
    pub json: bool,
}

/// Commands for operators.
#[derive(Clone, Debug, Subcommand)]
pub enum OperatorCommand {
    /// Reads or replaces the fleet's configuration.
    Config {
        /// Node and token.
        #[command(flatten)]
        connection: ConnectionArgs,
        /// Subcommand.
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Adds, lists or removes exceptions from the fleet's defaults.
    Exception {
        /// Node and token.
        #[command(flatten)]
        connection: ConnectionArgs,
        /// Subcommand.
        #[command(subcommand)]
        command: ExceptionCommand,
    },
    /// Adds or lists client accounts.
    Account {
        /// Node and token.
        #[command(flatten)]
        connection: ConnectionArgs,
        /// Subcommand.
        #[command(subcommand)]
        command: AccountCommand,
    },
    /// Issues or withdraws keys of client accounts.
    Key {
        /// Node and token.
        #[command(flatten)]
        connection: ConnectionArgs,
        /// Subcommand.
        #[command(subcommand)]
        command: KeyCommand,
    },
    /// Shows nodes, backend servers, leases, revisions in force and exceptions.
    Status {
        /// Node and token.
        #[command(flatten)]
        connection: ConnectionArgs,
    },
    /// Shows the decisions that were made for a request.
    ///
    /// With `--node`, that node's decisions are shown. Without it, the request's lines are
    /// collected from the logs of several gateways, in time order, with the lines about the
    /// servers that it was sent to.
    Explain {
        /// Node and token.
        #[command(flatten)]
        connection: ConnectionArgs,
        /// Request id, as sent to the caller.
        id: String,
        /// Log files; standard input if there are none.
        #[arg(conflicts_with = "node")]
        files: Vec<PathBuf>,
    },
    /// Questions about the routes of a gateway.
    Route {
        /// Node and token.
        #[command(flatten)]
        connection: ConnectionArgs,
        /// Subcommand.
        #[command(subcommand)]
        command: RouteCommand,
    },
    /// Shows the usage of client accounts.
    Usage {
        /// Node and token.
        #[command(flatten)]
        connection: ConnectionArgs,
    },
}

impl OperatorCommand {
    /// Returns the arguments for the connection to the node.
    pub fn connection(&self) -> &ConnectionArgs {
        match self {
            Self::Config { connection, .. }
            | Self::Exception { connection, .. }
            | Self::Account { connection, .. }
            | Self::Key { connection, .. }
            | Self::Status { connection }
            | Self::Explain { connection, .. }
            | Self::Route { connection, .. }
            | Self::Usage { connection } => connection,
        }
    }
}

/// Commands on the routes of a gateway.
#[derive(Clone, Debug, Subcommand)]
pub enum RouteCommand {
    /// Shows where a request would go now, and why, without sending it.
    ///
    /// `--node` is the metrics port of a gateway.
    Explain {
        /// HTTP method of the request.
        method: String,
        /// Path of the request.
        path: String,
        /// Host that the request is addressed to.
        #[arg(long)]
        host: String,
        /// Client account that sends the request.
        #[arg(long)]
        account: Option<String>,
        /// Prompt tokens and expected output tokens, for a model's route.
        #[arg(long, value_name = "IN,OUT")]
        tokens: Option<TokenCounts>,
        /// The caller's estimate of the number of output tokens.
        #[arg(long, value_name = "TOKENS")]
        estimate: Option<u64>,
        /// Part of the prompt, in order; the last one is the request's own. May be repeated.
        #[arg(long = "part", value_name = "ID:TOKENS")]
        parts: Vec<String>,
    },
}

/// Commands on the fleet's configuration.
#[derive(Clone, Debug, Subcommand)]
pub enum ConfigCommand {
    /// Shows the configuration with its revision.
    Get {
        /// File that the configuration is written to, ready to be applied.
        #[arg(long)]
        output: Option<PathBuf>,
    },
    /// Replaces the configuration with a JSON file.
    Apply {
        /// JSON file with the whole configuration.
        file: PathBuf,
        /// Revision that the file is based on; 0 if there was none.
        #[arg(long, value_name = "REV")]
        expect: u64,
        /// Reason; recorded in the history.
        #[arg(long)]
        reason: Option<String>,
    },
    /// Lists the changes with their operators and reasons.
    History,
}

/// Commands on exceptions.
#[derive(Clone, Debug, Subcommand)]
pub enum ExceptionCommand {
    /// Adds an exception.
    Add {
        /// Identifier of the new exception.
        id: String,
        /// `pin`, `hold`, `drain`, `floor` or `ceiling`.
        kind: String,
        /// Pool or backend server.
        target: String,
        /// Role for `pin`, number for `floor` and `ceiling`.
        #[arg(long, default_value = "")]
        value: String,
        /// Reason; must not be empty.
        #[arg(long)]
        reason: String,
    },
    /// Lists the exceptions with their reasons.
    List,
    /// Removes an exception.
    Remove {
        /// Identifier of the exception.
        id: String,
        /// Reason; must not be empty.
        #[arg(long)]
        reason: String,
    },
}

/// Commands on client accounts.
#[derive(Clone, Debug, Subcommand)]
pub enum AccountCommand {
    /// Adds a client account.
    Add {
        /// Name of the new account.
        name: String,
        /// Share of capacity relative to other accounts.
        #[arg(long, default_value_t = 1.0)]
        weight: f64,
        /// Reason; recorded in the history.
        #[arg(long, default_value = "")]
        reason: String,
    },
    /// Lists the client accounts and the identifiers of their keys.
    List,
}

/// Commands on keys.
#[derive(Clone, Debug, Subcommand)]
pub enum KeyCommand {
    /// Makes a new key and shows it once.
    Issue {
        /// Client account.
        account: String,
        /// Reason; recorded in the history.
        #[arg(long, default_value = "")]
        reason: String,
    },
    /// Withdraws a key.
    Withdraw {
        /// Client account.
        account: String,
        /// Identifier of the key.
        id: String,
        /// Reason; recorded in the history.
        #[arg(long, default_value = "")]
        reason: String,
    },
}
