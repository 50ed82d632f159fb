//! Concurrent callers with a seeded mix of requests, each with a unique text.

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

/// Timeout of a request; longer than the routes' deadlines.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of a request to be abandoned; shorter than a service takes.
const SHORT_TIMEOUT: Duration = Duration::from_millis(25);
/// Pause between two requests of a caller, in ms.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Number of tokens requested.
const MAX_TOKENS: std::ops::Range<u32> = 8..48;
/// Maximum number of resumes of one stream.
const MAX_RESUMES: u32 = 5;
/// Pause before an interrupted stream is resumed.
const RESUME_PAUSE: Duration = Duration::from_millis(300);
/// Streamed completions, in percent of all requests.
const STREAM_PERCENT: u32 = 32;
/// Number of times that the poison prompt is sent.
const POISON_REQUESTS: u64 = 5;

/// Caller with its own random generator.
pub struct Caller<'a> {
    /// Balancer in front of the nodes.
    pub balancer: &'a Balancer,
    /// Client account and its key.
    pub account: &'a (String, String),
    /// Seed of the run.
    pub seed: u64,
    /// Number of the caller, mixed into its seed.
    pub number: u64,
    /// Requested model.
    pub model: &'a str,
    /// Path of the plain service.
    pub service: &'a str,
}

