//! Each slot has one outstanding order, and a retry is the same order.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use pomeloridge_base::id::Name;
use pomeloridge_platform::intent::{
    ORDER_INTENTS, Slot, StoredIntent, WriteOutcome, adopt, begin, finish, read_intents, send,
};
use pomeloridge_platform::{Order, OrderAction, PlatformError};
use support::{Fake, Loss, MARGIN, Node, TERM, run};

const DEADLINE: Duration = Duration::from_secs(5);

fn add(pool: &str) -> OrderAction {
    OrderAction::Add {
        data_centre: Name::from("d1"),
        pool: Name::from(pool),
        preemptible: true,
    }
}

fn slot() -> Slot {
    Slot::orders(&Name::from("m"))
}

async fn begin_order(
    node: &Node,
    current: Option<&StoredIntent<OrderAction>>,
) -> WriteOutcome<OrderAction> {
    let permit = node.lease.authority().permit().unwrap();
    let outcome = begin(&node.client, &permit, slot(), current, add("m"), DEADLINE);
    outcome.await.unwrap()
}

fn written(outcome: WriteOutcome<OrderAction>) -> StoredIntent<OrderAction> {
    match outcome {
        WriteOutcome::Written(stored) => stored,
        other => panic!("not written: {other:?}"),
    }
}

async fn send_order(node: &Node, stored: &StoredIntent<OrderAction>) -> Result<(), PlatformError> {
    let permit = node.lease.authority().permit().unwrap();
    send(&permit, stored, async |intent, permit| {
        node.client.order(&Order::from(intent), permit).await
    })
    .await
    .map(drop)
}

/// Returns a node that holds the lease and one that can take it over.
async fn holder_and_successor(fake: &Fake, address: SocketAddr) -> (Node, Node) {
    let mut a = Node::new(fake, address, "a");
    a.take(fake).await;
    (a, Node::new(fake, address, "b"))
}

#[test]
fn the_next_holder_sends_the_same_order_with_its_own_fence() {
    run(async |fake, address| {
        let (a, mut b) = holder_and_successor(&fake, address).await;
        let permit = a.lease.authority().permit().unwrap();
        let stored = written(begin_order(&a, None).await);
        send_order(&a, &stored).await.unwrap();
        b.lease.step().await;
        fake.advance(TERM + MARGIN);
        b.lease.step().await;
        let open = read_intents::<OrderAction>(&b.client, ORDER_INTENTS).await;
        let open = open.unwrap().remove(0);
        assert_eq!(open, stored);
        // An order of an earlier tenure is not sent before it is adopted.
        let next = b.lease.authority().permit().unwrap();
        let unadopted = send(&next, &open, async |_, _| Ok(())).await;
        assert!(matches!(unadopted, Err(PlatformError::Lapsed)));
        let adopted = written(adopt(&b.client, &next, &open).await.unwrap());
        send_order(&b, &adopted).await.unwrap();
        let posts = fake.posts.borrow().clone();
        assert_eq!(posts[0].1["order_id"], "m#1");
        assert_eq!(posts[1].1["order_id"], "m#1");
        assert_eq!(
            (&posts[0].1["fence"], &posts[1].1["fence"]),
            (&1.into(), &2.into())
        );
        // The former holder can no longer send or finish it.
        let late = send(&permit, &stored, async |_, _| Ok(())).await;
        assert!(matches!(late, Err(PlatformError::Lapsed)));
        let finished = finish(&a.client, &stored).await.unwrap();
        assert_eq!(finished, WriteOutcome::Changed(adopted));
    });
}

#[test]
fn a_second_order_waits_for_the_first() {
    run(async |fake, address| {
        let (a, _) = holder_and_successor(&fake, address).await;
        let stored = written(begin_order(&a, None).await);
        let second = begin_order(&a, Some(&stored)).await;
        assert_eq!(second, WriteOutcome::Changed(stored.clone()));
        let unread = begin_order(&a, None).await;
        assert_eq!(unread, WriteOutcome::Changed(stored.clone()));
        let done = written(finish(&a.client, &stored).await.unwrap());
        let next = written(begin_order(&a, Some(&done)).await);
        assert_eq!(next.intent.order_id, "m#2");
        // Without the existing object, a second order would be written.
        fake.objects.borrow_mut().remove("intent/orders/m");
        assert!(matches!(
            begin_order(&a, None).await,
            WriteOutcome::Written(_)
        ));
    });
}

#[test]
fn an_order_with_an_unconfirmed_intent_is_not_sent() {
    run(async |fake, address| {
        let (a, _) = holder_and_successor(&fake, address).await;
        fake.loss.set(Some(Loss::Late));
        assert_eq!(begin_order(&a, None).await, WriteOutcome::Unconfirmed);
        fake.deliver();
        // The next attempt finds the late write and does not overwrite it.
        let WriteOutcome::Changed(stored) = begin_order(&a, None).await else {
            panic!("the late intent must be found");
        };
        assert_eq!(stored.intent.order_id, "m#1");
        assert!(fake.posts.borrow().is_empty());
    });
}

#[test]
fn an_order_is_not_written_after_the_lease_ends() {
    run(async |fake, address| {
        let (mut a, _) = holder_and_successor(&fake, address).await;
        let stored = written(begin_order(&a, None).await);
        let permit = a.lease.authority().permit().unwrap();
        let order = Order::from(&stored.intent);
        let almost = TERM.saturating_sub(Duration::from_millis(10));
        fake.advance(almost);
        let late = a.client.order(&order, &permit).await;
        assert!(
            matches!(late, Err(PlatformError::Lapsed)),
            "too little time is left"
        );
        a.lease.step().await;
        assert!(permit.allowed());
        // The lease ends while the connection is being opened.
        let pass = async { fake.advance(TERM) };
        let (sent, ()) = monoio::join!(a.client.order(&order, &permit), pass);
        assert!(matches!(sent, Err(PlatformError::Lapsed)));
        assert!(fake.posts.borrow().is_empty());
        let outcome = begin(&a.client, &permit, slot(), None, add("m"), DEADLINE);
        assert!(matches!(outcome.await, Err(PlatformError::Lapsed)));
    });
}
