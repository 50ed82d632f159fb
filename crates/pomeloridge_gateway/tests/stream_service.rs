//! Incident ORDER: a stream that is continued stays at the service that began it.

use std::time::Duration;

use pomeloridge_base::id::Name;
use pomeloridge_gateway::{Route, RouteKind, Share};
use pomeloridge_policy::stream_versions::{SLOTS, StreamId, VersionSlots};

const STREAMS: usize = 20_000;

fn split_route() -> Route {
    let share = |service: &str, weight| Share {
        service: Name::from(service),
        weight,
    };
    Route {
        name: Name::from("ask"),
        host: String::new(),
        prefix: "/".to_owned(),
        kind: RouteKind::Stream { resumable: true },
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_secs(1),
        gap_target: None,
        priority: 0,
        shares: vec![share("first", 3), share("second", 1)],
        max_attempts: 2,
        public: true,
    }
}

fn streams() -> impl Iterator<Item = StreamId> {
    (0..STREAMS).map(|number| StreamId::of(format!("attempt-{number}").as_bytes()))
}

/// Guards against a take-up that is sent to another service of a split route than its stream.
#[test]
fn a_take_up_on_a_split_route_goes_to_the_service_of_its_stream() {
    let route = split_route();
    for stream in streams() {
        let services = [route.stream_service(stream), route.stream_service(stream)];
        assert!(services[0].is_some() && services[0] == services[1]);
    }
}

/// Guards against a service whose streams fall into a part of the slots, and so of the versions.
#[test]
fn a_split_route_fills_all_slots_of_each_service_by_its_weights() {
    let route = split_route();
    let mut counts = [[0_usize; SLOTS]; 2];
    for stream in streams() {
        let service = route.stream_service(stream);
        let is_second = service == Some(&Name::from("second"));
        counts[usize::from(is_second)][VersionSlots::index(stream)] += 1;
    }
    for (count, share) in counts.iter().zip([0.75, 0.25]) {
        let expected = STREAMS as f64 * share / SLOTS as f64;
        for slot in count {
            let ratio = *slot as f64 / expected;
            assert!((0.5..1.5).contains(&ratio), "{slot} of {expected}");
        }
    }
}
