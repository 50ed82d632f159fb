//! Usage batches are stored once and dropped only when sealed.

use bytes::Bytes;
use pomeloridge_base::id::{Incarnation, Name};
use pomeloridge_node::usage::{UsageBatch, UsageLine, UsageSpan};
use pomeloridge_node::usage_store::{InsertOutcome, UsageStore};
use proptest::prelude::{any, proptest};
use proptest::{collection, prop_assert_eq};

fn batch(number: u64, lines: usize) -> UsageBatch {
    let line = |index| UsageLine {
        request_id: Bytes::from(format!("{number}-{index}")),
        account: Name::from("bank"),
        prompt_tokens: number,
        output_tokens: 2,
    };
    UsageBatch {
        node: Name::from("a"),
        incarnation: Incarnation(1),
        number,
        lines: (0..lines).map(line).collect(),
    }
}

fn numbers(store: &UsageStore) -> Vec<u64> {
    let page = store.read(&Name::from("a"), Incarnation(1), 0);
    page.batches.iter().map(|batch| batch.number).collect()
}

#[test]
fn a_repeated_batch_changes_nothing_and_another_of_its_number_is_refused() {
    let mut store = UsageStore::new(100);
    assert_eq!(store.insert(batch(1, 2)), InsertOutcome::New);
    assert_eq!(store.insert(batch(1, 2)), InsertOutcome::Repeated);
    assert_eq!(store.insert(batch(1, 3)), InsertOutcome::Conflict);
    assert_eq!(store.lines(), 2);
}

#[test]
fn a_full_store_refuses_new_batches_and_keeps_the_stored_ones() {
    let mut store = UsageStore::new(3);
    assert_eq!(store.insert(batch(1, 2)), InsertOutcome::New);
    assert_eq!(store.insert(batch(2, 2)), InsertOutcome::Full);
    assert_eq!(store.insert(batch(3, 1)), InsertOutcome::New);
    assert_eq!(numbers(&store), [1, 3]);
    store.drop_sealed(&Name::from("a"), Incarnation(1), 1);
    assert_eq!(store.insert(batch(2, 2)), InsertOutcome::New);
}

#[test]
fn sealed_batches_are_dropped_and_not_stored_again() {
    let mut store = UsageStore::new(100);
    for number in 1..=4 {
        store.insert(batch(number, 1));
    }
    store.drop_sealed(&Name::from("a"), Incarnation(1), 2);
    store.drop_sealed(&Name::from("a"), Incarnation(1), 1);
    assert_eq!(store.insert(batch(2, 1)), InsertOutcome::Repeated);
    assert_eq!(numbers(&store), [3, 4]);
    let span = UsageSpan {
        node: Name::from("a"),
        incarnation: Incarnation(1),
        first: 3,
        last: 4,
    };
    assert_eq!(store.spans(), [span]);
}

#[test]
fn many_batches_are_read_in_pages() {
    let mut store = UsageStore::new(100_000);
    for number in 1..=5 {
        store.insert(batch(number, 4000));
    }
    let (mut from, mut seen) = (1, Vec::new());
    loop {
        let page = store.read(&Name::from("a"), Incarnation(1), from);
        seen.extend(page.batches.iter().map(|batch| batch.number));
        from = seen.len() as u64 + 1;
        if !page.has_more {
            break;
        }
    }
    assert_eq!(seen, [1, 2, 3, 4, 5]);
}

proptest! {
    #[test]
    fn any_order_with_repeats_stores_each_batch_once(
        order in collection::vec(1_u64..20, 0..60),
        sealed in 0_u64..20,
        early in any::<bool>(),
    ) {
        let mut store = UsageStore::new(1000);
        let node = Name::from("a");
        if early {
            store.drop_sealed(&node, Incarnation(1), sealed);
        }
        for number in &order {
            store.insert(batch(*number, 1));
        }
        store.drop_sealed(&node, Incarnation(1), sealed);
        let mut expected: Vec<_> = order.into_iter().filter(|number| *number > sealed).collect();
        expected.sort_unstable();
        expected.dedup();
        prop_assert_eq!(store.lines(), expected.len());
        prop_assert_eq!(numbers(&store), expected);
    }
}
