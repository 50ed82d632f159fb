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
//! cleared nor explained by another part. Of several parts that were there, the one explains the
//! crashes that has been without an answer for the longest time: a part that many prompts share is
//! answered whenever one of them is. Of parts that are alike in this, it is the deepest; should it
//! be one before it, the next crash under another prompt shows that. A whole request is deeper than
//! its parts, so that one that is sent again and again is not taken for a deadly part. A part of
//! such a request with more crashes, by [`DOMINANT_CRASHES`], is taken in its place, as the request
//! was never answered because it is new. A part that was answered shortly before its first crash is
//! quarantined only after [`RECENT_GRACE`], within which an answer at another server clears it.
//!
//! A quarantine ends with an answer. After some time, longer after each crash, one node at a time
//! may send one request with the part as a trial. Until it is answered it counts as a crash, so
//! that each trial makes the quarantine longer, whatever becomes of it. One that the engine refuses
//! unread makes it start anew only. Requests in which another suspect follows the part are tried
//! only after [`SEPARATE_TIME`]: their crashes would be counted against both.

mod evidence;

use std::time::{Duration, Instant};

use slotmap::SlotMap;

use crate::crashes::{QUARANTINE_CRASHES, RunOutcome, ServerIncarnation};

use evidence::Evidence;
pub use evidence::{DOMINANT_CRASHES, RECENT_GRACE};

/// Time for which an answer must go on after its first event to clear the parts of its prompt:
/// the server may be about to crash under the request.
pub const CONFIRM_TIME: Duration = Duration::from_millis(250);
/// Time for which a lost request still counts as having run on its server.
const LOST_RUN_TTL: Duration = Duration::from_secs(8);
/// Maximum number of lost requests that are remembered.
const MAX_LOST_RUNS: usize = 4096;
/// Depth of a suspect that is a whole request, known by its fingerprint.
pub const WHOLE_DEPTH: u32 = u32::MAX;
/// Depth of the part of a trial that its server refused unread. It is greater than that of any
/// part, as nodes keep the greatest depth that one of them reports.
pub const UNREAD_DEPTH: u32 = WHOLE_DEPTH - 1;
/// Length of a turn, in which one node may send a request with a quarantined part.
const TRIAL_TURN: Duration = Duration::from_secs(4);
/// Time from the start of a turn in which the request may be sent; all nodes know of it by the end.
const TRIAL_TIME: Duration = Duration::from_secs(2);
/// Time after a quarantine for which a part is tried only by requests without another suspect.
pub const SEPARATE_TIME: Duration = Duration::from_secs(8);

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
    /// Number of parts before it in the prompt, [`WHOLE_DEPTH`] or [`UNREAD_DEPTH`].
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

/// Quarantines that a report of another node began and ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineChanges {
    /// Parts that are newly quarantined.
    pub begun: Vec<PartId>,
    /// Parts that no longer are.
    pub ended: Vec<PartId>,
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
    /// Whether anything was written to the server.
    sent: bool,
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
        let is_young = |begun| end.saturating_duration_since(begun) < CONFIRM_TIME;
        self.sent && self.begun_at.is_none_or(is_young)
    }
}

/// Tracks which prompt parts may crash engines.
#[derive(Debug, Default)]
pub struct PartTracker {
    /// Runs in flight, and lost ones until they expire.
    runs: SlotMap<PartRunKey, Run>,
    evidence: Evidence,
}

/// Returns the turn in which a trial may be started at a time of day; `None` late in a turn.
pub fn trial_turn(unix_ms: u64) -> Option<u64> {
    let length = TRIAL_TURN.as_millis() as u64;
    let is_open = unix_ms % length < TRIAL_TIME.as_millis() as u64;
    is_open.then_some(unix_ms / length)
}

impl PartTracker {
    /// Records that a request is to be sent to a server that is to answer it: its shared parts in
    /// the order of the prompt, and a number that identifies the whole request.
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
            sent: false,
            begun_at: None,
            confirmed: false,
            lost_at: None,
        })
    }

    /// Records that the request is being written to the server.
    pub fn record_sent(&mut self, key: PartRunKey) {
        if let Some(run) = self.runs.get_mut(key) {
            run.sent = true;
        }
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
        self.evidence.clear(parts, whole, begun_at, now)
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
                self.evidence
                    .clear(run.parts, run.whole, run.begun_at.unwrap_or(now), now)
            }
            _ => Vec::new(),
        }
    }

    /// Records that a server's process ended unexpectedly, with the requests that waited for its
    /// answers or were lost there shortly before.
    pub fn record_crash(&mut self, server: ServerIncarnation, now: Instant) -> PartSuspects {
        let runs = self.runs.values();
        let runs = runs.filter(|run| run.server == server && run.is_suspect(now));
        let suspects: Vec<Suspect> = runs.flat_map(Run::suspects).collect();
        self.runs
            .retain(|_, run| run.lost_at.is_none() || run.server != server);
        if suspects.is_empty() {
            return PartSuspects::default();
        }
        self.evidence.add_crash(server, suspects, now)
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
        for (index, part) in parts.iter().enumerate() {
            let Some(quarantine) = self.evidence.quarantine(*part, now) else {
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
            over = over.or(Some((index, *part, quarantine.until)));
        }
        // One part decides for several, as different nodes may be in turn for them.
        let Some((index, part, until)) = over else {
            return PartVerdict::Allowed;
        };
        // If the server crashed, the trial would not tell the part from a suspect after it.
        let is_separate = !self.is_nearly_quarantined(&parts[index + 1..])
            || now.saturating_duration_since(until) >= SEPARATE_TIME;
        if is_separate && turn.is_some_and(|turn| is_trial_node(part, turn)) {
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
        let depth = self.evidence.depth(part);
        let suspects = vec![Suspect { part, depth }];
        self.evidence
            .add_crash(ServerIncarnation(trial), suspects, now);
    }

    /// Records that the server refused a trial without running it.
    pub fn record_unread(&mut self, part: PartId, trial: u64, now: Instant) {
        let suspects = vec![Suspect {
            part,
            depth: UNREAD_DEPTH,
        }];
        self.evidence
            .add_crash(ServerIncarnation(trial), suspects, now);
    }

    /// Returns whether one more crash may quarantine one of these parts.
    pub fn is_nearly_quarantined(&self, parts: &[PartId]) -> bool {
        let mut counts = parts.iter().filter_map(|part| self.evidence.count(*part));
        counts.any(|count| count + 1 >= QUARANTINE_CRASHES)
    }

    /// Returns what to send to peers: recent changes of this node, and all quarantined parts,
    /// which a peer that has just started doesn't know.
    pub fn export(&self, now: Instant) -> PartReport {
        self.evidence.export(now)
    }

    /// Returns the quarantined parts with their crashes, for storage that outlives the node.
    pub fn export_quarantined(&self, now: Instant) -> PartReport {
        self.evidence.export_quarantined(now)
    }

    /// Merges another node's report.
    pub fn merge(&mut self, report: &PartReport, now: Instant) -> QuarantineChanges {
        self.evidence.merge(report, now)
    }

    /// Removes expired runs and crashes; returns the parts whose quarantine is forgotten.
    pub fn sweep(&mut self, now: Instant) -> Vec<PartId> {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= LOST_RUN_TTL;
        self.runs.retain(|_, run| !run.lost_at.is_some_and(is_old));
        self.evidence.sweep(now)
    }
}
