//! Tests of admission: starting, queueing and refusing requests.

use std::time::{Duration, Instant};

use pomeloridge_base::error::ErrorKind;
use pomeloridge_policy::admission::Admission;
use pomeloridge_policy::capacity::Capacity;
use pomeloridge_policy::slot_share::SlotShare;
use pomeloridge_policy::ticket::{AdmissionDecision, AdmissionSettings, Refusal, TicketKey};
use proptest::prelude::*;
use yare::parameterized;

use crate::support::{CASES, POOL, admission, admission_request, config, ms, name, work};

const FAR_DEADLINE: Duration = Duration::from_hours(1);

/// Lets a request with a far deadline arrive.
fn arrive(admission: &mut Admission, account: &str, now: Instant) -> AdmissionDecision {
    admission.arrive(
        &admission_request(account, work(100, 10), now + FAR_DEADLINE),
        now,
    )
}

fn expect_enqueued(decision: AdmissionDecision) -> TicketKey {
    let AdmissionDecision::Enqueue(ticket) = decision else {
        panic!("expected the request to be queued: {decision:?}");
    };
    ticket
}

fn expect_started(decision: AdmissionDecision) -> TicketKey {
    let AdmissionDecision::Start(ticket) = decision else {
        panic!("expected the request to start: {decision:?}");
    };
    ticket
}

fn expect_refused(decision: AdmissionDecision) -> Refusal {
    let AdmissionDecision::Refuse(refusal) = decision else {
        panic!("expected the request to be refused: {decision:?}");
    };
    refusal
}

#[test]
fn requests_over_the_limit_are_queued() {
    let now = Instant::now();
    let mut admission = admission(2);
    let first = expect_started(arrive(&mut admission, "a", now));
    expect_started(arrive(&mut admission, "a", now));
    let third = expect_enqueued(arrive(&mut admission, "a", now));
    assert_eq!(admission.start_next(now), None);
    admission.finish(first, now + ms(100));
    assert_eq!(admission.start_next(now + ms(100)), Some(third));
    assert_eq!(admission.start_next(now + ms(100)), None);
}

#[test]
fn raising_the_capacity_starts_waiting_requests() {
    let now = Instant::now();
    let mut admission = admission(1);
    expect_started(arrive(&mut admission, "a", now));
    let second = expect_enqueued(arrive(&mut admission, "a", now));
    admission.set_capacity(&name(POOL), Capacity { slots: 2, peers: 0 }, 1);
    assert_eq!(admission.start_next(now), Some(second));
}

#[test]
fn cancelled_requests_are_not_started() {
    let now = Instant::now();
    let mut admission = admission(1);
    let first = expect_started(arrive(&mut admission, "a", now));
    let second = expect_enqueued(arrive(&mut admission, "a", now));
    let third = expect_enqueued(arrive(&mut admission, "b", now));
    admission.cancel(third);
    admission.cancel(first);
    admission.cancel(first);
    assert_eq!(admission.start_next(now), Some(second));
    assert_eq!(admission.start_next(now), None);
    assert!(!admission.contains(third));
}

#[test]
fn a_requeued_request_is_started_first_and_charged_once() {
    let now = Instant::now();
    let mut admission = admission(1);
    let first = expect_started(arrive(&mut admission, "a", now));
    expect_enqueued(arrive(&mut admission, "a", now));
    let before = admission.export(FAR_DEADLINE, now);
    admission.requeue(first);
    assert_eq!(admission.state(&name(POOL)).waiting, 2);
    assert_eq!(admission.start_next(now), Some(first));
    assert_eq!(
        admission.export(FAR_DEADLINE, now),
        before,
        "the prompt must be charged once"
    );
}

#[test]
fn requests_are_refused_without_capacity() {
    let now = Instant::now();
    let mut admission = admission(0);
    let refusal = expect_refused(arrive(&mut admission, "a", now));
    assert_eq!(refusal.kind, ErrorKind::NoServer);
    assert!(!refusal.retry_after.is_zero());
}

#[test]
fn queue_limits_per_account_and_pool_are_enforced() {
    let now = Instant::now();
    let mut admission = Admission::new(AdmissionSettings {
        queue: 5,
        account_queue: 3,
        ..AdmissionSettings::default()
    });
    admission.set_capacity(&name(POOL), Capacity { slots: 1, peers: 0 }, 1);
    expect_started(arrive(&mut admission, "a", now));
    for _ in 0..3 {
        expect_enqueued(arrive(&mut admission, "a", now));
    }
    let busy = expect_refused(arrive(&mut admission, "a", now));
    assert_eq!(busy.kind, ErrorKind::AccountBusy);
    expect_enqueued(arrive(&mut admission, "b", now));
    expect_enqueued(arrive(&mut admission, "b", now));
    let full = expect_refused(arrive(&mut admission, "c", now));
    assert_eq!(full.kind, ErrorKind::Overloaded);
}

