//! The fake platform: conditional writes, watches, orders and faults.

mod common;

use std::rc::Rc;

use common::{Standin, post, run, wait_until};
use http::Method;
use pomeloridge_base::http::OutgoingRequest;
use serde_json::json;

#[test]
fn one_of_two_conditional_puts_wins() {
    run(async {
        let platform = Rc::new(Standin::start(&["platform"]));
        let racers = [1, 2].map(|racer| {
            let platform = Rc::clone(&platform);
            monoio::spawn(async move { platform.put("/objects/k?expect=0", json!(racer)).await.0 })
        });
        let mut statuses = Vec::new();
        for racer in racers {
            statuses.push(racer.await);
        }
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409]);
        let (status, answer) = platform.put("/objects/k?expect=7", json!(3)).await;
        assert_eq!((status, answer), (409, json!({ "version": 1 })));
    });
}

#[test]
fn a_write_wakes_a_watch() {
    run(async {
        let platform = Rc::new(Standin::start(&["platform"]));
        let watcher = Rc::clone(&platform);
        let target = "/watch?prefix=a/&after=0&wait_ms=60000";
        let watch = monoio::spawn(async move { watcher.get(target).await });
        wait_until(async || platform.get("/calls").await.1["watch"] == 1).await;
        platform.put("/objects/b/x", json!("elsewhere")).await;
        platform.put("/objects/a/x", json!("here")).await;
        let (status, answer) = watch.await;
        assert_eq!(status, 200);
        let event = json!({ "key": "a/x", "version": 2, "value": "here" });
        assert_eq!(answer["events"], json!([event]));
        assert_eq!(platform.get("/calls").await.1["watch"], 1);
    });
}

#[test]
fn a_deletion_is_an_event_until_compaction() {
    run(async {
        let platform = Standin::start(&["platform"]);
        platform.put("/objects/a", json!(1)).await;
        let delete = OutgoingRequest::new(Method::DELETE, "/objects/a?expect=1");
        assert_eq!(platform.send(delete).await.expect("an answer").status, 200);
        let target = "/watch?prefix=a&after=1&wait_ms=0";
        let event = json!({ "key": "a", "version": 2, "value": null });
        assert_eq!(platform.get(target).await.1["events"], json!([event]));
        platform.post("/control", json!({ "compact": true })).await;
        assert_eq!(platform.get(target).await.0, 410);
        assert_eq!(platform.get("/objects/a").await.0, 404);
    });
}

#[test]
fn a_write_with_a_lost_response_takes_effect() {
    run(async {
        let platform = Standin::start(&["platform"]);
        platform
            .post("/control", json!({ "lose_answers": 1 }))
            .await;
        let request = OutgoingRequest::new(Method::PUT, "/objects/a?expect=0").json(&json!("kept"));
        assert!(platform.send(request).await.is_err());
        assert_eq!(platform.get("/objects/a").await.1["value"], "kept");
        let puts = platform.history("put").await;
        assert_eq!((puts.len(), &puts[0]["lost"]), (1, &json!(true)));
    });
}

#[test]
fn an_outage_answers_503_and_changes_nothing() {
    run(async {
        let platform = Standin::start(&["platform"]);
        platform.post("/control", json!({ "outage": true })).await;
        assert_eq!(platform.put("/objects/a", json!(1)).await.0, 503);
        platform.post("/control", json!({ "outage": false })).await;
        assert_eq!(platform.get("/objects/a").await.0, 404);
    });
}

#[test]
fn a_value_over_the_limit_is_refused() {
    run(async {
        let platform = Standin::start(&["platform"]);
        let value = json!("x".repeat(1_000_000));
        assert_eq!(platform.put("/objects/a", value).await.0, 413);
        let value = json!("x".repeat(999_998));
        assert_eq!(platform.put("/objects/a", value).await.0, 200);
    });
}

#[test]
fn a_repeated_order_delivers_one_server_and_a_stale_one_none() {
    run(async {
        let spare = "m=127.0.0.1:7001,127.0.0.1:7002";
        let args = ["platform", "--spare", spare, "--delivery-ms", "1"];
        let platform = Standin::start(&args);
        let order = |id: &str, fence: u64| {
            json!({ "order_id": id, "fence": fence, "action": "add", "data_centre": "north",
                "pool": "m", "cheap": false, "server": null })
        };
        let first = platform.post("/orders", order("a", 5)).await;
        assert_eq!(first, (200, json!({ "order_id": "a", "repeated": false })));
        let again = platform.post("/orders", order("a", 5)).await;
        assert_eq!(again, (200, json!({ "order_id": "a", "repeated": true })));
        assert_eq!(platform.post("/orders", order("b", 4)).await.0, 409);
        wait_until(async || platform.get("/orders").await.1["orders"][0]["state"] == "ready").await;
        let servers = platform.get("/backends").await.1["servers"].clone();
        assert_eq!(servers.as_array().map(Vec::len), Some(1));
        assert_eq!(servers[0]["address"], "127.0.0.1:7001");
        let fences: Vec<_> = platform.history("order").await;
        let fences: Vec<_> = fences.iter().map(|line| line["fence"].as_u64()).collect();
        assert_eq!(fences, [Some(5), Some(5), Some(4)]);
    });
}

