//! Intents: one outstanding order a slot, and repeats that are the same order.

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

async fn record(
    node: &Node,
    current: Option<&StoredIntent<OrderAction>>,
) -> WriteOutcome<OrderAction> {
    let permit = node.keeper.authority().permit().unwrap();
    let begun = begin(&node.client, &permit, slot(), current, add("m"), DEADLINE);
    begun.await.unwrap()
}

fn written(recorded: WriteOutcome<OrderAction>) -> StoredIntent<OrderAction> {
    match recorded {
        WriteOutcome::Written(kept) => kept,
        other => panic!("not written: {other:?}"),
    }
}

async fn deliver(node: &Node, kept: &StoredIntent<OrderAction>) -> Result<(), PlatformError> {
    let permit = node.keeper.authority().permit().unwrap();
    send(&permit, kept, async |intent, permit| {
        node.client.order(&Order::from(intent), permit).await
    })
    .await
    .map(drop)
}

/// A holder and a node that takes over from it.
async fn holder(fake: &Fake, address: SocketAddr) -> (Node, Node) {
    let mut a = Node::new(fake, address, "a");
    a.take(fake).await;
    (a, Node::new(fake, address, "b"))
}

#[test]
fn the_next_holder_sends_the_same_order_under_its_own_fence() {
    run(async |fake, address| {
        let (a, mut b) = holder(&fake, address).await;
        let permit = a.keeper.authority().permit().unwrap();
        let kept = written(record(&a, None).await);
        deliver(&a, &kept).await.unwrap();
        b.keeper.step().await;
        fake.advance(TERM + MARGIN);
        b.keeper.step().await;
        let open = read_intents::<OrderAction>(&b.client, ORDER_INTENTS).await;
        let open = open.unwrap().remove(0);
        assert_eq!(open, kept);
        // The order of the earlier holding is not sent as it stands.
        let next = b.keeper.authority().permit().unwrap();
        let unadopted = send(&next, &open, async |_, _| Ok(())).await;
        assert!(matches!(unadopted, Err(PlatformError::Lapsed)));
        let taken = written(adopt(&b.client, &next, &open).await.unwrap());
        deliver(&b, &taken).await.unwrap();
        let posts = fake.posts.borrow().clone();
        assert_eq!(posts[0].1["order_id"], "m#1");
        assert_eq!(posts[1].1["order_id"], "m#1");
        assert_eq!(
            (&posts[0].1["fence"], &posts[1].1["fence"]),
            (&1.into(), &2.into())
        );
        // The former holder can neither send nor finish it any more.
        let late = send(&permit, &kept, async |_, _| Ok(())).await;
        assert!(matches!(late, Err(PlatformError::Lapsed)));
        let finished = finish(&a.client, &kept).await.unwrap();
        assert_eq!(finished, WriteOutcome::Changed(taken));
    });
}

#[test]
fn a_second_order_waits_for_the_first() {
    run(async |fake, address| {
        let (a, _) = holder(&fake, address).await;
        let kept = written(record(&a, None).await);
        let second = record(&a, Some(&kept)).await;
        assert_eq!(second, WriteOutcome::Changed(kept.clone()));
        let unread = record(&a, None).await;
        assert_eq!(unread, WriteOutcome::Changed(kept.clone()));
        let done = written(finish(&a.client, &kept).await.unwrap());
        let next = written(record(&a, Some(&done)).await);
        assert_eq!(next.intent.order_id, "m#2");
        // Without the condition on the slot, the second would stand beside the first.
        fake.objects.borrow_mut().remove("intent/orders/m");
        assert!(matches!(record(&a, None).await, WriteOutcome::Written(_)));
    });
}

#[test]
fn an_order_whose_intent_is_unconfirmed_is_not_given() {
    run(async |fake, address| {
        let (a, _) = holder(&fake, address).await;
        fake.loss.set(Some(Loss::Late));
        assert_eq!(record(&a, None).await, WriteOutcome::Unconfirmed);
        fake.deliver();
        // The late write is met by the next try, and not overwritten.
        let WriteOutcome::Changed(kept) = record(&a, None).await else {
            panic!("the late intent must be found");
        };
        assert_eq!(kept.intent.order_id, "m#1");
        assert!(fake.posts.borrow().is_empty());
    });
}

#[test]
fn an_order_is_not_written_after_the_lease() {
    run(async |fake, address| {
        let (mut a, _) = holder(&fake, address).await;
        let kept = written(record(&a, None).await);
        let permit = a.keeper.authority().permit().unwrap();
        let order = Order::from(&kept.intent);
        let almost = TERM.saturating_sub(Duration::from_millis(10));
        fake.advance(almost);
        let late = a.client.order(&order, &permit).await;
        assert!(
            matches!(late, Err(PlatformError::Lapsed)),
            "too little is left"
        );
        a.keeper.step().await;
        assert!(permit.allowed());
        // The lease ends while the connection is being made.
        let pass = async { fake.advance(TERM) };
        let (sent, ()) = monoio::join!(a.client.order(&order, &permit), pass);
        assert!(matches!(sent, Err(PlatformError::Lapsed)));
        assert!(fake.posts.borrow().is_empty());
        let begun = begin(&a.client, &permit, slot(), None, add("m"), DEADLINE);
        assert!(matches!(begun.await, Err(PlatformError::Lapsed)));
    });
}
