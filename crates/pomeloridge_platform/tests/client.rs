//! Outcomes and counts of calls to the platform.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::clock::ManualClock;
use pomeloridge_base::http::Response;
use pomeloridge_base::id::{Era, Revision};
use pomeloridge_platform::{
    CallKind, Client, Expect, Object, ObjectCodec, Page, PlatformError, ServerKind, ServerState,
};
use serde_json::json;
use support::{Loss, client, run};
use yare::parameterized;

fn clock() -> Rc<ManualClock> {
    Rc::new(ManualClock::new())
}

#[test]
fn objects_round_trip() {
    run(async |fake, address| {
        let client = client(address, &clock());
        assert_eq!(client.get("config/fleet").await.unwrap(), None);
        let value = json!({"a": 1});
        let version = client.put("config/fleet", &value, Expect::Absent).await;
        let version = version.unwrap();
        let found = client.get("config/fleet").await.unwrap().unwrap();
        assert_eq!((found.version, found.value), (version, value.clone()));
        let again = client.put("config/fleet", &value, Expect::Absent).await;
        assert!(matches!(again, Err(PlatformError::Conflict { current }) if current == version));
        let (revision, objects) = client.list("config/").await.unwrap();
        assert_eq!((revision, objects.len()), (Revision(1), 1));
        let wait = Duration::from_millis(1);
        let watched = client.watch("config/", Revision(0), wait).await.unwrap();
        assert_eq!(watched.events[0].value, Some(value));
        client
            .delete("config/fleet", Expect::Version(version))
            .await
            .unwrap();
        assert_eq!(fake.objects.borrow().len(), 0);
        assert_eq!(client.calls().of(CallKind::Put), 2);
        assert_eq!(client.calls().of(CallKind::Get), 2);
    });
}

#[parameterized(
    not_found = { 404, "", "NotFound" },
    conflict = { 409, r#"{"version":9}"#, "Conflict { current: Revision(9) }" },
    conflict_without_version = { 409, "", "Conflict { current: Revision(0) }" },
    gone = { 410, "", "TooOld" },
    outage = { 503, "", "Outage" },
    server_error = { 500, "", "Unconfirmed(Malformed(\"the platform failed while it ran the call\"))" },
    refused = { 413, "", "Refused(413)" },
    invalid_json = { 200, "x", "Malformed(\"expected value at line 1 column 1\")" },
)]
fn statuses(status: u16, body: &'static str, expected: &str) {
    run(async |fake, address| {
        *fake.fixed.borrow_mut() = Some(Response::new(status, body));
        let client = client(address, &clock());
        let error = client.delete("k", Expect::Any).await.unwrap_err();
        assert_eq!(format!("{error:?}"), expected);
    });
}

/// Guards against a revision that a restored service gives out again and that is taken for the
/// one before.
#[test]
fn revisions_of_a_restored_service_are_newer() {
    run(async |fake, address| {
        fake.era.set(1);
        let client = client(address, &clock());
        let empty = fake.copy();
        let first = client.put("servers/a", &json!(1), Expect::Absent).await;
        let (listed, _) = client.list("servers/").await.unwrap();
        assert_eq!((first.unwrap(), client.era()), (listed, Era(1)));
        fake.restore(&empty);
        let wait = Duration::from_millis(1);
        let watched = client.watch("servers/", listed, wait).await;
        assert!(matches!(watched, Err(PlatformError::TooOld)), "{watched:?}");
        assert_eq!(client.era(), Era(2));
        let again = client.put("servers/b", &json!(2), Expect::Absent).await;
        let again = again.unwrap();
        assert_eq!(again.number(), listed.number());
        assert!(again > listed);
        // The object is at the same number by accident only.
        let other = json!(3);
        let replaced = client.put("servers/b", &other, Expect::Version(listed));
        let replaced = replaced.await;
        assert!(matches!(replaced, Err(PlatformError::Conflict { .. })));
        assert_eq!(fake.value("servers/b"), json!(2));
        let found = client.get("servers/b").await.unwrap().unwrap();
        assert_eq!(found.version, again);
        let watched = client.watch("servers/", again, wait).await.unwrap();
        assert_eq!(watched.revision, again);
    });
}

#[test]
fn a_response_without_an_era_counts_as_of_the_known_one() {
    run(async |fake, address| {
        fake.era.set(3);
        let client = client(address, &clock());
        client.put("k", &json!(1), Expect::Any).await.unwrap();
        fake.era.set(0);
        let found = client.get("k").await.unwrap().unwrap();
        assert_eq!(found.version.era(), Era(3));
    });
}

#[test]
fn a_refused_connection_sends_nothing() {
    run(async |_fake, _address| {
        let listener = pomeloridge_base::net::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let error = client(address, &clock()).vms().await.unwrap_err();
        assert!(matches!(error, PlatformError::Unreachable(_)), "{error:?}");
    });
}

