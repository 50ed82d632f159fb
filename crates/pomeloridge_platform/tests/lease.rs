//! A lease has at most one holder at a time, even if writes are lost or late and nodes are
//! suspended, and even if the object service is restored from an older copy.

mod support;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::id::Revision;
use pomeloridge_platform::maintain_lease;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use support::{Fake, Loss, MARGIN, Node, TERM, run};
use yare::parameterized;

/// Seed of the schedules.
const SEED: u64 = 0x706f_6d65;
const SLICE: Duration = Duration::from_secs(10);

#[test]
fn a_lease_is_taken_over_only_if_it_is_not_renewed() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        let mut b = Node::new(&fake, address, "b");
        a.take(&fake).await;
        for _ in 0..10 {
            fake.advance(TERM / 3);
            a.lease.step().await;
            b.lease.step().await;
            assert!(a.holds() && !b.holds());
        }
        fake.advance((TERM + MARGIN).saturating_sub(SLICE));
        b.lease.step().await;
        assert!(!a.holds() && !b.holds());
        fake.advance(SLICE);
        b.lease.step().await;
        assert!(b.holds());
        assert_eq!((a.epoch(), b.epoch()), (1, 2));
        a.lease.step().await;
        assert!(!a.holds(), "the former holder must not come back");
    });
}

/// Guards against a long gap between two holders: a node that begins to read the lease only once it
/// no longer hears the holder would wait for another term.
#[test]
fn a_told_version_counts_like_one_that_was_read() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        let mut b = Node::new(&fake, address, "b");
        a.take(&fake).await;
        b.hear(a.lease.written_version().unwrap(), Duration::ZERO);
        assert_eq!(b.lease.takeover_delay(), TERM + MARGIN);
        fake.advance((TERM + MARGIN).saturating_sub(SLICE));
        b.lease.step().await;
        assert!(!b.holds());
        assert!(!a.holds() && a.lease.written_version().is_none());
        fake.advance(SLICE);
        b.lease.step().await;
        assert!(b.holds());
    });
}

#[test]
fn a_lease_that_was_renewed_after_the_last_message_is_not_taken() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        let mut b = Node::new(&fake, address, "b");
        a.take(&fake).await;
        let first = a.lease.written_version().unwrap();
        b.hear(first, Duration::ZERO);
        fake.advance(TERM / 2);
        a.lease.step().await;
        fake.advance(TERM / 2 + MARGIN);
        assert!(b.lease.takeover_delay().is_zero());
        b.lease.step().await;
        assert!(a.holds() && !b.holds());
        // A late message tells nothing new.
        b.hear(first, Duration::ZERO);
        assert_eq!(b.lease.takeover_delay(), TERM + MARGIN);
    });
}

/// Guards against a version that the service has lost and that is told again and again: the lease
/// would never count as unchanged.
#[test]
fn a_message_from_before_a_read_does_not_replace_what_was_read() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        let mut b = Node::new(&fake, address, "b");
        a.take(&fake).await;
        let told = Revision(a.lease.written_version().unwrap().0 + 100);
        let heard = b.client.clock().now();
        fake.advance(SLICE);
        b.lease.step().await;
        b.lease.record_told(told, heard);
        fake.advance(TERM + MARGIN);
        b.lease.record_told(told, heard);
        b.lease.step().await;
        assert!(b.holds());
    });
}

#[test]
fn a_suspended_holder_has_no_authority_when_it_resumes() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        a.take(&fake).await;
        let permit = a.lease.authority().permit().unwrap();
        a.clock.suspend(TERM.saturating_sub(SLICE));
        assert!(permit.allowed());
        a.clock.suspend(SLICE);
        assert!(
            !permit.allowed(),
            "the monotonic clock does not count the suspension"
        );
    });
}

#[test]
fn a_wall_clock_jump_does_not_take_a_lease() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        let mut b = Node::new(&fake, address, "b");
        a.take(&fake).await;
        b.lease.step().await;
        b.clock.set_ahead(TERM * 10);
        b.lease.step().await;
        assert!(a.holds() && !b.holds());
    });
}

#[test]
fn a_wall_clock_jump_does_not_end_authority() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        a.take(&fake).await;
        a.clock.set_ahead(TERM * 10);
        assert!(a.holds());
    });
}

#[test]
fn a_suspended_holder_whose_wall_clock_is_set_back_has_no_authority() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        a.take(&fake).await;
        let permit = a.lease.authority().permit().unwrap();
        a.clock.suspend(TERM);
        a.clock.set_back(TERM);
        assert!(!permit.allowed());
        assert!(!a.holds());
        a.clock.set_back(TERM);
        assert!(!a.holds(), "setting the clock must not restore authority");
    });
}

