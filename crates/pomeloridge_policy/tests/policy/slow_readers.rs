//! Which transfers to slow readers are cut, under loads of callers and servers that read slowly.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::slow_readers::{
    CHECK_INTERVAL, Cut, CutReason, PROGRESS_BYTES, Reader, ReaderLimits, SlowReaders, TransferKey,
};
use proptest::prelude::*;
use yare::parameterized;

use crate::support::{CASES, config, ms, name};

const MIB: usize = 1024 * 1024;
const LIMITS: ReaderLimits = ReaderLimits {
    unread: Duration::from_secs(4),
    process_bytes: 48 * MIB,
};
/// Largest answer that a server may give.
const LARGEST: usize = 8 * MIB;

/// A process with its clock.
struct Process {
    readers: SlowReaders,
    now: Instant,
    cuts: Vec<Cut>,
}

impl Process {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            readers: SlowReaders::new(LIMITS, now),
            now,
            cuts: Vec::new(),
        }
    }

    /// Begins a transfer, and cuts what is over the bound then.
    fn hold(&mut self, account: &str, reader: Reader, bytes: usize) -> TransferKey {
        let key = self.readers.begin(Some(name(account)), reader, self.now);
        self.readers.hold(key, bytes, self.now);
        self.cut();
        key
    }

    fn take(&mut self, key: TransferKey, bytes: usize) {
        self.readers.record_taken(key, bytes, self.now);
    }

    fn cut(&mut self) {
        while let Some(cut) = self.readers.next_cut(0, self.now) {
            self.readers.end(cut.key);
            self.cuts.push(cut);
        }
    }

    /// Lets time pass, with a check at each interval and `act` before it.
    fn run(&mut self, time: Duration, mut act: impl FnMut(&mut Self)) {
        let end = self.now + time;
        while self.now < end {
            self.now += CHECK_INTERVAL;
            act(self);
            self.cut();
        }
    }

    fn is_cut(&self, key: TransferKey) -> bool {
        self.cuts.iter().any(|cut| cut.key == key)
    }

    fn cut_accounts(&self) -> HashMap<Option<Name>, usize> {
        let mut counts = HashMap::new();
        for cut in &self.cuts {
            *counts.entry(cut.account.clone()).or_default() += 1;
        }
        counts
    }
}

/// Load: twenty callers each get an answer of the largest size and read nothing.
#[test]
fn callers_that_read_nothing_hold_no_more_than_the_process_may() {
    let mut process = Process::new();
    for _ in 0..20 {
        process.hold("a", Reader::Caller, LARGEST);
        assert!(process.readers.held() <= LIMITS.process_bytes);
        process.run(ms(100), |_| {});
    }
    assert_eq!(process.cuts.len(), 14);
    assert!(
        process
            .cuts
            .iter()
            .all(|cut| cut.reason == CutReason::Memory)
    );
    process.run(LIMITS.unread, |_| {});
    assert_eq!((process.cuts.len(), process.readers.held()), (20, 0));
}

/// Load: callers of one account read nothing, beside those of another account whose quick ones hold
/// more.
#[test]
fn slow_readers_cost_another_account_no_request() {
    let mut process = Process::new();
    for _ in 0..3 {
        process.hold("slow", Reader::Caller, 5 * MIB);
    }
    process.run(ms(1000), |_| {});
    let quick: Vec<_> = (0..6)
        .map(|_| process.hold("quick", Reader::Caller, 5 * MIB))
        .collect();
    process.run(ms(2000), |process| {
        for key in &quick {
            process.take(*key, MIB);
        }
    });
    // 45 MiB are held; one more answer for the quick account is too much.
    let last = process.hold("quick", Reader::Caller, 5 * MIB);
    assert_eq!(process.cut_accounts(), [(Some(name("slow")), 1)].into());
    assert!(!process.is_cut(last));
}

/// Load: the slow readers of two accounts; the one that holds less keeps all of its answers.
#[test]
fn the_account_that_holds_most_is_cut() {
    let mut process = Process::new();
    let small = process.hold("small", Reader::Caller, LARGEST);
    for _ in 0..5 {
        process.hold("large", Reader::Caller, LARGEST);
    }
    process.run(ms(2000), |_| {});
    process.hold("large", Reader::Caller, LARGEST);
    assert_eq!(process.cut_accounts(), [(Some(name("large")), 1)].into());
    assert!(!process.is_cut(small));
}

/// Load: a burst of large answers for one account, whose first bytes have all gone just now.
#[test]
fn the_bound_also_holds_if_all_readers_move() {
    let mut process = Process::new();
    for _ in 0..10 {
        let key = process.hold("a", Reader::Caller, LARGEST);
        process.take(key, MIB);
    }
    assert_eq!(process.cuts.len(), 4);
    assert!(process.readers.held() <= LIMITS.process_bytes);
}

