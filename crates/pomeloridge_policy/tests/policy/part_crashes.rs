//! Quarantine of prompt parts that crash engines.

use std::time::{Duration, Instant};

use pomeloridge_policy::crashes::{RunOutcome, ServerIncarnation};
use pomeloridge_policy::part_crashes::{
    CONFIRM_TIME, PartCrash, PartId, PartReport, PartTracker, PartVerdict, QuarantineChanges,
    RECENT_GRACE, SEPARATE_TIME, Suspect, UNREAD_DEPTH, trial_turn,
};
use proptest::prelude::*;
use yare::parameterized;

use crate::support::{CASES, config, ms};

/// Part that all prompts share.
const SYSTEM: PartId = 1;
const DEADLY: PartId = 2;
const SOUND: PartId = 3;
/// Number of generated cases with many reports each.
const FEW_CASES: u32 = 16;
/// Whole requests have this number and the following ones.
const FIRST_WHOLE: PartId = 1 << 32;
const TURN: Option<u64> = Some(7);

/// Loses requests with these parts at a server, before their answers begin, and records its crash.
fn crash(tracker: &mut PartTracker, server: u64, prompts: &[&[PartId]], now: Instant) {
    for (number, parts) in (0..).zip(prompts) {
        let whole = FIRST_WHOLE + server * 100 + number;
        lose(tracker, server, parts, whole, now);
    }
    tracker.record_crash(ServerIncarnation(server), now);
}

/// Loses a request at a server before its answer begins.
fn lose(tracker: &mut PartTracker, server: u64, parts: &[PartId], whole: PartId, now: Instant) {
    let run = tracker.start_run(parts.to_vec(), whole, ServerIncarnation(server));
    tracker.record_sent(run);
    tracker.finish_run(run, RunOutcome::Lost, now);
}

/// Answers a request with these parts.
fn answer(tracker: &mut PartTracker, parts: &[PartId], now: Instant) {
    let run = tracker.start_run(parts.to_vec(), FIRST_WHOLE, ServerIncarnation(1000));
    tracker.finish_run(run, RunOutcome::Answered, now);
}

fn is_allowed(tracker: &PartTracker, parts: &[PartId], now: Instant) -> bool {
    tracker.verdict(parts, None, |_, _| false, now) == PartVerdict::Allowed
}

/// Returns the time until a trial with the part is possible.
fn left(tracker: &PartTracker, part: PartId, now: Instant) -> Option<Duration> {
    match tracker.verdict(&[part], None, |_, _| false, now) {
        PartVerdict::Quarantined { is_over: true, .. } => Some(Duration::ZERO),
        PartVerdict::Quarantined { left, .. } => Some(left),
        _ => None,
    }
}

/// Guards against requests with one part that crash engine after engine, as each of them is new.
#[test]
fn a_part_is_quarantined_after_three_engines_crashed_under_it() {
    let now = Instant::now();
    let mut tracker = PartTracker::default();
    for server in 1..=3 {
        assert!(is_allowed(&tracker, &[SYSTEM, DEADLY], now));
        crash(&mut tracker, server, &[&[SYSTEM, DEADLY]], now);
        answer(&mut tracker, &[SYSTEM, SOUND], now + ms(1));
    }
    let now = now + ms(2);
    assert!(!is_allowed(&tracker, &[SYSTEM, DEADLY], now));
    assert!(is_allowed(&tracker, &[SYSTEM, SOUND], now));
    assert!(is_allowed(&tracker, &[SYSTEM], now));
}

/// Guards against restoring a quarantine that has ended: where a domain of engines crashes under the
/// part that all prompts of a route share, one node sees the answer that clears it, and the others
/// have stored the crashes.
#[test]
fn a_quarantine_that_a_peers_answer_ends_is_no_longer_stored() {
    let start = Instant::now();
    let now = start + Duration::from_secs(100);
    let (mut here, mut there) = (PartTracker::default(), PartTracker::default());
    for server in 1..=12 {
        crash(&mut there, server, &[&[SYSTEM, SOUND + server]], now);
    }
    let begun = here.merge(&there.export(now), now).begun;
    assert_eq!(begun, [SYSTEM]);
    assert!(!here.export_quarantined(now).crashes.is_empty());

    let later = now + ms(200);
    answer(&mut there, &[SYSTEM, DEADLY], later);
    let changes = here.merge(&there.export(later), later);
    assert_eq!(changes.ended, [SYSTEM]);
    assert!(changes.begun.is_empty());
    assert_eq!(here.export_quarantined(later), PartReport::default());
    // A report that comes again changes nothing.
    let changes = here.merge(&there.export(later), later);
    assert_eq!(changes, QuarantineChanges::default());
}

