//! The decisions about leases, lost answers and intents, fed directly.

use std::time::Duration;

use pomeloridge_base::id::{Epoch, Incarnation, Name, Revision};
use pomeloridge_platform::intent::{Intent, IntentState, Settlement, settlement};
use pomeloridge_platform::lease::{Claim, Lease, Standing, may_take, renew_due, standing};
use pomeloridge_platform::{
    Object, PutAnswer, PutOutcome, judge, time_left, wait_out, write_options,
};
use serde_json::json;
use yare::parameterized;

const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn claim() -> Claim {
    Claim {
        duty: Name::from("placement"),
        holder: Name::from("a"),
        incarnation: Incarnation(2),
        term: secs(6),
        margin: secs(2),
        absent: pomeloridge_platform::lease::Absent::Deleted,
    }
}

fn lease(holder: &str, incarnation: u64) -> Lease {
    Lease {
        holder: Name::from(holder),
        incarnation: Incarnation(incarnation),
        epoch: Epoch(4),
        term: secs(10),
        nonce: "n".to_owned(),
    }
}

#[parameterized(
    term_of_the_lease_counts = { Some(lease("b", 1)), 8, false },
    margin_is_waited_too = { Some(lease("b", 1)), 11, false },
    term_and_margin = { Some(lease("b", 1)), 12, true },
    given_up = { Some(lease("", 1)), 0, true },
    own_earlier_start = { Some(lease("a", 1)), 11, false },
    no_object_yet = { None, 7, false },
    no_object_for_long = { None, 8, true },
)]
fn takeover(found: Option<Lease>, seen: u64, expected: bool) {
    assert_eq!(may_take(found.as_ref(), &claim(), secs(seen)), expected);
}

#[parameterized(
    before = { 1999, false },
    third = { 2000, true },
)]
fn renewal(elapsed_ms: u64, expected: bool) {
    assert_eq!(
        renew_due(Duration::from_millis(elapsed_ms), secs(6)),
        expected
    );
}

#[test]
fn an_earlier_start_of_the_node_is_another_node() {
    let earlier = standing(&lease("a", 1), &claim(), &[]);
    assert!(matches!(earlier, Standing::Other));
    let own = standing(&lease("a", 2), &claim(), &[]);
    assert!(matches!(own, Standing::Mine(None)));
}

/// Whether the old holder still has authority when the next one takes the lease.
///
/// A renewal is sent at 0, takes effect at 1 and is answered at 9 s.
fn overlap(counted_from: u64) -> bool {
    let waited = |now: &u64| may_take(Some(&lease("b", 1)), &claim(), secs(now - 1));
    let taken_at = (1..60).find(waited).unwrap();
    let elapsed = secs(taken_at - counted_from);
    time_left(elapsed, lease("b", 1).term) > Duration::ZERO
}

#[test]
fn authority_from_before_the_call_never_meets_the_next_holder() {
    assert!(!overlap(0));
}

#[test]
fn authority_from_after_the_answer_would_meet_the_next_holder() {
    assert!(overlap(9));
}

/// Whether an order sent to a server without fencing at the end of the old
/// lease still runs when the new holder sends its first one.
fn orders_meet(first_order: Duration) -> bool {
    let (old_term, longest) = (secs(6), secs(5));
    // The old lease was given up right after its renewal, so that its bytes
    // may stay in the kernel until the term is over.
    first_order < old_term + longest
}

#[test]
fn a_new_holder_waits_out_the_old_orders() {
    let wait = wait_out(secs(6), secs(5), Duration::ZERO);
    assert!(!orders_meet(wait));
    assert!(orders_meet(Duration::ZERO), "without the wait they meet");
    assert_eq!(wait_out(secs(6), secs(5), secs(4)), secs(7));
    assert_eq!(wait_out(secs(6), secs(5), secs(11)), Duration::ZERO);
}

fn object(nonce: &str) -> Object {
    Object {
        key: "k".to_owned(),
        version: Revision(7),
        value: json!({"nonce": nonce}),
    }
}

#[parameterized(
    ours = { PutAnswer::Lost, Some(object("ours")), PutOutcome::Written(Revision(7)) },
    ours_by_an_earlier_try = { PutAnswer::Refused, Some(object("ours")), PutOutcome::Written(Revision(7)) },
    refused = { PutAnswer::Refused, Some(object("theirs")), PutOutcome::Conflict(Some(object("theirs"))) },
    refused_and_gone = { PutAnswer::Refused, None, PutOutcome::Conflict(None) },
    maybe_overwritten = { PutAnswer::Lost, Some(object("theirs")), PutOutcome::Unconfirmed(Some(object("theirs"))) },
    maybe_still_on_its_way = { PutAnswer::Lost, None, PutOutcome::Unconfirmed(None) },
)]
fn lost_answers(answer: PutAnswer, found: Option<Object>, expected: PutOutcome) {
    assert_eq!(judge(answer, "ours", found), expected);
}

#[parameterized(
    done = { 3, IntentState::Done, 0, Settlement::Free },
    own = { 5, IntentState::Open, 1, Settlement::Own },
    earlier = { 3, IntentState::Open, 1, Settlement::TakeOn },
    earlier_overdue = { 3, IntentState::Open, 9, Settlement::Overdue },
    own_overdue = { 5, IntentState::Open, 9, Settlement::Overdue },
    later = { 6, IntentState::Open, 9, Settlement::Superseded },
    later_done = { 6, IntentState::Done, 9, Settlement::Superseded },
)]
fn settling(epoch: u64, state: IntentState, seen: u64, expected: Settlement) {
    let intent = Intent {
        order_id: "e1#3".to_owned(),
        count: 3,
        epoch: Epoch(epoch),
        order: (),
        state,
        deadline: secs(9),
    };
    assert_eq!(settlement(&intent, Epoch(5), secs(seen)), expected);
}

#[parameterized(
    short = { 20 },
    middle = { 700 },
    long = { 60_000 },
)]
fn a_write_ends_in_the_kernel_before_its_time(time_ms: u64) {
    let time = Duration::from_millis(time_ms);
    let options = write_options(time);
    let kernel = options.user_timeout.unwrap();
    assert!(!kernel.is_zero(), "the kernel takes 0 for no timeout");
    assert!(options.timeout + kernel < time);
    assert!(options.linger_zero);
}
