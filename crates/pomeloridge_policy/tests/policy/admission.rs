//! Running, waiting and refusing.

use std::time::{Duration, Instant};

use pomeloridge_base::error::ErrorKind;
use pomeloridge_policy::admission::Admission;
use pomeloridge_policy::capacity::Capacity;
use pomeloridge_policy::share::Share;
use pomeloridge_policy::ticket::{AdmissionDecision, AdmissionSettings, Refusal, TicketKey};
use proptest::prelude::*;
use yare::parameterized;

use crate::support::{CASES, POOL, admission, ask, config, ms, name, work};

const FAR: Duration = Duration::from_hours(1);

/// Asks for a request with a far deadline.
fn arrive(admission: &mut Admission, account: &str, now: Instant) -> AdmissionDecision {
    admission.arrive(&ask(account, work(100, 10), now + FAR), now)
}

fn waiting(admit: AdmissionDecision) -> TicketKey {
    let AdmissionDecision::Enqueue(ticket) = admit else {
        panic!("it should wait: {admit:?}");
    };
    ticket
}

fn running(admit: AdmissionDecision) -> TicketKey {
    let AdmissionDecision::Start(ticket) = admit else {
        panic!("it should run: {admit:?}");
    };
    ticket
}

fn refused(admit: AdmissionDecision) -> Refusal {
    let AdmissionDecision::Refuse(refusal) = admit else {
        panic!("it should be refused: {admit:?}");
    };
    refusal
}

#[test]
fn requests_run_up_to_the_limit_and_then_wait() {
    let now = Instant::now();
    let mut admission = admission(2);
    let first = running(arrive(&mut admission, "a", now));
    running(arrive(&mut admission, "a", now));
    let third = waiting(arrive(&mut admission, "a", now));
    assert_eq!(admission.start_next(now), None);
    admission.finish(first, now + ms(100));
    assert_eq!(admission.start_next(now + ms(100)), Some(third));
    assert_eq!(admission.start_next(now + ms(100)), None);
}

#[test]
fn a_raised_capacity_starts_what_waits() {
    let now = Instant::now();
    let mut admission = admission(1);
    running(arrive(&mut admission, "a", now));
    let second = waiting(arrive(&mut admission, "a", now));
    admission.set_capacity(&name(POOL), Capacity { slots: 2, peers: 0 }, 1);
    assert_eq!(admission.start_next(now), Some(second));
}

#[test]
fn a_cancelled_request_leaves_its_place() {
    let now = Instant::now();
    let mut admission = admission(1);
    let first = running(arrive(&mut admission, "a", now));
    let second = waiting(arrive(&mut admission, "a", now));
    let third = waiting(arrive(&mut admission, "b", now));
    admission.cancel(third);
    admission.cancel(first);
    admission.cancel(first);
    assert_eq!(admission.start_next(now), Some(second));
    assert_eq!(admission.start_next(now), None);
    assert!(!admission.contains(third));
}

#[test]
fn a_request_refused_by_all_servers_waits_at_the_head() {
    let now = Instant::now();
    let mut admission = admission(1);
    let first = running(arrive(&mut admission, "a", now));
    waiting(arrive(&mut admission, "a", now));
    let before = admission.export(FAR, now);
    admission.requeue(first);
    assert_eq!(admission.state(&name(POOL)).waiting, 2);
    assert_eq!(admission.start_next(now), Some(first));
    assert_eq!(admission.export(FAR, now), before, "charged once");
}

#[test]
fn without_a_server_requests_are_refused() {
    let now = Instant::now();
    let mut admission = admission(0);
    let refusal = refused(arrive(&mut admission, "a", now));
    assert_eq!(refusal.kind, ErrorKind::NoServer);
    assert!(!refusal.retry.is_zero());
}

#[test]
fn queues_are_bounded() {
    let now = Instant::now();
    let mut admission = Admission::new(AdmissionSettings {
        queue: 5,
        account_queue: 3,
        ..AdmissionSettings::default()
    });
    admission.set_capacity(&name(POOL), Capacity { slots: 1, peers: 0 }, 1);
    running(arrive(&mut admission, "a", now));
    for _ in 0..3 {
        waiting(arrive(&mut admission, "a", now));
    }
    let busy = refused(arrive(&mut admission, "a", now));
    assert_eq!(busy.kind, ErrorKind::AccountBusy);
    waiting(arrive(&mut admission, "b", now));
    waiting(arrive(&mut admission, "b", now));
    let full = refused(arrive(&mut admission, "c", now));
    assert_eq!(full.kind, ErrorKind::Overloaded);
}

#[parameterized(
    in_time = { 20, true },
    too_late = { 3, false },
)]
fn a_wait_past_the_deadline_is_refused_at_once(seconds: u64, admitted: bool) {
    let now = Instant::now();
    let mut admission = admission(2);
    for _ in 0..12 {
        arrive(&mut admission, "a", now);
    }
    let deadline = now + Duration::from_secs(seconds);
    let admit = admission.arrive(&ask("a", work(100, 10), deadline), now);
    assert_eq!(
        matches!(admit, AdmissionDecision::Enqueue(_)),
        admitted,
        "{admit:?}"
    );
    if !admitted {
        let refusal = refused(admit);
        assert_eq!(refusal.kind, ErrorKind::Overloaded);
        assert!(refusal.retry >= Duration::from_secs(1));
    }
    let other = ask("b", work(100, 10), now + Duration::from_secs(5));
    assert!(
        matches!(admission.arrive(&other, now), AdmissionDecision::Enqueue(_)),
        "b goes before a's line"
    );
}

