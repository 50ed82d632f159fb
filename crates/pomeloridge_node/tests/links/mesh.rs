//! Heartbeats, configuration and usage between nodes over loopback.

use crate::node::{OPTIONS, SECRET, TestNode, fleet, run, until};
use std::time::Duration;

use bytes::Bytes;
use pomeloridge_base::id::{Incarnation, Name, Revision};
use pomeloridge_node::error::LinkError;
use pomeloridge_node::heartbeat::{
    DemandLine, HeartbeatPayload, ServiceLine, ShareLine, Suspicion, SuspicionState,
};
use pomeloridge_node::member::{LinkOptions, MemberState};
use pomeloridge_node::membership::Membership;
use pomeloridge_node::peer_link::PeerLink;
use pomeloridge_node::usage::UsageLine;
use pomeloridge_node::usage_sender::{Replication, UsageOptions, UsageSender};

/// Long enough for a peer that is slow because the machine is busy.
const USAGE_OPTIONS: UsageOptions = UsageOptions {
    batch_delay: Duration::from_millis(5),
    ack_timeout: Duration::from_secs(10),
};

fn line(id: &str) -> UsageLine {
    UsageLine {
        request_id: Bytes::from(id.to_owned()),
        account: Name::from("bank"),
        prompt_tokens: 10,
        output_tokens: 20,
    }
}

#[test]
fn a_new_node_joins_through_a_seed_and_learns_of_all_nodes() {
    run(async {
        let a = TestNode::start("a", "x", SECRET, &[]);
        let b = TestNode::start("b", "y", SECRET, &[a.address]);
        until("a hears b", || a.mesh.members().len() == 1).await;
        a.adopt(7);
        let c = TestNode::start("c", "y", SECRET, &[b.address]);
        for node in [&a, &b, &c] {
            until("all are live", || {
                let members = node.mesh.members();
                let live = members
                    .iter()
                    .filter(|member| member.state == MemberState::Live);
                live.count() == 2
            })
            .await;
            until("the configuration has arrived", || {
                node.revision() == Revision(7)
            })
            .await;
            until("links are open", || node.mesh.links().len() == 2).await;
        }
    });
}

#[test]
fn a_heartbeat_carries_the_payload_both_ways() {
    run(async {
        let a = TestNode::start("a", "x", SECRET, &[]);
        let payload = HeartbeatPayload {
            reaches_platform: true,
            service: vec![ServiceLine {
                account: Name::from("bank"),
                pool: Name::from("m"),
                amount: 12.5,
            }],
            shares: vec![ShareLine {
                server: Name::from("e1"),
                requests: 3,
                prompt_tokens: 900,
                reserved_for_suspect: true,
            }],
            demand: vec![DemandLine {
                pool: Name::from("m"),
                requests: 4.0,
                prompt_tokens: 800.5,
                output_tokens: 120.0,
                queued: 2,
                refused: 0.25,
            }],
            suspicions: vec![Suspicion {
                fingerprint: [7; 32],
                age: Duration::from_millis(1500),
                engine: Name::from("e1"),
                state: SuspicionState::Quarantined,
            }],
            ..HeartbeatPayload::default()
        };
        *a.payload.borrow_mut() = payload.clone();
        // Only b knows the other's address at first: it sends the request, a the reply.
        let b = TestNode::start("b", "y", SECRET, &[a.address]);
        b.payload.borrow_mut().reaches_platform = true;
        let expected = (Name::from("a"), payload);
        until("b has a's payload", || {
            b.absorbed.borrow().contains(&expected)
        })
        .await;
        until("a has b's payload", || {
            let absorbed = a.absorbed.borrow();
            absorbed
                .iter()
                .any(|(name, payload)| *name == Name::from("b") && payload.reaches_platform)
        })
        .await;
        let reach = b.mesh.view(Membership::reach);
        assert_eq!(
            (reach.heard, reach.known, reach.reaching_platform),
            (2, 2, 1)
        );
    });
}

#[test]
fn a_push_reaches_every_node_and_an_older_object_changes_nothing() {
    run(async {
        let a = TestNode::start("a", "x", SECRET, &[]);
        let b = TestNode::start("b", "y", SECRET, &[a.address]);
        let c = TestNode::start("c", "z", SECRET, &[a.address]);
        for node in [&a, &b, &c] {
            until("links are open", || node.mesh.links().len() == 2).await;
        }
        a.mesh.push_config(&[a.adopt(9)]);
        for node in [&b, &c] {
            until("the push arrived", || node.revision() == Revision(9)).await;
        }
        let link = a
            .mesh
            .link(&Name::from("b"))
            .await
            .expect("the link is open");
        link.push_config(vec![fleet(8)])
            .await
            .expect("the call is answered");
        assert_eq!(b.revision(), Revision(9));
        assert_eq!(b.adopted.get(), 1);
    });
}

#[test]
fn an_adopted_push_is_passed_on() {
    run(async {
        // With one heartbeat per hour, each link carries a single exchange and no node
        // opens a further link, so the links form a chain.
        let slow = LinkOptions {
            heartbeat: Duration::from_hours(1),
            ..OPTIONS
        };
        let start = |name, seeds: &[_]| {
            TestNode::start_with(name, "x", SECRET, seeds, slow, |address| address)
        };
        let c = start("c", &[]);
        let b = start("b", &[c.address]);
        until("c hears b", || c.mesh.members().len() == 1).await;
        let a = start("a", &[b.address]);
        until("the chain is complete", || {
            a.mesh.links().len() == 1 && b.mesh.links().len() == 1
        })
        .await;
        until("b hears a", || b.mesh.members().len() == 2).await;
        a.mesh.push_config(&[a.adopt(9)]);
        until("the object came through b", || c.revision() == Revision(9)).await;
    });
}

