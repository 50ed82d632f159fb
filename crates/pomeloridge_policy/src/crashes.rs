//! Quarantine of requests that crash the servers that run them, for services whose
//! requests are opaque.
//!
//! Such a request crashes each server that starts it, and its caller retries it under
//! another attempt id and at another node. Each node records which requests were in
//! flight on a server whose process ended unexpectedly, and nodes merge these records.
//! A request is quarantined once several servers have crashed under it without a complete
//! answer in between. A complete answer clears its crashes: requests that only shared a
//! server with the crashing one get answered elsewhere. Where crashes follow one another too
//! closely for that, a request that has been answered before, at any node, is not quarantined for
//! crashes under another one that never was.
//!
//! For the project's own interface, [`crate::suspicion`] isolates suspects from one
//! another and so needs one crash less. Here retries are too few and too urgent to wait
//! for a server without another suspect.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use crate::suspicion::{Fingerprint, QUARANTINE_TTL};

/// Crashes after which a request is quarantined; the users' documentation treats a
/// request as known to crash servers after three.
pub const QUARANTINE_CRASHES: usize = 3;
/// Time for which a crash counts; a quarantined request is tried again afterwards.
const CRASH_TTL: Duration = QUARANTINE_TTL;
/// Time for which a lost request still counts as having run on its server. The crash of a
/// server that went silent is known only when its list entry expires.
const LOST_RUN_TTL: Duration = Duration::from_secs(8);
/// Time for which a record is sent to peers after its last change on this node; repeated
/// messages make up for lost ones.
const EXPORT_TTL: Duration = Duration::from_secs(2);
/// Maximum number of requests in a message to a peer.
const MAX_EXPORTED: usize = 32;
/// Maximum number of lost requests that are remembered.
const MAX_LOST_RUNS: usize = 4096;
/// Maximum number of requests whose crashes are remembered; those with the fewest are
/// evicted first.
const MAX_RECORDS: usize = 4096;
/// Maximum number of requests whose latest complete answer is remembered; the oldest answers are
/// evicted first.
const MAX_ANSWERS: usize = 4096;
/// Age difference below which a peer reports an event that is already known.
const MERGE_TOLERANCE: Duration = Duration::from_secs(1);

slotmap::new_key_type! {
    /// Identifies one run of a request on a server.
    pub struct RunKey;
}

/// Identifies one start of a server's process by a hash that is the same on every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerIncarnation(pub u64);

impl ServerIncarnation {
    /// Returns a part of the hash, for messages in which a rare confusion does little harm.
    pub fn short(self) -> u32 {
        self.0 as u32
    }
}

/// Outcome of running a request on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The server sent a complete answer.
    Answered,
    /// The server refused or failed the request or answered it in part, and is still
    /// running.
    ServerAlive,
    /// Unknown: the connection broke or was abandoned.
    Lost,
}

/// How a report changed which requests are quarantined.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineChanges {
    /// Requests that are newly quarantined.
    pub begun: Vec<Fingerprint>,
    /// Requests that no longer are, as a peer has answered them.
    pub ended: Vec<Fingerprint>,
}

/// Crashes of one request, as exchanged between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Servers that crashed while running it, with the time since each crash.
    pub crashes: Vec<(ServerIncarnation, Duration)>,
    /// Time since the last complete answer that cleared earlier crashes.
    pub cleared: Option<Duration>,
    /// Whether it was ever answered completely, as far as is known. That clears no crash.
    pub answered: bool,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    fingerprint: Fingerprint,
    server: ServerIncarnation,
    /// When the request was lost; `None` while it is in flight.
    lost_at: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
struct Record {
    crashes: Vec<(ServerIncarnation, Instant)>,
    cleared: Option<Instant>,
    /// Whether another node has answered it.
    answered: bool,
    /// When this node itself last changed the record; merges don't count.
    updated: Option<Instant>,
}

impl Record {
    /// Returns the ages of the crashes that count, latest crash first.
    fn crash_ages(&self, now: Instant) -> Vec<Duration> {
        let uncleared = self.crashes.iter().filter(|(_, at)| self.is_uncleared(*at));
        let ages = uncleared.map(|(_, at)| now.saturating_duration_since(*at));
        let mut ages: Vec<Duration> = ages.filter(|age| *age < CRASH_TTL).collect();
        ages.sort_unstable();
        ages
    }

    /// Returns whether no complete answer came after a crash at `at`.
    fn is_uncleared(&self, at: Instant) -> bool {
        self.cleared.is_none_or(|cleared| at > cleared)
    }

    fn add(&mut self, server: ServerIncarnation, at: Instant) {
        match self.crashes.iter_mut().find(|(known, _)| *known == server) {
            // Message delays must not make a crash younger as nodes exchange it.
            Some((_, known_at)) => *known_at = at.min(*known_at),
            None => self.crashes.push((server, at)),
        }
    }

