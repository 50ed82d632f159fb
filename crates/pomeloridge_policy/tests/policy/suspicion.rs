//! Isolation and quarantine of requests that may crash engines.

use std::time::{Duration, Instant};

use pomeloridge_policy::suspicion::{
    Fingerprint, InFlight, QUARANTINE_TTL, SUSPECT_TTL, SuspectStatus, Suspicions, Treatment,
};
use proptest::prelude::*;

use crate::support::{CASES, config, ms, name};

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::of(&name("surveyors"), "/v1/completions", body.as_bytes())
}

#[test]
fn a_fingerprint_separates_its_parts() {
    let of = |account: &str, route: &str, body: &str| {
        Fingerprint::of(&name(account), route, body.as_bytes())
    };
    assert_eq!(of("a", "/r", "b"), of("a", "/r", "b"));
    assert_ne!(of("a", "/r", "b"), of("a", "/rb", ""));
    assert_ne!(of("a", "/r", "b"), of("b", "/r", "b"));
}

fn running(bodies: &[&str], suspect: bool) -> Vec<InFlight> {
    let request = |body: &&str| InFlight {
        fingerprint: fingerprint(body),
        suspect,
    };
    bodies.iter().map(request).collect()
}

#[test]
fn innocent_requests_are_cleared_and_the_crashing_one_is_quarantined() {
    let now = Instant::now();
    let mut suspicions = Suspicions::default();
    let first = running(&["a", "b", "poison"], false);
    // Each of the three requests reports the same loss.
    for _ in 0..3 {
        suspicions.engine_lost(&name("e1"), &first, now);
    }
    let all = ["a", "b", "poison"].map(fingerprint);
    assert!(
        all.iter()
            .all(|request| suspicions.is_suspect(request, now))
    );
    assert!(suspicions.clear(&all[0], now));
    assert_eq!(suspicions.treatment(&all[0], now), Treatment::Normal);
    // The crashing request runs again next to an ordinary one.
    let mut second = running(&["poison"], true);
    second.extend(running(&["c"], false));
    for _ in 0..2 {
        suspicions.engine_lost(&name("e2"), &second, now);
    }
    let refused = Treatment::Refuse(QUARANTINE_TTL);
    assert_eq!(suspicions.treatment(&all[2], now), refused);
    assert!(suspicions.is_suspect(&all[1], now), "b ran elsewhere");
    assert!(
        suspicions.is_suspect(&fingerprint("c"), now),
        "c saw one loss only"
    );
    assert!(!suspicions.clear(&all[2], now));
    let later = now + QUARANTINE_TTL;
    assert_eq!(suspicions.treatment(&all[2], later), Treatment::Normal);
}

#[test]
fn the_first_loss_makes_a_suspect() {
    let now = Instant::now();
    let mut suspicions = Suspicions::default();
    suspicions.engine_lost(&name("e1"), &running(&["a"], false), now);
    assert!(suspicions.is_suspect(&fingerprint("a"), now));
    assert!(!suspicions.is_suspect(&fingerprint("a"), now + SUSPECT_TTL));
    assert!(suspicions.is_empty(now + SUSPECT_TTL));
}

#[test]
fn a_request_lost_on_two_engines_at_once_is_quarantined() {
    let now = Instant::now();
    let mut suspicions = Suspicions::default();
    for engine in ["e1", "e2"] {
        suspicions.engine_lost(&name(engine), &running(&["a"], false), now);
    }
    assert!(matches!(
        suspicions.treatment(&fingerprint("a"), now),
        Treatment::Refuse(_)
    ));
}

#[test]
fn a_suspect_on_an_engine_that_is_lost_again_is_quarantined() {
    let now = Instant::now();
    let mut suspicions = Suspicions::default();
    suspicions.engine_lost(&name("e1"), &running(&["a"], false), now);
    suspicions.engine_lost(&name("e1"), &running(&["a"], true), now);
    assert!(matches!(
        suspicions.treatment(&fingerprint("a"), now),
        Treatment::Refuse(_)
    ));
}