/// Guards against barring the part that all prompts share while no engine is up to clear it.
#[parameterized(
    never_answered = { None },
    answered_before = { Some(60) },
)]
fn the_part_without_an_answer_for_longest_explains_the_crashes(deadly_age: Option<u64>) {
    let start = Instant::now();
    let now = start + Duration::from_secs(100);
    let mut tracker = PartTracker::default();
    if let Some(age) = deadly_age {
        answer(
            &mut tracker,
            &[SYSTEM, DEADLY],
            now.checked_sub(Duration::from_secs(age)).unwrap(),
        );
    }
    answer(
        &mut tracker,
        &[SYSTEM, SOUND],
        now.checked_sub(ms(100)).unwrap(),
    );
    for server in 1..=8 {
        let prompts: &[&[PartId]] = &[&[SYSTEM, DEADLY], &[SYSTEM, SOUND]];
        crash(&mut tracker, server, prompts, now);
    }
    let later = now + RECENT_GRACE;
    assert!(!is_allowed(&tracker, &[DEADLY], later));
    assert!(is_allowed(&tracker, &[SYSTEM, SOUND], later));
}

/// Guards against barring the part that all prompts share where no answer ever began.
#[test]
fn of_parts_without_any_answer_the_deepest_is_suspected_first() {
    let now = Instant::now();
    let mut tracker = PartTracker::default();
    for server in 1..=3 {
        crash(&mut tracker, server, &[&[SYSTEM, DEADLY]], now);
    }
    assert!(is_allowed(&tracker, &[SYSTEM, SOUND], now));
    assert!(!is_allowed(&tracker, &[SYSTEM, DEADLY], now));
    // A crash under another prompt shows that it was the part before.
    crash(&mut tracker, 4, &[&[SYSTEM, SOUND]], now);
    assert!(!is_allowed(&tracker, &[SYSTEM, SOUND], now));
    assert!(is_allowed(&tracker, &[DEADLY], now));
}

/// Guards against barring the parts of a request that crashes engines as a whole, and is sent
/// again and again.
#[test]
fn a_whole_request_explains_its_crashes() {
    let now = Instant::now();
    let mut tracker = PartTracker::default();
    for server in 1..=5 {
        lose(&mut tracker, server, &[SYSTEM, SOUND], FIRST_WHOLE, now);
        tracker.record_crash(ServerIncarnation(server), now);
    }
    assert!(is_allowed(&tracker, &[SYSTEM, SOUND], now));
}

/// Guards against two deadly parts of which one is taken to explain the other's crashes, so that it
/// is sent on.
#[test]
fn two_deadly_parts_are_both_quarantined_and_what_they_share_is_not() {
    let start = Instant::now();
    let mut tracker = PartTracker::default();
    answer(&mut tracker, &[SYSTEM, DEADLY], start);
    answer(&mut tracker, &[SYSTEM, SOUND], start + ms(1));
    answer(&mut tracker, &[SYSTEM], start + ms(2));
    let mut now = start + ms(100);
    for server in 1..=9 {
        now += ms(300);
        let prompts: &[&[PartId]] = match server {
            1..=2 => &[&[SYSTEM, SOUND]],
            3..=7 => &[&[SYSTEM, DEADLY], &[SYSTEM, SOUND]],
            _ => &[&[SYSTEM, DEADLY]],
        };
        crash(&mut tracker, server, prompts, now);
    }
    assert!(!is_allowed(&tracker, &[SYSTEM, DEADLY], now));
    assert!(!is_allowed(&tracker, &[SYSTEM, SOUND], now));
    assert!(is_allowed(&tracker, &[SYSTEM, SOUND + 1], now));
}

/// Guards against suspecting a request that was to be sent to a server that had already ended.
#[test]
fn a_request_that_was_not_written_is_no_suspect() {
    let now = Instant::now();
    let mut tracker = PartTracker::default();
    for server in 1..=3 {
        crash(&mut tracker, server, &[&[SYSTEM, DEADLY]], now);
        let server = ServerIncarnation(server);
        tracker.start_run(vec![SOUND], FIRST_WHOLE, server);
        tracker.record_crash(server, now + ms(10));
    }
    assert!(is_allowed(&tracker, &[SOUND], now + ms(10)));
    assert!(!is_allowed(&tracker, &[DEADLY], now + ms(10)));
}

