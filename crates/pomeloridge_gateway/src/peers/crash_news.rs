//! What nodes tell one another of the requests and prompt parts that crash servers, and of the
//! servers that have crashed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::count_guard::CountGuard;
use pomeloridge_base::id::Name;
use pomeloridge_policy::crashes::CrashReport;
use pomeloridge_policy::part_crashes::PartReport;

use super::wire::{CrashesWire, PartsWire, PeerMessage};
use super::{base_message, node_object, send_to};
use crate::part_quarantine;
use crate::state::State;

/// Shortest pause between two announcements of crashes, and what each peer adds to it.
const MIN_ANNOUNCE_PAUSE: Duration = Duration::from_millis(20);
const ANNOUNCE_PAUSE_PER_PEER: Duration = Duration::from_millis(2);

/// Sends the requests and prompt parts during which servers crashed to all peers at once. What
/// changes within a pause after an announcement, which is longer in a large fleet, is sent at its
/// end.
pub(crate) fn announce_crashes(state: &Rc<State>) {
    if state.crash_news.replace(true) {
        return;
    }
    let Some(task) = CountGuard::try_new(&state.crash_announcements, 1) else {
        return;
    };
    let state = Rc::clone(state);
    monoio::spawn(async move {
        while state.crash_news.replace(false) {
            let addresses = state.peers.borrow().addresses();
            let pause = MIN_ANNOUNCE_PAUSE + ANNOUNCE_PAUSE_PER_PEER * addresses.len() as u32;
            send_to(&state, crashes_message(&state), addresses);
            monoio::time::sleep(pause).await;
        }
        drop(task);
    });
}

fn crashes_message(state: &State) -> PeerMessage {
    let now = state.now();
    PeerMessage {
        crashes: crashes_wire(state, now),
        parts: parts_wire(state, now),
        knows_crashes: state.peers.borrow().knows_crashes(),
        ..base_message(state)
    }
}

/// Returns the report of suspect prompt parts, unless it is empty.
pub(super) fn parts_wire(state: &State, now: Instant) -> Option<PartsWire> {
    let report = state.parts.borrow().export(now);
    (report != PartReport::default()).then(|| PartsWire::from(&report))
}

pub(super) fn crashes_wire(state: &State, now: Instant) -> Vec<CrashesWire> {
    let reports = state.crashes.borrow().export(now);
    reports.into_iter().map(CrashesWire::from).collect()
}

/// Handles a peer's reports of requests and prompt parts that crashed servers.
pub(super) fn handle(state: &State, message: &mut PeerMessage, name: &Name) {
    let crashes = std::mem::take(&mut message.crashes);
    let reports = crashes
        .into_iter()
        .filter_map(|wire| match wire.try_into() {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!("crashes from={name} choice=ignore reason=\"{error}\"");
                None
            }
        });
    let reports: Vec<CrashReport> = reports.collect();
    let parts = message.parts.take().map(PartReport::from);
    let now = state.now();
    let of_requests = reports
        .iter()
        .flat_map(|report| report.crashes.iter().copied());
    let of_parts = parts.iter().flat_map(|report| &report.crashes);
    let of_parts = of_parts.map(|crash| (crash.server, crash.age));
    state.eject_crashed(of_requests.chain(of_parts), name, now);
    node_object::merge_crashes(state, &reports, name.as_str(), now);
    if let Some(parts) = parts {
        part_quarantine::merge(state, &parts, name.as_str(), now);
    }
    if message.knows_crashes {
        state.peers.borrow_mut().has_crash_news = true;
    }
}

/// Tells a process that has just started which requests and prompt parts are quarantined.
pub(super) fn send_quarantines(state: &Rc<State>, address: SocketAddr) {
    let message = crashes_message(state);
    if !message.crashes.is_empty() || message.parts.is_some() {
        send_to(state, message, vec![address]);
    }
}