    /// Returns the remaining quarantine time, or `None` if the request is not quarantined.
    fn quarantine_left(&self, now: Instant) -> Option<Duration> {
        let ages = self.crash_ages(now);
        ages.get(QUARANTINE_CRASHES - 1)
            .map(|age| CRASH_TTL.saturating_sub(*age))
    }

    fn is_expired(&self, now: Instant) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= CRASH_TTL;
        self.crash_ages(now).is_empty() && self.cleared.is_none_or(is_old)
    }
}

/// Tracks which requests run on which servers, and which of them may crash servers.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// Runs in flight, and lost ones until they expire.
    runs: SlotMap<RunKey, Run>,
    lost_count: usize,
    records: HashMap<Fingerprint, Record>,
    /// When requests were last answered completely at this node.
    answers: HashMap<Fingerprint, Instant>,
}

impl CrashTracker {
    /// Records that a request was sent to a server.
    pub fn start_run(&mut self, fingerprint: Fingerprint, server: ServerIncarnation) -> RunKey {
        self.runs.insert(Run {
            fingerprint,
            server,
            lost_at: None,
        })
    }

    /// Records the outcome of a run; returns the request if an answer has ended its quarantine.
    ///
    /// A lost run is kept for a while, as its server may turn out to have crashed.
    pub fn finish_run(
        &mut self,
        key: RunKey,
        outcome: RunOutcome,
        now: Instant,
    ) -> Option<Fingerprint> {
        if outcome == RunOutcome::Lost && self.lost_count < MAX_LOST_RUNS {
            if let Some(run) = self.runs.get_mut(key) {
                run.lost_at = Some(now);
                self.lost_count += 1;
            }
            return None;
        }
        let run = self.runs.remove(key)?;
        if outcome != RunOutcome::Answered {
            return None;
        }
        self.answers.insert(run.fingerprint, now);
        self.evict_answers();
        let record = self.records.get_mut(&run.fingerprint)?;
        let was_quarantined = record.quarantine_left(now).is_some();
        if !record.crash_ages(now).is_empty() {
            record.cleared = Some(now);
            record.updated = Some(now);
        }
        was_quarantined.then_some(run.fingerprint)
    }

    /// Records that a server's process ended unexpectedly; returns the requests that were
    /// in flight or recently lost there, each with its number of crashes.
    pub fn record_crash(
        &mut self,
        server: ServerIncarnation,
        now: Instant,
    ) -> Vec<(Fingerprint, usize)> {
        let runs = self.runs.values().filter(|run| run.server == server);
        let mut fingerprints: Vec<Fingerprint> = runs.map(|run| run.fingerprint).collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        self.remove_lost(|run| run.server == server);
        let counted = fingerprints.into_iter().map(|fingerprint| {
            let record = self.records.entry(fingerprint).or_default();
            record.add(server, now);
            record.updated = Some(now);
            (fingerprint, record.crash_ages(now).len())
        });
        let counted = counted.collect();
        self.evict_excess(now);
        counted
    }

    /// Returns the remaining time for which a request must not be sent to any server, or
    /// `None` if it is not quarantined.
    pub fn quarantine_left(&self, fingerprint: &Fingerprint, now: Instant) -> Option<Duration> {
        let record = self.records.get(fingerprint)?;
        let left = record.quarantine_left(now)?;
        (!self.is_explained(fingerprint, record, now)).then_some(left)
    }

    /// Returns whether others explain the crashes of a request that has been answered before: all
    /// but a few of the servers also crashed under quarantined requests without any answer.
    fn is_explained(&self, fingerprint: &Fingerprint, record: &Record, now: Instant) -> bool {
        if !self.was_answered(fingerprint, record) {
            return false;
        }
        let culprits = self.records.iter().filter(|(other, candidate)| {
            candidate.quarantine_left(now).is_some() && !self.was_answered(other, candidate)
        });
        let explained: HashSet<ServerIncarnation> = culprits
            .flat_map(|(_, culprit)| culprit.crashes.iter().map(|(server, _)| *server))
            .collect();
        let unexplained = record
            .crashes
            .iter()
            .filter(|(server, at)| record.is_uncleared(*at) && !explained.contains(server));
        unexplained.count() < QUARANTINE_CRASHES
    }

    fn was_answered(&self, fingerprint: &Fingerprint, record: &Record) -> bool {
        record.cleared.is_some() || record.answered || self.answers.contains_key(fingerprint)
    }

    /// Returns the number of servers that crashed under a request since its last complete
    /// answer.
    pub fn crash_count(&self, fingerprint: &Fingerprint, now: Instant) -> usize {
        let record = self.records.get(fingerprint);
        record.map_or(0, |record| record.crash_ages(now).len())
    }

