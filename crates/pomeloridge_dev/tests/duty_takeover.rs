//! Loss of the holder of the duties: another gateway takes them over within a term and a margin
//! from the last renewal.
//!
//! Gateways run as separate processes on a fake of the fleet's platform.

use std::time::{Duration, Instant};

use pomeloridge_dev::launch::{Fleet, RelayMode, block_on};
use pomeloridge_fleet_standin::caller::is_ready;
use yare::parameterized;

const GATEWAYS: usize = 7;
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time from a loss to the next holder: the default term and margin, and the interval in which the
/// candidates read the lease again.
const BOUND: Duration = Duration::from_secs(4);
/// Time for an overloaded machine; a node that begins to read the lease only after the loss takes
/// it over later still.
const SLACK: Duration = Duration::from_millis(1500);

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the lines of a gateway's log about the duties' lease.
fn lease_lines(fleet: &Fleet, gateway: usize) -> Vec<String> {
    let log = fleet.folder.join(format!("front-{gateway}.out"));
    let log = std::fs::read_to_string(log).unwrap();
    let lines = log.lines().filter(|line| line.contains("lease duty=fleet"));
    lines.map(str::to_owned).collect()
}

/// Returns the gateway that acquired the lease last, with the fencing token.
fn holder(fleet: &Fleet) -> Option<(u64, usize)> {
    let all = 0..fleet.gateways.len();
    let tenures = all.flat_map(|gateway| {
        let lines = lease_lines(fleet, gateway);
        let held = lines
            .into_iter()
            .filter(|line| line.contains("choice=hold"));
        held.map(move |line| {
            let (_, epoch) = line.split_once("epoch=").unwrap();
            (epoch.split(' ').next().unwrap().parse().unwrap(), gateway)
        })
    });
    tenures.max()
}

/// Guards against seconds in which nobody orders servers, as the next holder counts the term only
/// from when it no longer hears the last one.
#[parameterized(
    killed = { |fleet, holder| fleet.gateways[holder].process.kill() },
    paused = { |fleet, holder| fleet.gateways[holder].process.pause() },
    cut_off_from_the_store = { |fleet, holder| fleet.gateways[holder].store.set(RelayMode::Silent) },
)]
fn the_duties_are_taken_over_soon_after_their_holder_is_lost(lose: fn(&mut Fleet, usize)) {
    let name = format!("takeover-{}", lose as usize);
    let mut fleet = Fleet::start(&name, GATEWAYS).unwrap();
    for gateway in &fleet.gateways {
        wait_until(|| block_on(is_ready(gateway.ready)));
    }
    wait_until(|| holder(&fleet).is_some());
    // Some renewals.
    std::thread::sleep(Duration::from_secs(3));
    let (first, lost) = holder(&fleet).unwrap();
    let reads_before: Vec<usize> = (0..GATEWAYS)
        .map(|g| lease_lines(&fleet, g).len())
        .collect();
    println!("holder={lost} epoch={first} lines={reads_before:?}");
    lose(&mut fleet, lost);
    let at = Instant::now();
    wait_until(|| holder(&fleet).is_some_and(|(epoch, _)| epoch > first));
    let gap = at.elapsed();
    let (epoch, next) = holder(&fleet).unwrap();
    println!("holder={next} epoch={epoch} gap={gap:?}");
    assert_ne!(next, lost);
    assert!(gap < BOUND + SLACK, "taken over after {gap:?}");
}
