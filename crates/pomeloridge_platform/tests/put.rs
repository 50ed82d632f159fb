//! Conditional puts with lost answers, against a platform that loses them.

mod support;

use std::rc::Rc;

use pomeloridge_base::clock::ManualClock;
use pomeloridge_base::id::Revision;
use pomeloridge_platform::{Expect, PlatformError, PutOutcome};
use serde_json::json;
use support::{Loss, client, run};
use yare::parameterized;

const KEY: &str = "claim/a/1";

#[parameterized(
    answered = { None, PutOutcome::Written(Revision(1)) },
    answer_lost = { Some(Loss::Answer), PutOutcome::Written(Revision(1)) },
    write_lost = { Some(Loss::Write), PutOutcome::Unconfirmed(None) },
)]
fn outcome(loss: Option<Loss>, expected: PutOutcome) {
    run(async |fake, address| {
        fake.loss.set(loss);
        let client = client(address, &Rc::new(ManualClock::new()));
        let put = client.put_confirmed(KEY, json!({"nonce": "ours"}), Expect::Absent);
        assert_eq!(put.await.unwrap(), expected);
        assert_eq!(fake.writes.get(), 1, "the put must not be sent again");
    });
}

#[test]
fn repeating_blindly_would_call_the_own_write_a_conflict() {
    run(async |fake, address| {
        fake.loss.set(Some(Loss::Answer));
        let client = client(address, &Rc::new(ManualClock::new()));
        let value = json!({"nonce": "ours"});
        assert!(client.put(KEY, &value, Expect::Absent).await.is_err());
        let repeated = client.put(KEY, &value, Expect::Absent).await;
        assert!(matches!(repeated, Err(PlatformError::Conflict { .. })));
        // The confirmed put finds its nonce in the same place.
        let put = client.put_confirmed(KEY, value, Expect::Absent).await;
        assert_eq!(put.unwrap(), PutOutcome::Written(Revision(1)));
    });
}

#[test]
fn the_other_writer_is_shown() {
    run(async |fake, address| {
        fake.set(KEY, json!({"nonce": "theirs"}));
        let client = client(address, &Rc::new(ManualClock::new()));
        let put = client.put_confirmed(KEY, json!({}), Expect::Absent).await;
        let PutOutcome::Conflict(Some(found)) = put.unwrap() else {
            panic!("the put must conflict");
        };
        assert_eq!(found.value, json!({"nonce": "theirs"}));
    });
}

#[test]
fn without_the_read_back_the_outcome_stays_unknown() {
    run(async |fake, address| {
        fake.loss.set(Some(Loss::Answer));
        fake.lose_reads.set(1);
        let client = client(address, &Rc::new(ManualClock::new()));
        let put = client.put_confirmed(KEY, json!({}), Expect::Absent).await;
        assert_eq!(put.unwrap(), PutOutcome::Unconfirmed(None));
    });
}
