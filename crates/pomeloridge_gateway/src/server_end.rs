//! Whether the process of a server has ended where a request was lost.
//!
//! A broken connection alone does not say so: servers lose answers and reset
//! connections, and live. A connection that is refused does, and so does another start
//! in the list of servers. A server that can't be reached at all has ended if the list
//! drops it as well. The end of a server that was leaving is planned and says nothing
//! of the requests that it cut.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::http::{Connection, Fault};
use pomeloridge_base::meter::Counter;
use pomeloridge_policy::crashes::{KNOWN_ENDS, StartId};
use pomeloridge_policy::dispatch::{RemovedTarget, TargetInfo, TargetKey};

use crate::exchange::Failure;
use crate::peers;
use crate::state::State;

/// Time for a look at a server, with the connection that it opens.
const LOOK_TIME: Duration = Duration::from_millis(400);
/// Time after which a connection to a server that was ending is closed.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Pause between two looks whether the look of another task has ended.
const WAIT_PAUSE: Duration = Duration::from_millis(5);
/// Time for which a server that could not be reached may have ended; its entry lapses
/// after three heartbeats of silence.
const UNREACHED_TTL: Duration = Duration::from_secs(8);
/// Ends of servers from which on peers are told at once.
const TOLD_AT_ONCE: usize = KNOWN_ENDS - 1;

/// Servers that are looked at, and those that could not be reached of late.
#[derive(Debug, Default)]
pub(crate) struct Looks {
    under_way: HashSet<StartId>,
    unreached: HashMap<StartId, Instant>,
}

/// Looks, in a task of its own, whether a server at which a request was lost has ended.
pub(crate) fn look(state: &Rc<State>, server: TargetKey) {
    let Some(info) = looked_at(state, server) else {
        return;
    };
    let start = info.incarnation();
    if !state.crash_probes.borrow_mut().under_way.insert(start) {
        return;
    }
    let state = Rc::clone(state);
    monoio::spawn(async move {
        match connect(&state, info.address).await {
            // The connection serves the next request.
            Ok(connection) => state.pool.put(connection, None, state.now()),
            Err(fault) if Failure::before_write(&fault) == Failure::NotListening => {
                state.eject(server, Failure::NotListening);
                ended(&state, server);
            }
            Err(_) => {
                let mut looks = state.crash_probes.borrow_mut();
                looks.unreached.insert(start, state.now());
            }
        }
        state.crash_probes.borrow_mut().under_way.remove(&start);
    });
}

/// A connection to a server that is still there a moment later: a process that ends may
/// close its connections before its port.
async fn connect(state: &State, address: SocketAddr) -> Result<Connection, Fault> {
    let open = async || {
        let now = state.now();
        state.pool.open(address, now + LOOK_TIME, now).await
    };
    let connection = open().await?;
    monoio::time::sleep(SETTLE_TIME).await;
    if connection.quiet() {
        Ok(connection)
    } else {
        open().await
    }
}

/// Waits until a look at a server, if there is one, has ended.
pub(crate) async fn looked(state: &State, server: TargetKey) {
    let Some(start) = looked_at(state, server).map(|info| info.incarnation()) else {
        return;
    };
    while state.crash_probes.borrow().under_way.contains(&start) {
        monoio::time::sleep(WAIT_PAUSE).await;
    }
}

/// A server whose end would not be planned.
fn looked_at(state: &State, server: TargetKey) -> Option<TargetInfo> {
    let dispatcher = state.dispatcher.borrow();
    let target = dispatcher.target(server)?;
    (!target.is_leaving()).then(|| target.info.clone())
}

/// Notes that no process listens at a server's address any more, and tells peers of
/// requests under which several have ended.
pub(crate) fn ended(state: &Rc<State>, server: TargetKey) {
    let Some(info) = looked_at(state, server) else {
        return;
    };
    if note_end(state, &info, "not listening") >= TOLD_AT_ONCE {
        peers::announce_crashes(state);
    }
}

/// Notes servers that the list no longer names.
pub(crate) fn departed(state: &State, departed: &[RemovedTarget]) {
    for RemovedTarget { info, replaced, .. } in departed.iter().filter(|gone| !gone.leaving) {
        let unreached = state
            .crash_probes
            .borrow_mut()
            .unreached
            .remove(&info.incarnation());
        if *replaced {
            note_end(state, info, "replaced");
        } else if unreached.is_some() {
            note_end(state, info, "unreachable and not listed");
        }
    }
}

/// Forgets what is too old to count.
pub(crate) fn sweep(state: &State) {
    let now = state.now();
    state.crashes.borrow_mut().sweep(now);
    let mut looks = state.crash_probes.borrow_mut();
    let recent = |at: Instant| now.saturating_duration_since(at) < UNREACHED_TTL;
    looks.unreached.retain(|_, at| recent(*at));
}

/// Counts an end for the requests that were there; gives the most ends of one of them.
fn note_end(state: &State, info: &TargetInfo, reason: &str) -> usize {
    let now = state.now();
    let counted = state
        .crashes
        .borrow_mut()
        .server_ended(info.incarnation(), now);
    if counted.is_empty() {
        return 0;
    }
    state.meter.one(Counter::ServerEnds);
    log::info!(
        "server id={} born={} choice=ended reason=\"{reason}\" requests={}",
        info.id,
        info.started_unix_ms,
        counted.len()
    );
    for (print, ends) in counted.iter().filter(|(_, ends)| *ends >= TOLD_AT_ONCE) {
        let choice = if *ends >= KNOWN_ENDS {
            "bar"
        } else {
            "suspect"
        };
        log::info!("request print={print} choice={choice} ends={ends} by=own");
    }
    let most = counted.iter().map(|(_, ends)| *ends).max().unwrap_or(0);
    if most >= KNOWN_ENDS {
        state.quarantine_changed.set(true);
    }
    most
}
