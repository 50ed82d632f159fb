//! Tests of the usage duty's task against a fake platform.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use pomeloridge_duties::usage::{
    Batch, BatchInventory, BatchPage, NodeClient, StoredRange, UsageOptions, UsageSource,
    read_sealed_windows, run_usage,
};
use pomeloridge_platform::{Authority, Client};
use serde_json::Value;

use crate::support::{FakePlatform, acquire, batch, block_on, client, line, source};

const TIMEOUT: Duration = Duration::from_mins(1);

/// Runs the duty until `done` returns true. Returns the source and number up to which the nodes
/// were told to discard batches, for each call.
async fn run_until(
    client: &Client,
    authority: Authority,
    batches: &[Batch],
    done: impl Fn() -> bool,
) -> Vec<(UsageSource, u64)> {
    let discarded = RefCell::new(Vec::new());
    let nodes = NodeClient {
        list: async || inventory(batches),
        fetch: async |range: &StoredRange, from: u64| {
            let wanted = |batch: &&Batch| batch.source == range.source && batch.number >= from;
            let batches = batches.iter().filter(wanted).cloned().collect();
            Some(BatchPage {
                batches,
                has_more: false,
            })
        },
        discard: async |source: &UsageSource, up_to: u64| {
            discarded.borrow_mut().push((source.clone(), up_to));
        },
    };
    let options = UsageOptions {
        window: Duration::from_millis(50),
        ..UsageOptions::default()
    };
    let end = Instant::now() + TIMEOUT;
    let stop = || done() || Instant::now() > end;
    run_usage(client.clone(), authority, nodes, options, stop).await;
    assert!(Instant::now() < end, "timed out");
    discarded.into_inner()
}

fn inventory(batches: &[Batch]) -> BatchInventory {
    let range = |batch: &Batch| StoredRange {
        stored_on: "vm-9".into(),
        source: batch.source.clone(),
        first: batch.number,
        last: batch.number,
    };
    BatchInventory {
        ranges: batches.iter().map(range).collect(),
        complete: true,
    }
}

fn accounts(report: &Value) -> &Value {
    &report["accounts"]
}

#[test]
fn window_is_sealed_and_reported_and_the_next_holder_continues() {
    block_on(async {
        let (fake, address) = FakePlatform::start();
        fake.free_lease("usage");
        let client = client(address);
        let source = source("vm-1", 3);
        let mut batches = vec![batch(&source, 1, vec![line("r-1", "acme", 10, 20)])];
        let mut first = acquire(&client, "usage", "vm-1").await;
        // The responses to the seal and to the first report are lost.
        fake.drop_responses.set(2);
        let is_reported = || fake.object("usage_mark").is_some();
        run_until(&client, first.authority(), &batches, is_reported).await;
        first.release().await;

        batches.push(batch(
            &source,
            2,
            vec![line("r-2", "acme", 1, 2), line("r-1", "acme", 10, 20)],
        ));
        let second = acquire(&client, "usage", "vm-2").await;
        let both_reported = || {
            fake.object("usage_mark")
                .is_some_and(|mark| mark["reported"] == 2)
        };
        let discarded = run_until(&client, second.authority(), &batches, both_reported).await;
        assert!(discarded.contains(&(source, 2)), "{discarded:?}");

        let reports = fake.posted("/usage");
        assert_eq!(reports.len(), 3, "{reports:?}");
        assert_eq!(accounts(&reports[0]), accounts(&reports[1]));
        assert_eq!(reports[2]["accounts"]["acme"]["requests"], 1);
        let windows = read_sealed_windows(&client, 10).await.unwrap();
        let listed: Vec<_> = windows
            .iter()
            .map(|window| (window.window, window.reported))
            .collect();
        assert_eq!(listed, [(1, true), (2, true)]);
    });
}

#[test]
fn next_holder_reports_a_sealed_window_unchanged() {
    block_on(async {
        let (fake, address) = FakePlatform::start();
        fake.free_lease("usage");
        let client = client(address);
        let batches = [batch(
            &source("vm-1", 3),
            1,
            vec![line("r-1", "acme", 10, 20)],
        )];
        let mut first = acquire(&client, "usage", "vm-1").await;
        let is_sealed = || fake.object("usage/0000000001").is_some();
        run_until(&client, first.authority(), &batches, is_sealed).await;
        first.release().await;
        fake.posts.borrow_mut().clear();
        fake.objects.borrow_mut().remove("usage_mark");

        let second = acquire(&client, "usage", "vm-2").await;
        let is_reported = || fake.object("usage_mark").is_some();
        run_until(&client, second.authority(), &[], is_reported).await;
        let reports = fake.posted("/usage");
        let seal = fake.object("usage/0000000001").unwrap();
        assert_eq!(reports.len(), 1);
        assert_eq!(accounts(&reports[0]), &seal["accounts"]);
        assert_eq!(reports[0]["fence"], 2);
    });
}

#[test]
fn nothing_is_sealed_without_the_lease() {
    block_on(async {
        let (fake, address) = FakePlatform::start();
        fake.free_lease("usage");
        let client = client(address);
        let batches = [batch(
            &source("vm-1", 3),
            1,
            vec![line("r-1", "acme", 10, 20)],
        )];
        let mut lease = acquire(&client, "usage", "vm-1").await;
        let authority = lease.authority();
        lease.release().await;
        let checks = Cell::new(0);
        let done = || checks.replace(checks.get() + 1) > 5;
        run_until(&client, authority, &batches, done).await;
        assert!(fake.object("usage/0000000001").is_none());
        assert!(fake.posted("/usage").is_empty());
    });
}