/// Guards against taking callers' returns, each with a request of its own, for the cause.
#[test]
fn a_part_explains_the_crashes_of_requests_that_are_sent_again() {
    let start = Instant::now();
    let mut tracker = PartTracker::default();
    answer(&mut tracker, &[SYSTEM, DEADLY], start);
    let now = start + Duration::from_mins(1);
    for server in 1..=6 {
        let whole = FIRST_WHOLE + server / 5;
        lose(&mut tracker, server, &[SYSTEM, DEADLY], whole, now);
        tracker.record_crash(ServerIncarnation(server), now);
        answer(&mut tracker, &[SYSTEM], now + ms(1));
    }
    assert!(!is_allowed(&tracker, &[SYSTEM, DEADLY], now));
    assert!(is_allowed(&tracker, &[SYSTEM, SOUND], now));
}

/// Guards against barring what was merely on the engines of a domain that is lost at once.
#[test]
fn an_answer_elsewhere_clears_parts_of_engines_lost_at_once() {
    let now = Instant::now();
    let mut tracker = PartTracker::default();
    answer(&mut tracker, &[SYSTEM], now);
    for server in 1..=10 {
        crash(&mut tracker, server, &[&[SYSTEM, server + 10]], now + ms(1));
    }
    assert!(is_allowed(&tracker, &[SYSTEM], now + ms(400)));
    answer(&mut tracker, &[SYSTEM], now + ms(400));
    assert!(is_allowed(&tracker, &[SYSTEM], now + RECENT_GRACE * 2));
}

/// Guards against clearing a part by an answer that its engine began and did not survive.
#[parameterized(
    crashed_at_once = { CONFIRM_TIME.saturating_sub(Duration::from_millis(1)), true },
    went_on = { CONFIRM_TIME, false },
)]
fn an_answer_clears_its_parts_once_it_has_gone_on(time: Duration, is_suspect: bool) {
    let mut now = Instant::now();
    let mut tracker = PartTracker::default();
    for server in 1..=3 {
        let run = tracker.start_run(
            vec![DEADLY],
            FIRST_WHOLE + server,
            ServerIncarnation(server),
        );
        tracker.record_sent(run);
        tracker.record_output(run, now);
        now += time;
        tracker.record_output(run, now);
        tracker.finish_run(run, RunOutcome::Lost, now);
        tracker.record_crash(ServerIncarnation(server), now);
    }
    assert_eq!(!is_allowed(&tracker, &[DEADLY], now), is_suspect);
}

#[test]
fn a_quarantine_is_longer_after_each_trial() {
    let mut now = Instant::now();
    let mut tracker = PartTracker::default();
    for server in 1..=5 {
        crash(&mut tracker, server, &[&[DEADLY]], now);
    }
    let mut lengths = Vec::new();
    for server in 6..=9 {
        let length = left(&tracker, DEADLY, now).unwrap();
        lengths.push(length.as_secs());
        now += length;
        assert_eq!(left(&tracker, DEADLY, now), Some(Duration::ZERO));
        crash(&mut tracker, server, &[&[DEADLY]], now);
        tracker.sweep(now);
    }
    assert_eq!(lengths, [2, 12, 72, 432]);
    answer(&mut tracker, &[DEADLY], now + ms(1));
    assert!(is_allowed(&tracker, &[DEADLY], now + ms(1)));
}

