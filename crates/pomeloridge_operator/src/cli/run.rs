//! Sends commands to a node and reports their outcome.

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::StatusCode;
use pomeloridge_base::http::{ConnectOptions, Connection, Fault, OutgoingRequest, Response};
use serde_json::Value;

use super::command::{ConfigCommand, OperatorCommand, Token};
use super::exit::Exit;
use super::plan::{Plan, plan};
use super::render::render_error;

/// Environment variable with the operator's token.
const TOKEN_VARIABLE: &str = "POMELORIDGE_TOKEN";
/// Timeout of connecting to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a node's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Output of a command, for standard output if it succeeded, else for standard error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit code.
    pub exit: Exit,
    /// Text, which ends with a line break.
    pub text: String,
}

impl CommandOutput {
    fn new(exit: Exit, text: impl Into<String>) -> Self {
        let mut text = text.into();
        if !text.ends_with('\n') {
            text.push('\n');
        }
        Self { exit, text }
    }
}

/// Runs a command and prints its output.
pub async fn run(command: &OperatorCommand) -> Exit {
    let output = execute(command, std::env::var(TOKEN_VARIABLE).ok()).await;
    // Writing fails if the reader closed the pipe, which is not an error.
    let _ = match output.exit {
        Exit::Done => std::io::stdout().write_all(output.text.as_bytes()),
        _ => std::io::stderr().write_all(output.text.as_bytes()),
    };
    output.exit
}

/// Runs a command; `token` is used if the command line has none.
pub async fn execute(command: &OperatorCommand, token: Option<String>) -> CommandOutput {
    let connection = command.connection();
    let Some(node) = connection.node else {
        return CommandOutput::new(Exit::Usage, "name a node with --node IP:PORT");
    };
    let Some(token) = connection.token.clone().or(token.map(Token)) else {
        let text = format!("give the operator's token in {TOKEN_VARIABLE} or with --token");
        return CommandOutput::new(Exit::Usage, text);
    };
    let mut plan = match plan(command) {
        Ok(plan) => plan,
        Err(message) => return CommandOutput::new(Exit::Usage, message),
    };
    let bearer = format!("Bearer {}", token.0);
    plan.request = plan.request.with_header("authorization", &bearer);
    match send(node, &plan.request).await {
        Ok(response) => render(command, &plan, &response),
        Err(fault) => failed_exchange(node, &plan, &fault),
    }
}

async fn send(node: SocketAddr, request: &OutgoingRequest) -> Result<Response, Fault> {
    let options = ConnectOptions {
        timeout: CONNECT_TIMEOUT,
        ..ConnectOptions::default()
    };
    let mut connection = Connection::open(node, options).await?;
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    connection.exchange(request, deadline).await
}

fn render(command: &OperatorCommand, plan: &Plan, response: &Response) -> CommandOutput {
    let Ok(value) = serde_json::from_slice::<Value>(&response.body) else {
        let exit = if plan.is_read {
            Exit::Refused
        } else {
            Exit::Unknown
        };
        return CommandOutput::new(
            exit,
            format!("the response ({}) is not JSON", response.status),
        );
    };
    let json = command.connection().json;
    if !response.status.is_success() {
        let text = if json {
            pretty(&value)
        } else {
            render_error(&value)
        };
        return CommandOutput::new(error_exit(response.status, &value), text);
    }
    if let OperatorCommand::Config {
        command: ConfigCommand::Get {
            output: Some(file), ..
        },
        ..
    } = command
        && let Err(error) = std::fs::write(file, pretty(&value["fleet"]) + "\n")
    {
        return CommandOutput::new(Exit::Usage, format!("{}: {error}", file.display()));
    }
    let text = if json {
        pretty(&value)
    } else {
        (plan.render)(&value)
    };
    CommandOutput::new(Exit::Done, text)
}

fn error_exit(status: StatusCode, value: &Value) -> Exit {
    if value["error"]["run"] == "unknown" {
        Exit::Unknown
    } else if status == StatusCode::CONFLICT {
        Exit::Conflict
    } else {
        Exit::Refused
    }
}

/// Returns the output for a request without a response.
///
/// The outcome of a change is unknown, unless the connection could not be opened.
fn failed_exchange(node: SocketAddr, plan: &Plan, fault: &Fault) -> CommandOutput {
    if plan.is_read || matches!(fault, Fault::Connect(_)) {
        return CommandOutput::new(Exit::Unreachable, format!("node {node}: {fault}"));
    }
    let text = format!(
        "node {node}: {fault}; the outcome is unknown, read the object before repeating the change"
    );
    CommandOutput::new(Exit::Unknown, text)
}

fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
