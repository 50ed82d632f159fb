//! Quarantine of prompt parts that crash the engines that begin to answer a prompt with them,
//! whatever else the prompt holds. Requests with such a part are all different, so that
//! [`crate::crashes`], which knows whole requests, does not recognise them.
//!
//! A crash is a start of a server whose process ended unexpectedly. Its suspects are the shared
//! parts of the requests that waited for their answers there, at any node. Nodes exchange crashes
//! and merge them: the suspects of a crash only grow, and its time is the earliest that any node
//! knows, so that messages may be late, repeated or reordered.
//!
//! An answer that begins and goes on for [`CONFIRM_TIME`] clears the parts of its prompt of all
//! earlier crashes. A part is quarantined after [`QUARANTINE_CRASHES`] crashes that are neither
//! cleared nor explained by another part. Of several parts that were there, the one explains
//! the crashes that has been without an answer for the longest time: a part that many prompts
//! share is answered whenever one of them is. Of parts that are alike in this, it is the deepest;
//! should it be one before it, the next crash under another prompt shows that. A whole request
//! is deeper than its parts, so that one that is sent again and again is not taken for a deadly part.
//! A part with more crashes by [`DOMINANT_CRASHES`], which include those of the likeliest one, is
//! taken in its place: the latter may be new and never answered for that reason. A part that was answered
//! shortly before its first crash is quarantined only after [`RECENT_GRACE`], within which
//! an answer at another server clears it.
//!
//! A quarantine ends with an answer. After some time, longer after each crash, one node at a
//! time may send one request with the part as a trial. Until it is answered it counts as a crash, so
//! that each trial makes the quarantine longer, whatever becomes of it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use crate::crashes::{QUARANTINE_CRASHES, RunOutcome, ServerIncarnation};
use crate::suspicion::QUARANTINE_TTL;

/// Time for which an answer must go on after its first event to clear the parts of its prompt:
/// the server may be about to crash under the request.
pub const CONFIRM_TIME: Duration = Duration::from_millis(250);
/// Delay of the quarantine of a part that was answered shortly before it became a suspect.
pub const RECENT_GRACE: Duration = Duration::from_millis(500);
/// Age of an answer, at the first crash after it, up to which it is recent.
const RECENT_ANSWER: Duration = Duration::from_secs(10);
/// Length of the first quarantine of a part.
const FIRST_QUARANTINE: Duration = Duration::from_secs(2);
/// Factor by which a quarantine is longer than the one before it.
const QUARANTINE_FACTOR: u32 = 6;
/// Longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_hours(24);
/// Time between two crashes from which the later one makes the quarantine longer. Requests that
/// were under way together may crash several servers, and a trial one some time after it was sent.
const STEP_TIME: Duration = Duration::from_secs(2);
/// Time for which a crash counts that has led to no quarantine, and for which a quarantine that
/// has ended is remembered.
const CRASH_TTL: Duration = QUARANTINE_TTL;
/// Time for which a lost request still counts as having run on its server.
const LOST_RUN_TTL: Duration = Duration::from_secs(8);
/// Time for which a crash or an answer is sent to peers after its last change on this node;
/// repeated messages make up for lost ones.
const EXPORT_TTL: Duration = Duration::from_secs(2);
/// Maximum number of lost requests that are remembered.
const MAX_LOST_RUNS: usize = 4096;
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 256;
/// Maximum number of suspects of a crash that are remembered.
const MAX_SUSPECTS: usize = 48;
/// Maximum number of parts whose answers are remembered.
const MAX_ANSWERS: usize = 4096;
/// Maximum number of crashes in a message to a peer.
const MAX_EXPORTED_CRASHES: usize = 8;
/// Maximum number of suspects of each of them.
const MAX_EXPORTED_SUSPECTS: usize = 16;
/// Maximum number of answers in a message to a peer.
const MAX_EXPORTED_ANSWERS: usize = 32;
/// Depth of a suspect that is a whole request, known by its fingerprint.
pub const WHOLE_DEPTH: u32 = u32::MAX;
/// Number of further crashes by which a part explains those of a likelier one.
pub const DOMINANT_CRASHES: usize = 2;
/// Length of a turn, in which one node may send a request with a quarantined part.
const TRIAL_TURN: Duration = Duration::from_secs(4);
/// Time from the start of a turn in which the request may be sent; all nodes know of it by the end.
const TRIAL_TIME: Duration = Duration::from_secs(2);