#[test]
fn a_slow_renewal_counts_from_before_it_was_sent() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        a.take(&fake).await;
        fake.advance(TERM / 3);
        let pass = async { fake.advance(5 * SLICE) };
        fake.overtake(a.lease.step(), pass).await;
        let left = a.lease.authority().left();
        assert_eq!(left, TERM.saturating_sub(5 * SLICE));
    });
}

#[test]
fn a_renewal_with_a_lost_response_counts_from_its_put() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        a.take(&fake).await;
        fake.advance(TERM / 3);
        fake.loss.set(Some(Loss::Response));
        fake.lose_reads.set(1);
        a.lease.step().await;
        fake.advance(2 * SLICE);
        // The next renewal conflicts with the unconfirmed one and must not lose the lease.
        a.lease.step().await;
        assert_eq!(a.lease.authority().left(), TERM.saturating_sub(2 * SLICE));
        assert_eq!(a.epoch(), 1);
    });
}

#[test]
fn authority_ends_in_an_outage_and_returns_after_it() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        a.take(&fake).await;
        fake.outage.set(true);
        fake.advance(TERM);
        a.lease.step().await;
        assert!(!a.holds());
        fake.outage.set(false);
        a.lease.step().await;
        assert!(a.holds());
        assert_eq!(a.epoch(), 1, "nobody else held the lease in between");
    });
}

#[test]
fn a_released_lease_is_taken_at_once() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        let mut b = Node::new(&fake, address, "b");
        a.take(&fake).await;
        b.lease.step().await;
        fake.advance(TERM / 3);
        // A renewal with a lost response must not prevent the release.
        fake.loss.set(Some(Loss::Response));
        fake.lose_reads.set(1);
        a.lease.step().await;
        a.lease.release().await;
        assert!(!a.holds());
        b.lease.step().await;
        assert!(b.holds());
        assert_eq!(b.epoch(), 2);
        let wait = b.lease.authority().unfenced_wait(SLICE);
        assert_eq!(wait, TERM + SLICE);
    });
}

#[test]
fn a_permit_of_an_earlier_tenure_is_invalid() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        let mut b = Node::new(&fake, address, "b");
        a.take(&fake).await;
        let permit = a.lease.authority().permit().unwrap();
        fake.advance(TERM);
        b.lease.step().await;
        fake.advance(TERM + MARGIN);
        b.lease.step().await;
        b.lease.release().await;
        a.lease.step().await;
        a.lease.step().await;
        assert!(a.holds() && a.epoch() == 3);
        assert!(!permit.allowed());
    });
}

#[test]
fn the_epoch_increases_after_the_object_is_deleted() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        a.take(&fake).await;
        fake.objects.borrow_mut().clear();
        fake.advance(TERM / 3);
        a.lease.step().await;
        assert!(!a.holds());
        a.take(&fake).await;
        assert_eq!(a.epoch(), 2);
    });
}