#[parameterized(
    in_time = { 20, true },
    too_late = { 3, false },
)]
fn a_request_that_would_miss_its_deadline_is_refused_on_arrival(seconds: u64, admitted: bool) {
    let now = Instant::now();
    let mut admission = admission(2);
    for _ in 0..12 {
        arrive(&mut admission, "a", now);
    }
    let deadline = now + Duration::from_secs(seconds);
    let decision = admission.arrive(&admission_request("a", work(100, 10), deadline), now);
    assert_eq!(
        matches!(decision, AdmissionDecision::Enqueue(_)),
        admitted,
        "{decision:?}"
    );
    if !admitted {
        let refusal = expect_refused(decision);
        assert_eq!(refusal.kind, ErrorKind::Overloaded);
        assert!(refusal.retry_after >= Duration::from_secs(1));
    }
    let other = admission_request("b", work(100, 10), now + Duration::from_secs(5));
    assert!(
        matches!(admission.arrive(&other, now), AdmissionDecision::Enqueue(_)),
        "b must be served before a's queued requests"
    );
}

#[test]
fn waiting_requests_are_refused_when_capacity_is_lost() {
    let now = Instant::now();
    let mut admission = admission(8);
    for _ in 0..8 {
        expect_started(arrive(&mut admission, "a", now));
    }
    let soon = admission_request("b", work(100, 10), now + Duration::from_secs(2));
    let ticket = expect_enqueued(admission.arrive(&soon, now));
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
    equal_share_is_kept = { 24, 24, 4, 6 },
    no_slots = { 0, 0, 4, 0 },
)]
fn the_limit_excludes_slots_used_by_peers(slots: u32, peers: u32, nodes: u32, limit: u32) {
    assert_eq!(
        SlotShare::default().limit(Capacity { slots, peers }, nodes),
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
    let mut share = SlotShare::default();
    share.record_refusal(now);
    share.record_refusal(now + ms(10));
    assert_eq!(
        share.limit(capacity, 1),
        85,
        "a burst of refusals must count once"
    );
    for step in 1..100 {
        share.record_refusal(now + ms(step * 100));
    }
    assert_eq!(share.limit(capacity, 1), 5);
    for _ in 0..190 {
        share.record_success();
    }
    assert_eq!(share.limit(capacity, 1), 100);
}

/// One step of a generated run.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive { account: u8, deadline: u64 },
    Finish,
    Cancel,
    Requeue,
    SetSlots(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u8..4, 100_u64..20_000)
            .prop_map(|(account, deadline)| Step::Arrive { account, deadline }),
        2 => Just(Step::Finish),
        1 => Just(Step::Cancel),
        1 => Just(Step::Requeue),
        1 => (0_u32..6).prop_map(Step::SetSlots),
    ]
}

proptest! {
    #![proptest_config(config(CASES))]

    /// Limits hold in every state, and each waiting request is started or refused
    /// before its deadline.
    #[test]
    fn every_waiting_request_is_started_or_refused(steps in proptest::collection::vec(step(), 0..200)) {
        let mut now = Instant::now();
        let pool = name(POOL);
        let mut admission = Admission::new(AdmissionSettings {
            queue: 10,
            account_queue: 4,
            ..AdmissionSettings::default()
        });
        admission.set_capacity(&pool, Capacity { slots: 3, peers: 0 }, 1);
        let mut running: Vec<(TicketKey, Instant)> = Vec::new();
        let mut waiting: Vec<(TicketKey, Instant)> = Vec::new();
        for step in steps {
            now += ms(20);
            match step {
                Step::Arrive { account, deadline } => {
                    let deadline = now + ms(deadline);
                    let request = admission_request(&format!("a{account}"), work(100, 10), deadline);
                    match admission.arrive(&request, now) {
                        AdmissionDecision::Start(ticket) => running.push((ticket, deadline)),
                        AdmissionDecision::Enqueue(ticket) => waiting.push((ticket, deadline)),
                        AdmissionDecision::Refuse(_) => {}
                    }
                }
                Step::Finish => {
                    if let Some((ticket, _)) = running.pop() {
                        admission.charge_output(ticket, 10, now);
                        admission.finish(ticket, now);
                    }
                }
                Step::Cancel => {
                    if let Some((ticket, _)) = waiting.pop() {
                        admission.cancel(ticket);
                    }
                }
                Step::Requeue => {
                    if let Some(entry) = running.pop() {
                        admission.requeue(entry.0);
                        waiting.push(entry);
                    }
                }
                Step::SetSlots(slots) => {
                    admission.set_capacity(&pool, Capacity { slots, peers: 0 }, 1);
                }
            }
            for expired in admission.expire(now) {
                waiting.retain(|(ticket, _)| *ticket != expired.ticket);
                prop_assert!(!admission.contains(expired.ticket));
            }
            while let Some(ticket) = admission.start_next(now) {
                let index = waiting.iter().position(|(known, _)| *known == ticket);
                running.push(waiting.remove(index.expect("the request was waiting")));
                prop_assert!(admission.state(&pool).running <= admission.state(&pool).limit);
            }
            let state = admission.state(&pool);
            prop_assert_eq!(state.running as usize, running.len());
            prop_assert_eq!(state.waiting, waiting.len());
            prop_assert!(waiting.iter().all(|(_, deadline)| *deadline > now));
        }
        for (ticket, _) in running.into_iter().chain(waiting) {
            admission.cancel(ticket);
        }
        prop_assert_eq!(admission.state(&pool).running, 0);
        prop_assert_eq!(admission.state(&pool).waiting, 0);
    }
}