slotmap::new_key_type! {
    /// Identifies one run of a request with shared parts on a server.
    pub struct PartRunKey;
}

/// Identifier of a prompt part.
pub type PartId = u64;

/// A crash of a server, as exchanged between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartCrash {
    /// Server.
    pub server: ServerIncarnation,
    /// Time since the crash.
    pub age: Duration,
    /// Parts of the requests that waited for an answer of the server.
    pub suspects: Vec<Suspect>,
}

/// A prompt part that may have crashed a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Part.
    pub part: PartId,
    /// Number of parts before it in the prompt, or [`WHOLE_DEPTH`].
    pub depth: u32,
}

/// A node's knowledge of suspect parts, for other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartReport {
    /// Crashes.
    pub crashes: Vec<PartCrash>,
    /// Parts with the time since this node last saw an answer begin on them.
    pub answers: Vec<(PartId, Duration)>,
}

/// What a crash changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartSuspects {
    /// Suspects of the crash, with the number of crashes that they are not cleared of.
    pub counts: Vec<(PartId, usize)>,
    /// Parts that are newly quarantined.
    pub quarantined: Vec<PartId>,
}

/// Whether a request may be sent, given its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartVerdict {
    /// No part is quarantined.
    Allowed,
    /// A part is quarantined, and this node may send one request with it.
    Trial(PartId),
    /// A part is quarantined.
    Quarantined {
        /// Part.
        part: PartId,
        /// Time for which it is quarantined, or in which another node may find out more.
        left: Duration,
        /// Whether its time is over, so that one node at a time may send a request with it.
        is_over: bool,
    },
}

#[derive(Clone, Debug)]
struct Run {
    /// Shared parts in the order of the prompt.
    parts: Vec<PartId>,
    /// The whole request.
    whole: PartId,
    server: ServerIncarnation,
    /// When the first event of the answer arrived.
    begun_at: Option<Instant>,
    /// Whether the answer has cleared the parts.
    confirmed: bool,
    /// When the request was lost; `None` while it is in flight.
    lost_at: Option<Instant>,
}

impl Run {
    fn suspects(&self) -> impl Iterator<Item = Suspect> {
        let parts = (0..).zip(self.parts.iter().copied());
        let parts = parts.map(|(depth, part)| Suspect { part, depth });
        parts.chain([Suspect {
            part: self.whole,
            depth: WHOLE_DEPTH,
        }])
    }

    /// Returns whether the server may have crashed as it began to answer the request.
    fn is_suspect(&self, now: Instant) -> bool {
        let end = self.lost_at.unwrap_or(now);
        self.begun_at
            .is_none_or(|begun| end.saturating_duration_since(begun) < CONFIRM_TIME)
    }
}

#[derive(Clone, Debug)]
struct Crash {
    at: Instant,
    /// Suspects with their greatest depths.
    suspects: BTreeMap<PartId, u32>,
    /// When this node itself last changed it; merges don't count.
    updated: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    /// Latest answer that any node reported.
    latest: Instant,
    /// Latest answer at this node.
    own: Option<Instant>,
    /// When the answer last cleared a crash that a peer may not know to be cleared.
    updated: Option<Instant>,
}

/// The quarantine of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Quarantine {
    from: Instant,
    /// Time from which one node at a time may send a request with the part.
    until: Instant,
}

