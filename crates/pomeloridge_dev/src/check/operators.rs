//! Operators that change the configuration concurrently and withdraw keys in use.

use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::{ConnectOptions, Connection, OutgoingRequest, Response};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::balancer::{Balancer, Endpoint, now_ms};
use super::record::{ConfigCall, KeyProbe, RegisterOp};
use crate::caller::{authorized, send};
use crate::launch::block_on;

/// Timeout of an operator's call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a probe with a key.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two probes with a key.
const PROBE_PAUSE: Duration = Duration::from_millis(40);
/// Pause between two changes of an operator, in ms.
const PAUSE_MS: std::ops::Range<u64> = 50..400;
/// Size of each operator's range of values; the ranges don't overlap.
const VALUE_RANGE: u64 = 10_000;

/// Sends an operator's call; returns the status and the JSON body.
fn call(endpoint: &Endpoint, request: OutgoingRequest, token: &str) -> Option<(u16, Value)> {
    let request = authorized(request, token);
    let response: Response = block_on(send(endpoint.operator, &request, CALL_TIMEOUT)).ok()?;
    let body = serde_json::from_slice(&response.body).unwrap_or_default();
    Some((response.status.as_u16(), body))
}

/// Returns the number that identifies a configuration: the first model's `first_token_ms`,
/// which has no effect in these runs.
pub fn value_of(fleet: &Value) -> u64 {
    let models = fleet["models"].as_object();
    let model = models.and_then(|models| models.values().next());
    model
        .and_then(|model| model["first_token_ms"].as_u64())
        .unwrap_or_default()
}

fn set_value(fleet: &mut Value, value: u64) {
    let models = fleet["models"].as_object_mut();
    if let Some(model) = models.and_then(|models| models.values_mut().next()) {
        model["first_token_ms"] = json!(value);
    }
}

/// Reads and changes the configuration at random nodes until the load ends.
pub fn change_config(balancer: &Balancer, seed: u64, operator: usize) -> Vec<ConfigCall> {
    let mut rng = StdRng::seed_from_u64(seed * 1000 + 500 + operator as u64);
    let mut calls = Vec::new();
    for count in 1.. {
        if balancer.load_ended() {
            break;
        }
        let ready = balancer.ready();
        let endpoint = &ready[rng.random_range(0..ready.len())];
        let sent_at = now_ms();
        let read = call(endpoint, OutgoingRequest::get("/config"), balancer.token());
        if let Some((200, found)) = read {
            let revision = found["revision"].as_u64().unwrap_or_default();
            let value = value_of(&found["fleet"]);
            let read = RegisterOp::Read { revision, value };
            calls.push(ConfigCall {
                operator,
                sent_at,
                ended_at: now_ms(),
                call: read,
            });
            let value = (operator as u64 + 1) * VALUE_RANGE + count;
            calls.push(write(
                balancer,
                operator,
                revision,
                found["fleet"].clone(),
                value,
            ));
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
    }
    calls
}

fn write(
    balancer: &Balancer,
    operator: usize,
    expect: u64,
    mut fleet: Value,
    value: u64,
) -> ConfigCall {
    set_value(&mut fleet, value);
    let ready = balancer.ready();
    let endpoint = &ready[value as usize % ready.len()];
    let target = format!("/config?expect={expect}&reason=race");
    let sent_at = now_ms();
    let request = OutgoingRequest::new(Method::PUT, target).json(&fleet);
    let outcome = match call(endpoint, request, balancer.token()) {
        Some((200, response)) => RegisterOp::Applied {
            expect,
            revision: response["revision"].as_u64().unwrap_or_default(),
            value,
        },
        Some((409, _)) => RegisterOp::Conflict { expect },
        Some(_) | None => RegisterOp::Unknown { expect, value },
    };
    ConfigCall {
        operator,
        sent_at,
        ended_at: now_ms(),
        call: outcome,
    }
}

/// Issued key of a client account.
#[derive(Clone, Debug)]
pub struct IssuedKey {
    /// Client account.
    pub account: String,
    /// Identifier of the key.
    pub id: String,
    /// Secret.
    pub key: String,
}

/// Issues a key for a client account.
pub fn issue(endpoint: &Endpoint, token: &str, account: &str) -> Result<IssuedKey, String> {
    let request = OutgoingRequest::new(Method::POST, format!("/accounts/{account}/keys"));
    let response = call(endpoint, request.json(&json!({"reason": "check"})), token);
    let Some((201, issued)) = response else {
        return Err(format!("no key was issued: {response:?}"));
    };
    let text = |name: &str| issued[name].as_str().unwrap_or_default().to_owned();
    Ok(IssuedKey {
        account: account.to_owned(),
        id: text("id"),
        key: text("key"),
    })
}

/// Withdraws a key; returns the time of sending of the call that was accepted, in Unix ms.
pub fn withdraw(balancer: &Balancer, issued: &IssuedKey) -> Result<u64, String> {
    let path = format!("/accounts/{}/keys/{}/withdraw", issued.account, issued.id);
    let end = Instant::now() + CALL_TIMEOUT;
    // Withdrawal is idempotent, so it is retried until it is confirmed.
    while Instant::now() < end {
        for endpoint in balancer.ready() {
            let sent_at = now_ms();
            let request =
                OutgoingRequest::new(Method::POST, path.clone()).json(&json!({"reason": "check"}));
            if let Some((200, _)) = call(&endpoint, request, balancer.token()) {
                return Ok(sent_at);
            }
        }
    }
    Err("a withdrawal was not accepted".to_owned())
}

/// Probes the node at an index with a key until the run ends, on one connection as long
/// as it is reusable.
pub fn probe_key(
    balancer: &Balancer,
    index: usize,
    issued: &IssuedKey,
    path: &str,
) -> Vec<KeyProbe> {
    let request = authorized(OutgoingRequest::get(path), &issued.key);
    let mut probes = Vec::new();
    block_on(async {
        let mut open: Option<(Endpoint, Connection)> = None;
        while !balancer.has_ended() {
            let endpoint = balancer.endpoint(index);
            let reused = open
                .take()
                .filter(|(target, _)| target.caller == endpoint.caller);
            let sent_at = now_ms();
            let connection = match reused {
                Some((_, connection)) => Ok(connection),
                None => Connection::open(endpoint.caller, ConnectOptions::default()).await,
            };
            let mut status = 0;
            if let Ok(mut connection) = connection {
                let end = Instant::now() + PROBE_TIMEOUT;
                if let Ok(response) = connection.exchange(&request, end).await {
                    status = response.status.as_u16();
                }
                let reusable = status != 0 && connection.reusable();
                open = reusable.then(|| (endpoint.clone(), connection));
            }
            probes.push(KeyProbe {
                key: issued.id.clone(),
                node: format!("{}@{}", endpoint.name, endpoint.caller),
                sent_at,
                status,
            });
            monoio::time::sleep(PROBE_PAUSE).await;
        }
    });
    probes
}
