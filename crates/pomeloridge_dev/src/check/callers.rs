//! Concurrent callers with a seeded mix of requests, each with a text of its own.

use std::time::Duration;

use http::Method;
use pomeloridge_base::http::{Fault, OutgoingRequest, Response};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::doors::{Door, Doors, now_ms};
use super::promise::keys::NOBODY;
use super::promise::whole::POISON;
use super::record::{Kind, Sent};
use crate::caller::{Ask, Streamed, authorized, read_stream, send};
use crate::launch::block_on;

/// Time that one request may take; longer than the routes' deadlines.
const CALL_TIME: Duration = Duration::from_secs(15);
/// Time after which an impatient caller goes away, shorter than a service takes.
const SHORT_TIME: Duration = Duration::from_millis(25);
/// Pause between two requests of a caller, in ms.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Tokens asked for.
const TOKENS: std::ops::Range<u32> = 8..48;
/// Times that a cut stream is taken up.
const RESUME_TIMES: u32 = 5;
/// Pause before a cut stream is taken up.
const RESUME_PAUSE: Duration = Duration::from_millis(300);
/// Streams among 100 requests.
const STREAM_SHARE: u32 = 32;
/// Times that the caller of a poisonous prompt sends it.
const POISON_TIMES: u64 = 5;

/// One caller.
pub struct Caller<'a> {
    /// Nodes.
    pub doors: &'a Doors,
    /// Client account and its key.
    pub account: &'a (String, String),
    /// Seed of the run.
    pub seed: u64,
    /// Number of the caller.
    pub number: u64,
    /// Model.
    pub model: &'a str,
    /// Path of the plain service.
    pub service: &'a str,
}