/// Tracks which prompt parts may crash engines.
#[derive(Debug, Default)]
pub struct PartTracker {
    /// Runs in flight, and lost ones until they expire.
    runs: SlotMap<PartRunKey, Run>,
    crashes: HashMap<ServerIncarnation, Crash>,
    answers: HashMap<PartId, Answer>,
    /// Number of crashes that each suspect is not cleared of, derived from the crashes.
    counts: HashMap<PartId, usize>,
    /// Derived from the crashes.
    quarantines: HashMap<PartId, Quarantine>,
}

/// Returns the turn in which a trial may be started at a time of day; `None` late in a turn.
pub fn trial_turn(unix_ms: u64) -> Option<u64> {
    let length = TRIAL_TURN.as_millis() as u64;
    let is_open = unix_ms % length < TRIAL_TIME.as_millis() as u64;
    is_open.then_some(unix_ms / length)
}

impl PartTracker {
    /// Records that a request was sent to a server that is to answer it: its shared parts in the
    /// order of the prompt, and a number that identifies the whole request.
    pub fn start_run(
        &mut self,
        parts: Vec<PartId>,
        whole: PartId,
        server: ServerIncarnation,
    ) -> PartRunKey {
        self.runs.insert(Run {
            parts,
            whole,
            server,
            begun_at: None,
            confirmed: false,
            lost_at: None,
        })
    }

    /// Records that events of the answer arrived; returns the parts whose quarantine this ended.
    pub fn record_output(&mut self, key: PartRunKey, now: Instant) -> Vec<PartId> {
        let Some(run) = self.runs.get_mut(key).filter(|run| !run.confirmed) else {
            return Vec::new();
        };
        let begun_at = *run.begun_at.get_or_insert(now);
        if now.saturating_duration_since(begun_at) < CONFIRM_TIME {
            return Vec::new();
        }
        run.confirmed = true;
        let (parts, whole) = (std::mem::take(&mut run.parts), run.whole);
        self.clear(parts, whole, begun_at, now)
    }

    /// Records the outcome of a run; returns the parts whose quarantine this ended.
    ///
    /// A lost run is kept for a while, as its server may turn out to have crashed.
    pub fn finish_run(
        &mut self,
        key: PartRunKey,
        outcome: RunOutcome,
        now: Instant,
    ) -> Vec<PartId> {
        if outcome == RunOutcome::Lost {
            let lost = self.runs.values().filter(|run| run.lost_at.is_some());
            if lost.count() < MAX_LOST_RUNS
                && let Some(run) = self.runs.get_mut(key)
                && !run.confirmed
            {
                run.lost_at = Some(now);
                return Vec::new();
            }
        }
        match self.runs.remove(key) {
            Some(run) if outcome == RunOutcome::Answered && !run.confirmed => {
                self.clear(run.parts, run.whole, run.begun_at.unwrap_or(now), now)
            }
            _ => Vec::new(),
        }
    }

    /// Records that an answer began on a prompt with these parts.
    fn clear(
        &mut self,
        mut parts: Vec<PartId>,
        whole: PartId,
        begun_at: Instant,
        now: Instant,
    ) -> Vec<PartId> {
        // Whole requests are many, and few of them come again.
        parts.extend(self.counts.contains_key(&whole).then_some(whole));
        let mut is_suspect = false;
        for part in parts {
            let answer = self.answers.entry(part).or_insert(Answer {
                latest: begun_at,
                own: None,
                updated: None,
            });
            answer.latest = answer.latest.max(begun_at);
            answer.own = answer.own.max(Some(begun_at));
            if self.counts.contains_key(&part) {
                answer.updated = Some(now);
                is_suspect = true;
            }
        }
        self.evict_answers();
        if !is_suspect {
            return Vec::new();
        }
        let before: Vec<PartId> = self.quarantines.keys().copied().collect();
        self.derive();
        let is_ended = |part: &PartId| !self.quarantines.contains_key(part);
        before.into_iter().filter(is_ended).collect()
    }

