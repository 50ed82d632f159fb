//! Requests of the commands, and the rendering of their responses.

use std::path::Path;

use http::Method;
use pomeloridge_base::http::OutgoingRequest;
use serde_json::{Value, json};

use super::command::{
    AccountCommand, ConfigCommand, ExceptionCommand, KeyCommand, OperatorCommand, RouteCommand,
};
use super::render::{
    render_accounts, render_change, render_config, render_exceptions, render_history,
    render_issued, render_report, render_usage,
};
use crate::percent::encode;

/// A request with the function that renders its response.
pub(super) struct Plan {
    pub(super) request: OutgoingRequest,
    pub(super) render: fn(&Value) -> String,
    /// Whether the request changes nothing.
    pub(super) is_read: bool,
}

impl Plan {
    fn get(target: impl Into<String>, render: fn(&Value) -> String) -> Self {
        Self {
            request: OutgoingRequest::get(target),
            render,
            is_read: true,
        }
    }

    fn change(method: Method, target: String) -> Self {
        Self {
            request: OutgoingRequest::new(method, target),
            render: render_change,
            is_read: false,
        }
    }

    fn json(mut self, value: &Value) -> Self {
        self.request = self.request.json(value);
        self
    }
}

/// Returns the plan of a command, or an error message about its input file.
pub(super) fn plan(command: &OperatorCommand) -> Result<Plan, String> {
    Ok(match command {
        OperatorCommand::Config { command, .. } => return config(command),
        OperatorCommand::Exception { command, .. } => exception(command),
        OperatorCommand::Account { command, .. } => account(command),
        OperatorCommand::Key { command, .. } => key(command),
        OperatorCommand::Status { .. } => Plan::get("/status", render_report),
        OperatorCommand::Explain { id, .. } => {
            Plan::get(format!("/explain/{}", encode(id)), render_report)
        }
        OperatorCommand::Route { command, .. } => route(command),
        OperatorCommand::Usage { .. } => Plan::get("/usage", render_usage),
    })
}

fn config(command: &ConfigCommand) -> Result<Plan, String> {
    match command {
        ConfigCommand::Get { .. } => Ok(Plan::get("/config", render_config)),
        ConfigCommand::History => Ok(Plan::get("/config/history", render_history)),
        ConfigCommand::Apply {
            file,
            expect,
            reason,
        } => {
            let body = read_json(file)?;
            let reason = encode(reason.as_deref().unwrap_or_default());
            let target = format!("/config?expect={expect}&reason={reason}");
            let mut plan = Plan::change(Method::PUT, target);
            // Sends the file unparsed, so that the node can detect duplicate keys.
            plan.request = plan.request.body(body);
            Ok(plan)
        }
    }
}

fn exception(command: &ExceptionCommand) -> Plan {
    match command {
        ExceptionCommand::List => Plan::get("/exceptions", render_exceptions),
        ExceptionCommand::Remove { id, reason } => {
            let target = format!("/exceptions/{}?reason={}", encode(id), encode(reason));
            Plan::change(Method::DELETE, target)
        }
        ExceptionCommand::Add {
            id,
            kind,
            target,
            value,
            reason,
        } => Plan::change(Method::POST, "/exceptions".to_owned()).json(&json!({
            "id": id, "kind": kind, "target": target, "value": value, "reason": reason,
        })),
    }
}

fn route(command: &RouteCommand) -> Plan {
    let RouteCommand::Explain {
        method,
        path,
        host,
        account,
        tokens,
        estimate,
        parts,
    } = command;
    let tokens = tokens.map(|tokens| [tokens.prompt, tokens.output]);
    let request = OutgoingRequest::new(Method::POST, "/route/explain");
    Plan {
        request: request.json(&json!({
            "method": method, "path": path, "host": host, "account": account,
            "tokens": tokens, "estimate": estimate, "parts": parts,
        })),
        render: render_report,
        is_read: true,
    }
}

fn account(command: &AccountCommand) -> Plan {
    match command {
        AccountCommand::List => Plan::get("/accounts", render_accounts),
        AccountCommand::Add {
            name,
            weight,
            reason,
        } => Plan::change(Method::POST, "/accounts".to_owned())
            .json(&json!({"name": name, "weight": weight, "reason": reason})),
    }
}

fn key(command: &KeyCommand) -> Plan {
    match command {
        KeyCommand::Issue { account, reason } => {
            let target = format!("/accounts/{}/keys", encode(account));
            let plan = Plan::change(Method::POST, target).json(&json!({ "reason": reason }));
            Plan {
                render: render_issued,
                ..plan
            }
        }
        KeyCommand::Withdraw {
            account,
            id,
            reason,
        } => {
            let target = format!("/accounts/{}/keys/{}/withdraw", encode(account), encode(id));
            Plan::change(Method::POST, target).json(&json!({ "reason": reason }))
        }
    }
}

fn read_json(file: &Path) -> Result<Vec<u8>, String> {
    let path = file.display();
    let body = std::fs::read(file).map_err(|error| format!("{path}: {error}"))?;
    serde_json::from_slice::<Value>(&body).map_err(|error| format!("{path}: {error}"))?;
    Ok(body)
}
