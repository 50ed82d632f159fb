//! Requests that end the servers that run them, where every request is opaque.
//!
//! Pattern answered: one request crashes each server that begins to run it, and its
//! caller comes back with it, under another attempt and at another node. A node notes
//! which requests were on a server whose process ended; nodes add up what they noted.
//! Once several servers have ended under a request and none has answered it, it is
//! barred. A whole answer clears it: innocent requests share a lost server with the
//! one that crashed it, and are answered elsewhere.
//!
//! The project's own interface runs suspects apart from one another and needs one loss
//! less ([`crate::suspicion`]); here repeats are too few and too urgent to wait for
//! servers without another suspect.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use crate::suspicion::{Fingerprint, QUARANTINE_TTL};

/// Servers that end under a request before it is barred; the users' pages take a
/// request for known after three.
pub const QUARANTINE_CRASHES: usize = 3;
/// Time for which an end counts, so that a barred request is tried again by and by.
const END_TTL: Duration = QUARANTINE_TTL;
/// Time for which a request that was lost on a server counts as having been there; a
/// server that went silent is known to have ended only when its entry lapses.
const LOST_TTL: Duration = Duration::from_secs(8);
/// Time for which peers are told what this node has noted; a word that is lost is made
/// up for by the next.
const TELL_TIME: Duration = Duration::from_secs(2);
/// Requests that a word to a peer names at most.
const TOLD: usize = 32;
/// Lost requests that are remembered at most.
const LOST_KEPT: usize = 4096;
/// Requests whose ends are remembered at most; those with the fewest go first.
const RECORDS_KEPT: usize = 4096;
/// Difference of age below which a peer's word is what is already known.
const MERGE_SLACK: Duration = Duration::from_secs(1);

slotmap::new_key_type! {
    /// A request on a server.
    pub struct RunKey;
}

/// One start of a server's process, by a hash that is the same on every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerIncarnation(pub u64);

/// How a request ended on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It was answered whole.
    Answered,
    /// The server turned it away, failed it or did a part of it, and lives.
    ServerAlive,
    /// Nothing is known: the connection broke, or was given up.
    Lost,
}

/// What a node tells another of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Request.
    pub fingerprint: Fingerprint,
    /// Servers that ended under it, with the time since.
    pub crashes: Vec<(ServerIncarnation, Duration)>,
    /// Time since it was answered whole, if it was after some end.
    pub cleared: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    fingerprint: Fingerprint,
    start: ServerIncarnation,
    /// When it was lost there; `None` while it is there.
    lost: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
struct Record {
    crashes: Vec<(ServerIncarnation, Instant)>,
    cleared: Option<Instant>,
    /// When this node itself last noted something.
    noted: Option<Instant>,
}

impl Record {
    /// Times since the ends that count, the latest first.
    fn ages(&self, now: Instant) -> Vec<Duration> {
        let counted = self.crashes.iter().filter(|(_, at)| self.counts(*at));
        let ages = counted.map(|(_, at)| now.saturating_duration_since(*at));
        let mut ages: Vec<Duration> = ages.filter(|age| *age < END_TTL).collect();
        ages.sort_unstable();
        ages
    }

    fn counts(&self, at: Instant) -> bool {
        self.cleared.is_none_or(|cleared| at > cleared)
    }

    fn add(&mut self, start: ServerIncarnation, at: Instant) {
        match self.crashes.iter_mut().find(|(known, _)| *known == start) {
            // Told to and fro, an end must not become younger.
            Some((_, known)) => *known = at.min(*known),
            None => self.crashes.push((start, at)),
        }
    }

    /// Time for which the request is still barred.
    fn barred(&self, now: Instant) -> Option<Duration> {
        let ages = self.ages(now);
        ages.get(QUARANTINE_CRASHES - 1)
            .map(|age| END_TTL.saturating_sub(*age))
    }

    fn is_old(&self, now: Instant) -> bool {
        let old = |at: Instant| now.saturating_duration_since(at) >= END_TTL;
        self.ages(now).is_empty() && self.cleared.is_none_or(old)
    }
}

/// What a node knows of requests that may have ended servers.
#[derive(Debug, Default)]
pub struct CrashTracker {
    runs: SlotMap<RunKey, Run>,
    lost: usize,
    records: HashMap<Fingerprint, Record>,
}

impl CrashTracker {
    /// Notes that a request is on a server.
    pub fn start_run(&mut self, fingerprint: Fingerprint, start: ServerIncarnation) -> RunKey {
        self.runs.insert(Run {
            fingerprint,
            start,
            lost: None,
        })
    }

    /// Notes how a request ended on a server.
    pub fn finish_run(&mut self, key: RunKey, end: RunOutcome, now: Instant) {
        if end == RunOutcome::Lost && self.lost < LOST_KEPT {
            if let Some(run) = self.runs.get_mut(key) {
                run.lost = Some(now);
                self.lost += 1;
            }
            return;
        }
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        if end == RunOutcome::Answered
            && let Some(record) = self.records.get_mut(&run.fingerprint)
            && !record.ages(now).is_empty()
        {
            record.cleared = Some(now);
            record.noted = Some(now);
        }
    }