/// Load: callers that read some bytes now and then; steady ones are served.
#[parameterized(
    a_byte = { 1, true },
    too_little = { 64, true },
    steady = { PROGRESS_BYTES / 8, false },
)]
fn progress_is_counted_in_bytes(bytes_per_check: usize, is_cut: bool) {
    let mut process = Process::new();
    let key = process.hold("a", Reader::Caller, LARGEST);
    process.run(LIMITS.unread * 3, |process| {
        process.take(key, bytes_per_check);
    });
    assert_eq!(process.is_cut(key), is_cut);
    if is_cut {
        assert_eq!(process.cuts[0].reason, CutReason::Unread);
        assert!(process.cuts[0].idle >= LIMITS.unread);
    }
}

/// Load: a stream whose small parts its caller takes one after the other, each of them late.
#[test]
fn a_part_that_is_taken_whole_is_progress() {
    let mut process = Process::new();
    let key = process.hold("a", Reader::Caller, 200);
    for _ in 0..5 {
        process.run(ms(3500), |_| {});
        process.readers.hold(key, 0, process.now);
        // The next part comes long after.
        process.run(LIMITS.unread * 2, |_| {});
        process.readers.hold(key, 200, process.now);
    }
    assert_eq!(process.cuts, []);
}

/// Load: the process stands still while its callers wait, and some of them then read on.
#[test]
fn a_pause_of_the_process_excuses_its_readers() {
    let mut process = Process::new();
    let [reads_on, reads_nothing] = [(); 2].map(|()| process.hold("a", Reader::Caller, LARGEST));
    process.run(ms(1000), |_| {});
    process.now += LIMITS.unread * 10;
    process.cut();
    assert_eq!(process.cuts, []);
    process.run(ms(2000), |process| {
        process.take(reads_on, MIB);
    });
    assert_eq!(process.cuts, []);
    process.run(ms(2000), |process| {
        process.take(reads_on, MIB);
    });
    assert!(process.is_cut(reads_nothing) && !process.is_cut(reads_on));
}

/// Load: a server that has a request's whole body coming and does not read it.
#[test]
fn a_server_that_reads_nothing_is_cut() {
    let mut process = Process::new();
    let key = process.hold("a", Reader::Server, MIB);
    process.run(ms(3750), |_| {});
    assert_eq!(process.cuts, []);
    process.run(ms(250), |_| {});
    assert!(process.is_cut(key));
    assert_eq!(process.cuts[0].reader, Reader::Server);
    assert_eq!(process.cuts[0].reason, CutReason::Unread);
}

/// Load: messages that are being read leave no room for those that are written.
#[test]
fn messages_that_are_being_read_count() {
    let mut process = Process::new();
    let key = process.hold("a", Reader::Caller, LARGEST);
    let most = LIMITS.process_bytes - LARGEST;
    assert_eq!(process.readers.next_cut(most, process.now), None);
    let cut = process.readers.next_cut(most + 1, process.now).unwrap();
    assert_eq!((cut.key, cut.reason), (key, CutReason::Memory));
    // It holds its bytes until it has ended, but nothing else is cut for them, nor it again.
    assert_eq!(process.readers.next_cut(most + 1, process.now), None);
    assert_eq!(process.readers.held(), LARGEST);
    process.readers.end(key);
    assert_eq!(process.readers.held(), 0);
}

proptest! {
    #![proptest_config(config(CASES))]

    /// Load: any transfers of three accounts that begin, are read and end in any order.
    #[test]
    fn no_more_is_held_than_allowed_and_every_cut_frees_it(
        steps in prop::collection::vec((0..3_u8, 0..3_u8, 1..LARGEST, 0..2000_u64), 1..80),
    ) {
        let mut process = Process::new();
        let mut open: Vec<(TransferKey, usize)> = Vec::new();
        for (account, act, bytes, wait) in steps {
            process.run(ms(wait), |_| {});
            match act {
                0 => {
                    let account = ["a", "b", "c"][usize::from(account)];
                    open.push((process.hold(account, Reader::Caller, bytes), bytes));
                }
                1 => {
                    for (key, _) in &open {
                        process.take(*key, bytes);
                    }
                }
                _ if open.is_empty() => {}
                _ => process.readers.end(open.swap_remove(bytes % open.len()).0),
            }
            open.retain(|(key, _)| !process.is_cut(*key));
            let held: usize = open.iter().map(|(_, held)| held).sum();
            prop_assert_eq!(process.readers.held(), held);
            prop_assert!(held <= LIMITS.process_bytes);
        }
    }
}

/// Load: messages that are being read hold more than the process may, beside a hundred streams
/// whose callers read them.
#[test]
fn small_transfers_that_move_are_kept_while_reading_is_over_the_bound() {
    let mut process = Process::new();
    for number in 0..100 {
        process.hold(&format!("account{}", number % 5), Reader::Caller, 400);
    }
    let reading = LIMITS.process_bytes + 1;
    assert_eq!(process.readers.next_cut(reading, process.now), None);
}
