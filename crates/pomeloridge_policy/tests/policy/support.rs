//! Fixtures shared by the policy tests.

use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::admission::Admission;
use pomeloridge_policy::capacity::Capacity;
use pomeloridge_policy::server::{
    LoadReport, Role, ServerInfo, ServerKey, ServerKind, ServerState, Work,
};
use pomeloridge_policy::server_table::{ServerTable, ServerTableSettings};
use pomeloridge_policy::ticket::{
    AdmissionDecision, AdmissionRequest, AdmissionSettings, TicketKey,
};
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

/// Seed of all generated cases, which makes test results reproducible.
const SEED: u64 = 20_261_204;
/// Default number of generated cases per property.
pub(crate) const CASES: u32 = 256;

/// Returns the proptest configuration for a number of cases, and prints the seed.
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

/// Returns a ready engine, in `tln-a` for even numbers and in `tln-b` for odd ones.
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
        preemptible: false,
        state: ServerState::Ready,
    }
}

/// Returns the table of a node in `tln-a` with these servers.
pub(crate) fn table_of(list: Vec<ServerInfo>) -> ServerTable {
    let mut table = ServerTable::new(ServerTableSettings::new(name("tln-a")));
    table.sync(list);
    table
}

/// Returns a table of ready engines.
pub(crate) fn table(count: u16) -> ServerTable {
    table_of((0..count).map(engine).collect())
}

pub(crate) fn key(table: &ServerTable, id: &str) -> ServerKey {
    table.key_of(&name(id)).expect("the server is listed")
}

/// Returns the load report of a mixed engine with 16 slots and empty queues.
pub(crate) fn report(measured_at: Instant, running: u32) -> LoadReport {
    LoadReport {
        measured_at,
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

/// Returns the admission state of a single node with one pool.
pub(crate) fn admission(slots: u32) -> Admission {
    let mut admission = Admission::new(AdmissionSettings::default());
    admission.set_capacity(&name(POOL), Capacity { slots, peers: 0 }, 1);
    admission
}

pub(crate) fn admission_request(account: &str, work: Work, deadline: Instant) -> AdmissionRequest {
    AdmissionRequest {
        account: name(account),
        pool: name(POOL),
        work,
        account_weight: 1.0,
        route_weight: 1.0,
        deadline,
    }
}

/// Returns the ticket of an admitted request.
///
/// # Panics
///
/// Panics if the request was refused.
pub(crate) fn admitted_ticket(decision: AdmissionDecision) -> TicketKey {
    match decision {
        AdmissionDecision::Start(ticket) | AdmissionDecision::Enqueue(ticket) => ticket,
        AdmissionDecision::Refuse(refusal) => panic!("refused: {refusal:?}"),
    }
}