#[test]
fn a_request_is_refused_when_capacity_is_lost() {
    let now = Instant::now();
    let mut admission = admission(8);
    for _ in 0..8 {
        running(arrive(&mut admission, "a", now));
    }
    let soon = ask("b", work(100, 10), now + Duration::from_secs(2));
    let ticket = waiting(admission.arrive(&soon, now));
    assert!(admission.expire(now).is_empty());
    admission.set_capacity(&name(POOL), Capacity::default(), 1);
    let expired = admission.expire(now);
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].ticket, ticket);
    assert_eq!(expired[0].refusal.kind, ErrorKind::NoServer);
}

#[parameterized(
    alone = { 24, 0, 1, 24 },
    peers_in_flight = { 24, 10, 4, 14 },
    equal_part_is_kept = { 24, 24, 4, 6 },
    nothing_there = { 0, 0, 4, 0 },
)]
fn the_limit_leaves_slots_to_peers(slots: u32, peers: u32, nodes: u32, limit: u32) {
    assert_eq!(
        Share::default().limit(Capacity { slots, peers }, nodes),
        limit
    );
}

#[test]
fn refusals_lower_the_limit_and_successes_raise_it() {
    let now = Instant::now();
    let capacity = Capacity {
        slots: 100,
        peers: 0,
    };
    let mut share = Share::default();
    share.refuse(now);
    share.refuse(now + ms(10));
    assert_eq!(share.limit(capacity, 1), 85, "a burst counts once");
    for step in 1..100 {
        share.refuse(now + ms(step * 100));
    }
    assert_eq!(share.limit(capacity, 1), 5);
    for _ in 0..190 {
        share.succeed();
    }
    assert_eq!(share.limit(capacity, 1), 100);
}

/// One step of a random run.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive { account: u8, deadline: u64 },
    Finish,
    Cancel,
    Requeue,
    Slots(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u8..4, 100_u64..20_000)
            .prop_map(|(account, deadline)| Step::Arrive { account, deadline }),
        2 => Just(Step::Finish),
        1 => Just(Step::Cancel),
        1 => Just(Step::Requeue),
        1 => (0_u32..6).prop_map(Step::Slots),
    ]
}

proptest! {
    #![proptest_config(config(CASES))]

    /// Bounds hold in every state, and each request that waits is started or
    /// refused before its deadline.
    #[test]
    fn every_request_gets_its_answer(steps in proptest::collection::vec(step(), 0..200)) {
        let mut now = Instant::now();
        let pool = name(POOL);
        let mut admission = Admission::new(AdmissionSettings {
            queue: 10,
            account_queue: 4,
            ..AdmissionSettings::default()
        });
        admission.set_capacity(&pool, Capacity { slots: 3, peers: 0 }, 1);
        let mut open: Vec<(TicketKey, Instant)> = Vec::new();
        let mut waits: Vec<(TicketKey, Instant)> = Vec::new();
        for step in steps {
            now += ms(20);
            match step {
                Step::Arrive { account, deadline } => {
                    let deadline = now + ms(deadline);
                    let asked = ask(&format!("a{account}"), work(100, 10), deadline);
                    match admission.arrive(&asked, now) {
                        AdmissionDecision::Start(ticket) => open.push((ticket, deadline)),
                        AdmissionDecision::Enqueue(ticket) => waits.push((ticket, deadline)),
                        AdmissionDecision::Refuse(_) => {}
                    }
                }
                Step::Finish => {
                    if let Some((ticket, _)) = open.pop() {
                        admission.charge_output(ticket, 10, now);
                        admission.finish(ticket, now);
                    }
                }
                Step::Cancel => {
                    if let Some((ticket, _)) = waits.pop() {
                        admission.cancel(ticket);
                    }
                }
                Step::Requeue => {
                    if let Some(entry) = open.pop() {
                        admission.requeue(entry.0);
                        waits.push(entry);
                    }
                }
                Step::Slots(slots) => {
                    admission.set_capacity(&pool, Capacity { slots, peers: 0 }, 1);
                }
            }
            for expired in admission.expire(now) {
                waits.retain(|(ticket, _)| *ticket != expired.ticket);
                prop_assert!(!admission.contains(expired.ticket));
            }
            while let Some(ticket) = admission.start_next(now) {
                let at = waits.iter().position(|(known, _)| *known == ticket);
                open.push(waits.remove(at.expect("it waited")));
                prop_assert!(admission.state(&pool).running <= admission.state(&pool).limit);
            }
            let state = admission.state(&pool);
            prop_assert_eq!(state.running as usize, open.len());
            prop_assert_eq!(state.waiting, waits.len());
            prop_assert!(waits.iter().all(|(_, deadline)| *deadline > now));
        }
        for (ticket, _) in open.into_iter().chain(waits) {
            admission.cancel(ticket);
        }
        prop_assert_eq!(admission.state(&pool).running, 0);
        prop_assert_eq!(admission.state(&pool).waiting, 0);
    }
}