/// Guards against several nodes, or one node several times, that try a part at once.
#[test]
fn one_node_sends_one_request_a_turn_after_a_quarantine() {
    let start = Instant::now();
    let mut tracker = PartTracker::default();
    for server in 1..=3 {
        crash(&mut tracker, server, &[&[DEADLY]], start);
    }
    let (before, now) = (start + ms(1_999), start + ms(2_000));
    let verdict = |tracker: &PartTracker, is_trial_node: bool, turn, now| {
        tracker.verdict(&[SYSTEM, DEADLY], turn, |_, _| is_trial_node, now)
    };
    let trial = PartVerdict::Trial(DEADLY);
    assert_ne!(verdict(&tracker, true, TURN, before), trial);
    assert_ne!(verdict(&tracker, false, TURN, now), trial);
    assert_ne!(verdict(&tracker, true, None, now), trial);
    assert_eq!(verdict(&tracker, true, TURN, now), trial);
    // Whatever becomes of the trial, it makes the quarantine longer, also at other nodes.
    tracker.record_trial(DEADLY, 99, now);
    let mut other = PartTracker::default();
    other.merge(&tracker.export(now), now);
    for tracker in [&tracker, &other] {
        assert_eq!(left(tracker, DEADLY, now), Some(Duration::from_secs(12)));
    }
    crash(&mut tracker, 4, &[&[SYSTEM, DEADLY]], now + ms(1_900));
    assert_eq!(
        left(&tracker, DEADLY, now + ms(1_900)),
        Some(Duration::from_secs(12))
    );
    let now = now + Duration::from_secs(14);
    tracker.record_trial(DEADLY, 100, now);
    assert_eq!(left(&tracker, DEADLY, now), Some(Duration::from_secs(72)));
    answer(&mut tracker, &[SYSTEM, DEADLY], now + ms(1));
    assert!(is_allowed(&tracker, &[SYSTEM, DEADLY], now + ms(1)));
    // Late in a turn, another node might start the next trial before it knows of this one.
    assert_eq!(trial_turn(8_000), Some(2));
    assert_eq!(trial_turn(10_000), None);
}

/// Guards against barring a sound part for longer because engines refuse its trials unread, and
/// against sending one trial after the other to engines that refuse them.
#[test]
fn a_trial_that_was_refused_unread_makes_the_quarantine_start_anew() {
    let start = Instant::now();
    let mut tracker = PartTracker::default();
    for server in 1..=3 {
        crash(&mut tracker, server, &[&[SYSTEM, DEADLY]], start);
    }
    let mut now = start;
    let mut lengths = Vec::new();
    for (trial, is_unread) in (90..).zip([true, true, true, false, true, true]) {
        now += left(&tracker, DEADLY, now).unwrap();
        tracker.record_trial(DEADLY, trial, now);
        let mut other = PartTracker::default();
        other.merge(&tracker.export(now), now);
        if is_unread {
            tracker.record_unread(DEADLY, trial, now + ms(5));
        }
        // Reports that a peer sent before it knew of the refusal don't undo it.
        let early = other.export(now);
        other.merge(&tracker.export(now), now);
        tracker.merge(&early, now);
        other.merge(&early, now);
        let length = left(&tracker, DEADLY, now).unwrap();
        assert_eq!(left(&other, DEADLY, now), Some(length));
        lengths.push(length.as_secs());
    }
    assert_eq!(lengths, [2, 12, 12, 72, 72, 432]);
    answer(&mut tracker, &[SYSTEM, DEADLY], now + ms(10));
    assert!(is_allowed(&tracker, &[SYSTEM, DEADLY], now + ms(10)));
}

/// Guards against counting a refused trial as one of the crashes that quarantine a part.
#[test]
fn a_trial_that_was_refused_unread_is_no_crash() {
    let now = Instant::now();
    let mut tracker = PartTracker::default();
    for server in 1..=2 {
        crash(&mut tracker, server, &[&[SYSTEM, DEADLY]], now);
    }
    tracker.record_unread(DEADLY, 90, now);
    assert!(is_allowed(&tracker, &[SYSTEM, DEADLY], now));
    assert!(is_allowed(&tracker, &[SYSTEM], now));
}

/// Guards against trying the part that all prompts share with a request that has the deadly part,
/// which bars all of them for longer.
#[test]
fn a_part_is_tried_without_another_suspect() {
    let start = Instant::now();
    let mut tracker = PartTracker::default();
    crash(&mut tracker, 1, &[&[SYSTEM, SOUND]], start);
    for server in 2..=4 {
        crash(&mut tracker, server, &[&[SYSTEM, DEADLY]], start);
    }
    let now = start + ms(2_000);
    let verdict = |tracker: &PartTracker, parts: &[PartId], now| {
        tracker.verdict(parts, TURN, |_, _| true, now)
    };
    let trial = PartVerdict::Trial(SYSTEM);
    assert_ne!(verdict(&tracker, &[SYSTEM, DEADLY], now), trial);
    assert_eq!(verdict(&tracker, &[SYSTEM], now), trial);
    // A single crash is no reason to wait for another request.
    assert_eq!(verdict(&tracker, &[SYSTEM, SOUND], now), trial);
    // There may be none without another suspect.
    assert_eq!(
        verdict(&tracker, &[SYSTEM, DEADLY], now + SEPARATE_TIME),
        trial
    );
    // The answer tells which of the two it is.
    tracker.record_trial(SYSTEM, 99, now);
    answer(&mut tracker, &[SYSTEM], now + ms(1));
    assert!(is_allowed(&tracker, &[SYSTEM, SOUND], now + ms(1)));
    assert!(!is_allowed(&tracker, &[SYSTEM, DEADLY], now + ms(1)));
}

