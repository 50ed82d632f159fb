//! Operators: they race for the configuration, and withdraw keys in use.

use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::{ConnectOptions, Connection, OutgoingRequest, Response};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::doors::{Door, Doors, now_ms};
use super::record::{ConfigCall, KeyLook, Register};
use crate::caller::{authorized, send};
use crate::launch::block_on;

/// Time that an operator waits for an answer.
const CALL_TIME: Duration = Duration::from_secs(10);
/// Time that a look with a withdrawn key may take.
const LOOK_TIME: Duration = Duration::from_secs(1);
/// Pause between two looks with a withdrawn key.
const LOOK_PAUSE: Duration = Duration::from_millis(40);
/// Pause between two changes of an operator, in ms.
const PAUSE_MS: std::ops::Range<u64> = 50..400;
/// Values of one operator; the values of two operators differ.
const VALUES: u64 = 10_000;

/// Sends an operator's call; status and JSON.
fn call(door: &Door, request: OutgoingRequest, token: &str) -> Option<(u16, Value)> {
    let request = authorized(request, token);
    let answer: Response = block_on(send(door.operator, &request, CALL_TIME)).ok()?;
    let body = serde_json::from_slice(&answer.body).unwrap_or_default();
    Some((answer.status.as_u16(), body))
}

/// The number by which a configuration is named: a target that has no effect here.
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
pub fn race(doors: &Doors, seed: u64, by: usize) -> Vec<ConfigCall> {
    let mut rng = StdRng::seed_from_u64(seed * 1000 + 500 + by as u64);
    let mut calls = Vec::new();
    for count in 1.. {
        if doors.is_load_over() {
            break;
        }
        let ready = doors.ready();
        let door = &ready[rng.random_range(0..ready.len())];
        let sent_at = now_ms();
        let read = call(door, OutgoingRequest::get("/config"), doors.token());
        if let Some((200, found)) = read {
            let revision = found["revision"].as_u64().unwrap_or_default();
            let value = value_of(&found["fleet"]);
            let read = Register::Read { revision, value };
            calls.push(ConfigCall {
                by,
                sent_at,
                ended_at: now_ms(),
                call: read,
            });
            let value = (by as u64 + 1) * VALUES + count;
            calls.push(write(doors, by, revision, found["fleet"].clone(), value));
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
    }
    calls
}

fn write(doors: &Doors, by: usize, expect: u64, mut fleet: Value, value: u64) -> ConfigCall {
    set_value(&mut fleet, value);
    let ready = doors.ready();
    let door = &ready[value as usize % ready.len()];
    let target = format!("/config?expect={expect}&reason=race");
    let sent_at = now_ms();
    let request = OutgoingRequest::new(Method::PUT, target).json(&fleet);
    let outcome = match call(door, request, doors.token()) {
        Some((200, answer)) => Register::Won {
            expect,
            revision: answer["revision"].as_u64().unwrap_or_default(),
            value,
        },
        Some((409, _)) => Register::Conflict { expect },
        Some(_) | None => Register::Unknown { expect, value },
    };
    ConfigCall {
        by,
        sent_at,
        ended_at: now_ms(),
        call: outcome,
    }
}

/// A key that was issued.
#[derive(Clone, Debug)]
pub struct Issued {
    /// Client account.
    pub account: String,
    /// Identifier.
    pub id: String,
    /// Key.
    pub key: String,
}

/// Issues a key.
pub fn issue(door: &Door, token: &str, account: &str) -> Result<Issued, String> {
    let request = OutgoingRequest::new(Method::POST, format!("/accounts/{account}/keys"));
    let answer = call(door, request.json(&json!({"reason": "check"})), token);
    let Some((201, issued)) = answer else {
        return Err(format!("no key was issued: {answer:?}"));
    };
    let text = |name: &str| issued[name].as_str().unwrap_or_default().to_owned();
    Ok(Issued {
        account: account.to_owned(),
        id: text("id"),
        key: text("key"),
    })
}

/// Withdraws a key; when the change is known to have been accepted, in Unix ms.
pub fn withdraw(doors: &Doors, issued: &Issued) -> Result<u64, String> {
    let path = format!("/accounts/{}/keys/{}/withdraw", issued.account, issued.id);
    let end = Instant::now() + CALL_TIME;
    // A withdrawal changes nothing the second time, so it is sent until it is confirmed.
    while Instant::now() < end {
        for door in doors.ready() {
            let sent_at = now_ms();
            let request =
                OutgoingRequest::new(Method::POST, path.clone()).json(&json!({"reason": "check"}));
            if let Some((200, _)) = call(&door, request, doors.token()) {
                return Ok(sent_at);
            }
        }
    }
    Err("a withdrawal was not accepted".to_owned())
}

/// Sends requests with a key to the node at a place until the run ends, on one
/// connection for as long as it holds.
pub fn use_key(doors: &Doors, place: usize, issued: &Issued, path: &str) -> Vec<KeyLook> {
    let request = authorized(OutgoingRequest::get(path), &issued.key);
    let mut looks = Vec::new();
    block_on(async {
        let mut open: Option<(Door, Connection)> = None;
        while !doors.is_over() {
            let door = doors.at(place);
            let kept = open.take().filter(|(kept, _)| kept.caller == door.caller);
            let sent_at = now_ms();
            let connection = match kept {
                Some((_, connection)) => Ok(connection),
                None => Connection::open(door.caller, ConnectOptions::default()).await,
            };
            let mut status = 0;
            if let Ok(mut connection) = connection {
                let end = Instant::now() + LOOK_TIME;
                if let Ok(answer) = connection.exchange(&request, end).await {
                    status = answer.status.as_u16();
                }
                let works = status != 0 && connection.reusable();
                open = works.then(|| (door.clone(), connection));
            }
            looks.push(KeyLook {
                key: issued.id.clone(),
                node: format!("{}@{}", door.name, door.caller),
                sent_at,
                status,
            });
            monoio::time::sleep(LOOK_PAUSE).await;
        }
    });
    looks
}