#[test]
fn peers_learn_of_suspects_and_of_cleared_requests() {
    let now = Instant::now();
    let (mut here, mut there) = (Suspicions::default(), Suspicions::default());
    here.engine_lost(&name("e1"), &running(&["a"], false), now);
    there.merge(&here.export(now), now);
    assert!(there.is_suspect(&fingerprint("a"), now));
    // The peer reports the same loss, which counts once.
    there.engine_lost(&name("e1"), &running(&["a"], false), now + ms(100));
    assert!(there.is_suspect(&fingerprint("a"), now + ms(100)));
    there.clear(&fingerprint("a"), now + ms(500));
    here.merge(&there.export(now + ms(600)), now + ms(600));
    assert!(!here.is_suspect(&fingerprint("a"), now + ms(600)));
}

/// Guards against a caller that retries at another node before that node has learned of the
/// first loss.
#[test]
fn losses_of_different_engines_add_up_between_nodes() {
    let now = Instant::now();
    let (mut here, mut there) = (Suspicions::default(), Suspicions::default());
    here.engine_lost(&name("e1"), &running(&["a", "b"], false), now);
    there.engine_lost(&name("e2"), &running(&["a"], false), now);
    there.engine_lost(&name("e1"), &running(&["b"], false), now);
    there.merge(&here.export(now + ms(100)), now + ms(100));
    let treatment = there.treatment(&fingerprint("a"), now + ms(100));
    assert!(matches!(treatment, Treatment::Refuse(_)));
    assert!(
        there.is_suspect(&fingerprint("b"), now + ms(100)),
        "one engine"
    );
}

#[test]
fn a_late_message_does_not_undo_a_quarantine() {
    let now = Instant::now();
    let (mut here, mut there) = (Suspicions::default(), Suspicions::default());
    here.engine_lost(&name("e1"), &running(&["a"], false), now);
    let suspect = here.export(now);
    here.engine_lost(&name("e2"), &running(&["a"], true), now + ms(100));
    there.merge(&here.export(now + ms(200)), now + ms(200));
    there.merge(&suspect, now + ms(300));
    let refused = matches!(
        there.treatment(&fingerprint("a"), now + ms(300)),
        Treatment::Refuse(_)
    );
    assert!(refused);
}

#[test]
fn an_entry_exchanged_back_and_forth_still_expires() {
    let start = Instant::now();
    let (mut here, mut there) = (Suspicions::default(), Suspicions::default());
    here.engine_lost(&name("e1"), &running(&["a"], false), start);
    let delay = ms(50);
    let mut now = start;
    while now < start + SUSPECT_TTL + Duration::from_secs(2) {
        let entries = here.export(now);
        now += delay;
        there.merge(&entries, now);
        let entries = there.export(now);
        now += delay;
        here.merge(&entries, now);
    }
    assert!(here.is_empty(now) && there.is_empty(now));
}

proptest! {
    #![proptest_config(config(CASES))]

    /// Holds for any order in which the messages arrive.
    #[test]
    fn a_quarantine_wins_in_any_order(order in Just(vec![0_usize, 1, 2]).prop_shuffle()) {
        let now = Instant::now();
        let shared = |status, age| pomeloridge_policy::suspicion::SharedSuspicion {
            fingerprint: fingerprint("a"),
            status,
            age: ms(age),
            engine: name("e1"),
        };
        let entries = [
            shared(SuspectStatus::Suspect, 10),
            shared(SuspectStatus::Quarantined, 900),
            shared(SuspectStatus::Cleared, 500),
        ];
        let later = now + ms(2_000);
        let mut suspicions = Suspicions::default();
        for index in order {
            suspicions.merge(&entries[index..=index], later);
        }
        prop_assert!(matches!(suspicions.treatment(&fingerprint("a"), later), Treatment::Refuse(_)));
    }
}