/// Guards against trying a deadly part while the part before it is barred as well: the crash would
/// bar that for longer, too.
#[test]
fn of_two_parts_the_first_of_the_prompt_is_tried_first() {
    const LAST: PartId = DEADLY;
    const FIRST: PartId = LAST + 1;
    let start = Instant::now();
    let mut tracker = PartTracker::default();
    let mut now = start;
    for server in 1..=5 {
        now += ms(150);
        crash(&mut tracker, server, &[&[FIRST, LAST]], now);
    }
    crash(&mut tracker, 6, &[&[FIRST]], now);
    let verdict = |parts: &[PartId], now| tracker.verdict(parts, TURN, |_, _| true, now);
    assert!(!is_allowed(&tracker, &[FIRST], now));
    assert!(!is_allowed(&tracker, &[LAST], now));
    let now = now + ms(2_000);
    assert_ne!(verdict(&[FIRST, LAST], now), PartVerdict::Trial(LAST));
    assert_eq!(verdict(&[FIRST], now), PartVerdict::Trial(FIRST));
}

/// Guards against five crashes at five nodes none of which has heard of the others'.
#[test]
fn nodes_combine_the_crashes_that_each_has_seen() {
    let now = Instant::now();
    let mut nodes: Vec<PartTracker> = (0..5).map(|_| PartTracker::default()).collect();
    for (server, node) in (1..).zip(&mut nodes) {
        answer(node, &[SYSTEM, SOUND], now.checked_sub(ms(50)).unwrap());
        let prompts: &[&[PartId]] = &[&[SYSTEM, DEADLY], &[SYSTEM, SOUND]];
        crash(node, server, prompts, now);
    }
    let reports: Vec<PartReport> = nodes.iter().map(|node| node.export(now)).collect();
    for node in &mut nodes {
        for report in &reports {
            node.merge(report, now);
        }
        assert!(!is_allowed(node, &[DEADLY], now));
        assert!(is_allowed(node, &[SYSTEM, SOUND], now + RECENT_GRACE));
    }
}

/// Guards against crashes that the other nodes never hear of, as the parts that are quarantined
/// already take all the room in a message.
#[parameterized(
    none = { 0 },
    few = { 4 },
    many = { 5 },
    more = { 30 },
)]
fn crashes_are_told_however_many_parts_are_quarantined(quarantined: u64) {
    let start = Instant::now();
    let (mut here, mut there) = (PartTracker::default(), PartTracker::default());
    for part in 100..100 + quarantined {
        for number in 0..3 {
            crash(&mut here, part * 3 + number, &[&[part]], start);
        }
    }
    there.merge(&here.export_quarantined(start), start);
    let now = start + Duration::from_secs(10);
    crash(&mut here, 1, &[&[DEADLY]], now);
    crash(&mut here, 2, &[&[DEADLY]], now);
    there.merge(&here.export(now), now);
    assert!(is_allowed(&there, &[DEADLY], now));
    crash(&mut there, 3, &[&[DEADLY]], now);
    assert!(!is_allowed(&there, &[DEADLY], now));
}

/// Guards against a restarted node that refuses what the others serve, on old evidence.
#[test]
fn a_node_that_began_an_answer_since_clears_the_part_at_others() {
    let start = Instant::now();
    let (mut stale, mut serving) = (PartTracker::default(), PartTracker::default());
    for server in 1..=3 {
        crash(&mut stale, server, &[&[SOUND]], start);
    }
    let now = start + ms(100);
    answer(&mut serving, &[SOUND], now);
    assert!(!is_allowed(&stale, &[SOUND], now));
    serving.merge(&stale.export(now), now);
    assert!(is_allowed(&serving, &[SOUND], now));
    stale.merge(&serving.export(now), now);
    assert!(is_allowed(&stale, &[SOUND], now));
}