#[test]
fn the_task_takes_the_lease_and_releases_it_when_it_stops() {
    run(async |fake, address| {
        let node = Node::new(&fake, address, "a");
        let authority = node.lease.authority();
        let stop = Rc::new(Cell::new(false));
        let stopping = Rc::clone(&stop);
        let task = monoio::spawn(maintain_lease(node.lease, move || stopping.get()));
        while !authority.holds() {
            fake.advance(Duration::from_secs(1));
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        stop.set(true);
        task.await;
        assert!(!authority.holds());
        assert_eq!(fake.value("lease/placement")["holder"], "");
    });
}

/// Guards against a fencing token that two holders get, as the service has lost the lease of the
/// first.
#[test]
fn a_lost_lease_is_taken_after_a_term_and_with_a_higher_epoch() {
    run(async |fake, address| {
        fake.era.set(1);
        let mut a = Node::eager(&fake, address, "a", 1);
        let mut b = Node::eager(&fake, address, "b", 1);
        let empty = fake.copy();
        a.lease.step().await;
        assert!(a.holds(), "a lease that was never held is free");
        fake.restore(&empty);
        b.lease.step().await;
        fake.advance((TERM + MARGIN).saturating_sub(SLICE));
        b.lease.step().await;
        assert!(!a.holds() && !b.holds());
        fake.advance(SLICE);
        b.lease.step().await;
        assert!(b.holds());
        assert!(b.epoch() > a.epoch());
        a.lease.step().await;
        assert!(!a.holds());
    });
}

#[test]
fn the_last_holder_takes_a_lost_lease_again_at_once() {
    run(async |fake, address| {
        fake.era.set(1);
        let mut a = Node::eager(&fake, address, "a", 1);
        let empty = fake.copy();
        a.lease.step().await;
        let (first, permit) = (a.epoch(), a.lease.authority().permit().unwrap());
        for _ in 0..2 {
            fake.restore(&empty);
            fake.advance(TERM / 3);
            a.lease.step().await;
            a.lease.step().await;
            assert_eq!(a.lease.authority().left(), TERM);
        }
        assert!(a.epoch() > first);
        assert!(!permit.allowed(), "the earlier tenure has ended");
    });
}

/// Guards against a holder that takes an object of a new era for its own, because its version was
/// given out again.
#[test]
fn a_renewal_that_replaces_another_lease_by_accident_holds_nothing() {
    run(async |fake, address| {
        fake.era.set(1);
        let mut a = Node::eager(&fake, address, "a", 1);
        let mut b = Node::eager(&fake, address, "b", 1);
        let empty = fake.copy();
        a.lease.step().await;
        fake.restore(&empty);
        b.lease.step().await;
        a.clock.suspend(TERM);
        b.clock.advance(TERM + MARGIN);
        b.lease.step().await;
        assert!(b.holds());
        a.lease.step().await;
        assert!(!a.holds(), "the lease is at the version of the former one");
    });
}

/// Guards against the copy of a lease that was released or renewed in the lost part.
#[test]
fn a_lease_of_an_earlier_era_is_not_resumed() {
    run(async |fake, address| {
        fake.era.set(1);
        let mut a = Node::eager(&fake, address, "a", 1);
        let mut b = Node::eager(&fake, address, "b", 1);
        a.lease.step().await;
        let copy = fake.copy();
        a.lease.release().await;
        b.lease.step().await;
        assert!(b.holds());
        fake.restore(&copy);
        a.lease.step().await;
        assert!(b.holds() && !a.holds());
        fake.advance(TERM);
        a.lease.step().await;
        assert!(!a.holds());
    });
}

/// Guards against a process that starts after a restore and takes the service for one that has lost
/// nothing, as its first era may be 1: it would seal windows anew that were reported before.
#[test]
fn a_lease_shows_later_processes_that_the_service_was_restored() {
    run(async |fake, address| {
        let mut a = Node::eager(&fake, address, "a", 1);
        a.lease.step().await;
        assert!(a.holds());
        assert!(a.client.lost_before().is_none());
        fake.restore(&fake.copy());
        let mut b = Node::eager(&fake, address, "b", 1);
        b.lease.step().await;
        fake.advance(TERM + MARGIN);
        b.lease.step().await;
        assert!(b.holds() && b.client.lost_before().is_some());
        b.lease.step().await;
        // It need not have seen the lease of the earlier era.
        fake.advance(TERM / 2);
        b.lease.step().await;
        b.lease.release().await;
        let mut c = Node::eager(&fake, address, "c", 1);
        c.lease.step().await;
        assert!(c.holds() && c.client.lost_before().is_some());
    });
}

/// Guards against windows that are not reported after each change of holders, as a service that
/// lost nothing is taken for a restored one.
#[parameterized(
    without_eras = { 0 },
    first_of_a_service_with_eras = { 1 },
)]
fn a_lease_of_the_first_era_shows_no_restore(era: u64) {
    run(async |fake, address| {
        fake.era.set(era);
        let mut a = Node::eager(&fake, address, "a", 1);
        a.lease.step().await;
        a.lease.release().await;
        let mut b = Node::eager(&fake, address, "b", 1);
        b.lease.step().await;
        assert!(b.holds() && b.client.lost_before().is_none());
    });
}

/// Guards against a lease that is not taken, or taken for one of a restored service, as a former
/// version wrote it.
#[test]
fn a_lease_without_its_first_era_counts_from_its_epoch() {
    run(async |fake, address| {
        fake.era.set(1);
        let mut a = Node::eager(&fake, address, "a", 1);
        a.lease.step().await;
        a.lease.release().await;
        let mut record = fake.value("lease/placement");
        record.as_object_mut().unwrap().remove("first_era");
        fake.set("lease/placement", record);
        let mut b = Node::eager(&fake, address, "b", 1);
        b.lease.step().await;
        assert!(b.holds() && b.client.lost_before().is_none());
    });
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Step(usize),
    Release(usize),
    Advance(u64),
    Suspend(usize, u64),
    SetAhead(usize, u64),
    SetBack(usize, u64),
    Lose(Loss, u32),
    /// A call of this node's step is held back while the other node steps and time passes.
    Overtake(usize, u64),
    Deliver,
    Outage(bool),
    /// The platform copies its objects.
    Copy,
    /// The platform is restored from the last copy.
    Restore,
    /// A node starts anew, without memory.
    Restart(usize),
    /// The node sends the version of its lease to the other one, if it has authority.
    Tell(usize),
    /// The node receives the message that was sent last, as if some time ago. It may receive it
    /// again.
    Hear(usize, Duration),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    prop::collection::vec(op(), 10..60)
}

