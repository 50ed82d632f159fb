//! Sends a command to a node and tells how it ended.

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use pomeloridge_base::http::{ConnectOptions, Connection, Fault, OutgoingRequest, Response};
use serde_json::Value;

use super::command::{ConfigCommand, OperatorCommand, Token};
use super::exit::Exit;
use super::plan::{Plan, plan};
use super::render::render_error;

/// Environment variable that holds the operator's token.
const TOKEN_VARIABLE: &str = "POMELORIDGE_TOKEN";
/// Time to connect to a node.
const CONNECT_TIME: Duration = Duration::from_secs(5);
/// Time that a node may take to answer a command.
const ANSWER_TIME: Duration = Duration::from_secs(20);

/// What a command shows: on standard output if it was done, else on standard error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// How the command ended.
    pub exit: Exit,
    /// Text to show, ending with a line break.
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

/// Runs a command and prints what it shows.
pub async fn run(command: &OperatorCommand) -> Exit {
    let shown = execute(command, std::env::var(TOKEN_VARIABLE).ok()).await;
    // A reader that closed the pipe wants no more output.
    let _ = match shown.exit {
        Exit::Done => std::io::stdout().write_all(shown.text.as_bytes()),
        _ => std::io::stderr().write_all(shown.text.as_bytes()),
    };
    shown.exit
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
        Err(fault) => return CommandOutput::new(Exit::Usage, fault),
    };
    let bearer = format!("Bearer {}", token.0);
    plan.request = plan.request.with_header("authorization", &bearer);
    match send(node, &plan.request).await {
        Ok(response) => show(command, &plan, &response),
        Err(fault) => unanswered(node, &plan, &fault),
    }
}

async fn send(node: SocketAddr, request: &OutgoingRequest) -> Result<Response, Fault> {
    let options = ConnectOptions {
        timeout: CONNECT_TIME,
        ..ConnectOptions::default()
    };
    let mut connection = Connection::open(node, options).await?;
    let deadline = Instant::now() + ANSWER_TIME;
    connection.exchange(request, deadline).await
}

fn show(command: &OperatorCommand, plan: &Plan, response: &Response) -> CommandOutput {
    let Ok(value) = serde_json::from_slice::<Value>(&response.body) else {
        let exit = match plan.request.method {
            Method::GET => Exit::Refused,
            _ => Exit::Unknown,
        };
        return CommandOutput::new(exit, format!("the answer {} is not JSON", response.status));
    };
    let json = command.connection().json;
    if !response.status.is_success() {
        let text = if json {
            pretty(&value)
        } else {
            render_error(&value)
        };
        return CommandOutput::new(exit_of(response.status, &value), text);
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

fn exit_of(status: StatusCode, value: &Value) -> Exit {
    if value["error"]["run"] == "unknown" {
        Exit::Unknown
    } else if status == StatusCode::CONFLICT {
        Exit::Conflict
    } else {
        Exit::Refused
    }
}

/// A change that may have been sent has an unknown outcome; a read has none.
fn unanswered(node: SocketAddr, plan: &Plan, fault: &Fault) -> CommandOutput {
    let read = plan.request.method == Method::GET;
    if read || matches!(fault, Fault::Connect(_)) {
        return CommandOutput::new(Exit::Unreachable, format!("node {node}: {fault}"));
    }
    let text = format!("node {node}: {fault}; the outcome is unknown, read before repeating");
    CommandOutput::new(Exit::Unknown, text)
}

fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