#[test]
fn differing_digests_are_repaired_both_ways_over_one_link() {
    run(async {
        // The called node opens no links of its own.
        let passive = LinkOptions {
            fan_out: 0,
            ..OPTIONS
        };
        let a = TestNode::start_with("a", "x", SECRET, &[], passive, |address| address);
        let b = TestNode::start("b", "y", SECRET, &[a.address]);
        until("the link is open", || b.mesh.links().len() == 1).await;
        // Nothing is pushed: only the digests show the difference.
        a.adopt(3);
        until("b has a's object", || b.revision() == Revision(3)).await;
        b.adopt(4);
        until("a has b's object", || a.revision() == Revision(4)).await;
        assert!(a.mesh.links().is_empty());
    });
}

#[test]
fn a_leaving_node_is_reported_as_leaving() {
    run(async {
        let a = TestNode::start("a", "x", SECRET, &[]);
        let b = TestNode::start("b", "y", SECRET, &[a.address]);
        a.mesh.update_listed(&[b.listed()]);
        b.mesh.leave();
        let name = Name::from("b");
        until("b is leaving", || {
            a.mesh.view(|membership| membership.state(&name)) == Some(MemberState::Leaving)
        })
        .await;
    });
}

#[test]
fn a_node_with_another_secret_is_refused() {
    run(async {
        let a = TestNode::start("a", "x", SECRET, &[]);
        let wrong = b"a secret of another fleet";
        let name = Name::from("b");
        let refused = PeerLink::open(a.address, &name, wrong, OPTIONS.suspect).await;
        assert!(matches!(refused, Err(LinkError::Unproved)), "{refused:?}");
        let right = PeerLink::open(a.address, &name, SECRET, OPTIONS.suspect).await;
        let objects = right
            .expect("the secret is right")
            .get_config(Vec::new())
            .await;
        assert!(objects.expect("the link is authenticated").is_empty());
        let own = PeerLink::open(a.address, &Name::from("a"), SECRET, OPTIONS.suspect).await;
        assert!(matches!(own, Err(LinkError::Own)), "{own:?}");
    });
}

#[test]
fn usage_is_stored_in_another_data_centre_first() {
    run(async {
        let a = TestNode::start("a", "x", SECRET, &[]);
        let near = TestNode::start("b", "x", SECRET, &[a.address]);
        let far = TestNode::start("c", "y", SECRET, &[a.address]);
        until("links are open", || a.mesh.links().len() == 2).await;
        let sender = UsageSender::new(a.mesh.clone(), USAGE_OPTIONS);
        let (first, second) = (sender.clone(), sender.clone());
        let first = monoio::spawn(async move { first.record(line("r1")).await });
        let second = monoio::spawn(async move { second.record(line("r2")).await });
        assert_eq!(first.await, Replication::Replicated);
        assert_eq!(second.await, Replication::Replicated);
        assert_eq!(sender.record(line("r3")).await, Replication::Replicated);
        assert_eq!((sender.last_number(), sender.unreplicated_lines()), (2, 0));

        let own = Name::from("a");
        for peer in [&a, &far] {
            let peer = peer.mesh.name();
            let page = near.mesh.get_usage(&peer, &own, Incarnation(1), 0).await;
            let batches = page.expect("the peer answers").batches;
            let lines: Vec<_> = batches.iter().map(|batch| batch.lines.len()).collect();
            assert_eq!(lines, [2, 1], "{peer}");
        }
        let spans = a.mesh.list_usage(&Name::from("b")).await;
        assert!(spans.expect("the peer answers").is_empty());
        let far_name = Name::from("c");
        let dropped = near
            .mesh
            .drop_usage(&far_name, &own, Incarnation(1), 1)
            .await;
        dropped.expect("the peer answers");
        let spans = near
            .mesh
            .list_usage(&far_name)
            .await
            .expect("the peer answers");
        assert_eq!((spans[0].first, spans[0].last), (2, 2));
    });
}

#[test]
fn usage_of_a_lone_node_is_stored_and_sent_later() {
    run(async {
        let a = TestNode::start("a", "x", SECRET, &[]);
        let sender = UsageSender::new(a.mesh.clone(), USAGE_OPTIONS);
        assert_eq!(sender.record(line("r1")).await, Replication::Unreplicated);
        assert_eq!((sender.last_number(), sender.unreplicated_lines()), (1, 1));
        let spans = a.mesh.list_usage(&Name::from("a")).await;
        assert_eq!(spans.expect("it is the own store").len(), 1);
        assert!(!sender.retry().await);

        let b = TestNode::start("b", "y", SECRET, &[a.address]);
        until("the link is open", || a.mesh.links().len() == 1).await;
        assert!(sender.retry().await);
        assert_eq!(sender.unreplicated_lines(), 0);
        let own = Name::from("a");
        let page = a
            .mesh
            .get_usage(&b.mesh.name(), &own, Incarnation(1), 1)
            .await;
        assert_eq!(page.expect("the peer answers").batches.len(), 1);
    });
}