    /// Notes that a server's process has ended; gives the requests that were there, each
    /// with the number of servers that have ended under it.
    pub fn record_crash(
        &mut self,
        start: ServerIncarnation,
        now: Instant,
    ) -> Vec<(Fingerprint, usize)> {
        let there = self.runs.values().filter(|run| run.start == start);
        let mut prints: Vec<Fingerprint> = there.map(|run| run.fingerprint).collect();
        prints.sort_unstable();
        prints.dedup();
        self.forget(|run| run.start == start);
        let counted = prints.into_iter().map(|fingerprint| {
            let record = self.records.entry(fingerprint).or_default();
            record.add(start, now);
            record.noted = Some(now);
            (fingerprint, record.ages(now).len())
        });
        let counted = counted.collect();
        self.make_room(now);
        counted
    }

    /// Time for which a request must not be sent to any server; `None` if it may be.
    pub fn quarantine_left(&self, fingerprint: &Fingerprint, now: Instant) -> Option<Duration> {
        self.records.get(fingerprint)?.barred(now)
    }

    /// Servers that have ended under a request since it was last answered.
    pub fn crash_count(&self, fingerprint: &Fingerprint, now: Instant) -> usize {
        let record = self.records.get(fingerprint);
        record.map_or(0, |record| record.ages(now).len())
    }

    /// What a peer should know: what this node has noted lately, and all that is barred,
    /// which a peer that starts can't know; the requests with the most ends first.
    pub fn export(&self, now: Instant) -> Vec<CrashReport> {
        let is_told = |record: &Record| {
            let recent = |at| now.saturating_duration_since(at) < TELL_TIME;
            record.noted.is_some_and(recent) || record.barred(now).is_some()
        };
        let mut told = self.shared(now, is_told);
        told.sort_by_key(|shared| std::cmp::Reverse(shared.crashes.len()));
        told.truncate(TOLD);
        told
    }

    /// The barred requests, to be kept where they outlive the node.
    pub fn export_quarantined(&self, now: Instant) -> Vec<CrashReport> {
        self.shared(now, |record| record.barred(now).is_some())
    }

    fn shared(&self, now: Instant, which: impl Fn(&Record) -> bool) -> Vec<CrashReport> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let records = self.records.iter().filter(|(_, record)| which(record));
        let shared = records.map(|(fingerprint, record)| CrashReport {
            fingerprint: *fingerprint,
            crashes: record
                .crashes
                .iter()
                .filter(|(_, at)| record.counts(*at) && age(*at) < END_TTL)
                .map(|(start, at)| (*start, age(*at)))
                .collect(),
            cleared: record.cleared.map(age),
        });
        shared.collect()
    }

    /// Takes what another node knows; gives the requests that are barred by it.
    pub fn merge(&mut self, shared: &[CrashReport], now: Instant) -> Vec<Fingerprint> {
        let mut barred = Vec::new();
        for told in shared {
            let record = self.records.entry(told.fingerprint).or_default();
            let before = record.barred(now).is_some();
            // What expired here a moment earlier than there must not come back.
            let lasting = |age: &Duration| *age + MERGE_SLACK < END_TTL;
            if let Some(cleared) = told.cleared.filter(lasting)
                && let Some(at) = now.checked_sub(cleared)
                && record.cleared.is_none_or(|known| at > known + MERGE_SLACK)
            {
                record.cleared = Some(at);
            }
            for (start, age) in told.crashes.iter().filter(|(_, age)| lasting(age)) {
                if let Some(at) = now.checked_sub(*age) {
                    record.add(*start, at);
                }
            }
            if !before && record.barred(now).is_some() {
                barred.push(told.fingerprint);
            }
        }
        self.make_room(now);
        barred
    }

    /// Forgets what is too old to count.
    pub fn sweep(&mut self, now: Instant) {
        let old = |at: Instant| now.saturating_duration_since(at) >= LOST_TTL;
        self.forget(|run| run.lost.is_some_and(old));
        self.records.retain(|_, record| !record.is_old(now));
    }

    /// Forgets lost requests.
    fn forget(&mut self, which: impl Fn(&Run) -> bool) {
        self.runs.retain(|_, run| run.lost.is_none() || !which(run));
        let lost = self.runs.values().filter(|run| run.lost.is_some());
        self.lost = lost.count();
    }

    fn make_room(&mut self, now: Instant) {
        while self.records.len() > RECORDS_KEPT {
            let least = self.records.iter().min_by_key(|(_, record)| {
                let last = record.crashes.iter().map(|(_, at)| *at).max();
                (record.ages(now).len(), last)
            });
            let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.records.remove(&fingerprint);
        }
    }
}
