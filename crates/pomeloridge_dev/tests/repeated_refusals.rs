//! Tests of servers that write an earlier refusal once more on a kept connection, against a
//! gateway as a separate process on a fake of the fleet's platform.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::{OutgoingRequest, Response};
use pomeloridge_dev::launch::{Fleet, block_on, get_json};
use pomeloridge_fleet_standin::caller::{generation, is_not_run, is_ready, request, send_request};
use serde_json::Value;
use yare::parameterized;

/// Timeout of conditions.
const TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a server is passed over after it has refused a request.
const EJECTION_TIME: Duration = Duration::from_millis(500);

async fn send(gateway: SocketAddr, message: &OutgoingRequest) -> Response {
    send_request(gateway, None, message).await.unwrap().0
}

async fn wait_until_ready(fleet: &Fleet) {
    let end = Instant::now() + TIMEOUT;
    while !is_ready(fleet.gateways[0].ready).await {
        assert!(Instant::now() < end, "the gateway is not ready");
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the faults of the sends of an attempt that reached servers.
fn sent(fleet: &Fleet, attempt: &str) -> usize {
    let history: Value = get_json(fleet.duties, "/-/history").unwrap();
    let sent = history.as_array().unwrap().iter();
    let sent = sent.filter(|entry| entry["attempt"] == attempt && entry["path"].is_string());
    sent.count()
}

fn message(route: &str, attempt: &str) -> OutgoingRequest {
    match route {
        "ask" | "note" => generation(route, attempt, 200),
        _ => request(Method::POST, route, attempt),
    }
}

/// Guards against a copy of an earlier refusal that is taken for the answer to the next request
/// on the connection: the caller is told that the request has not run, or another server runs it
/// too.
#[parameterized(
    call = { "lodge", "shed-again" },
    call_without_id = { "lodge", "shed-again-bare" },
    call_never_with_id = { "lodge", "shed-bare-again" },
    stream = { "note", "shed-again" },
    stream_without_id = { "note", "shed-again-bare" },
    stream_never_with_id = { "note", "shed-bare-again" },
    idempotent = { "read", "shed-again" },
    idempotent_without_id = { "read", "shed-again-bare" },
    resumable = { "ask", "shed-again" },
    resumable_without_id = { "ask", "shed-again-bare" },
)]
fn a_copy_of_a_refusal_belongs_to_no_request(route: &str, fault: &str) {
    let name = format!("refusals-{route}-{fault}");
    let args = ["--plain", "1", "--decode", "1"];
    let fleet = Fleet::start_with(&name, 1, &args).unwrap();
    let gateway = fleet.gateways[0].caller;
    let answer = block_on(async {
        wait_until_ready(&fleet).await;
        // An answer on the connection before shows that it is kept.
        assert_eq!(send(gateway, &message(route, "f1")).await.status, 200);
        let refused = send(gateway, &message(route, "f2").with_header("x-fault", fault)).await;
        assert_eq!(refused.status, 503, "{refused:?}");
        send(gateway, &message(route, "f3")).await
    });
    assert!(!is_not_run(&answer), "{answer:?}");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(sent(&fleet, "f3"), 1);
}

/// Guards against a request that runs at two servers, as the first one wrote an earlier refusal
/// once more.
#[parameterized(
    named = { "shed-again" },
    unnamed = { "shed-again-bare" },
    never_named = { "shed-bare-again" },
)]
fn a_copy_of_a_refusal_makes_no_second_run(fault: &str) {
    let fleet = Fleet::start(&format!("second-run-{fault}"), 1).unwrap();
    let gateway = fleet.gateways[0].caller;
    block_on(async {
        wait_until_ready(&fleet).await;
        let faults = format!("{fault},{fault}");
        for round in 0..10 {
            let refused = message("read", &format!("r{round}")).with_header("x-fault", &faults);
            assert_eq!(send(gateway, &refused).await.status, 503);
            // Both servers are tried again, one of them at once.
            for number in 0..4 {
                send(gateway, &message("lodge", &format!("l{round}-{number}"))).await;
            }
            monoio::time::sleep(EJECTION_TIME).await;
        }
    });
    for round in 0..10 {
        for number in 0..4 {
            let attempt = format!("l{round}-{number}");
            assert!(sent(&fleet, &attempt) <= 1, "{attempt}");
        }
    }
}

/// Guards against a server's answer after a run that callers take for the guarantee that the
/// request has not run.
#[parameterized(
    call = { "lodge" },
    stream = { "note" },
)]
fn an_unproven_refusal_is_not_passed_on(route: &str) {
    let fleet = Fleet::start(&format!("unproven-{route}"), 1).unwrap();
    let answer = block_on(async {
        wait_until_ready(&fleet).await;
        let unproven = message(route, "p1").with_header("x-fault", "full");
        send(fleet.gateways[0].caller, &unproven).await
    });
    assert!(!is_not_run(&answer), "{answer:?}");
    assert_eq!(sent(&fleet, "p1"), 1);
}
