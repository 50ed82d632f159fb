//! Requests that may have crashed an engine.

use std::time::{Duration, Instant};

use pomeloridge_policy::suspicion::{
    Fingerprint, InFlight, QUARANTINE_TTL, SUSPECT_TTL, SuspectStatus, Suspicions, Treatment,
};
use proptest::prelude::*;

use crate::support::{CASES, config, ms, name};

fn print(body: &str) -> Fingerprint {
    Fingerprint::of(&name("surveyors"), "/v1/completions", body.as_bytes())
}

#[test]
fn a_fingerprint_tells_its_parts_apart() {
    let of = |account: &str, route: &str, body: &str| {
        Fingerprint::of(&name(account), route, body.as_bytes())
    };
    assert_eq!(of("a", "/r", "b"), of("a", "/r", "b"));
    assert_ne!(of("a", "/r", "b"), of("a", "/rb", ""));
    assert_ne!(of("a", "/r", "b"), of("b", "/r", "b"));
}

fn running(bodies: &[&str], suspect: bool) -> Vec<InFlight> {
    let request = |body: &&str| InFlight {
        fingerprint: print(body),
        suspect,
    };
    bodies.iter().map(request).collect()
}

#[test]
fn innocents_clear_and_the_poison_is_quarantined() {
    let now = Instant::now();
    let mut known = Suspicions::default();
    let first = running(&["a", "b", "poison"], false);
    // Each of the three tells of the one loss.
    for _ in 0..3 {
        known.engine_lost(&name("e1"), &first, now);
    }
    let all = ["a", "b", "poison"].map(print);
    assert!(all.iter().all(|print| known.is_suspect(print, now)));
    assert!(known.clear(&all[0], now));
    assert_eq!(known.treatment(&all[0], now), Treatment::Normal);
    // The poison runs again beside an ordinary request.
    let mut second = running(&["poison"], true);
    second.extend(running(&["c"], false));
    for _ in 0..2 {
        known.engine_lost(&name("e2"), &second, now);
    }
    let refused = Treatment::Refuse(QUARANTINE_TTL);
    assert_eq!(known.treatment(&all[2], now), refused);
    assert!(known.is_suspect(&all[1], now), "b ran elsewhere");
    assert!(known.is_suspect(&print("c"), now), "c saw one loss only");
    assert!(!known.clear(&all[2], now));
    let later = now + QUARANTINE_TTL;
    assert_eq!(known.treatment(&all[2], later), Treatment::Normal);
}

#[test]
fn the_first_loss_is_only_a_suspicion() {
    let now = Instant::now();
    let mut known = Suspicions::default();
    known.engine_lost(&name("e1"), &running(&["a"], false), now);
    assert!(known.is_suspect(&print("a"), now));
    assert!(!known.is_suspect(&print("a"), now + SUSPECT_TTL));
    assert!(known.is_empty(now + SUSPECT_TTL));
}

#[test]
fn a_request_lost_on_two_engines_at_once_is_quarantined() {
    let now = Instant::now();
    let mut known = Suspicions::default();
    for engine in ["e1", "e2"] {
        known.engine_lost(&name(engine), &running(&["a"], false), now);
    }
    assert!(matches!(
        known.treatment(&print("a"), now),
        Treatment::Refuse(_)
    ));
}

#[test]
fn a_suspect_that_loses_the_same_engine_anew_is_quarantined() {
    let now = Instant::now();
    let mut known = Suspicions::default();
    known.engine_lost(&name("e1"), &running(&["a"], false), now);
    known.engine_lost(&name("e1"), &running(&["a"], true), now);
    assert!(matches!(
        known.treatment(&print("a"), now),
        Treatment::Refuse(_)
    ));
}

#[test]
fn peers_learn_of_suspects_and_of_cleared_ones() {
    let now = Instant::now();
    let (mut here, mut there) = (Suspicions::default(), Suspicions::default());
    here.engine_lost(&name("e1"), &running(&["a"], false), now);
    there.merge(&here.export(now), now);
    assert!(there.is_suspect(&print("a"), now));
    // The peer sees the same loss, which counts once.
    there.engine_lost(&name("e1"), &running(&["a"], false), now + ms(100));
    assert!(there.is_suspect(&print("a"), now + ms(100)));
    there.clear(&print("a"), now + ms(500));
    here.merge(&there.export(now + ms(600)), now + ms(600));
    assert!(!here.is_suspect(&print("a"), now + ms(600)));
}

/// Guards against a caller who comes back at another node before that has heard of the
/// first loss.
#[test]
fn losses_of_different_engines_add_up_between_nodes() {
    let now = Instant::now();
    let (mut here, mut there) = (Suspicions::default(), Suspicions::default());
    here.engine_lost(&name("e1"), &running(&["a", "b"], false), now);
    there.engine_lost(&name("e2"), &running(&["a"], false), now);
    there.engine_lost(&name("e1"), &running(&["b"], false), now);
    there.merge(&here.export(now + ms(100)), now + ms(100));
    let treatment = there.treatment(&print("a"), now + ms(100));
    assert!(matches!(treatment, Treatment::Refuse(_)));
    assert!(there.is_suspect(&print("b"), now + ms(100)), "one engine");
}

#[test]
fn a_late_message_does_not_undo() {
    let now = Instant::now();
    let (mut here, mut there) = (Suspicions::default(), Suspicions::default());
    here.engine_lost(&name("e1"), &running(&["a"], false), now);
    let suspect = here.export(now);
    here.engine_lost(&name("e2"), &running(&["a"], true), now + ms(100));
    there.merge(&here.export(now + ms(200)), now + ms(200));
    there.merge(&suspect, now + ms(300));
    let refused = matches!(
        there.treatment(&print("a"), now + ms(300)),
        Treatment::Refuse(_)
    );
    assert!(refused);
}

#[test]
fn an_entry_told_to_and_fro_still_expires() {
    let start = Instant::now();
    let (mut here, mut there) = (Suspicions::default(), Suspicions::default());
    here.engine_lost(&name("e1"), &running(&["a"], false), start);
    let delay = ms(50);
    let mut now = start;
    while now < start + SUSPECT_TTL + Duration::from_secs(2) {
        let told = here.export(now);
        now += delay;
        there.merge(&told, now);
        let told = there.export(now);
        now += delay;
        here.merge(&told, now);
    }
    assert!(here.is_empty(now) && there.is_empty(now));
}

proptest! {
    #![proptest_config(config(CASES))]

    /// The order of messages does not matter to a quarantine.
    #[test]
    fn a_quarantine_wins_in_any_order(order in Just(vec![0_usize, 1, 2]).prop_shuffle()) {
        let now = Instant::now();
        let shared = |status, age| pomeloridge_policy::suspicion::SharedSuspicion {
            fingerprint: print("a"),
            status,
            age: ms(age),
            engine: name("e1"),
        };
        let told = [
            shared(SuspectStatus::Suspect, 10),
            shared(SuspectStatus::Quarantined, 900),
            shared(SuspectStatus::Cleared, 500),
        ];
        let later = now + ms(2_000);
        let mut known = Suspicions::default();
        for n in order {
            known.merge(&told[n..=n], later);
        }
        prop_assert!(matches!(known.treatment(&print("a"), later), Treatment::Refuse(_)));
    }
}
