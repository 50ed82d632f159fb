//! Leases: at most one holder at any moment, whatever is lost, late or paused.

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
fn an_unchanged_version_is_taken_over_and_a_renewed_one_is_not() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        let mut b = Node::new(&fake, address, "b");
        a.take(&fake).await;
        for _ in 0..10 {
            fake.advance(TERM / 3);
            a.keeper.step().await;
            b.keeper.step().await;
            assert!(a.holds() && !b.holds());
        }
        fake.advance((TERM + MARGIN).saturating_sub(SLICE));
        b.keeper.step().await;
        assert!(!a.holds() && !b.holds());
        fake.advance(SLICE);
        b.keeper.step().await;
        assert!(b.holds());
        assert_eq!((a.epoch(), b.epoch()), (1, 2));
        a.keeper.step().await;
        assert!(!a.holds(), "the former holder must not come back");
    });
}

#[test]
fn a_paused_holder_has_no_authority_when_it_goes_on() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        a.take(&fake).await;
        let permit = a.keeper.authority().permit().unwrap();
        a.clock.suspend(TERM.saturating_sub(SLICE));
        assert!(permit.allowed());
        a.clock.suspend(SLICE);
        assert!(
            !permit.allowed(),
            "a suspended VM's monotonic clock stands still"
        );
    });
}

#[test]
fn a_jump_of_the_wall_clock_takes_no_lease() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        let mut b = Node::new(&fake, address, "b");
        a.take(&fake).await;
        b.keeper.step().await;
        b.clock.set_ahead(TERM * 10);
        b.keeper.step().await;
        assert!(a.holds() && !b.holds());
    });
}

#[test]
fn a_jump_of_the_wall_clock_ends_no_authority() {
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
        let permit = a.keeper.authority().permit().unwrap();
        a.clock.suspend(TERM);
        a.clock.set_back(TERM);
        assert!(!permit.allowed());
        assert!(!a.holds());
        a.clock.set_back(TERM);
        assert!(!a.holds(), "no setting of the clock brings authority back");
    });
}

#[test]
fn a_slow_renewal_counts_from_before_it_was_sent() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        a.take(&fake).await;
        fake.advance(TERM / 3);
        let pass = async { fake.advance(5 * SLICE) };
        fake.overtake(a.keeper.step(), pass).await;
        let left = a.keeper.authority().left();
        assert_eq!(left, TERM.saturating_sub(5 * SLICE));
    });
}

#[test]
fn a_lost_answer_counts_from_the_first_put() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        a.take(&fake).await;
        fake.advance(TERM / 3);
        fake.loss.set(Some(Loss::Answer));
        fake.lose_reads.set(1);
        a.keeper.step().await;
        fake.advance(2 * SLICE);
        // The next renewal meets the unconfirmed one and is not a loss.
        a.keeper.step().await;
        assert_eq!(a.keeper.authority().left(), TERM.saturating_sub(2 * SLICE));
        assert_eq!(a.epoch(), 1);
    });
}

#[test]
fn an_outage_ends_authority_and_its_end_restores_it() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        a.take(&fake).await;
        fake.outage.set(true);
        fake.advance(TERM);
        a.keeper.step().await;
        assert!(!a.holds());
        fake.outage.set(false);
        a.keeper.step().await;
        assert!(a.holds());
        assert_eq!(a.epoch(), 1, "nobody else held the lease in between");
    });
}

#[test]
fn a_given_up_lease_is_taken_at_once() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        let mut b = Node::new(&fake, address, "b");
        a.take(&fake).await;
        b.keeper.step().await;
        fake.advance(TERM / 3);
        // A renewal with a lost answer must not stop the giving up.
        fake.loss.set(Some(Loss::Answer));
        fake.lose_reads.set(1);
        a.keeper.step().await;
        a.keeper.release().await;
        assert!(!a.holds());
        b.keeper.step().await;
        assert!(b.holds());
        assert_eq!(b.epoch(), 2);
        let wait = b.keeper.authority().unfenced_wait(SLICE);
        assert_eq!(wait, TERM + SLICE);
    });
}

#[test]
fn a_permit_of_an_earlier_holding_is_void() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        let mut b = Node::new(&fake, address, "b");
        a.take(&fake).await;
        let permit = a.keeper.authority().permit().unwrap();
        fake.advance(TERM);
        b.keeper.step().await;
        fake.advance(TERM + MARGIN);
        b.keeper.step().await;
        b.keeper.release().await;
        a.keeper.step().await;
        a.keeper.step().await;
        assert!(a.holds() && a.epoch() == 3);
        assert!(!permit.allowed());
    });
}

#[test]
fn the_epoch_grows_though_the_object_is_deleted() {
    run(async |fake, address| {
        let mut a = Node::new(&fake, address, "a");
        a.take(&fake).await;
        fake.objects.borrow_mut().clear();
        fake.advance(TERM / 3);
        a.keeper.step().await;
        assert!(!a.holds());
        a.take(&fake).await;
        assert_eq!(a.epoch(), 2);
    });
}

#[test]
fn the_task_takes_the_lease_and_gives_it_up_when_it_stops() {
    run(async |fake, address| {
        let node = Node::new(&fake, address, "a");
        let authority = node.keeper.authority();
        let stop = Rc::new(Cell::new(false));
        let stopping = Rc::clone(&stop);
        let task = monoio::spawn(maintain_lease(node.keeper, move || stopping.get()));
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
    GiveUp(usize),
    Advance(u64),
    Suspend(usize, u64),
    SetAhead(usize, u64),
    SetBack(usize, u64),
    Lose(Loss, u32),
    /// A step of this node is held while the other node steps and time passes.
    Overtake(usize, u64),
    Deliver,
    Outage(bool),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let loss = prop_oneof![Just(Loss::Answer), Just(Loss::Write), Just(Loss::Late)];
    let op = prop_oneof![
        6 => (0..2usize).prop_map(Op::Step),
        1 => (0..2usize).prop_map(Op::GiveUp),
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

/// Runs a schedule; `drift` makes the second node's clock run that much faster.
fn schedule(ops: &[Op], drift: u32) -> Result<(), TestCaseError> {
    run(async |fake, address| {
        let mut nodes = [
            Node::new(&fake, address, "a"),
            Node::new(&fake, address, "b"),
        ];
        let mut newest = 0;
        for op in ops {
            apply(op, &fake, &mut nodes, drift).await;
            let [a, b] = &nodes;
            prop_assert!(!(a.holds() && b.holds()), "two holders after {op:?}");
            for node in nodes.iter().filter(|node| node.holds()) {
                prop_assert!(node.epoch() >= newest, "the epoch fell after {op:?}");
                newest = node.epoch();
            }
        }
        Ok(())
    })
}

async fn apply(op: &Op, fake: &Fake, nodes: &mut [Node; 2], drift: u32) {
    let secs = Duration::from_secs;
    match *op {
        Op::Step(node) => nodes[node].keeper.step().await,
        Op::GiveUp(node) => nodes[node].keeper.release().await,
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
                other.keeper.step().await;
                fake.advance(secs(by));
                other.keeper.step().await;
            };
            fake.overtake(held.keeper.step(), meanwhile).await;
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
fn never_two_holders_on_any_schedule() {
    schedules(0).unwrap();
}

#[test]
fn schedules_find_two_holders_when_a_clock_runs_fast() {
    let error = schedules(2).unwrap_err();
    assert!(error.contains("two holders"), "{error}");
}
