//! The streams of an engine: one prefill queue and a decode batch.
//!
//! Prompts are prefilled one at a time, by descending priority and then in order of
//! arrival; all decoding streams share the decode rate.

use std::rc::Rc;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::signal::Signal;

new_key_type! {
    /// Identifies a stream in the batch.
    pub(crate) struct StreamKey;
}

/// A generation to admit.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) priority: i64,
    /// Prompt tokens to prefill.
    pub(crate) prefill_tokens: u64,
    /// Tokens of the prompt in the KV cache.
    pub(crate) kv_tokens: u64,
    /// Index of the first token to generate.
    pub(crate) start: usize,
    /// Index after the last token to generate.
    pub(crate) end: usize,
}

/// State of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Waiting for a slot.
    Queued,
    /// Prefilling; the number of prompt tokens left.
    Prefill(f64),
    /// Decoding; the generated fraction of the next token.
    Decode(f64),
    /// All tokens are generated.
    Done,
}

/// A stream's progress, read by its connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    pub(crate) phase: Phase,
    /// Index after the last token generated.
    pub(crate) generated: usize,
}

#[derive(Debug)]
struct Stream {
    job: Job,
    arrival: u64,
    phase: Phase,
    generated: usize,
    signal: Rc<Signal>,
}

impl Stream {
    /// Returns the key by which streams are scheduled; the greatest is first.
    fn rank(&self) -> (i64, std::cmp::Reverse<u64>) {
        (self.job.priority, std::cmp::Reverse(self.arrival))
    }

    fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Prefill(_) | Phase::Decode(_))
    }

    /// Generates up to `count` tokens and returns their number.
    fn generate(&mut self, count: usize) -> usize {
        let count = count.min(self.job.end.saturating_sub(self.generated));
        self.generated += count;
        if self.generated >= self.job.end {
            self.phase = Phase::Done;
        }
        count
    }
}

/// Rates in tokens per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rates {
    /// Prompt tokens.
    pub(crate) prefill: f64,
    /// Output tokens of all streams together.
    pub(crate) decode: f64,
    /// Maximum output tokens of one stream.
    pub(crate) stream: f64,
}

/// Streams and tokens in the batch.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) running: usize,
    pub(crate) queued: usize,
    pub(crate) prefill_tokens: u64,
    pub(crate) kv_used: u64,
}

/// All admitted streams with an open connection.
#[derive(Debug)]
pub(crate) struct Batch {
    streams: SlotMap<StreamKey, Stream>,
    arrivals: u64,
    slots: usize,
    queue: usize,
}

impl Batch {
    /// Creates a batch of at most `slots` running and `queue` queued streams.
    pub(crate) fn new(slots: usize, queue: usize) -> Self {
        Self {
            streams: SlotMap::with_key(),
            arrivals: 0,
            slots,
            queue,
        }
    }

    /// Admits a generation; `None` if the queue is full.
    pub(crate) fn admit(&mut self, job: Job) -> Option<(StreamKey, Rc<Signal>)> {
        let counts = self.counts();
        if counts.running >= self.slots && counts.queued >= self.queue {
            return None;
        }
        self.arrivals += 1;
        let signal = Rc::new(Signal::default());
        let key = self.streams.insert(Stream {
            arrival: self.arrivals,
            phase: Phase::Queued,
            generated: job.start,
            signal: Rc::clone(&signal),
            job,
        });
        self.fill_slots();
        Some((key, signal))
    }

    /// Removes a stream and gives its slot to the next in the queue.
    pub(crate) fn remove(&mut self, key: StreamKey) {
        self.streams.remove(key);
        self.fill_slots();
    }

    /// Returns the progress of a stream; `None` once it is removed.
    pub(crate) fn progress(&self, key: StreamKey) -> Option<Progress> {
        let stream = self.streams.get(key)?;
        Some(Progress {
            phase: stream.phase,
            generated: stream.generated,
        })
    }

    /// Counts the streams and their tokens.
    pub(crate) fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for stream in self.streams.values() {
            match stream.phase {
                Phase::Queued => {
                    counts.queued += 1;
                    counts.prefill_tokens += stream.job.prefill_tokens;
                }
                Phase::Prefill(prefill_tokens) => {
                    counts.running += 1;
                    counts.prefill_tokens += prefill_tokens.ceil() as u64;
                }
                Phase::Decode(_) => counts.running += 1,
                Phase::Done => {}
            }
            if stream.is_running() {
                let generated = stream.generated - stream.job.start;
                counts.kv_used += stream.job.kv_tokens + generated as u64;
            }
        }
        counts
    }

    /// Returns whether no stream has work left.
    pub(crate) fn is_idle(&self) -> bool {
        let mut streams = self.streams.values();
        streams.all(|stream| stream.phase == Phase::Done)
    }

    /// Advances all streams by `time` and returns the number of generated tokens.
    pub(crate) fn advance(&mut self, time: Duration, rates: Rates) -> usize {
        let seconds = time.as_secs_f64();
        let generated = self.decode(seconds, rates) + self.prefill(seconds * rates.prefill);
        self.fill_slots();
        generated
    }

    fn decode(&mut self, seconds: f64, rates: Rates) -> usize {
        let decoding = |stream: &&mut Stream| matches!(stream.phase, Phase::Decode(_));
        let count = self.streams.values_mut().filter(decoding).count();
        let rate = rates.stream.min(rates.decode / count.max(1) as f64);
        let mut generated = 0;
        for stream in self.streams.values_mut().filter(decoding) {
            let Phase::Decode(fraction) = stream.phase else {
                continue;
            };
            let credit = fraction + rate * seconds;
            stream.phase = Phase::Decode(credit.fract());
            let count = stream.generate(credit as usize);
            if count > 0 {
                stream.signal.notify();
            }
            generated += count;
        }
        generated
    }

    /// Prefills prompts; the end of a prompt yields its first output token.
    fn prefill(&mut self, mut budget: f64) -> usize {
        let mut generated = 0;
        while budget > 0.0 {
            let prefilling = |stream: &&mut Stream| matches!(stream.phase, Phase::Prefill(_));
            let streams = self.streams.values_mut().filter(prefilling);
            let Some(stream) = streams.max_by_key(|stream| stream.rank()) else {
                return generated;
            };
            let Phase::Prefill(prefill_tokens) = stream.phase else {
                return generated;
            };
            if prefill_tokens > budget {
                stream.phase = Phase::Prefill(prefill_tokens - budget);
                return generated;
            }
            budget -= prefill_tokens;
            stream.phase = Phase::Decode(0.0);
            generated += stream.generate(1);
            stream.signal.notify();
            self.fill_slots();
        }
        generated
    }

    fn fill_slots(&mut self) {
        let mut running = self
            .streams
            .values()
            .filter(|stream| stream.is_running())
            .count();
        while running < self.slots {
            let queued = |stream: &&mut Stream| stream.phase == Phase::Queued;
            let streams = self.streams.values_mut().filter(queued);
            let Some(stream) = streams.max_by_key(|stream| stream.rank()) else {
                return;
            };
            stream.phase = Phase::Prefill(stream.job.prefill_tokens as f64);
            stream.signal.notify();
            running += 1;
        }
    }
}
