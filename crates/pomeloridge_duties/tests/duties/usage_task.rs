//! The usage task against a small platform.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use pomeloridge_duties::usage::{
    Batch, BatchInventory, BatchPage, NodeClient, StoredRange, UsageOptions, UsageSource,
    read_sealed_windows, run_usage,
};
use pomeloridge_platform::{Authority, Client};
use serde_json::Value;

use crate::support::{FakePlatform, batch, block_on, client, line, start, take};

const PATIENCE: Duration = Duration::from_mins(1);

/// Serves until `done` holds; gives the numbers up to which batches were dropped.
async fn serve(
    client: &Client,
    authority: Authority,
    batches: &[Batch],
    done: impl Fn() -> bool,
) -> Vec<(UsageSource, u64)> {
    let dropped = RefCell::new(Vec::new());
    let peers = NodeClient {
        list: async || spans(batches),
        fetch: async |holding: &StoredRange, from: u64| {
            let wanted = |kept: &&Batch| kept.source == holding.source && kept.number >= from;
            let batches = batches.iter().filter(wanted).cloned().collect();
            Some(BatchPage {
                batches,
                has_more: false,
            })
        },
        discard: async |start: &UsageSource, up_to: u64| {
            dropped.borrow_mut().push((start.clone(), up_to));
        },
    };
    let options = UsageOptions {
        window: Duration::from_millis(50),
        ..UsageOptions::default()
    };
    let end = Instant::now() + PATIENCE;
    let stop = || done() || Instant::now() > end;
    run_usage(client.clone(), authority, peers, options, stop).await;
    assert!(Instant::now() < end, "waited in vain");
    dropped.into_inner()
}

fn spans(batches: &[Batch]) -> BatchInventory {
    let holding = |kept: &Batch| StoredRange {
        stored_on: "vm-9".into(),
        source: kept.source.clone(),
        first: kept.number,
        last: kept.number,
    };
    BatchInventory {
        ranges: batches.iter().map(holding).collect(),
        complete: true,
    }
}

fn accounts(report: &Value) -> &Value {
    &report["accounts"]
}

#[test]
fn a_window_is_sealed_and_reported_and_the_next_holder_goes_on() {
    block_on(async {
        let (fake, address) = FakePlatform::start();
        fake.free_lease("usage");
        let client = client(address);
        let vm = start("vm-1", 3);
        let mut batches = vec![batch(&vm, 1, vec![line("r-1", "acme", 10, 20)])];
        let mut first = take(&client, "usage", "vm-1").await;
        // The answers to the seal and to the first report are lost.
        fake.drop_responses.set(2);
        let reported = || fake.object("usage_mark").is_some();
        serve(&client, first.authority(), &batches, reported).await;
        first.release().await;

        batches.push(batch(
            &vm,
            2,
            vec![line("r-2", "acme", 1, 2), line("r-1", "acme", 10, 20)],
        ));
        let second = take(&client, "usage", "vm-2").await;
        let mark = || {
            fake.object("usage_mark")
                .is_some_and(|mark| mark["reported"] == 2)
        };
        let dropped = serve(&client, second.authority(), &batches, mark).await;
        assert!(dropped.contains(&(vm, 2)), "{dropped:?}");

        let reports = fake.posted("/usage");
        assert_eq!(reports.len(), 3, "{reports:?}");
        assert_eq!(accounts(&reports[0]), accounts(&reports[1]));
        assert_eq!(reports[2]["accounts"]["acme"]["requests"], 1);
        let windows = read_sealed_windows(&client, 10).await.unwrap();
        let shown: Vec<_> = windows
            .iter()
            .map(|window| (window.window, window.reported))
            .collect();
        assert_eq!(shown, [(1, true), (2, true)]);
    });
}

#[test]
fn a_sealed_window_is_reported_by_the_next_holder_as_it_stands() {
    block_on(async {
        let (fake, address) = FakePlatform::start();
        fake.free_lease("usage");
        let client = client(address);
        let batches = [batch(
            &start("vm-1", 3),
            1,
            vec![line("r-1", "acme", 10, 20)],
        )];
        let mut first = take(&client, "usage", "vm-1").await;
        let sealed = || fake.object("usage/0000000001").is_some();
        serve(&client, first.authority(), &batches, sealed).await;
        first.release().await;
        fake.posts.borrow_mut().clear();
        fake.objects.borrow_mut().remove("usage_mark");

        let second = take(&client, "usage", "vm-2").await;
        let mark = || fake.object("usage_mark").is_some();
        serve(&client, second.authority(), &[], mark).await;
        let reports = fake.posted("/usage");
        let seal = fake.object("usage/0000000001").unwrap();
        assert_eq!(reports.len(), 1);
        assert_eq!(accounts(&reports[0]), &seal["accounts"]);
        assert_eq!(reports[0]["fence"], 2);
    });
}

#[test]
fn nothing_is_sealed_without_authority() {
    block_on(async {
        let (fake, address) = FakePlatform::start();
        fake.free_lease("usage");
        let client = client(address);
        let batches = [batch(
            &start("vm-1", 3),
            1,
            vec![line("r-1", "acme", 10, 20)],
        )];
        let mut lease = take(&client, "usage", "vm-1").await;
        let authority = lease.authority();
        lease.release().await;
        let looks = Cell::new(0);
        let done = || looks.replace(looks.get() + 1) > 5;
        serve(&client, authority, &batches, done).await;
        assert!(fake.object("usage/0000000001").is_none());
        assert!(fake.posted("/usage").is_empty());
    });
}