/// Guards against a quarantine that is lost with the processes of all nodes.
#[test]
fn a_stored_quarantine_is_in_force_at_a_new_node() {
    let now = Instant::now();
    let mut tracker = PartTracker::default();
    answer(&mut tracker, &[SYSTEM], now);
    for server in 1..=3 {
        crash(&mut tracker, server, &[&[SYSTEM, DEADLY]], now + ms(1));
    }
    let now = now + ms(2);
    let mut new_node = PartTracker::default();
    new_node.merge(&tracker.export_quarantined(now), now);
    assert!(!is_allowed(&new_node, &[DEADLY], now));
    assert!(is_allowed(&new_node, &[SYSTEM], now + RECENT_GRACE));
}

/// Guards against nodes that refresh each other's reports without end.
#[test]
fn a_quarantine_exchanged_back_and_forth_still_expires() {
    let start = Instant::now();
    let (mut here, mut there) = (PartTracker::default(), PartTracker::default());
    for server in 1..=3 {
        crash(&mut here, server, &[&[DEADLY]], start);
    }
    let mut now = start;
    while now < start + Duration::from_secs(610) {
        let report = here.export(now);
        now += ms(500);
        there.merge(&report, now);
        let report = there.export(now);
        now += ms(500);
        here.merge(&report, now);
        here.sweep(now);
        there.sweep(now);
    }
    assert_eq!(here.export(now), PartReport::default());
    assert_eq!(there.export(now), PartReport::default());
}

#[test]
fn an_export_is_bounded_and_holds_the_quarantined_parts() {
    let now = Instant::now();
    let mut tracker = PartTracker::default();
    for server in 1..=3 {
        crash(&mut tracker, server, &[&[DEADLY]], now);
    }
    let now = now + ms(10);
    for server in 100..200 {
        let others: Vec<PartId> = (0..20).map(|part| server * 100 + part).collect();
        crash(&mut tracker, server, &[&others], now);
    }
    let report = tracker.export(now);
    assert_eq!(report.crashes.len(), 7);
    let suspects = report.crashes.iter().map(|crash| crash.suspects.len());
    assert_eq!(suspects.sum::<usize>(), 64);
    assert!(
        report
            .crashes
            .iter()
            .all(|crash| crash.suspects.len() <= 16)
    );
    let deadly = report.crashes.iter();
    let deadly = deadly.filter(|crash| crash.suspects.iter().any(|suspect| suspect.part == DEADLY));
    assert_eq!(deadly.count(), 3);
}

/// Guards against a deadly part that is left out of each crash because more sound ones waited at
/// the engine, at any node, than a crash keeps.
#[parameterized(
    as_many_as_nodes_report = { 30 },
    more_than_are_kept = { 60 },
)]
fn a_deadly_part_is_quarantined_among_many_suspects(peers: u64) {
    let now = Instant::now();
    let mut tracker = PartTracker::default();
    for server in 1..=9 {
        for peer in 0..peers {
            let first = 10 + (server * peers + peer) * 15;
            let mut parts: Vec<PartId> = (first..first + 15).collect();
            parts.extend((peer + 1 == peers).then_some(DEADLY));
            tracker.merge(&crash_report(server, ms(server), &parts), now);
        }
    }
    assert!(!is_allowed(&tracker, &[SYSTEM, DEADLY], now));
    assert!(is_allowed(&tracker, &[SYSTEM, SOUND], now));
}

/// Returns a peer's report of a crash, with suspects at a depth of 1.
fn crash_report(server: u64, age: Duration, parts: &[PartId]) -> PartReport {
    let suspects = parts.iter().map(|part| Suspect {
        part: *part,
        depth: 1,
    });
    PartReport {
        crashes: vec![PartCrash {
            server: ServerIncarnation(server),
            age,
            suspects: suspects.collect(),
        }],
        answers: Vec::new(),
    }
}

