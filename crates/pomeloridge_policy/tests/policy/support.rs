//! Servers, reports and requests for the tests.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::admission::Admission;
use pomeloridge_policy::capacity::Capacity;
use pomeloridge_policy::fleet::{Fleet, FleetSettings};
use pomeloridge_policy::server::{
    LoadReport, Role, ServerInfo, ServerKey, ServerKind, ServerState, Work,
};
use pomeloridge_policy::ticket::{
    AdmissionDecision, AdmissionRequest, AdmissionSettings, TicketKey,
};
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

/// Seed of all generated cases, so that each run has the same verdict.
const SEED: u64 = 20_261_204;
/// Generated cases of a property.
pub(crate) const CASES: u32 = 256;

/// How properties are checked; the seed is printed.
pub(crate) fn config(cases: u32) -> ProptestConfig {
    println!("seed {SEED}");
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

pub(crate) const POOL: &str = "assistant";

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(crate) fn name(text: &str) -> Name {
    Name::from(text)
}

/// A ready engine; those with an even number stand in `tln-a`.
pub(crate) fn engine(number: u16) -> ServerInfo {
    let data_centre = if number.is_multiple_of(2) {
        "tln-a"
    } else {
        "tln-b"
    };
    ServerInfo {
        id: Name::from(format!("e{number}")),
        address: ([127, 0, 0, 1], 9000 + number).into(),
        data_centre: name(data_centre),
        pool: name(POOL),
        kind: ServerKind::Engine,
        cheap: false,
        state: ServerState::Ready,
    }
}

pub(crate) fn fleet_of(list: Vec<ServerInfo>) -> Fleet {
    let mut fleet = Fleet::new(FleetSettings::new(name("tln-a")));
    fleet.sync(list);
    fleet
}

pub(crate) fn fleet(count: u16) -> Fleet {
    fleet_of((0..count).map(engine).collect())
}

pub(crate) fn key(fleet: &Fleet, id: &str) -> ServerKey {
    fleet.key_of(&name(id)).expect("the server is listed")
}

pub(crate) fn report(at: Instant, running: u32) -> LoadReport {
    LoadReport {
        measured_at: at,
        running,
        queued: 0,
        prefill_tokens: 0,
        slots: 16,
        role: Role::Mixed,
        models: Vec::new(),
        leaving: false,
    }
}

pub(crate) fn work(prompt: u64, output: u64) -> Work {
    Work { prompt, output }
}

pub(crate) fn admission(slots: u32) -> Admission {
    let mut admission = Admission::new(AdmissionSettings::default());
    admission.set_capacity(&name(POOL), Capacity { slots, peers: 0 }, 1);
    admission
}

pub(crate) fn ask(account: &str, work: Work, deadline: Instant) -> AdmissionRequest {
    AdmissionRequest {
        account: name(account),
        pool: name(POOL),
        work,
        account_weight: 1.0,
        route_weight: 1.0,
        deadline,
    }
}

/// The key of a request that was not refused.
pub(crate) fn accepted(admit: AdmissionDecision) -> TicketKey {
    match admit {
        AdmissionDecision::Start(ticket) | AdmissionDecision::Enqueue(ticket) => ticket,
        AdmissionDecision::Refuse(refusal) => panic!("refused: {refusal:?}"),
    }
}
