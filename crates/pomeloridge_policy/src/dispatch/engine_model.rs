//! How long an engine takes to the first piece of an answer.

use std::time::{Duration, Instant};

use super::target::{Stage, Target};

/// What the configuration says of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Tokens that an engine's memory holds.
    pub kv_capacity: u64,
    /// Bytes of memory a token.
    pub kv_token_bytes: u64,
    /// Speed of the links between engines, in bits a second.
    pub link_bps: f64,
    /// Time that an engine keeps a prompt that was read for another one.
    pub kv_hold_time: Duration,
    /// Time that a change of stage takes.
    pub stage_change_time: Duration,
    /// Tokens in an event of a stream.
    pub tokens_per_event: u64,
    /// Requests that an engine runs at once.
    pub slots: u32,
}

/// Speeds that predictions start from.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    /// Prompt tokens that a prefill engine reads in a second.
    pub read_rate: f64,
    /// Output tokens of a request, by which its time in the batch is predicted.
    pub output: u32,
    /// Output tokens in a piece of the answer.
    pub piece_tokens: u32,
    /// Time of one step of an empty batch.
    pub step: Duration,
    /// Time that each request in the batch adds to a step.
    pub step_slot: Duration,
    /// Time from a prompt's end to the first piece.
    pub first_token: Duration,
    /// Prompt tokens read in one step of a prefill engine.
    pub chunk: u64,
    /// Time to set up a move of memory.
    pub transfer_setup: Duration,
    /// Time that a move takes for each token.
    pub transfer_token: Duration,
    /// Factor on the time to read prompts, as it was seen.
    pub reading_scale: f64,
    /// Factor on the time to make tokens, as it was seen.
    pub making_scale: f64,
}

/// Batch up to which a step stays short.
const EASY_BATCH: u32 = 40;
/// Part of its steps that a decode engine has for tokens; prompts take the others.
const MAKE_USE: f64 = 0.85;
/// A decode engine reads prompts at this part of a prefill engine's speed.
const DECODE_READ_SPEED: f64 = 0.5;
/// A decode engine's chunks are this many times smaller.
const DECODE_CHUNKS: u64 = 4;

/// Batch whose delay by a prompt that is read between its tokens counts as much as
/// the delay of the request itself.
const INTERFERENCE_BATCH: u32 = 32;

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            read_rate: 100_000.0,
            output: 300,
            piece_tokens: 14,
            step: Duration::from_micros(3200),
            step_slot: Duration::from_micros(50),
            first_token: Duration::from_millis(47),
            chunk: 2048,
            transfer_setup: Duration::from_millis(3),
            transfer_token: Duration::from_nanos(520),
            reading_scale: 1.0,
            making_scale: 1.0,
        }
    }
}

impl EngineModel {
    /// Time to the first piece behind `unread` prompt tokens, the request's own among them.
    pub fn ttft(&self, target: &Target, unread: u64, now: Instant) -> Duration {
        self.prefill_time(target.info.stage, target.running(now), unread)
            + self.queueing_delay(target, now)
            + self.first_token
    }

    /// Time to wait for a place in an engine's batch.
    pub fn queueing_delay(&self, target: &Target, now: Instant) -> Duration {
        if target.info.stage == Stage::Prefill {
            return Duration::ZERO;
        }
        let ahead = (target.running(now) + 1).saturating_sub(target.info.slots);
        let slots = target.info.slots.max(1);
        self.step_time(slots) * self.output / slots * ahead
    }

    /// Time of one step of a batch of `running` requests.
    fn step_time(&self, running: u32) -> Duration {
        (self.step + self.step_slot * running).mul_f64(self.making_scale)
    }

    /// Time in which a batch of `running` requests makes so many tokens of each.
    pub(super) fn decode_time(&self, running: u32, tokens: u32) -> Duration {
        self.step_time(running) * tokens
    }

    /// Time that a batch of `running` requests adds to the pause between two pieces.
    pub fn piece_gap_increase(&self, running: u32) -> Duration {
        (self.step_slot * running * self.piece_tokens).mul_f64(self.making_scale)
    }

    /// Output tokens that a decode engine of so many slots makes in a second, at a
    /// batch that keeps pauses short.
    pub fn decode_throughput(&self, slots: u32) -> f64 {
        let batch = slots.min(EASY_BATCH);
        f64::from(batch) / self.step_time(batch).as_secs_f64() * MAKE_USE
    }

    /// Prompt tokens that a prefill engine reads in a second, its steps counted.
    pub fn prefill_throughput(&self) -> f64 {
        let time = self.prefill_time(Stage::Prefill, 0, self.chunk);
        self.chunk as f64 / time.as_secs_f64()
    }

    /// Time to read prompt tokens on an engine with a batch of `running` requests.
    pub fn prefill_time(&self, stage: Stage, running: u32, unread: u64) -> Duration {
        let (rate, chunk) = match stage {
            Stage::Prefill => (self.read_rate, self.chunk),
            Stage::Decode | Stage::Unified => (
                self.read_rate * DECODE_READ_SPEED,
                self.chunk / DECODE_CHUNKS,
            ),
        };
        let steps = unread.div_ceil(chunk.max(1));
        let step = match stage {
            Stage::Prefill => self.step,
            Stage::Decode | Stage::Unified => self.step + self.step_slot * running,
        };
        let reading = Duration::from_secs_f64(unread as f64 / rate);
        let others = match stage {
            Stage::Prefill => Duration::ZERO,
            Stage::Decode | Stage::Unified => reading * running / INTERFERENCE_BATCH,
        };
        (reading + step * steps as u32 + others).mul_f64(self.reading_scale)
    }

    /// Time to move the memory of a prompt to another engine.
    pub fn transfer_time(&self, tokens: u64) -> Duration {
        self.transfer_setup + self.transfer_token * tokens as u32
    }
}
