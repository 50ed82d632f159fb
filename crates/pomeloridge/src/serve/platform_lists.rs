//! Reads the platform's lists of VMs and backend servers.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::id::Name;
use pomeloridge_node::member::ListedNode;
use pomeloridge_node::membership::Membership;
use pomeloridge_platform::{BackendServer, PlatformError, ServerKind, ServerState, Vm};
use pomeloridge_policy::server::{self, ServerInfo};

use super::state::State;
use super::{caller_port, load_reports};

/// Number of polls per read of the lists on nodes other than their data centre's first relay.
///
/// These nodes only learn of new servers later: that a server is leaving is also in its load
/// report, which every node reads.
const POLLS_PER_READ: u32 = 4;
/// Interval between checks whether the configuration has been read.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reads both lists periodically, until the process ends.
pub(crate) async fn run(state: Rc<State>) {
    // The configuration contains the expected rates of the servers.
    while state.config.borrow().objects().next().is_none() {
        monoio::time::sleep(CONFIG_POLL_INTERVAL).await;
    }
    let interval = state.settings.time("platform", "poll_ms");
    let mut readers = HashMap::new();
    let mut poll = 0_u32;
    loop {
        let is_due = poll.is_multiple_of(POLLS_PER_READ) || !state.mesh.view(has_active_relay);
        if is_due && let Err(error) = read(&state, &mut readers).await {
            log::warn!(
                "the platform's lists could not be read; the last ones remain in use: {error}"
            );
        }
        poll = poll.wrapping_add(1);
        monoio::time::sleep(interval).await;
    }
}

/// Returns whether another node of the data centre reads the lists at every poll and this node
/// hears most nodes.
fn has_active_relay(membership: &Membership) -> bool {
    let own = membership.own();
    let first = membership.relays(&own.data_centre).into_iter().next();
    let reach = membership.reach();
    first.is_some_and(|first| first != own.name)
        && reach.is_majority()
        && reach.reaching_platform > 0
}

async fn read(
    state: &Rc<State>,
    readers: &mut HashMap<Name, ServerInfo>,
) -> Result<(), PlatformError> {
    let sent_at = state.clock.stamp();
    let vms = state.platform.vms().await?;
    state.freshness.record_answer(sent_at);
    state
        .mesh
        .update_listed(&vms.into_iter().map(listed_node).collect::<Vec<_>>());
    let servers = state.platform.servers().await?;
    let infos: Vec<ServerInfo> = servers.into_iter().map(server_info).collect();
    let removed = state.policy.servers.borrow_mut().sync(infos.clone());
    for key in removed {
        state.policy.hints.borrow_mut().remove_server(key);
    }
    start_readers(state, readers, infos);
    caller_port::update_capacities(state);
    state.servers_listed.set(true);
    Ok(())
}

/// Starts a task for each server that is new or whose address or pool has changed.
fn start_readers(
    state: &Rc<State>,
    readers: &mut HashMap<Name, ServerInfo>,
    infos: Vec<ServerInfo>,
) {
    readers.retain(|id, _| infos.iter().any(|info| info.id == *id));
    for info in infos {
        let known = readers.get(&info.id);
        if known.is_none_or(|known| known.address != info.address || known.pool != info.pool) {
            monoio::spawn(load_reports::poll(Rc::clone(state), info.id.clone()));
        }
        readers.insert(info.id.clone(), info);
    }
}

fn listed_node(vm: Vm) -> ListedNode {
    ListedNode {
        name: vm.name,
        address: vm.address,
        data_centre: vm.data_centre,
        leaving: vm.leaving,
    }
}

fn server_info(server: BackendServer) -> ServerInfo {
    ServerInfo {
        id: server.id,
        address: server.address,
        data_centre: server.data_centre,
        pool: server.pool,
        kind: match server.kind {
            ServerKind::Engine => server::ServerKind::Engine,
            ServerKind::Service => server::ServerKind::Service,
        },
        preemptible: server.preemptible,
        state: match server.state {
            ServerState::Starting => server::ServerState::Starting,
            ServerState::Ready => server::ServerState::Ready,
            ServerState::Leaving => server::ServerState::Leaving,
        },
    }
}
