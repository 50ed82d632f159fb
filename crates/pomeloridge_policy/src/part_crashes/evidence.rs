//! What is known of the crashes of servers and of the answers on prompt parts, by all nodes, and
//! the quarantines that follow.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::{
    PartCrash, PartId, PartReport, PartSuspects, QuarantineChanges, Suspect, UNREAD_DEPTH,
    WHOLE_DEPTH,
};
use crate::crashes::{QUARANTINE_CRASHES, ServerIncarnation};
use crate::hash::splitmix64;
use crate::suspicion::QUARANTINE_TTL;

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
/// Time for which a crash or an answer is sent to peers after its last change on this node;
/// repeated messages make up for lost ones.
const EXPORT_TTL: Duration = Duration::from_secs(2);
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 256;
/// Maximum number of suspects of a crash that this node reports.
const MAX_OWN_SUSPECTS: usize = 48;
/// Maximum number of suspects of a crash that are remembered, and of those of all crashes.
const MAX_SUSPECTS: usize = 512;
const MAX_ALL_SUSPECTS: usize = 16_384;
/// Maximum number of parts whose answers are remembered.
const MAX_ANSWERS: usize = 4096;
/// Maximum number of crashes in a message to a peer.
const MAX_EXPORTED_CRASHES: usize = 16;
/// Maximum number of their suspects, and of those of one crash.
const MAX_EXPORTED_SUSPECTS: usize = 64;
const MAX_CRASH_SUSPECTS: usize = 16;
/// Maximum number of answers in a message to a peer.
const MAX_EXPORTED_ANSWERS: usize = 32;
/// Number of crashes, one after the other, from which a part is quarantined though another one
/// explains them: several parts may be deadly. The first part of a prompt is not, as most prompts
/// share it.
const CERTAIN_CRASHES: usize = 5;
/// Time within which crashes are taken to have come at once, such as those of a whole domain.
const WAVE_TIME: Duration = Duration::from_millis(100);
/// Number of further crashes by which a part explains those of a whole request.
pub const DOMINANT_CRASHES: usize = 2;

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
pub(super) struct Quarantine {
    from: Instant,
    /// Time from which one node at a time may send a request with the part.
    pub(super) until: Instant,
}

/// Crashes and answers.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    crashes: HashMap<ServerIncarnation, Crash>,
    answers: HashMap<PartId, Answer>,
    /// Number of crashes that each suspect is not cleared of, derived from the crashes.
    counts: HashMap<PartId, usize>,
    /// Times of trials that were refused unread, derived from the crashes.
    unread: HashMap<PartId, Vec<Instant>>,
    /// Derived from the crashes.
    quarantines: HashMap<PartId, Quarantine>,
}

