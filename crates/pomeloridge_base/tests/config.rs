//! Adoption of configuration objects, keys by their hash, routes and error codes.

use pomeloridge_base::config::{ConfigObject, ConfigView, FLEET_KEY, account_key};
use pomeloridge_base::error::{ErrorKind, RunStatus};
use pomeloridge_base::id::{Name, Revision};
use pomeloridge_base::secret::KeyHash;
use proptest::prelude::*;
use serde_json::json;

fn fleet(revision: u64, floor: u64) -> ConfigObject {
    ConfigObject {
        key: FLEET_KEY.to_owned(),
        revision: Revision(revision),
        value: json!({"models": {"m": {"floor": floor}}}),
    }
}

proptest! {
    #[test]
    fn the_newest_revision_wins_in_any_order(order in prop::collection::vec(1u64..50, 1..40)) {
        let mut view = ConfigView::default();
        let mut newest = 0;
        for revision in order {
            let adopted = view.adopt(fleet(revision, revision));
            prop_assert_eq!(adopted, revision > newest);
            newest = newest.max(revision);
            let floor = view.fleet().models[&Name::from("m")].floor;
            prop_assert_eq!(u64::from(floor), newest);
        }
    }
}

#[test]
fn unreadable_configuration_changes_nothing() {
    let mut view = ConfigView::default();
    assert!(view.adopt(fleet(3, 7)));
    let mut broken = fleet(4, 0);
    broken.value = json!({"models": 5});
    assert!(!view.adopt(broken));
    assert_eq!(view.fleet().models[&Name::from("m")].floor, 7);
    assert_eq!(view.revision(FLEET_KEY), Revision(3));
}

#[test]
fn a_withdrawn_key_has_no_account() {
    let account = Name::from("survey");
    let hash = KeyHash::of(b"sk-1");
    let shard = |revision, withdrawn| ConfigObject {
        key: account_key(&account),
        revision: Revision(revision),
        value: json!({"accounts": {"survey": {"keys": [
            {"id": "k1", "sha256": hash.to_hex(), "withdrawn": withdrawn}
        ]}}}),
    };
    let mut view = ConfigView::default();
    view.adopt(shard(1, false));
    assert_eq!(view.account_of(&hash), Some(&account));
    view.adopt(shard(2, true));
    assert_eq!(view.account_of(&hash), None);
    view.adopt(shard(1, false));
    assert_eq!(
        view.account_of(&hash),
        None,
        "an older object restores no key"
    );
}

#[test]
fn the_longest_route_is_taken() {
    let mut view = ConfigView::default();
    view.adopt(ConfigObject {
        key: FLEET_KEY.to_owned(),
        revision: Revision(1),
        value: json!({"routes": [{"path": "/a"}, {"path": "/a/b"}]}),
    });
    assert_eq!(view.route("/a/b/c").unwrap().path, "/a/b");
    assert_eq!(view.route("/a/bc").unwrap().path, "/a");
    assert!(view.route("/ab").is_none());
}

#[test]
fn error_codes_are_unique_and_temporary_refusals_have_a_retry_time() {
    let mut codes: Vec<_> = ErrorKind::ALL
        .iter()
        .map(|kind| kind.answer().code)
        .collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let busy = matches!(answer.status, 429 | 503) && answer.run == RunStatus::NotRun;
        assert!(
            !busy || answer.retry_after.is_some(),
            "{kind:?} must have a retry time"
        );
    }
}
