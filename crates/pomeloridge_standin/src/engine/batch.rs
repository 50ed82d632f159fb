//! The streams of an engine: one prefill queue and a decode batch.
//!
//! Prompts are read one after the other, higher priority first and then in the
//! order of arrival; all streams that make tokens share the decode rate.

use std::rc::Rc;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::signal::Signal;

new_key_type! {
    /// A stream in the batch.
    pub(crate) struct StreamKey;
}

/// A generation to be admitted.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) priority: i64,
    /// Prompt tokens still to be read.
    pub(crate) unread: u64,
    /// Tokens that the key-value cache holds for the prompt.
    pub(crate) held: u64,
    /// Index of the first token to make.
    pub(crate) first: usize,
    /// Index after the last token to make.
    pub(crate) end: usize,
}

/// How far a stream has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// It waits for a slot.
    Queued,
    /// So many prompt tokens are unread.
    Prefill(f64),
    /// Part of the next token that is made.
    Decode(f64),
    /// Every token is made.
    Done,
}

/// A stream's progress as its connection sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    pub(crate) phase: Phase,
    /// Index after the last token made.
    pub(crate) made: usize,
}

#[derive(Debug)]
struct Stream {
    job: Job,
    arrival: u64,
    phase: Phase,
    made: usize,
    signal: Rc<Signal>,
}

impl Stream {
    fn rank(&self) -> (i64, std::cmp::Reverse<u64>) {
        (self.job.priority, std::cmp::Reverse(self.arrival))
    }

    fn runs(&self) -> bool {
        matches!(self.phase, Phase::Prefill(_) | Phase::Decode(_))
    }

    /// Makes up to `count` tokens; returns how many.
    fn make(&mut self, count: usize) -> usize {
        let count = count.min(self.job.end.saturating_sub(self.made));
        self.made += count;
        if self.made >= self.job.end {
            self.phase = Phase::Done;
        }
        count
    }
}

/// Tokens a second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rates {
    /// Prompt tokens.
    pub(crate) prefill: f64,
    /// Output tokens of all streams together.
    pub(crate) decode: f64,
    /// Output tokens of one stream at most.
    pub(crate) stream: f64,
}

/// What is in the batch.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) running: usize,
    pub(crate) queued: usize,
    pub(crate) prefill_tokens: u64,
    pub(crate) kv_used: u64,
}

/// All streams that were admitted and whose connections still stand.
#[derive(Debug)]
pub(crate) struct Batch {
    streams: SlotMap<StreamKey, Stream>,
    arrivals: u64,
    slots: usize,
    queue: usize,
}

impl Batch {
    /// A batch with `slots` streams at once and `queue` more that wait.
    pub(crate) fn new(slots: usize, queue: usize) -> Self {
        Self {
            streams: SlotMap::with_key(),
            arrivals: 0,
            slots,
            queue,
        }
    }

    /// Takes a generation in; `None` if too many wait.
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
            made: job.first,
            signal: Rc::clone(&signal),
            job,
        });
        self.fill_slots();
        Some((key, signal))
    }

    /// Removes a stream; its slot goes to the next in the queue.
    pub(crate) fn remove(&mut self, key: StreamKey) {
        self.streams.remove(key);
        self.fill_slots();
    }

    /// How far a stream has come.
    pub(crate) fn progress(&self, key: StreamKey) -> Option<Progress> {
        let stream = self.streams.get(key)?;
        Some(Progress {
            phase: stream.phase,
            made: stream.made,
        })
    }

    /// What is in the batch.
    pub(crate) fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for stream in self.streams.values() {
            match stream.phase {
                Phase::Queued => {
                    counts.queued += 1;
                    counts.prefill_tokens += stream.job.unread;
                }
                Phase::Prefill(unread) => {
                    counts.running += 1;
                    counts.prefill_tokens += unread.ceil() as u64;
                }
                Phase::Decode(_) => counts.running += 1,
                Phase::Done => {}
            }
            if stream.runs() {
                let made = stream.made - stream.job.first;
                counts.kv_used += stream.job.held + made as u64;
            }
        }
        counts
    }

    /// Whether no stream has work left.
    pub(crate) fn is_idle(&self) -> bool {
        let mut streams = self.streams.values();
        streams.all(|stream| stream.phase == Phase::Done)
    }

    /// Works for `time`; returns how many tokens were made.
    pub(crate) fn advance(&mut self, time: Duration, rates: Rates) -> usize {
        let seconds = time.as_secs_f64();
        let made = self.decode(seconds, rates) + self.prefill(seconds * rates.prefill);
        self.fill_slots();
        made
    }

    fn decode(&mut self, seconds: f64, rates: Rates) -> usize {
        let decoding = |stream: &&mut Stream| matches!(stream.phase, Phase::Decode(_));
        let count = self.streams.values_mut().filter(decoding).count();
        let rate = rates.stream.min(rates.decode / count.max(1) as f64);
        let mut made = 0;
        for stream in self.streams.values_mut().filter(decoding) {
            let Phase::Decode(part) = stream.phase else {
                continue;
            };
            let credit = part + rate * seconds;
            stream.phase = Phase::Decode(credit.fract());
            let count = stream.make(credit as usize);
            if count > 0 {
                stream.signal.notify();
            }
            made += count;
        }
        made
    }

    /// Reads prompts; the end of a prompt gives its first token.
    fn prefill(&mut self, mut budget: f64) -> usize {
        let mut made = 0;
        while budget > 0.0 {
            let reading = |stream: &&mut Stream| matches!(stream.phase, Phase::Prefill(_));
            let streams = self.streams.values_mut().filter(reading);
            let Some(stream) = streams.max_by_key(|stream| stream.rank()) else {
                return made;
            };
            let Phase::Prefill(unread) = stream.phase else {
                return made;
            };
            if unread > budget {
                stream.phase = Phase::Prefill(unread - budget);
                return made;
            }
            budget -= unread;
            stream.phase = Phase::Decode(0.0);
            made += stream.make(1);
            stream.signal.notify();
            self.fill_slots();
        }
        made
    }

    fn fill_slots(&mut self) {
        let mut running = self.streams.values().filter(|stream| stream.runs()).count();
        while running < self.slots {
            let queued = |stream: &&mut Stream| stream.phase == Phase::Queued;
            let streams = self.streams.values_mut().filter(queued);
            let Some(stream) = streams.max_by_key(|stream| stream.rank()) else {
                return;
            };
            stream.phase = Phase::Prefill(stream.job.unread as f64);
            stream.signal.notify();
            running += 1;
        }
    }
}