#[test]
fn a_lost_response_leaves_the_outcome_unknown() {
    run(async |fake, address| {
        fake.loss.set(Some(Loss::Response));
        let client = client(address, &clock());
        let error = client.put("k", &json!(1), Expect::Any).await.unwrap_err();
        assert!(error.is_unknown(), "{error:?}");
        assert_eq!(fake.value("k"), json!(1));
    });
}

#[test]
fn a_call_to_a_silent_platform_times_out() {
    run(async |fake, address| {
        fake.silent.set(true);
        let client = Client::new(address, Duration::from_millis(50), clock());
        assert!(client.vms().await.is_err());
        let wait = Duration::from_millis(10);
        let watched = client.watch("config/", Revision(0), wait).await;
        assert!(watched.is_err());
    });
}

#[parameterized(
    space = { "a b" },
    query = { "a?expect=1" },
    line_break = { "a\r\nx: y" },
    fragment = { "e1#2" },
    percent = { "a%20b" },
)]
fn keys_that_would_change_the_request_are_rejected(key: &str) {
    run(async |fake, address| {
        let client = client(address, &clock());
        let error = client.put(key, &json!(1), Expect::Any).await.unwrap_err();
        assert!(matches!(error, PlatformError::BadKey(_)), "{error:?}");
        assert_eq!(fake.writes.get(), 0);
    });
}

#[test]
fn lists_skip_invalid_entries() {
    run(async |fake, address| {
        let server = |id: &str, kind: &str, state: &str| {
            json!({"id": id, "address": "127.0.0.1:9", "data_centre": "d1", "pool": "m",
                "kind": kind, "cheap": true, "price": 2.5, "checks_fence": true,
                "state": state, "leave_at": 5000})
        };
        let servers = [
            server("e1", "engine", "leaving"),
            server("e2", "toaster", "ready"),
            server("s1", "service", "ready"),
        ];
        let vm = |address: &str, state: &str| json!({"name": "n1", "address": address, "data_centre": "d1", "state": state});
        let vms = [
            vm("127.0.0.1:7", "leaving"),
            vm("nowhere", "live"),
            vm("127.0.0.1:7", "asleep"),
        ];
        let body = json!({"servers": servers, "vms": vms});
        *fake.fixed.borrow_mut() = Some(Response::json(200, &body));
        let client = client(address, &clock());
        let servers = client.servers().await.unwrap();
        assert_eq!(servers.len(), 2);
        assert_eq!(servers[0].kind, ServerKind::Engine);
        assert_eq!(servers[0].state, ServerState::Leaving);
        assert!(servers[0].checks_fence && servers[0].leave_at.is_some());
        assert_eq!(servers[1].kind, ServerKind::Service);
        let vms = client.vms().await.unwrap();
        assert_eq!(vms.len(), 1);
        assert!(vms[0].leaving);
    });
}

thread_local! {
    /// Number of times that the era of a response was read, which is twice for each.
    static READS: Cell<u64> = const { Cell::new(0) };
}

/// Returns the number of the next response.
fn next_response() -> u64 {
    READS.replace(READS.get() + 1) / 2
}

/// Longest time in which a list from a service nearby ends.
const LIST_TIME: Duration = Duration::from_secs(5);

/// Returns a codec that reads each page as the same one, which is not the last.
fn endless_pages() -> ObjectCodec {
    ObjectCodec {
        page: |_, _| {
            Ok(Page {
                revision: Revision(1),
                objects: Vec::new(),
                next: Some("a".to_owned()),
            })
        },
        ..ObjectCodec::native()
    }
}

/// Reads a list, which must end within [`LIST_TIME`].
async fn list_in_time(client: &Client) -> Result<(Revision, Vec<Object>), PlatformError> {
    let listed = monoio::time::timeout(LIST_TIME, client.list("c/")).await;
    listed.expect("the list did not end")
}

/// Guards against a list that is begun again without end at a service that names a new era, or
/// two eras by turns, in each response.
#[parameterized(
    rising = { |_| Some(Era(next_response())) },
    by_turns = { |_| Some(Era(1 + next_response() % 2)) },
)]
fn a_list_amid_changing_eras_ends(era: fn(&Response) -> Option<Era>) {
    run(async |_fake, address| {
        let codec = ObjectCodec {
            era,
            ..endless_pages()
        };
        let client = Client::with_codec(address, LIST_TIME, clock(), codec);
        let listed = list_in_time(&client).await;
        assert!(matches!(listed, Err(PlatformError::Restored)), "{listed:?}");
        assert!(client.calls().of(CallKind::List) <= 8);
    });
}

/// Guards against a list without end, and without bound in memory, at a service that sends the
/// same page again.
#[test]
fn a_list_whose_page_is_repeated_ends() {
    run(async |_fake, address| {
        let client = Client::with_codec(address, LIST_TIME, clock(), endless_pages());
        let listed = list_in_time(&client).await;
        assert!(
            matches!(listed, Err(PlatformError::Malformed(_))),
            "{listed:?}"
        );
    });
}