    /// Records that a server's process ended unexpectedly, with the requests that waited for its
    /// answers or were lost there shortly before.
    pub fn record_crash(&mut self, server: ServerIncarnation, now: Instant) -> PartSuspects {
        let runs = self.runs.values();
        let runs = runs.filter(|run| run.server == server && run.is_suspect(now));
        let mut suspects: Vec<Suspect> = runs.flat_map(Run::suspects).collect();
        suspects.sort_by_key(|suspect| self.rank(suspect));
        let mut seen = BTreeSet::new();
        suspects.retain(|suspect| seen.insert(suspect.part));
        suspects.truncate(MAX_SUSPECTS);
        self.runs
            .retain(|_, run| run.lost_at.is_none() || run.server != server);
        if suspects.is_empty() {
            return PartSuspects::default();
        }
        let crash = self.crashes.entry(server).or_insert(Crash {
            at: now,
            suspects: BTreeMap::new(),
            updated: None,
        });
        crash.add(&suspects);
        crash.updated = Some(now);
        let before = self.quarantines.clone();
        self.evict_crashes();
        self.derive();
        let count = |Suspect { part, .. }| Some((part, *self.counts.get(&part)?));
        PartSuspects {
            counts: suspects.into_iter().filter_map(count).collect(),
            quarantined: self.added_since(&before),
        }
    }

    /// Returns whether a request with these parts may be sent in a trial turn. `is_trial_node`
    /// tells whether this node is the one that may send a request with a part in this turn.
    pub fn verdict(
        &self,
        parts: &[PartId],
        turn: Option<u64>,
        is_trial_node: impl Fn(PartId, u64) -> bool,
        now: Instant,
    ) -> PartVerdict {
        let mut over = None;
        for part in parts {
            let Some(quarantine) = self.quarantines.get(part).filter(|q| q.from <= now) else {
                continue;
            };
            let left = quarantine.until.saturating_duration_since(now);
            if !left.is_zero() {
                return PartVerdict::Quarantined {
                    part: *part,
                    left,
                    is_over: false,
                };
            }
            over = over.min(Some(*part)).or(Some(*part));
        }
        // One part decides for several, as different nodes may be in turn for them.
        let Some(part) = over else {
            return PartVerdict::Allowed;
        };
        if turn.is_some_and(|turn| is_trial_node(part, turn)) {
            return PartVerdict::Trial(part);
        }
        PartVerdict::Quarantined {
            part,
            left: TRIAL_TURN,
            is_over: true,
        }
    }

    /// Records that this node sends a request with a quarantined part as a trial. `trial` is a
    /// random number.
    pub fn record_trial(&mut self, part: PartId, trial: u64, now: Instant) {
        let depths = self.crashes.values();
        let depths = depths.filter_map(|crash| crash.suspects.get(&part));
        let depth = depths.max().copied().unwrap_or_default();
        let crash = Crash {
            at: now,
            suspects: BTreeMap::from([(part, depth)]),
            updated: Some(now),
        };
        self.crashes.insert(ServerIncarnation(trial), crash);
        self.evict_crashes();
        self.derive();
    }

    /// Returns whether one more crash may quarantine one of these parts.
    pub fn is_nearly_quarantined(&self, parts: &[PartId]) -> bool {
        let mut counts = parts.iter().filter_map(|part| self.counts.get(part));
        counts.any(|count| count + 1 >= QUARANTINE_CRASHES)
    }

