//! Predicts how long engines take to prefill, decode and transfer tokens.

use std::time::{Duration, Instant};

use super::target::{Stage, Target};

/// The configured properties of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Capacity of an engine's KV cache in tokens.
    pub kv_capacity: u64,
    /// KV cache bytes per token.
    pub kv_token_bytes: u64,
    /// Bandwidth of the links between engines, in bits per second.
    pub link_bps: f64,
    /// Time that an engine holds the KV cache of a prompt for transfer to another engine.
    pub kv_hold_time: Duration,
    /// Time that changing an engine's stage takes.
    pub stage_change_time: Duration,
    /// Output tokens per stream event.
    pub tokens_per_event: u64,
    /// Maximum number of concurrent requests on an engine.
    pub slots: u32,
    /// Whether an engine can move the KV cache of a running request to another one.
    pub moves: bool,
}

/// Speeds of a service's engines, on which predictions are based.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    /// Prompt tokens that a prefill engine computes per second, without its step overhead.
    pub prefill_rate: f64,
    /// Expected output tokens of a request, from which its time in the batch is predicted.
    pub output_tokens: u32,
    /// Output tokens in a piece of a streamed answer.
    pub piece_tokens: u32,
    /// Time of one step, without the time that each request adds.
    pub base_step_time: Duration,
    /// Time that each request in the batch adds to a step.
    pub step_time_per_request: Duration,
    /// Time from the end of the prefill to the first piece of the answer.
    pub first_token_delay: Duration,
    /// Prompt tokens that a prefill engine processes in one step.
    pub chunk_tokens: u64,
    /// Fixed time of a KV cache transfer.
    pub transfer_setup: Duration,
    /// Time that a KV cache transfer takes for each token.
    pub transfer_per_token: Duration,
    /// Factor on the prefill time, from measurements.
    pub prefill_scale: f64,
    /// Factor on the decode time, from measurements.
    pub decode_scale: f64,
    /// Standard deviation of the logarithm of decode times from their predictions.
    pub decode_spread: f64,
}

/// Largest batch, in requests, that keeps decode steps short.
const SHORT_STEP_BATCH: u32 = 40;
/// Share of a decode engine's steps that decode tokens; prefill takes the others.
const DECODE_STEP_SHARE: f64 = 0.85;
/// Prefill speed of a decode engine relative to a prefill engine.
const DECODE_ENGINE_PREFILL_SPEED: f64 = 0.5;
/// Factor by which the prefill chunks of a decode engine are smaller.
const DECODE_ENGINE_CHUNK_DIVISOR: u64 = 4;

/// Number of running requests at which the delay that a prefill between their decode steps
/// causes them counts as much as the delay of the prefilled request itself.
const INTERFERENCE_BATCH: u32 = 32;

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            prefill_rate: 100_000.0,
            output_tokens: 300,
            piece_tokens: 14,
            base_step_time: Duration::from_micros(3200),
            step_time_per_request: Duration::from_micros(50),
            first_token_delay: Duration::from_millis(47),
            chunk_tokens: 2048,
            transfer_setup: Duration::from_millis(3),
            transfer_per_token: Duration::from_nanos(520),
            prefill_scale: 1.0,
            decode_scale: 1.0,
            decode_spread: 0.3,
        }
    }
}

impl EngineModel {
    /// Returns the predicted time to first token, with `prefill_tokens` prompt tokens to
    /// prefill on the engine, including those of the request itself.
    pub fn ttft(&self, target: &Target, prefill_tokens: u64, now: Instant) -> Duration {
        self.prefill_time(target.info.stage, target.running(now), prefill_tokens)
            + self.queueing_delay(target, now)
            + self.first_token_delay
    }

    /// Returns the predicted wait for a slot in an engine's batch.
    pub fn queueing_delay(&self, target: &Target, now: Instant) -> Duration {
        if target.info.stage == Stage::Prefill {
            return Duration::ZERO;
        }
        let excess = (target.running(now) + 1).saturating_sub(target.info.slots);
        let slots = target.info.slots.max(1);
        self.step_time(slots) * self.output_tokens / slots * excess
    }