impl Caller<'_> {
    /// Sends requests until the run ends.
    pub fn run(&self) -> Vec<Sent> {
        let mut rng = StdRng::seed_from_u64(self.seed * 1000 + self.number);
        let mut sent = Vec::new();
        for count in 0.. {
            if self.doors.is_load_over() {
                break;
            }
            let marker = format!("s{}-c{}-n{count}", self.seed, self.number);
            match rng.random_range(0..100_u32) {
                share @ 0..70 => {
                    let ask = self.ask(&marker, share < STREAM_SHARE, &mut rng);
                    sent.push(self.complete(&marker, &ask, &mut rng));
                }
                70..81 => sent.push(self.file(&marker, None, CALL_TIME, &mut rng)),
                81..83 => sent.push(self.file(&marker, None, SHORT_TIME, &mut rng)),
                83..97 => self.file_repeatedly(&marker, &mut sent, &mut rng),
                _ => sent.push(self.intrude(&marker, &mut rng)),
            }
            let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
            std::thread::sleep(pause);
        }
        sent
    }

    /// Sends one prompt that crashes engines, again and again.
    pub fn run_poison(&self) -> Vec<Sent> {
        let mut rng = StdRng::seed_from_u64(self.seed * 1000 + self.number);
        let marker = format!("s{}-{POISON}", self.seed);
        let ask = self.ask(&marker, false, &mut rng);
        let times = 0..POISON_TIMES;
        times
            .map(|_| self.complete(&marker, &ask, &mut rng))
            .collect()
    }

    fn door(&self, rng: &mut StdRng) -> Door {
        let ready = self.doors.ready();
        ready[rng.random_range(0..ready.len())].clone()
    }

    fn begin(&self, marker: &str, kind: Kind, door: &Door) -> Sent {
        Sent {
            marker: marker.to_owned(),
            kind,
            account: self.account.0.clone(),
            node: door.name.clone(),
            sent_at: now_ms(),
            connected: true,
            ..Sent::default()
        }
    }

    fn ask(&self, marker: &str, stream: bool, rng: &mut StdRng) -> Ask {
        Ask {
            model: self.model.to_owned(),
            prompt: format!("Explain the residual of point {marker} between the two grids."),
            max_tokens: rng.random_range(TOKENS),
            stream,
            timeout: CALL_TIME,
        }
    }

    fn complete(&self, marker: &str, ask: &Ask, rng: &mut StdRng) -> Sent {
        let door = self.door(rng);
        let kind = if ask.stream {
            Kind::Stream
        } else {
            Kind::Whole
        };
        let mut sent = self.begin(marker, kind, &door);
        sent.prompt.clone_from(&ask.prompt);
        sent.tokens = ask.max_tokens;
        if ask.stream {
            let got = block_on(ask.stream(door.caller, &self.account.1));
            sent.status = got.status;
            sent.request_id.clone_from(&got.id);
            sent.connected = !got.error.starts_with("the connection could not be opened");
            take_stream(&mut sent, got);
            self.resume(&mut sent, ask, rng);
        } else {
            let request = ask.request(&self.account.1);
            take(&mut sent, block_on(send(door.caller, &request, CALL_TIME)));
        }
        sent.ended_at = now_ms();
        sent
    }

    /// Takes a stream that was cut up at other nodes, from the last token that came.
    fn resume(&self, sent: &mut Sent, ask: &Ask, rng: &mut StdRng) {
        while !sent.whole && !sent.texts.is_empty() && sent.resumed < RESUME_TIMES {
            sent.resumed += 1;
            std::thread::sleep(RESUME_PAUSE);
            if sent.texts.len() as u32 >= ask.max_tokens {
                // Only the end is missing, and there is nothing left to ask for.
                sent.whole = true;
                return;
            }
            let door = self.door(rng);
            let body = json!({
                "model": ask.model, "prompt": ask.prompt, "stream": true,
                "max_tokens": ask.max_tokens, "resume": sent.texts,
            });
            let last = format!("{}:{}", sent.request_id, sent.texts.len() - 1);
            let request = OutgoingRequest::new(Method::POST, "/v1/completions").json(&body);
            let request = authorized(request.with_header("last-event-id", &last), &self.account.1);
            let got = block_on(read_stream(door.caller, &request, CALL_TIME));
            if got.status == 200 {
                sent.status = got.status;
            }
            take_stream(sent, got);
        }
    }

    fn file(
        &self,
        marker: &str,
        idempotency: Option<&str>,
        time: Duration,
        rng: &mut StdRng,
    ) -> Sent {
        let door = self.door(rng);
        let body = json!({"case": 17, "marker": marker});
        let request = OutgoingRequest::new(Method::POST, self.service).json(&body);
        let mut request = authorized(request, &self.account.1);
        if let Some(key) = idempotency {
            request = request.with_header("idempotency-key", key);
        }
        let mut sent = self.begin(marker, Kind::Filing, &door);
        sent.idempotency = idempotency.map(str::to_owned);
        sent.prompt = body.to_string();
        take(&mut sent, block_on(send(door.caller, &request, time)));
        sent.left = time < CALL_TIME && sent.status == 0;
        sent.ended_at = now_ms();
        sent
    }

    /// Sends a filing again under its key, to any node, also after an answer;
    /// some repeats are sent before the first answer has come.
    fn file_repeatedly(&self, marker: &str, sent: &mut Vec<Sent>, rng: &mut StdRng) {
        let key = format!("key-{marker}");
        if rng.random_bool(0.3) {
            let seeds: [u64; 2] = [rng.random(), rng.random()];
            let both = std::thread::scope(|scope| {
                let key = &key;
                let calls = seeds.map(|seed| {
                    let mut rng = StdRng::seed_from_u64(seed);
                    scope.spawn(move || self.file(marker, Some(key), CALL_TIME, &mut rng))
                });
                calls.map(|call| call.join().expect("a caller does not panic"))
            });
            sent.extend(both);
        }
        if rng.random_bool(0.2) {
            sent.push(self.file(marker, Some(&key), SHORT_TIME, rng));
        }
        for _ in 0..rng.random_range(1..4) {
            sent.push(self.file(marker, Some(&key), CALL_TIME, rng));
        }
    }

    /// Sends a completion with a key that nobody issued.
    fn intrude(&self, marker: &str, rng: &mut StdRng) -> Sent {
        let door = self.door(rng);
        let ask = self.ask(marker, false, rng);
        let mut sent = self.begin(marker, Kind::Whole, &door);
        NOBODY.clone_into(&mut sent.account);
        sent.prompt.clone_from(&ask.prompt);
        sent.tokens = ask.max_tokens;
        let request = ask.request("sk-nobody-issued-this");
        take(&mut sent, block_on(send(door.caller, &request, CALL_TIME)));
        sent.ended_at = now_ms();
        sent
    }
}

/// Notes what came of a stream, or of a later part of it.
fn take_stream(sent: &mut Sent, got: Streamed) {
    sent.texts.extend(got.texts);
    sent.indexes.extend(got.indexes);
    sent.whole = got.whole;
    refusal(sent, &got.error);
    sent.fault = got.error;
}

/// Notes what came of a call.
fn take(sent: &mut Sent, result: Result<Response, Fault>) {
    match result {
        Ok(response) => {
            sent.status = response.status.as_u16();
            sent.whole = true;
            let id = response.headers.get("x-request-id");
            let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
            id.clone_into(&mut sent.request_id);
            sent.body = String::from_utf8_lossy(&response.body).into_owned();
            if sent.status >= 400 {
                let body = sent.body.clone();
                refusal(sent, &body);
            }
        }
        Err(fault) => {
            sent.connected = !matches!(fault, Fault::Connect(_));
            sent.fault = fault.to_string();
        }
    }
}

/// Reads the code and the run of a refusal.
fn refusal(sent: &mut Sent, text: &str) {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    let field = |name: &str| value["error"][name].as_str().unwrap_or_default().to_owned();
    sent.code = field("code");
    sent.run = field("run");
}