    /// Returns what to send to peers: recent changes of this node, and all quarantined parts,
    /// which a peer that has just started doesn't know.
    pub fn export(&self, now: Instant) -> PartReport {
        let is_recent = |at: Option<Instant>| {
            at.is_some_and(|at| now.saturating_duration_since(at) < EXPORT_TTL)
        };
        let crashes = self.crashes.iter().filter_map(|(server, crash)| {
            let is_included = |suspect: &Suspect| {
                is_recent(crash.updated) || self.quarantines.contains_key(&suspect.part)
            };
            let mut suspects: Vec<Suspect> = crash.suspects().filter(is_included).collect();
            suspects.sort_by_key(|suspect| self.rank(suspect));
            suspects.truncate(MAX_EXPORTED_SUSPECTS);
            (!suspects.is_empty()).then(|| crash.report(*server, suspects, now))
        });
        let mut crashes: Vec<PartCrash> = crashes.collect();
        crashes.sort_by_key(|crash| (Reverse(self.has_quarantined(&crash.suspects)), crash.age));
        crashes.truncate(MAX_EXPORTED_CRASHES);
        let suspects = crashes.iter().flat_map(|crash| &crash.suspects);
        let suspects: BTreeSet<PartId> = suspects.map(|suspect| suspect.part).collect();
        let updated = self.answers.iter();
        let updated = updated.filter(|(_, answer)| is_recent(answer.updated));
        let parts: BTreeSet<PartId> = suspects
            .into_iter()
            .chain(updated.map(|(part, _)| *part))
            .collect();
        PartReport {
            crashes,
            answers: self.own_answers(parts, now),
        }
    }

    /// Returns the quarantined parts with their crashes, for storage that outlives the node.
    pub fn export_quarantined(&self, now: Instant) -> PartReport {
        let crashes = self.crashes.iter().filter_map(|(server, crash)| {
            let suspects = crash.suspects();
            let suspects: Vec<Suspect> = suspects
                .filter(|suspect| self.quarantines.contains_key(&suspect.part))
                .collect();
            (!suspects.is_empty()).then(|| crash.report(*server, suspects, now))
        });
        let mut crashes: Vec<PartCrash> = crashes.collect();
        crashes.sort_by_key(|crash| (crash.age, crash.server));
        PartReport {
            crashes,
            answers: self.own_answers(self.quarantines.keys().copied().collect(), now),
        }
    }

    /// Merges another node's report; returns the parts that are newly quarantined.
    pub fn merge(&mut self, report: &PartReport, now: Instant) -> Vec<PartId> {
        if *report == PartReport::default() {
            return Vec::new();
        }
        for (part, age) in &report.answers {
            let Some(at) = now.checked_sub(*age) else {
                continue;
            };
            let answer = self.answers.entry(*part).or_insert(Answer {
                latest: at,
                own: None,
                updated: None,
            });
            answer.latest = answer.latest.max(at);
        }
        for PartCrash {
            server,
            age,
            suspects,
        } in &report.crashes
        {
            let Some(at) = now.checked_sub(*age) else {
                continue;
            };
            let crash = self.crashes.entry(*server).or_insert(Crash {
                at,
                suspects: BTreeMap::new(),
                updated: None,
            });
            // Message delays must not make a crash younger as nodes exchange it.
            crash.at = crash.at.min(at);
            crash.add(suspects);
            for Suspect { part, .. } in suspects {
                if let Some(answer) = self.answers.get_mut(part)
                    && answer.own.is_some_and(|own| own > crash.at)
                {
                    answer.updated = Some(now);
                }
            }
        }
        let before = self.quarantines.clone();
        self.evict_crashes();
        self.evict_answers();
        self.derive();
        self.added_since(&before)
    }

    /// Removes expired runs and crashes; returns the parts whose quarantine is forgotten.
    pub fn sweep(&mut self, now: Instant) -> Vec<PartId> {
        let is_old = |at: Instant, ttl| now.saturating_duration_since(at) >= ttl;
        self.runs
            .retain(|_, run| !run.lost_at.is_some_and(|at| is_old(at, LOST_RUN_TTL)));
        let quarantines = self.quarantines.clone();
        let is_needed = |part: &PartId| {
            let quarantine = quarantines.get(part);
            quarantine.is_some_and(|quarantine| !is_old(quarantine.until, CRASH_TTL))
        };
        let count = self.crashes.len();
        self.crashes.retain(|_, crash| {
            !is_old(crash.at, CRASH_TTL) || crash.suspects.keys().any(is_needed)
        });
        if self.crashes.len() < count {
            self.derive();
        }
        let is_quarantined = |part: &PartId| self.quarantines.contains_key(part);
        let known = quarantines.into_keys();
        known.filter(|part| !is_quarantined(part)).collect()
    }