impl Caller<'_> {
    /// Sends requests until the load ends.
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
                    let completion = self.completion(&marker, share < STREAM_PERCENT, &mut rng);
                    exchanges.push(self.complete(&marker, &completion, &mut rng));
                }
                70..81 => exchanges.push(self.file(&marker, None, CALL_TIMEOUT, &mut rng)),
                81..83 => exchanges.push(self.file(&marker, None, SHORT_TIMEOUT, &mut rng)),
                83..97 => self.file_repeatedly(&marker, &mut exchanges, &mut rng),
                _ => exchanges.push(self.complete_unauthorized(&marker, &mut rng)),
            }
            let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
            std::thread::sleep(pause);
        }
        exchanges
    }

    /// Sends a prompt that crashes engines repeatedly.
    pub fn run_poison(&self) -> Vec<Exchange> {
        let mut rng = StdRng::seed_from_u64(self.seed * 1000 + self.number);
        let marker = format!("s{}-{POISON}", self.seed);
        let completion = self.completion(&marker, false, &mut rng);
        let requests = 0..POISON_REQUESTS;
        requests
            .map(|_| self.complete(&marker, &completion, &mut rng))
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

    fn completion(&self, marker: &str, stream: bool, rng: &mut StdRng) -> Completion {
        Completion {
            model: self.model.to_owned(),
            prompt: format!("Explain the residual of point {marker} between the two grids."),
            max_tokens: rng.random_range(MAX_TOKENS),
            stream,
            timeout: CALL_TIMEOUT,
        }
    }

    fn complete(&self, marker: &str, completion: &Completion, rng: &mut StdRng) -> Exchange {
        let endpoint = self.pick_endpoint(rng);
        let kind = if completion.stream {
            Kind::Stream
        } else {
            Kind::Unary
        };
        let mut exchange = self.begin(marker, kind, &endpoint);
        exchange.prompt.clone_from(&completion.prompt);
        exchange.max_tokens = completion.max_tokens;
        if completion.stream {
            let outcome = block_on(completion.stream(endpoint.caller, &self.account.1));
            exchange.status = outcome.status;
            exchange.request_id.clone_from(&outcome.id);
            exchange.connected = !outcome
                .error
                .starts_with("the connection could not be opened");
            record_stream(&mut exchange, outcome);
            self.resume(&mut exchange, completion, rng);
        } else {
            let request = completion.request(&self.account.1);
            record_result(
                &mut exchange,
                block_on(send(endpoint.caller, &request, CALL_TIMEOUT)),
            );
        }
        exchange.ended_at = now_ms();
        exchange
    }

    /// Resumes an interrupted stream at other nodes, after the last received token.
    fn resume(&self, exchange: &mut Exchange, completion: &Completion, rng: &mut StdRng) {
        while !exchange.complete && !exchange.texts.is_empty() && exchange.resumes < MAX_RESUMES {
            exchange.resumes += 1;
            std::thread::sleep(RESUME_PAUSE);
            if exchange.texts.len() as u32 >= completion.max_tokens {
                // Only the end event is missing; no token is left to request.
                exchange.complete = true;
                return;
            }
            let endpoint = self.pick_endpoint(rng);
            let body = json!({
                "model": completion.model, "prompt": completion.prompt, "stream": true,
                "max_tokens": completion.max_tokens, "resume": exchange.texts,
            });
            let last = format!("{}:{}", exchange.request_id, exchange.texts.len() - 1);
            let request = OutgoingRequest::new(Method::POST, "/v1/completions").json(&body);
            let request = authorized(request.with_header("last-event-id", &last), &self.account.1);
            let outcome = block_on(read_stream(endpoint.caller, &request, CALL_TIMEOUT));
            if outcome.status == 200 {
                exchange.status = outcome.status;
            }
            record_stream(exchange, outcome);
        }
    }

    fn file(
        &self,
        marker: &str,
        idempotency: Option<&str>,
        timeout: Duration,
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
        record_result(
            &mut exchange,
            block_on(send(endpoint.caller, &request, timeout)),
        );
        exchange.abandoned = timeout < CALL_TIMEOUT && exchange.status == 0;
        exchange.ended_at = now_ms();
        exchange
    }

    /// Sends a filing repeatedly under one idempotency key, to any node, also after a
    /// response; some repeats are concurrent.
    fn file_repeatedly(&self, marker: &str, exchanges: &mut Vec<Exchange>, rng: &mut StdRng) {
        let key = format!("key-{marker}");
        if rng.random_bool(0.3) {
            let seeds: [u64; 2] = [rng.random(), rng.random()];
            let both = std::thread::scope(|scope| {
                let key = &key;
                let calls = seeds.map(|seed| {
                    let mut rng = StdRng::seed_from_u64(seed);
                    scope.spawn(move || self.file(marker, Some(key), CALL_TIMEOUT, &mut rng))
                });
                calls.map(|call| call.join().expect("a caller does not panic"))
            });
            exchanges.extend(both);
        }
        if rng.random_bool(0.2) {
            exchanges.push(self.file(marker, Some(&key), SHORT_TIMEOUT, rng));
        }
        for _ in 0..rng.random_range(1..4) {
            exchanges.push(self.file(marker, Some(&key), CALL_TIMEOUT, rng));
        }
    }

    /// Sends a completion with a key that was never issued.
    fn complete_unauthorized(&self, marker: &str, rng: &mut StdRng) -> Exchange {
        let endpoint = self.pick_endpoint(rng);
        let completion = self.completion(marker, false, rng);
        let mut exchange = self.begin(marker, Kind::Unary, &endpoint);
        UNKNOWN_ACCOUNT.clone_into(&mut exchange.account);
        exchange.prompt.clone_from(&completion.prompt);
        exchange.max_tokens = completion.max_tokens;
        let request = completion.request("sk-nobody-issued-this");
        record_result(
            &mut exchange,
            block_on(send(endpoint.caller, &request, CALL_TIMEOUT)),
        );
        exchange.ended_at = now_ms();
        exchange
    }
}

/// Records a stream, or the continuation of one.
fn record_stream(exchange: &mut Exchange, outcome: StreamOutcome) {
    exchange.texts.extend(outcome.texts);
    exchange.indexes.extend(outcome.indexes);
    exchange.complete = outcome.complete;
    record_refusal(exchange, &outcome.error);
    exchange.error = outcome.error;
}

/// Records the result of a call.
fn record_result(exchange: &mut Exchange, result: Result<Response, Fault>) {
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
                record_refusal(exchange, &body);
            }
        }
        Err(fault) => {
            exchange.connected = !matches!(fault, Fault::Connect(_));
            exchange.error = fault.to_string();
        }
    }
}

/// Records the `code` and `run` fields of a refusal.
fn record_refusal(exchange: &mut Exchange, text: &str) {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    let field = |name: &str| value["error"][name].as_str().unwrap_or_default().to_owned();
    exchange.code = field("code");
    exchange.run = field("run");
}