    /// Returns the records to send to peers: those that this node changed recently, and
    /// all quarantined ones, which a peer that has just started doesn't know. Requests with
    /// the most crashes come first.
    pub fn export(&self, now: Instant) -> Vec<CrashReport> {
        let is_exported = |record: &Record| {
            let is_recent = |at| now.saturating_duration_since(at) < EXPORT_TTL;
            record.updated.is_some_and(is_recent) || record.quarantine_left(now).is_some()
        };
        let mut reports = self.reports(now, is_exported);
        reports.sort_by_key(|report| std::cmp::Reverse(report.crashes.len()));
        reports.truncate(MAX_EXPORTED);
        reports
    }

    /// Returns the quarantined requests, for storage that outlives the node.
    pub fn export_quarantined(&self, now: Instant) -> Vec<CrashReport> {
        self.reports(now, |record| record.quarantine_left(now).is_some())
    }

    fn reports(&self, now: Instant, is_included: impl Fn(&Record) -> bool) -> Vec<CrashReport> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let records = self
            .records
            .iter()
            .filter(|(_, record)| is_included(record));
        let reports = records.map(|(fingerprint, record)| CrashReport {
            fingerprint: *fingerprint,
            crashes: record
                .crashes
                .iter()
                .filter(|(_, at)| record.is_uncleared(*at) && age(*at) < CRASH_TTL)
                .map(|(server, at)| (*server, age(*at)))
                .collect(),
            cleared: record.cleared.map(age),
            answered: self.was_answered(fingerprint, record),
        });
        reports.collect()
    }

    /// Merges another node's records.
    pub fn merge(&mut self, reports: &[CrashReport], now: Instant) -> QuarantineChanges {
        let mut changes = QuarantineChanges::default();
        for report in reports {
            let record = self.records.entry(report.fingerprint).or_default();
            let was_quarantined = record.quarantine_left(now).is_some();
            record.answered |= report.answered;
            // An entry that expired here slightly earlier than at the peer must not return.
            let is_live = |age: &Duration| *age + MERGE_TOLERANCE < CRASH_TTL;
            if let Some(cleared) = report.cleared.filter(is_live)
                && let Some(at) = now.checked_sub(cleared)
                && record
                    .cleared
                    .is_none_or(|known| at > known + MERGE_TOLERANCE)
            {
                record.cleared = Some(at);
            }
            for (server, age) in report.crashes.iter().filter(|(_, age)| is_live(age)) {
                if let Some(at) = now.checked_sub(*age) {
                    record.add(*server, at);
                }
            }
            let latest = report.crashes.iter().map(|(_, age)| *age).min();
            let latest = latest.and_then(|age| now.checked_sub(age));
            if let Some((answered, latest)) = self.answers.get(&report.fingerprint).zip(latest)
                && *answered > latest
            {
                // The peer does not know of the answer.
                record.cleared = record.cleared.max(Some(*answered));
                record.updated = Some(now);
            }
            match (was_quarantined, record.quarantine_left(now).is_some()) {
                (false, true) => changes.begun.push(report.fingerprint),
                (true, false) => changes.ended.push(report.fingerprint),
                _ => {}
            }
        }
        self.evict_excess(now);
        changes
    }

    /// Removes expired runs and records.
    pub fn sweep(&mut self, now: Instant) {
        self.answers
            .retain(|_, at| now.saturating_duration_since(*at) < CRASH_TTL);
        let is_old = |at: Instant| now.saturating_duration_since(at) >= LOST_RUN_TTL;
        self.remove_lost(|run| run.lost_at.is_some_and(is_old));
        self.records.retain(|_, record| !record.is_expired(now));
    }

    /// Removes the lost runs for which `is_removed` holds.
    fn remove_lost(&mut self, is_removed: impl Fn(&Run) -> bool) {
        self.runs
            .retain(|_, run| run.lost_at.is_none() || !is_removed(run));
        let lost = self.runs.values().filter(|run| run.lost_at.is_some());
        self.lost_count = lost.count();
    }

    fn evict_answers(&mut self) {
        if self.answers.len() <= MAX_ANSWERS {
            return;
        }
        let mut times: Vec<Instant> = self.answers.values().copied().collect();
        times.sort_unstable();
        // Some more than needed, so that not every answer evicts one.
        let oldest_kept = times[MAX_ANSWERS / 4];
        self.answers.retain(|_, at| *at >= oldest_kept);
    }

    fn evict_excess(&mut self, now: Instant) {
        while self.records.len() > MAX_RECORDS {
            let lowest = self.records.iter().min_by_key(|(_, record)| {
                let latest = record.crashes.iter().map(|(_, at)| *at).max();
                (record.crash_ages(now).len(), latest)
            });
            let Some(fingerprint) = lowest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.records.remove(&fingerprint);
        }
    }
}