proptest! {
    #![proptest_config(config(CASES))]

    /// Messages may arrive out of order, twice, or not at all at first.
    #[test]
    fn the_order_of_reports_does_not_matter(
        crashes in proptest::collection::vec((1_u64..8, 0_u64..500, proptest::collection::vec(1_u64..6, 1..4)), 1..12),
        trials in proptest::collection::vec((8_u64..12, 0_u64..20_000, 1_u64..6, any::<bool>()), 0..6),
        answers in proptest::collection::vec((1_u64..6, 0_u64..500), 0..6),
        order in any::<u64>(),
    ) {
        let now = Instant::now() + Duration::from_mins(1);
        let crash = |(server, age, suspects): &(u64, u64, Vec<PartId>)| PartReport {
            crashes: vec![PartCrash {
                server: ServerIncarnation(*server),
                age: ms(*age),
                suspects: suspects.iter().map(|part| Suspect { part: *part, depth: *part as u32 % 3 }).collect(),
            }],
            answers: Vec::new(),
        };
        let trial = |(number, age, part, is_unread): &(u64, u64, PartId, bool)| {
            let mut report = crash_report(*number, ms(*age), &[*part]);
            if *is_unread {
                report.crashes[0].suspects[0].depth = UNREAD_DEPTH;
            }
            report
        };
        let answer = |(part, age): &(PartId, u64)| PartReport {
            crashes: Vec::new(),
            answers: vec![(*part, ms(*age))],
        };
        let crashes = crashes.iter().map(crash);
        let crashes = crashes.chain(trials.iter().map(trial));
        let reports: Vec<PartReport> = crashes.chain(answers.iter().map(answer)).collect();
        let (mut one, mut other) = (PartTracker::default(), PartTracker::default());
        for report in &reports {
            one.merge(report, now);
        }
        let mut shuffled: Vec<&PartReport> = reports.iter().chain(&reports).collect();
        let count = shuffled.len();
        shuffled.rotate_left(order as usize % count);
        shuffled.reverse();
        for report in shuffled {
            other.merge(report, now);
        }
        for part in 1..6 {
            prop_assert_eq!(left(&one, part, now), left(&other, part, now));
        }
    }

    /// Of the parts of a burst of crashes only the deadly one stays barred, whatever sound requests
    /// wait on the same engines, as long as some engine answers them.
    #[test]
    fn sound_parts_are_barred_no_longer_than_their_answers_take(
        waiting in proptest::collection::vec(proptest::collection::vec(10_u64..40, 0..4), 3..12),
    ) {
        let start = Instant::now();
        let mut tracker = PartTracker::default();
        for (server, others) in (1_u64..).zip(&waiting) {
            let now = start + ms(server * 10);
            let mut prompts = vec![vec![SYSTEM, DEADLY]];
            prompts.extend(others.iter().map(|other| vec![SYSTEM, *other]));
            let prompts: Vec<&[PartId]> = prompts.iter().map(Vec::as_slice).collect();
            crash(&mut tracker, server, &prompts, now);
        }
        let now = start + ms(200);
        for other in waiting.iter().flatten() {
            answer(&mut tracker, &[SYSTEM, *other], now);
        }
        answer(&mut tracker, &[SYSTEM], now);
        prop_assert!(!is_allowed(&tracker, &[SYSTEM, DEADLY], now));
        for other in waiting.iter().flatten() {
            prop_assert!(is_allowed(&tracker, &[SYSTEM, *other], now));
        }
    }
}

proptest! {
    #![proptest_config(config(FEW_CASES))]

    /// Nodes come to the same conclusions where peers report more suspects than a crash keeps.
    #[test]
    fn the_order_of_reports_of_many_suspects_does_not_matter(
        reports in proptest::collection::vec((1_u64..4, proptest::collection::vec(1_u64..900, 16)), 30..200),
        order in any::<u64>(),
    ) {
        let now = Instant::now() + Duration::from_mins(1);
        let reports = reports.iter().map(|(server, parts)| crash_report(*server, ms(*server), parts));
        let reports: Vec<PartReport> = reports.collect();
        let mut shuffled: Vec<&PartReport> = reports.iter().collect();
        shuffled.rotate_left(order as usize % reports.len());
        shuffled.reverse();
        let (mut one, mut other) = (PartTracker::default(), PartTracker::default());
        for report in &reports {
            one.merge(report, now);
        }
        for report in shuffled {
            other.merge(report, now);
        }
        prop_assert_eq!(one.export_quarantined(now), other.export_quarantined(now));
        for part in 1..900 {
            prop_assert_eq!(left(&one, part, now), left(&other, part, now));
        }
    }
}
