//! Concurrent callers with a seeded mix of requests, each with a text of its own.

use std::time::Duration;

use http::Method;
use pomeloridge_base::http::{Fault, OutgoingRequest, Response};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::balancer::{Balancer, Endpoint, now_ms};
use super::checkers::interruptions::POISON;
use super::checkers::keys::UNKNOWN_ACCOUNT;
use super::record::{Exchange, Kind};
use crate::caller::{Completion, StreamOutcome, authorized, read_stream, send};
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
    pub balancer: &'a Balancer,
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
    pub fn run(&self) -> Vec<Exchange> {
        let mut rng = StdRng::seed_from_u64(self.seed * 1000 + self.number);
        let mut exchanges = Vec::new();
        for count in 0.. {
            if self.balancer.load_ended() {
                break;
            }
            let marker = format!("s{}-c{}-n{count}", self.seed, self.number);
            match rng.random_range(0..100_u32) {
                share @ 0..70 => {
                    let ask = self.ask(&marker, share < STREAM_SHARE, &mut rng);
                    exchanges.push(self.complete(&marker, &ask, &mut rng));
                }
                70..81 => exchanges.push(self.file(&marker, None, CALL_TIME, &mut rng)),
                81..83 => exchanges.push(self.file(&marker, None, SHORT_TIME, &mut rng)),
                83..97 => self.file_repeatedly(&marker, &mut exchanges, &mut rng),
                _ => exchanges.push(self.intrude(&marker, &mut rng)),
            }
            let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
            std::thread::sleep(pause);
        }
        exchanges
    }

    /// Sends one prompt that crashes engines, again and again.
    pub fn run_poison(&self) -> Vec<Exchange> {
        let mut rng = StdRng::seed_from_u64(self.seed * 1000 + self.number);
        let marker = format!("s{}-{POISON}", self.seed);
        let ask = self.ask(&marker, false, &mut rng);
        let times = 0..POISON_TIMES;
        times
            .map(|_| self.complete(&marker, &ask, &mut rng))
            .collect()
    }

    fn pick_endpoint(&self, rng: &mut StdRng) -> Endpoint {
        let ready = self.balancer.ready();
        ready[rng.random_range(0..ready.len())].clone()
    }

    fn begin(&self, marker: &str, kind: Kind, endpoint: &Endpoint) -> Exchange {
        Exchange {
            marker: marker.to_owned(),
            kind,
            account: self.account.0.clone(),
            node: endpoint.name.clone(),
            sent_at: now_ms(),
            connected: true,
            ..Exchange::default()
        }
    }

    fn ask(&self, marker: &str, stream: bool, rng: &mut StdRng) -> Completion {
        Completion {
            model: self.model.to_owned(),
            prompt: format!("Explain the residual of point {marker} between the two grids."),
            max_tokens: rng.random_range(TOKENS),
            stream,
            timeout: CALL_TIME,
        }
    }

    fn complete(&self, marker: &str, ask: &Completion, rng: &mut StdRng) -> Exchange {
        let endpoint = self.pick_endpoint(rng);
        let kind = if ask.stream {
            Kind::Stream
        } else {
            Kind::Unary
        };
        let mut exchange = self.begin(marker, kind, &endpoint);
        exchange.prompt.clone_from(&ask.prompt);
        exchange.max_tokens = ask.max_tokens;
        if ask.stream {
            let got = block_on(ask.stream(endpoint.caller, &self.account.1));
            exchange.status = got.status;
            exchange.request_id.clone_from(&got.id);
            exchange.connected = !got.error.starts_with("the connection could not be opened");
            take_stream(&mut exchange, got);
            self.resume(&mut exchange, ask, rng);
        } else {
            let request = ask.request(&self.account.1);
            take(
                &mut exchange,
                block_on(send(endpoint.caller, &request, CALL_TIME)),
            );
        }
        exchange.ended_at = now_ms();
        exchange
    }

    /// Takes a stream that was cut up at other nodes, from the last token that came.
    fn resume(&self, exchange: &mut Exchange, ask: &Completion, rng: &mut StdRng) {
        while !exchange.complete && !exchange.texts.is_empty() && exchange.resumes < RESUME_TIMES {
            exchange.resumes += 1;
            std::thread::sleep(RESUME_PAUSE);
            if exchange.texts.len() as u32 >= ask.max_tokens {
                // Only the end is missing, and there is nothing left to ask for.
                exchange.complete = true;
                return;
            }
            let endpoint = self.pick_endpoint(rng);
            let body = json!({
                "model": ask.model, "prompt": ask.prompt, "stream": true,
                "max_tokens": ask.max_tokens, "resume": exchange.texts,
            });
            let last = format!("{}:{}", exchange.request_id, exchange.texts.len() - 1);
            let request = OutgoingRequest::new(Method::POST, "/v1/completions").json(&body);
            let request = authorized(request.with_header("last-event-id", &last), &self.account.1);
            let got = block_on(read_stream(endpoint.caller, &request, CALL_TIME));
            if got.status == 200 {
                exchange.status = got.status;
            }
            take_stream(exchange, got);
        }
    }

    fn file(
        &self,
        marker: &str,
        idempotency: Option<&str>,
        time: Duration,
        rng: &mut StdRng,
    ) -> Exchange {
        let endpoint = self.pick_endpoint(rng);
        let body = json!({"case": 17, "marker": marker});
        let request = OutgoingRequest::new(Method::POST, self.service).json(&body);
        let mut request = authorized(request, &self.account.1);
        if let Some(key) = idempotency {
            request = request.with_header("idempotency-key", key);
        }
        let mut exchange = self.begin(marker, Kind::Filing, &endpoint);
        exchange.idempotency_key = idempotency.map(str::to_owned);
        exchange.prompt = body.to_string();
        take(
            &mut exchange,
            block_on(send(endpoint.caller, &request, time)),
        );
        exchange.abandoned = time < CALL_TIME && exchange.status == 0;
        exchange.ended_at = now_ms();
        exchange
    }

    /// Sends a filing again under its key, to any node, also after an answer;
    /// some repeats are sent before the first answer has come.
    fn file_repeatedly(&self, marker: &str, exchanges: &mut Vec<Exchange>, rng: &mut StdRng) {
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
            exchanges.extend(both);
        }
        if rng.random_bool(0.2) {
            exchanges.push(self.file(marker, Some(&key), SHORT_TIME, rng));
        }
        for _ in 0..rng.random_range(1..4) {
            exchanges.push(self.file(marker, Some(&key), CALL_TIME, rng));
        }
    }

    /// Sends a completion with a key that nobody issued.
    fn intrude(&self, marker: &str, rng: &mut StdRng) -> Exchange {
        let endpoint = self.pick_endpoint(rng);
        let ask = self.ask(marker, false, rng);
        let mut exchange = self.begin(marker, Kind::Unary, &endpoint);
        UNKNOWN_ACCOUNT.clone_into(&mut exchange.account);
        exchange.prompt.clone_from(&ask.prompt);
        exchange.max_tokens = ask.max_tokens;
        let request = ask.request("sk-nobody-issued-this");
        take(
            &mut exchange,
            block_on(send(endpoint.caller, &request, CALL_TIME)),
        );
        exchange.ended_at = now_ms();
        exchange
    }
}

/// Notes what came of a stream, or of a later part of it.
fn take_stream(exchange: &mut Exchange, got: StreamOutcome) {
    exchange.texts.extend(got.texts);
    exchange.indexes.extend(got.indexes);
    exchange.complete = got.complete;
    refusal(exchange, &got.error);
    exchange.error = got.error;
}

/// Notes what came of a call.
fn take(exchange: &mut Exchange, result: Result<Response, Fault>) {
    match result {
        Ok(response) => {
            exchange.status = response.status.as_u16();
            exchange.complete = true;
            let id = response.headers.get("x-request-id");
            let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
            id.clone_into(&mut exchange.request_id);
            exchange.body = String::from_utf8_lossy(&response.body).into_owned();
            if exchange.status >= 400 {
                let body = exchange.body.clone();
                refusal(exchange, &body);
            }
        }
        Err(fault) => {
            exchange.connected = !matches!(fault, Fault::Connect(_));
            exchange.error = fault.to_string();
        }
    }
}

/// Reads the code and the run of a refusal.
fn refusal(exchange: &mut Exchange, text: &str) {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    let field = |name: &str| value["error"][name].as_str().unwrap_or_default().to_owned();
    exchange.code = field("code");
    exchange.run = field("run");
}