    /// Returns the quarantined parts.
    pub fn quarantined(&self) -> Vec<PartId> {
        self.quarantines.keys().copied().collect()
    }

    fn added_since(&self, before: &HashMap<PartId, Quarantine>) -> Vec<PartId> {
        let mut added: Vec<PartId> = self.quarantines.keys().copied().collect();
        added.retain(|part| !before.contains_key(part));
        added.sort_unstable();
        added
    }

    fn own_answers(&self, parts: BTreeSet<PartId>, now: Instant) -> Vec<(PartId, Duration)> {
        let answers = parts.into_iter().filter_map(|part| {
            let own = self.answers.get(&part)?.own?;
            Some((part, now.saturating_duration_since(own)))
        });
        answers.take(MAX_EXPORTED_ANSWERS).collect()
    }

    fn has_quarantined(&self, suspects: &[Suspect]) -> bool {
        let mut suspects = suspects.iter();
        suspects.any(|suspect| self.quarantines.contains_key(&suspect.part))
    }

    fn last_answer(&self, part: PartId) -> Option<Instant> {
        self.answers.get(&part).map(|answer| answer.latest)
    }

    /// Orders suspects of one crash for bounded lists: whole requests last, then those that have
    /// been without an answer for longest, of these the ones with the most crashes.
    fn rank(
        &self,
        suspect: &Suspect,
    ) -> (bool, Option<Instant>, Reverse<usize>, Reverse<u32>, PartId) {
        let Suspect { part, depth } = *suspect;
        let count = self.counts.get(&part).copied().unwrap_or_default();
        let answered = self.last_answer(part);
        (
            depth == WHOLE_DEPTH,
            answered,
            Reverse(count),
            Reverse(depth),
            part,
        )
    }

    /// Derives the counts and the quarantines from the crashes and answers.
    fn derive(&mut self) {
        let mut uncleared: HashMap<PartId, BTreeSet<ServerIncarnation>> = HashMap::new();
        let mut depths: HashMap<PartId, u32> = HashMap::new();
        for (server, crash) in &self.crashes {
            for Suspect { part, depth } in crash.suspects() {
                if self.last_answer(part).is_none_or(|at| at < crash.at) {
                    uncleared.entry(part).or_default().insert(*server);
                    let deepest = depths.entry(part).or_default();
                    *deepest = depth.max(*deepest);
                }
            }
        }
        let counts = uncleared
            .iter()
            .map(|(part, crashes)| (*part, crashes.len()));
        self.counts = counts.collect();
        self.quarantines.clear();
        loop {
            uncleared.retain(|_, crashes| crashes.len() >= QUARANTINE_CRASHES);
            let rank = |(part, crashes): &(&PartId, &BTreeSet<ServerIncarnation>)| {
                let depth = depths.get(part);
                let answered = self.last_answer(**part);
                (answered, Reverse(crashes.len()), Reverse(depth), **part)
            };
            let Some(likeliest) = uncleared.iter().min_by_key(rank) else {
                return;
            };
            let dominant = uncleared.iter().filter(|(_, crashes)| {
                crashes.len() >= likeliest.1.len() + DOMINANT_CRASHES
                    && crashes.is_superset(likeliest.1)
            });
            let (part, explained) = dominant.min_by_key(rank).unwrap_or(likeliest);
            let (answered, depth) = (self.last_answer(*part), depths.get(part));
            let explained = explained.clone();
            // Parts that have all of this in common can't be told apart.
            let is_alike = |part: &PartId, crashes: &BTreeSet<ServerIncarnation>| {
                self.last_answer(*part) == answered
                    && depths.get(part) == depth
                    && *crashes == explained
            };
            let alike = uncleared.iter();
            let alike = alike.filter(|(part, crashes)| is_alike(part, crashes));
            let alike: Vec<PartId> = alike.map(|(part, _)| *part).collect();
            let quarantine = self.quarantine(&explained, answered);
            let alike = alike.into_iter().map(|part| (part, quarantine));
            self.quarantines.extend(alike);
            for crashes in uncleared.values_mut() {
                crashes.retain(|server| !explained.contains(server));
            }
        }
    }