#[test]
fn the_address_of_a_released_server_is_reused() {
    run(async {
        let spare = "m=127.0.0.1:7001";
        let times = ["--delivery-ms", "1", "--release-ms", "1"];
        let platform = Standin::start(&[&["platform", "--spare", spare][..], &times].concat());
        let add = |id| json!({ "order_id": id, "fence": 1, "action": "add", "pool": "m" });
        platform.post("/orders", add("a")).await;
        platform.post("/orders", add("b")).await;
        assert_eq!(
            platform.get("/orders").await.1["orders"][1]["state"],
            "waiting"
        );
        let release = json!({ "order_id": "c", "fence": 1, "action": "release", "server": "m-1" });
        platform.post("/orders", release).await;
        wait_until(async || platform.get("/orders").await.1["orders"][1]["state"] == "ready").await;
        let orders = platform.get("/orders").await.1["orders"].clone();
        assert_eq!(orders[0]["state"], "removed");
        assert_eq!(orders[1]["server"], "m-2");
    });
}

#[test]
fn a_reclaim_affects_only_the_preemptible_servers_of_a_data_centre() {
    run(async {
        let platform = Standin::start(&["platform", "--reclaim-ms", "60000"]);
        let server = |id: &str, data_centre: &str, cheap: bool| {
            json!({ "id": id, "address": "127.0.0.1:7001", "pool": "m",
                "data_centre": data_centre, "cheap": cheap })
        };
        let servers = [
            server("a", "north", true),
            server("b", "north", false),
            server("c", "south", true),
        ];
        platform
            .post("/control", json!({ "servers": servers }))
            .await;
        let (_, answer) = platform
            .post("/control", json!({ "reclaim": "north" }))
            .await;
        assert_eq!(answer["reclaimed"], json!(["a"]));
        let listed = platform.get("/backends").await.1["servers"].clone();
        let states = [0, 1, 2].map(|at| listed[at]["state"].clone());
        assert_eq!(states, ["leaving", "ready", "ready"]);
        assert!(listed[0]["leave_at"].is_u64());
    });
}

#[test]
fn a_window_can_be_reported_again_only_with_equal_usage() {
    run(async {
        let platform = Standin::start(&["platform"]);
        let report = |requests: u64| {
            json!({ "window": "w1", "fence": 1, "accounts":
                { "acme": { "requests": requests, "prompt_tokens": 2, "output_tokens": 3 } } })
        };
        let statuses = [
            platform.post("/usage", report(1)).await,
            platform.post("/usage", report(1)).await,
            platform.post("/usage", report(2)).await,
        ];
        assert_eq!(
            statuses[0],
            (200, json!({ "window": "w1", "repeated": false }))
        );
        assert_eq!(
            statuses[1],
            (200, json!({ "window": "w1", "repeated": true }))
        );
        assert_eq!(statuses[2].0, 409);
        assert_eq!(platform.history("usage").await.len(), 3);
    });
}

#[test]
fn the_first_list_of_vms_is_immediate_and_later_ones_are_delayed() {
    run(async {
        let platform = Standin::start(&["platform", "--vms-lag-ms", "3600000"]);
        let vm = |name: &str| json!({ "vms": [{ "name": name, "address": "127.0.0.1:1" }] });
        platform.post("/control", vm("a")).await;
        platform.post("/control", vm("b")).await;
        let (_, answer) = platform.get("/vms").await;
        assert_eq!(answer["vms"][0]["name"], "a");
    });
}

#[test]
fn sigterm_exits_with_code_0() {
    run(async {
        let mut platform = Standin::start(&["platform"]);
        platform.terminate();
        assert_eq!(platform.wait_exit().await.code(), Some(0));
    });
}

#[test]
fn an_unknown_fault_is_refused() {
    run(async {
        let platform = Standin::start(&["platform"]);
        let request = post("/control", &json!({ "outrage": true }));
        assert_eq!(platform.send(request).await.expect("an answer").status, 400);
    });
}
