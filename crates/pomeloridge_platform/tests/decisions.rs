//! Unit tests of the decisions about leases, lost responses and intents.

use std::time::Duration;

use pomeloridge_base::id::{Epoch, Era, Incarnation, Name, Revision};
use pomeloridge_platform::intent::{Intent, IntentState, SlotStatus, slot_status};
use pomeloridge_platform::lease::{
    Lease, LeaseConfig, Ownership, is_renewal_due, may_take, ownership,
};
use pomeloridge_platform::{
    Object, PutFailure, PutOutcome, resolve_put, time_left, unfenced_wait, write_options,
};
use serde_json::json;
use yare::parameterized;

const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn config() -> LeaseConfig {
    LeaseConfig {
        duty: Name::from("placement"),
        holder: Name::from("a"),
        incarnation: Incarnation(2),
        term: secs(6),
        margin: secs(2),
        when_missing: pomeloridge_platform::lease::MissingLease::Deleted,
    }
}

fn lease(holder: &str, incarnation: u64) -> Lease {
    Lease {
        holder: Name::from(holder),
        incarnation: Incarnation(incarnation),
        epoch: Epoch(4),
        term: secs(10),
        nonce: "n".to_owned(),
        first_era: Era::default(),
    }
}

#[parameterized(
    term_of_the_lease_counts = { Some(lease("b", 1)), 8, false },
    margin_is_waited_too = { Some(lease("b", 1)), 11, false },
    term_and_margin = { Some(lease("b", 1)), 12, true },
    given_up = { Some(lease("", 1)), 0, true },
    own_earlier_incarnation = { Some(lease("a", 1)), 11, false },
    no_object_within_term_and_margin = { None, 7, false },
    no_object_after_term_and_margin = { None, 8, true },
)]
fn takeover(found: Option<Lease>, seen: u64, expected: bool) {
    assert_eq!(may_take(found.as_ref(), &config(), secs(seen)), expected);
}

#[parameterized(
    before = { 1999, false },
    third = { 2000, true },
)]
fn renewal(elapsed_ms: u64, expected: bool) {
    assert_eq!(
        is_renewal_due(Duration::from_millis(elapsed_ms), secs(6)),
        expected
    );
}

#[test]
fn an_earlier_incarnation_counts_as_another_node() {
    let earlier = ownership(&lease("a", 1), &config(), &[]);
    assert!(matches!(earlier, Ownership::Other));
    let own = ownership(&lease("a", 2), &config(), &[]);
    assert!(matches!(own, Ownership::Own(None)));
}

/// Returns whether the former holder still has authority when the next one takes the lease.
///
/// A renewal is sent at 0, takes effect at 1 and is answered at 9 s.
fn authority_overlaps(counted_from: u64) -> bool {
    let may_take_at = |now: &u64| may_take(Some(&lease("b", 1)), &config(), secs(now - 1));
    let taken_at = (1..60).find(may_take_at).unwrap();
    let elapsed = secs(taken_at - counted_from);
    time_left(elapsed, lease("b", 1).term) > Duration::ZERO
}

#[test]
fn authority_counted_from_before_the_call_ends_before_a_takeover() {
    assert!(!authority_overlaps(0));
}

#[test]
fn authority_counted_from_the_response_would_outlast_a_takeover() {
    assert!(authority_overlaps(9));
}

/// Returns whether an order sent at the end of the former lease, to a server that does not
/// check fencing tokens, is still running when the new holder sends its first order.
fn orders_overlap(first_order: Duration) -> bool {
    let (old_term, longest) = (secs(6), secs(5));
    // The former lease was released right after its renewal, so bytes of its orders may
    // stay in the kernel until the end of the term.
    first_order < old_term + longest
}

#[test]
fn a_new_holder_waits_for_the_former_holders_orders() {
    let wait = unfenced_wait(secs(6), secs(5), Duration::ZERO);
    assert!(!orders_overlap(wait));
    assert!(
        orders_overlap(Duration::ZERO),
        "the orders overlap without the wait"
    );
    assert_eq!(unfenced_wait(secs(6), secs(5), secs(4)), secs(7));
    assert_eq!(unfenced_wait(secs(6), secs(5), secs(11)), Duration::ZERO);
}

fn object(nonce: &str) -> Object {
    Object {
        key: "k".to_owned(),
        version: Revision(7),
        value: json!({"nonce": nonce}),
    }
}

#[parameterized(
    own = { PutFailure::Lost, Some(object("ours")), PutOutcome::Written(Revision(7)) },
    own_by_an_earlier_attempt = { PutFailure::Refused, Some(object("ours")), PutOutcome::Written(Revision(7)) },
    refused = { PutFailure::Refused, Some(object("theirs")), PutOutcome::Conflict(Some(object("theirs"))) },
    refused_and_deleted = { PutFailure::Refused, None, PutOutcome::Conflict(None) },
    maybe_overwritten = { PutFailure::Lost, Some(object("theirs")), PutOutcome::Unconfirmed(Some(object("theirs"))) },
    maybe_still_in_transit = { PutFailure::Lost, None, PutOutcome::Unconfirmed(None) },
)]
fn put_outcomes(failure: PutFailure, found: Option<Object>, expected: PutOutcome) {
    assert_eq!(resolve_put(failure, "ours", found), expected);
}

#[parameterized(
    done = { 3, IntentState::Done, 0, SlotStatus::Free },
    own = { 5, IntentState::Open, 1, SlotStatus::Own },
    earlier = { 3, IntentState::Open, 1, SlotStatus::Inherited },
    earlier_overdue = { 3, IntentState::Open, 9, SlotStatus::Overdue },
    own_overdue = { 5, IntentState::Open, 9, SlotStatus::Overdue },
    later = { 6, IntentState::Open, 9, SlotStatus::Superseded },
    later_done = { 6, IntentState::Done, 9, SlotStatus::Superseded },
)]
fn slot_statuses(epoch: u64, state: IntentState, seen: u64, expected: SlotStatus) {
    let intent = Intent {
        order_id: "e1#3".to_owned(),
        number: 3,
        epoch: Epoch(epoch),
        order: (),
        state,
        deadline: secs(9),
    };
    assert_eq!(slot_status(&intent, Epoch(5), secs(seen)), expected);
}

#[parameterized(
    short = { 20 },
    middle = { 700 },
    long = { 60_000 },
)]
fn a_write_times_out_in_the_kernel_before_its_deadline(time_ms: u64) {
    let time = Duration::from_millis(time_ms);
    let options = write_options(time);
    let kernel_timeout = options.user_timeout.unwrap();
    assert!(
        !kernel_timeout.is_zero(),
        "the kernel treats 0 as no timeout"
    );
    assert!(options.timeout + kernel_timeout < time);
    assert!(options.linger_zero);
}