fn ops_with_restores() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        20 => op(),
        1 => Just(Op::Copy),
        2 => Just(Op::Restore),
        1 => (0..2usize).prop_map(Op::Restart),
    ];
    prop::collection::vec(op, 10..60)
}

/// Puts messages about the lease between other operations.
fn ops_with_messages(
    ops: impl Strategy<Value = Vec<Op>>,
    ago: Duration,
) -> impl Strategy<Value = Vec<Op>> {
    let message = prop_oneof![
        (0..2usize).prop_map(|node| vec![Op::Tell(node)]),
        (0..2usize).prop_map(move |node| vec![Op::Hear(node, ago)]),
        // Most messages arrive at once.
        (0..2usize).prop_map(move |node| vec![Op::Tell(node), Op::Hear(1 - node, ago)]),
        Just(vec![]),
    ];
    let messages = prop::collection::vec(message, 60);
    (ops, messages).prop_map(|(ops, messages)| {
        let pairs = ops.into_iter().zip(messages);
        let chained = pairs.map(|(op, messages)| [vec![op], messages].concat());
        chained.collect::<Vec<_>>().concat()
    })
}

fn op() -> impl Strategy<Value = Op> {
    let loss = prop_oneof![Just(Loss::Response), Just(Loss::Write), Just(Loss::Late)];
    prop_oneof![
        6 => (0..2usize).prop_map(Op::Step),
        1 => (0..2usize).prop_map(Op::Release),
        5 => (1..90u64).prop_map(Op::Advance),
        1 => (0..2usize, 0..90u64).prop_map(|(node, by)| Op::Suspend(node, by)),
        1 => (0..2usize, 0..90u64).prop_map(|(node, by)| Op::SetAhead(node, by)),
        1 => (0..2usize, 0..90u64).prop_map(|(node, by)| Op::SetBack(node, by)),
        2 => (loss, 0..2u32).prop_map(|(loss, reads)| Op::Lose(loss, reads)),
        3 => (0..2usize, 0..95u64).prop_map(|(node, by)| Op::Overtake(node, by)),
        1 => Just(Op::Deliver),
        1 => any::<bool>().prop_map(Op::Outage),
    ]
}

/// Runs a schedule. Each advance of the clocks advances the second node's clock by another
/// `drift` times as much.
fn schedule(ops: &[Op], drift: u32) -> Result<(), TestCaseError> {
    run(async |fake, address| {
        let mut nodes = [
            Node::new(&fake, address, "a"),
            Node::new(&fake, address, "b"),
        ];
        let mut highest_epoch = 0;
        for op in ops {
            apply(op, &fake, &mut nodes, drift).await;
            let [a, b] = &nodes;
            prop_assert!(!(a.holds() && b.holds()), "two holders after {op:?}");
            for node in nodes.iter().filter(|node| node.holds()) {
                prop_assert!(
                    node.epoch() >= highest_epoch,
                    "the epoch decreased after {op:?}"
                );
                highest_epoch = node.epoch();
            }
        }
        Ok(())
    })
}

/// Runs a schedule with restores of the platform.
fn schedule_with_restores(ops: &[Op]) -> Result<(), TestCaseError> {
    run(async |fake, address| {
        fake.era.set(1);
        let start = |index: usize, start| Node::eager(&fake, address, ["a", "b"][index], start);
        let mut nodes = [start(0, 1), start(1, 1)];
        let mut starts = 1;
        let mut copy = fake.copy();
        let mut holders: BTreeMap<u64, usize> = BTreeMap::new();
        for op in ops {
            match op {
                Op::Copy => copy = fake.copy(),
                Op::Restore => fake.restore(&copy),
                Op::Restart(node) => {
                    starts += 1;
                    nodes[*node] = start(*node, starts);
                }
                op => apply(op, &fake, &mut nodes, 0).await,
            }
            let [a, b] = &nodes;
            prop_assert!(!(a.holds() && b.holds()), "two holders after {op:?}");
            for (index, node) in nodes.iter().enumerate() {
                if !node.holds() {
                    continue;
                }
                let holder = *holders.entry(node.epoch()).or_insert(index);
                prop_assert!(holder == index, "one epoch, two holders after {op:?}");
                let highest = holders.last_key_value().map(|(epoch, _)| *epoch);
                prop_assert!(
                    highest == Some(node.epoch()),
                    "the epoch decreased after {op:?}"
                );
            }
        }
        Ok(())
    })
}

