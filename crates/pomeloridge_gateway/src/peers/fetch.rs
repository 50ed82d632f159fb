//! Reads from peers what they have and this node lacks: the configuration, the server list and the
//! table of versions.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::count_guard::CountGuard;
use pomeloridge_base::id::Revision;
use pomeloridge_base::task::catch_panic;

use crate::internal::PeerServers;
use crate::server_list::ServerListDelta;
use crate::state::State;
use crate::{internal, versions, watch};

/// Time to wait for changes of the server list that arrive out of order.
const REORDER_WAIT: Duration = Duration::from_millis(200);
/// Maximum random delay of a read from a peer in another data centre.
const REMOTE_READ_JITTER: Duration = Duration::from_millis(500);
/// Delay after a failed read; the next message of a peer then starts another.
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Returns whether this node's server list is older than a revision.
pub(super) fn is_server_list_behind(state: &State, revision: Revision) -> bool {
    let known = state.server_list.borrow().revision();
    revision > known.unwrap_or_default()
}

/// Returns the delay before a read from a peer. In a large fleet, nodes spread their reads from
/// another data centre: a message with the changes may arrive meanwhile, or a peer in their own
/// data centre may have the object first.
pub(super) fn read_delay(state: &State, is_local: bool) -> Duration {
    let fan_out = state.settings().number("peers", "fan_out") as usize;
    if is_local || !state.peers.borrow().is_large_fleet(fan_out) {
        return Duration::ZERO;
    }
    rand::random_range(Duration::ZERO..REMOTE_READ_JITTER)
}

/// Reads the server list from a peer that has a newer one, unless the missing changes arrive
/// meanwhile. `change` is a change that arrived before the changes it builds on.
pub(super) fn fetch_servers(
    state: &Rc<State>,
    address: SocketAddr,
    revision: Revision,
    change: Option<ServerListDelta>,
    delay: Duration,
) {
    let task_state = Rc::clone(state);
    let delay = REORDER_WAIT + delay;
    spawn_read(
        state,
        &state.server_list_reads,
        "servers",
        address,
        async move {
            monoio::time::sleep(delay).await;
            if let Some(change) = change {
                watch::apply_server_delta(&task_state, &change);
            }
            if !is_server_list_behind(&task_state, revision) {
                return Ok(());
            }
            let known = task_state.server_list.borrow().revision();
            match internal::read_servers(address, known).await? {
                PeerServers::List(revision, objects) => {
                    watch::replace_server_list(&task_state, revision, &objects);
                }
                PeerServers::Changes(change) => {
                    watch::apply_server_delta(&task_state, &change);
                }
            }
            Ok(())
        },
    );
}

/// Reads a newer configuration from a peer, as the object service may be unreachable.
pub(super) fn fetch_config(state: &Rc<State>, address: SocketAddr, version: u64, is_local: bool) {
    let task_state = Rc::clone(state);
    let delay = read_delay(state, is_local);
    spawn_read(state, &state.config_reads, "config", address, async move {
        monoio::time::sleep(delay).await;
        if task_state
            .config()
            .is_some_and(|config| config.version >= version)
        {
            return Ok(());
        }
        let object = internal::read_config(address).await?;
        watch::adopt_config(&task_state, &object);
        Ok(())
    });
}

/// Reads a newer table of versions that a peer has named, from the object service or else from the
/// peer.
pub(super) fn fetch_versions(state: &Rc<State>, address: SocketAddr, number: u64, is_local: bool) {
    let task_state = Rc::clone(state);
    let delay = read_delay(state, is_local);
    let in_flight = &state.newer_versions_reads;
    spawn_read(state, in_flight, "versions", address, async move {
        monoio::time::sleep(delay).await;
        let is_behind = || task_state.versions.borrow().table().number < number;
        if is_behind()
            && let Err(error) =
                versions::read_table(&task_state, versions::TABLE_READ_TIMEOUT).await
        {
            log::debug!("versions table not read: {error}");
        }
        if is_behind() {
            let table = internal::read_versions(address).await?;
            versions::adopt(&task_state, table, "peer");
        }
        Ok(())
    });
}

/// Runs a read from a peer in its own task. Only one read per `in_flight` counter runs at a
/// time, since messages of several peers may ask for the same read.
fn spawn_read(
    state: &State,
    in_flight: &Rc<Cell<usize>>,
    what: &'static str,
    address: SocketAddr,
    read: impl Future<Output = Result<(), String>> + 'static,
) {
    let Some(read_guard) = CountGuard::try_new(in_flight, 1) else {
        return;
    };
    let meter = state.meter.clone();
    monoio::spawn(async move {
        let outcome = catch_panic(what, &meter, read).await;
        if let Some(Err(error)) = &outcome {
            log::debug!("{what} from {address} not read: {error}");
        }
        if outcome.is_none_or(|outcome| outcome.is_err()) {
            monoio::time::sleep(READ_RETRY_DELAY).await;
        }
        drop(read_guard);
    });
}
