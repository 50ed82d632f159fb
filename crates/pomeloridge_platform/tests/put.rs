//! Confirmed puts whose requests, responses or read-backs are lost.

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
    response_lost = { Some(Loss::Response), PutOutcome::Written(Revision(1)) },
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
fn an_unconfirmed_retry_would_conflict_with_the_own_write() {
    run(async |fake, address| {
        fake.loss.set(Some(Loss::Response));
        let client = client(address, &Rc::new(ManualClock::new()));
        let value = json!({"nonce": "ours"});
        assert!(client.put(KEY, &value, Expect::Absent).await.is_err());
        let repeated = client.put(KEY, &value, Expect::Absent).await;
        assert!(matches!(repeated, Err(PlatformError::Conflict { .. })));
        // A confirmed put in the same situation recognises its nonce.
        let put = client.put_confirmed(KEY, value, Expect::Absent).await;
        assert_eq!(put.unwrap(), PutOutcome::Written(Revision(1)));
    });
}

#[test]
fn a_conflict_returns_the_object_found() {
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
fn the_outcome_stays_unknown_if_the_read_back_fails() {
    run(async |fake, address| {
        fake.loss.set(Some(Loss::Response));
        fake.lose_reads.set(1);
        let client = client(address, &Rc::new(ManualClock::new()));
        let put = client.put_confirmed(KEY, json!({}), Expect::Absent).await;
        assert_eq!(put.unwrap(), PutOutcome::Unconfirmed(None));
    });
}