    /// Returns the time of one decode step of a batch of `running` requests.
    fn step_time(&self, running: u32) -> Duration {
        (self.base_step_time + self.step_time_per_request * running).mul_f64(self.decode_scale)
    }

    /// Returns the time in which a batch of `running` requests decodes `tokens` tokens of
    /// each request.
    pub(super) fn decode_time(&self, running: u32, tokens: u32) -> Duration {
        self.step_time(running) * tokens
    }

    /// Returns the time that a batch of `running` requests adds to the gap between two pieces
    /// of an answer.
    pub fn piece_gap_increase(&self, running: u32) -> Duration {
        (self.step_time_per_request * running * self.piece_tokens).mul_f64(self.decode_scale)
    }

    /// Returns the output tokens per second of a decode engine with `slots` slots, at a batch
    /// size that keeps the gaps between pieces short.
    pub fn decode_throughput(&self, slots: u32) -> f64 {
        let batch = slots.min(SHORT_STEP_BATCH);
        f64::from(batch) / self.step_time(batch).as_secs_f64() * DECODE_STEP_SHARE
    }

    /// Returns the prompt tokens per second of a prefill engine, including step overhead.
    pub fn prefill_throughput(&self) -> f64 {
        let time = self.prefill_time(Stage::Prefill, 0, self.chunk_tokens);
        self.chunk_tokens as f64 / time.as_secs_f64()
    }

    /// Returns the time to prefill prompt tokens on an engine with a batch of `running`
    /// requests.
    pub fn prefill_time(&self, stage: Stage, running: u32, prefill_tokens: u64) -> Duration {
        let (rate, chunk) = match stage {
            Stage::Prefill => (self.prefill_rate, self.chunk_tokens),
            Stage::Decode | Stage::Unified => (
                self.prefill_rate * DECODE_ENGINE_PREFILL_SPEED,
                self.chunk_tokens / DECODE_ENGINE_CHUNK_DIVISOR,
            ),
        };
        let steps = prefill_tokens.div_ceil(chunk.max(1));
        let step_time = match stage {
            Stage::Prefill => self.base_step_time,
            Stage::Decode | Stage::Unified => {
                self.base_step_time + self.step_time_per_request * running
            }
        };
        let compute = Duration::from_secs_f64(prefill_tokens as f64 / rate);
        let interference = match stage {
            Stage::Prefill => Duration::ZERO,
            Stage::Decode | Stage::Unified => compute * running / INTERFERENCE_BATCH,
        };
        (compute + step_time * steps as u32 + interference).mul_f64(self.prefill_scale)
    }

    /// Returns the time that the prefill of prompt tokens takes from the decode steps of the engine
    /// that decodes a batch meanwhile.
    pub(super) fn interleaved_prefill_time(&self, prefill_tokens: u64) -> Duration {
        let rate = self.prefill_rate * DECODE_ENGINE_PREFILL_SPEED;
        Duration::from_secs_f64(prefill_tokens as f64 / rate * self.prefill_scale)
    }

    /// Returns the most prompt tokens that a decode engine prefills between two events of an
    /// answer: a chunk with each token.
    pub(super) fn event_chunk_tokens(&self, event_tokens: u32) -> u64 {
        self.chunk_tokens / DECODE_ENGINE_CHUNK_DIVISOR * u64::from(event_tokens)
    }

    /// Returns the model of an engine on which all work takes `factor` times as long.
    pub(super) fn slowed_by(&self, factor: f64) -> Self {
        Self {
            prefill_scale: self.prefill_scale * factor,
            decode_scale: self.decode_scale * factor,
            first_token_delay: self.first_token_delay.mul_f64(factor),
            ..*self
        }
    }

    /// Returns the time to transfer the KV cache of a prompt to another engine in the same
    /// data centre.
    pub fn transfer_time(&self, tokens: u64) -> Duration {
        self.transfer_setup + self.transfer_per_token * tokens as u32
    }
}