async fn apply(op: &Op, fake: &Fake, nodes: &mut [Node; 2], drift: u32) {
    let secs = Duration::from_secs;
    match *op {
        Op::Step(node) => nodes[node].lease.step().await,
        Op::Release(node) => nodes[node].lease.release().await,
        Op::Advance(by) => {
            fake.advance(secs(by));
            nodes[1].clock.advance(secs(by) * drift);
        }
        Op::Suspend(node, by) => nodes[node].clock.suspend(secs(by)),
        Op::SetAhead(node, by) => nodes[node].clock.set_ahead(secs(by)),
        Op::SetBack(node, by) => nodes[node].clock.set_back(secs(by)),
        Op::Lose(loss, reads) => {
            fake.loss.set(Some(loss));
            fake.lose_reads.set(reads);
        }
        Op::Overtake(node, by) => {
            let [a, b] = nodes;
            let (held, other) = if node == 0 { (a, b) } else { (b, a) };
            let meanwhile = async {
                other.lease.step().await;
                fake.advance(secs(by));
                other.lease.step().await;
            };
            fake.overtake(held.lease.step(), meanwhile).await;
        }
        Op::Deliver => fake.deliver(),
        Op::Outage(outage) => fake.outage.set(outage),
        Op::Tell(node) => {
            let version = nodes[node].lease.written_version();
            nodes[1 - node].told = version.or(nodes[1 - node].told);
        }
        Op::Hear(node, ago) => {
            if let Some(version) = nodes[node].told {
                nodes[node].hear(version, ago);
            }
        }
        Op::Copy | Op::Restore | Op::Restart(_) => {}
    }
}

fn schedules(drift: u32) -> Result<(), String> {
    runner(200)
        .run(&ops(), |ops| schedule(&ops, drift))
        .map_err(|error| error.to_string())
}

/// Runs schedules in which messages count as received some time before they were.
fn schedules_with_messages(ago: Duration) -> Result<(), String> {
    runner(200)
        .run(&ops_with_messages(ops(), ago), |ops| schedule(&ops, 0))
        .map_err(|error| error.to_string())
}

fn runner(cases: u32) -> TestRunner {
    println!("seed {SEED:#x}");
    TestRunner::new(Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })
}

#[test]
fn no_schedule_leads_to_two_holders() {
    schedules(0).unwrap();
}

#[test]
fn schedules_find_two_holders_when_a_clock_runs_fast() {
    let error = schedules(2).unwrap_err();
    assert!(error.contains("two holders"), "{error}");
}

#[test]
fn no_schedule_with_messages_leads_to_two_holders() {
    schedules_with_messages(Duration::ZERO).unwrap();
}

#[test]
fn schedules_with_messages_find_two_holders_when_these_count_from_too_early() {
    let error = schedules_with_messages(TERM).unwrap_err();
    assert!(error.contains("two holders"), "{error}");
}

/// Guards against two holders, or two with one fencing token, once the service has lost leases.
#[test]
fn no_schedule_with_restores_leads_to_two_holders() {
    let outcome = runner(1000).run(&ops_with_restores(), |ops| schedule_with_restores(&ops));
    outcome.unwrap();
}

#[test]
fn no_schedule_with_restores_and_messages_leads_to_two_holders() {
    let ops = ops_with_messages(ops_with_restores(), Duration::ZERO);
    let outcome = runner(1000).run(&ops, |ops| schedule_with_restores(&ops));
    outcome.unwrap();
}

/// Guards against windows that are left out for good, since a process that has heard the duties'
/// holder for long reads the lease only as it takes it over: nothing is lost after its first
/// contact.
#[test]
fn losses_of_a_restore_end_at_the_first_contact() {
    run(async |fake, address| {
        let mut a = Node::eager(&fake, address, "a", 1);
        a.lease.step().await;
        fake.restore(&fake.copy());
        let mut b = Node::eager(&fake, address, "b", 1);
        b.client.list("servers/").await.unwrap();
        let seen = b.client.clock().now();
        fake.advance(TERM * 100);
        b.lease.step().await;
        let lost = b.client.lost_before().unwrap();
        assert!(lost <= seen, "{:?} later", lost - seen);
    });
}
