//! A lease has at most one holder at a time, even if writes are lost or late and nodes are
//! suspended.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_platform::maintain_lease;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use support::{Fake, Loss, MARGIN, Node, TERM, run};

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
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let loss = prop_oneof![Just(Loss::Response), Just(Loss::Write), Just(Loss::Late)];
    let op = prop_oneof![
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
    ];
    prop::collection::vec(op, 10..60)
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
    }
}

fn schedules(drift: u32) -> Result<(), String> {
    println!("seed {SEED:#x}");
    let config = Config {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    TestRunner::new(config)
        .run(&ops(), |ops| schedule(&ops, drift))
        .map_err(|error| error.to_string())
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