impl Evidence {
    /// Records that an answer began on a prompt with these parts; returns those whose quarantine
    /// this ended.
    pub(super) fn clear(
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

    /// Records a crash of a server with its suspects.
    pub(super) fn add_crash(
        &mut self,
        server: ServerIncarnation,
        mut suspects: Vec<Suspect>,
        now: Instant,
    ) -> PartSuspects {
        suspects.sort_by_key(|suspect| self.rank(suspect));
        let mut seen = BTreeSet::new();
        suspects.retain(|suspect| seen.insert(suspect.part));
        suspects.truncate(MAX_OWN_SUSPECTS);
        let crash = self.crashes.entry(server).or_insert(Crash {
            at: now,
            suspects: BTreeMap::new(),
            updated: None,
        });
        crash.add(server, &suspects);
        crash.updated = Some(now);
        let quarantined = self.update().begun;
        let count = |Suspect { part, .. }| Some((part, self.count(part)?));
        PartSuspects {
            counts: suspects.into_iter().filter_map(count).collect(),
            quarantined,
        }
    }

    /// Returns the quarantine of a part that is in force.
    pub(super) fn quarantine(&self, part: PartId, now: Instant) -> Option<Quarantine> {
        let quarantine = self.quarantines.get(&part)?;
        (quarantine.from <= now).then_some(*quarantine)
    }

    /// Returns the number of crashes that a suspect is not cleared of.
    pub(super) fn count(&self, part: PartId) -> Option<usize> {
        self.counts.get(&part).copied()
    }

    /// Returns the greatest depth of a part.
    pub(super) fn depth(&self, part: PartId) -> u32 {
        let depths = self.crashes.values();
        let depths = depths.filter_map(|crash| crash.suspects.get(&part).copied());
        let depths = depths.filter(|depth| *depth != UNREAD_DEPTH);
        depths.max().unwrap_or_default()
    }

    /// Returns what to send to peers: recent changes of this node, and all quarantined parts,
    /// which a peer that has just started doesn't know.
    pub(super) fn export(&self, now: Instant) -> PartReport {
        let is_recent = |at: Option<Instant>| {
            at.is_some_and(|at| now.saturating_duration_since(at) < EXPORT_TTL)
        };
        let latest = self.latest_crashes();
        let crashes = self.crashes.iter().filter_map(|(server, crash)| {
            let is_news = is_recent(crash.updated);
            let is_included =
                |suspect: &Suspect| is_news || self.quarantines.contains_key(&suspect.part);
            let mut suspects: Vec<Suspect> = crash.suspects().filter(is_included).collect();
            suspects.sort_by_key(|suspect| self.rank(suspect));
            suspects.truncate(MAX_CRASH_SUSPECTS);
            (!suspects.is_empty()).then(|| (is_news, crash.report(*server, suspects, now)))
        });
        let mut crashes: Vec<(bool, PartCrash)> = crashes.collect();
        crashes
            .sort_by_key(|(_, crash)| (!latest.contains(&crash.server), crash.age, crash.server));
        // What only this node has seen must reach the others however many parts are quarantined,
        // which all nodes tell.
        let (mut news, mut known): (Vec<_>, Vec<_>) =
            crashes.into_iter().partition(|(is_news, _)| *is_news);
        known.extend(news.split_off(news.len().min(MAX_EXPORTED_CRASHES / 2)));
        let mut room = MAX_EXPORTED_SUSPECTS / 2;
        let mut crashes: Vec<PartCrash> = news.into_iter().map(|(_, crash)| crash).collect();
        for crash in &mut crashes {
            crash.suspects.truncate(room);
            room -= crash.suspects.len();
        }
        room += MAX_EXPORTED_SUSPECTS / 2;
        for (_, mut crash) in known {
            if crashes.len() == MAX_EXPORTED_CRASHES {
                break;
            }
            crash.suspects.truncate(room);
            room -= crash.suspects.len();
            crashes.push(crash);
        }
        crashes.retain(|crash| !crash.suspects.is_empty());
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
    pub(super) fn export_quarantined(&self, now: Instant) -> PartReport {
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

    /// Merges another node's report.
    pub(super) fn merge(&mut self, report: &PartReport, now: Instant) -> QuarantineChanges {
        if *report == PartReport::default() {
            return QuarantineChanges::default();
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
            crash.add(*server, suspects);
            for Suspect { part, .. } in suspects {
                if let Some(answer) = self.answers.get_mut(part)
                    && answer.own.is_some_and(|own| own > crash.at)
                {
                    answer.updated = Some(now);
                }
            }
        }
        self.evict_answers();
        self.update()
    }

    /// Removes expired crashes; returns the parts whose quarantine is forgotten.
    pub(super) fn sweep(&mut self, now: Instant) -> Vec<PartId> {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= CRASH_TTL;
        let before = self.quarantines.clone();
        let is_needed = |part: &PartId| {
            let quarantine = before.get(part);
            quarantine.is_some_and(|quarantine| !is_old(quarantine.until))
        };
        let count = self.crashes.len();
        self.crashes
            .retain(|_, crash| !is_old(crash.at) || crash.suspects.keys().any(is_needed));
        if self.crashes.len() < count {
            self.derive();
        }
        let known = before.into_keys();
        known
            .filter(|part| !self.quarantines.contains_key(part))
            .collect()
    }

    /// Derives the quarantines anew.
    fn update(&mut self) -> QuarantineChanges {
        let before = self.quarantines.clone();
        self.evict_crashes();
        self.derive();
        QuarantineChanges {
            begun: only_in(&self.quarantines, &before),
            ended: only_in(&before, &self.quarantines),
        }
    }

    /// Returns the latest crashes of each quarantined part, enough to quarantine it elsewhere.
    fn latest_crashes(&self) -> BTreeSet<ServerIncarnation> {
        let mut latest = BTreeSet::new();
        for part in self.quarantines.keys() {
            let crashes = self.crashes.iter();
            let crashes = crashes.filter(|(_, crash)| {
                let depth = crash.suspects.get(part);
                depth.is_some_and(|depth| *depth != UNREAD_DEPTH)
            });
            let mut crashes: Vec<(Instant, ServerIncarnation)> =
                crashes.map(|(server, crash)| (crash.at, *server)).collect();
            crashes.sort_unstable_by(|one, other| other.cmp(one));
            let crashes = crashes.into_iter().take(QUARANTINE_CRASHES);
            latest.extend(crashes.map(|(_, server)| server));
        }
        latest
    }

    fn own_answers(&self, parts: BTreeSet<PartId>, now: Instant) -> Vec<(PartId, Duration)> {
        let answers = parts.into_iter().filter_map(|part| {
            let own = self.answers.get(&part)?.own?;
            Some((part, now.saturating_duration_since(own)))
        });
        answers.take(MAX_EXPORTED_ANSWERS).collect()
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
        self.unread.clear();
        for (server, crash) in &self.crashes {
            for Suspect { part, depth } in crash.suspects() {
                if self.last_answer(part).is_some_and(|at| at >= crash.at) {
                    continue;
                }
                if depth == UNREAD_DEPTH {
                    self.unread.entry(part).or_default().push(crash.at);
                } else {
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
        let by_wholes = self.explain(uncleared.clone(), &depths);
        for (part, crashes) in &uncleared {
            let is_inner = depths
                .get(part)
                .is_some_and(|depth| (1..WHOLE_DEPTH).contains(depth));
            if is_inner && self.wave_count(crashes.difference(&by_wholes)) >= CERTAIN_CRASHES {
                let quarantine = self.derive_quarantine(*part, crashes);
                self.quarantines.insert(*part, quarantine);
            }
        }
    }

    /// Returns the number of crashes, of which those within [`WAVE_TIME`] count as one.
    fn wave_count<'a>(&self, crashes: impl Iterator<Item = &'a ServerIncarnation>) -> usize {
        let times = crashes.filter_map(|server| Some(self.crashes.get(server)?.at));
        let mut times: Vec<Instant> = times.collect();
        times.sort_unstable();
        let mut last = None;
        let is_next = |at: &&Instant| {
            let is_next = last.is_none_or(|last| at.saturating_duration_since(last) >= WAVE_TIME);
            last = if is_next { Some(**at) } else { last };
            is_next
        };
        times.iter().filter(is_next).count()
    }

    /// Quarantines the parts that explain the crashes that suspects are not cleared of. Returns the
    /// crashes that whole requests explain.
    fn explain(
        &mut self,
        mut uncleared: HashMap<PartId, BTreeSet<ServerIncarnation>>,
        depths: &HashMap<PartId, u32>,
    ) -> BTreeSet<ServerIncarnation> {
        let mut by_wholes = BTreeSet::new();
        loop {
            uncleared.retain(|_, crashes| crashes.len() >= QUARANTINE_CRASHES);
            let rank = |(part, crashes): &(&PartId, &BTreeSet<ServerIncarnation>)| {
                let depth = depths.get(part);
                let answered = self.last_answer(**part);
                (answered, Reverse(crashes.len()), Reverse(depth), **part)
            };
            let Some(likeliest) = uncleared.iter().min_by_key(rank) else {
                return by_wholes;
            };
            // A whole request is never answered before it is sent. The oldest of the parts that
            // have all its crashes is one of its own.
            let is_whole = depths.get(likeliest.0) == Some(&WHOLE_DEPTH);
            let parts = uncleared.iter().filter(|(part, crashes)| {
                is_whole
                    && depths.get(part) != Some(&WHOLE_DEPTH)
                    && crashes.is_superset(likeliest.1)
            });
            let oldest = parts.min_by_key(rank);
            let (part, explained) = oldest
                .filter(|(_, crashes)| crashes.len() >= likeliest.1.len() + DOMINANT_CRASHES)
                .unwrap_or(likeliest);
            let (answered, depth) = (self.last_answer(*part), depths.get(part));
            let explained = explained.clone();
            if depth == Some(&WHOLE_DEPTH) {
                by_wholes.extend(&explained);
            }
            // Parts that have all of this in common can't be told apart.
            let is_alike = |part: &PartId, crashes: &BTreeSet<ServerIncarnation>| {
                self.last_answer(*part) == answered
                    && depths.get(part) == depth
                    && *crashes == explained
            };
            let alike = uncleared.iter();
            let alike = alike.filter(|(part, crashes)| is_alike(part, crashes));
            let alike: Vec<PartId> = alike.map(|(part, _)| *part).collect();
            for part in alike {
                let quarantine = self.derive_quarantine(part, &explained);
                self.quarantines.insert(part, quarantine);
            }
            for crashes in uncleared.values_mut() {
                crashes.retain(|server| !explained.contains(server));
            }
        }
    }

    /// Returns the quarantine of a part that has caused these crashes since its last answer, at
    /// least [`QUARANTINE_CRASHES`].
    fn derive_quarantine(&self, part: PartId, crashes: &BTreeSet<ServerIncarnation>) -> Quarantine {
        let times = crashes
            .iter()
            .filter_map(|server| Some(self.crashes.get(server)?.at));
        let mut times: Vec<Instant> = times.collect();
        times.sort_unstable();
        let (first, third) = (times[0], times[QUARANTINE_CRASHES - 1]);
        let is_recent = self
            .last_answer(part)
            .is_some_and(|at| first.saturating_duration_since(at) < RECENT_ANSWER);
        let grace = if is_recent {
            RECENT_GRACE
        } else {
            Duration::ZERO
        };
        let unread = self.unread.get(&part).into_iter().flatten();
        let later = times[QUARANTINE_CRASHES..].iter().map(|at| (*at, false));
        let mut later: Vec<(Instant, bool)> = later.chain(unread.map(|at| (*at, true))).collect();
        later.sort_unstable();
        let (mut last, mut length, mut is_spared) = (third, FIRST_QUARANTINE, false);
        for (at, is_unread) in &later {
            if at.saturating_duration_since(last) < STEP_TIME {
                continue;
            }
            // Of trials that engines refuse one after the other, every second one counts, as each
            // of them reaches an engine.
            is_spared = *is_unread && !is_spared;
            if !is_spared {
                length = MAX_QUARANTINE.min(length * QUARANTINE_FACTOR);
                last = *at;
            }
        }
        let latest = later.last().map_or(third, |(at, _)| third.max(*at));
        Quarantine {
            from: third + grace,
            until: latest + length,
        }
    }

    /// Evicts the oldest crashes, those of quarantined parts last.
    fn evict_crashes(&mut self) {
        let crashes = self.crashes.values();
        let mut suspect_count: usize = crashes.map(|crash| crash.suspects.len()).sum();
        while self.crashes.len() > MAX_CRASHES || suspect_count > MAX_ALL_SUSPECTS {
            let oldest = self.crashes.iter().min_by_key(|(server, crash)| {
                let mut suspects = crash.suspects.keys();
                let is_needed = suspects.any(|part| self.quarantines.contains_key(part));
                (is_needed, crash.at, **server)
            });
            let Some(server) = oldest.map(|(server, _)| *server) else {
                return;
            };
            let evicted = self.crashes.remove(&server);
            suspect_count -= evicted.map_or(0, |crash| crash.suspects.len());
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

/// Returns the parts that only the first of two maps contains.
fn only_in(
    quarantines: &HashMap<PartId, Quarantine>,
    others: &HashMap<PartId, Quarantine>,
) -> Vec<PartId> {
    let parts = quarantines.keys().copied();
    let mut parts: Vec<PartId> = parts.filter(|part| !others.contains_key(part)).collect();
    parts.sort_unstable();
    parts
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

    /// Adds suspects. Which of too many are kept must not depend on the order of the reports, and
    /// must not be the same at each crash, so that no part is always left out.
    fn add(&mut self, server: ServerIncarnation, suspects: &[Suspect]) {
        for Suspect { part, depth } in suspects {
            let deepest = self.suspects.entry(*part).or_default();
            *deepest = (*deepest).max(*depth);
        }
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let mut ranked: Vec<Suspect> = self.suspects().collect();
        ranked.sort_by_cached_key(|Suspect { part, depth }| {
            (*depth == WHOLE_DEPTH, splitmix64(server.0 ^ part), *part)
        });
        for Suspect { part, .. } in &ranked[MAX_SUSPECTS..] {
            self.suspects.remove(part);
        }
    }
}
