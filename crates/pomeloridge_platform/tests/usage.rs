//! Usage windows are reported as they were sealed first, whichever node reports them.

mod support;

use std::collections::BTreeMap;

use pomeloridge_base::http::Response;
use pomeloridge_base::id::Name;
use pomeloridge_platform::PlatformError;
use pomeloridge_platform::usage::{Seal, UsageCounts, read_seals, seal};
use serde_json::{Value, json};
use support::{Loss, MARGIN, Node, TERM, run};

fn window(requests: u64) -> Seal {
    let counts = UsageCounts {
        requests,
        ..UsageCounts::default()
    };
    let accounts = BTreeMap::from([(Name::from("acme"), counts)]);
    Seal::new("w1", &accounts, json!({"n1": 4})).unwrap()
}

#[test]
fn a_window_is_reported_as_it_was_sealed_first() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        let mut b = Node::new(&fake, address, "b");
        a.take(&fake).await;
        let permit = a.lease.authority().permit().unwrap();
        fake.loss.set(Some(Loss::Response));
        let first = seal(&a.client, &permit, window(7)).await.unwrap();
        a.client.report_usage(&first, &permit).await.unwrap();
        b.lease.step().await;
        fake.advance(TERM + MARGIN);
        b.lease.step().await;
        let next = b.lease.authority().permit().unwrap();
        let second = seal(&b.client, &next, window(9)).await.unwrap();
        assert_eq!(second, first);
        let seals = read_seals(&b.client).await.unwrap();
        assert_eq!((seals.len(), &seals[0]), (1, &first));
        b.client.report_usage(&second, &next).await.unwrap();
        let posts = fake.posts.borrow().clone();
        assert_eq!(posts[0].1["accounts"], posts[1].1["accounts"]);
        // The second holder's own counts would have been a different report.
        assert_ne!(window(9).accounts, posts[1].1["accounts"]);
        let late = a.client.report_usage(&first, &permit).await;
        assert!(matches!(late, Err(PlatformError::Lapsed)));
        assert_eq!(fake.posts.borrow().len(), 2);
    });
}

#[test]
fn nothing_is_reported_before_the_seal_is_certain() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        a.take(&fake).await;
        let permit = a.lease.authority().permit().unwrap();
        fake.loss.set(Some(Loss::Write));
        let sealed = seal(&a.client, &permit, window(7)).await;
        assert!(sealed.unwrap_err().is_unknown());
        assert_eq!(fake.value("usage/w1"), Value::Null);
        *fake.fixed.borrow_mut() = Some(Response::new(409, ""));
        let differs = a.client.report_usage(&window(7), &permit).await;
        assert!(matches!(differs, Err(PlatformError::Differs)));
    });
}