    /// Returns the quarantine of a part that was last answered at a time and has caused these
    /// crashes since, at least [`QUARANTINE_CRASHES`].
    fn quarantine(
        &self,
        crashes: &BTreeSet<ServerIncarnation>,
        answered: Option<Instant>,
    ) -> Quarantine {
        let times = crashes
            .iter()
            .filter_map(|server| Some(self.crashes.get(server)?.at));
        let mut times: Vec<Instant> = times.collect();
        times.sort_unstable();
        let (first, third) = (times[0], times[QUARANTINE_CRASHES - 1]);
        let is_recent =
            answered.is_some_and(|at| first.saturating_duration_since(at) < RECENT_ANSWER);
        let grace = if is_recent {
            RECENT_GRACE
        } else {
            Duration::ZERO
        };
        let (mut last, mut length) = (third, FIRST_QUARANTINE);
        for at in &times[QUARANTINE_CRASHES..] {
            if at.saturating_duration_since(last) >= STEP_TIME {
                length = MAX_QUARANTINE.min(length * QUARANTINE_FACTOR);
                last = *at;
            }
        }
        let latest = times.last().copied().unwrap_or(third);
        Quarantine {
            from: third + grace,
            until: latest + length,
        }
    }

    /// Evicts the oldest crashes, those of quarantined parts last.
    fn evict_crashes(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(server, crash)| {
                let mut suspects = crash.suspects.keys();
                let is_needed = suspects.any(|part| self.quarantines.contains_key(part));
                (is_needed, crash.at, **server)
            });
            let Some(server) = oldest.map(|(server, _)| *server) else {
                return;
            };
            self.crashes.remove(&server);
        }
    }

    /// Evicts the oldest answers. Those on suspects stay, as their crashes would count again.
    fn evict_answers(&mut self) {
        if self.answers.len() <= MAX_ANSWERS {
            return;
        }
        let crashes = self.crashes.values();
        let suspects: BTreeSet<PartId> = crashes
            .flat_map(|crash| crash.suspects.keys().copied())
            .collect();
        let answers = self.answers.iter();
        let answers = answers.filter(|(part, _)| !suspects.contains(part));
        let mut by_age: Vec<(Instant, PartId)> = answers
            .map(|(part, answer)| (answer.latest, *part))
            .collect();
        by_age.sort_unstable();
        // Some more than needed, so that not every answer evicts one.
        for (_, part) in by_age.into_iter().take(MAX_ANSWERS / 4) {
            self.answers.remove(&part);
        }
    }
}

impl Crash {
    fn report(&self, server: ServerIncarnation, suspects: Vec<Suspect>, now: Instant) -> PartCrash {
        PartCrash {
            server,
            age: now.saturating_duration_since(self.at),
            suspects,
        }
    }

    fn suspects(&self) -> impl Iterator<Item = Suspect> {
        let suspects = self.suspects.iter();
        suspects.map(|(part, depth)| Suspect {
            part: *part,
            depth: *depth,
        })
    }

    fn add(&mut self, suspects: &[Suspect]) {
        for Suspect { part, depth } in suspects {
            if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(part) {
                let deepest = self.suspects.entry(*part).or_default();
                *deepest = (*deepest).max(*depth);
            }
        }
    }
}
