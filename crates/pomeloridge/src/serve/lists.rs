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
use super::{front, loads};

/// Reads of a data centre's first relay for each one of another node.
///
/// A server's leaving also stands in its own load report, which every node
/// reads, so that only new servers are seen later by the others.
const RELAY_READS: u32 = 4;
/// Pause while the configuration has not arrived.
const CONFIG_PAUSE: Duration = Duration::from_millis(20);

/// Reads both lists for as long as the node lives.
pub(crate) async fn run(state: Rc<State>) {
    // The speeds expected of servers stand in the configuration.
    while state.config.borrow().objects().next().is_none() {
        monoio::time::sleep(CONFIG_PAUSE).await;
    }
    let pause = state.settings.time("platform", "poll_ms");
    let mut readers = HashMap::new();
    let mut round = 0_u32;
    loop {
        let due = round.is_multiple_of(RELAY_READS) || !state.mesh.view(is_relayed);
        if due && let Err(error) = read(&state, &mut readers).await {
            log::warn!(
                "the platform's lists could not be read; the last ones stay in use: {error}"
            );
        }
        round = round.wrapping_add(1);
        monoio::time::sleep(pause).await;
    }
}

/// Whether another node of the data centre reads often, and most nodes are heard.
fn is_relayed(membership: &Membership) -> bool {
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
    let sent = state.clock.stamp();
    let vms = state.platform.vms().await?;
    state.fresh.note_answer(sent);
    state
        .mesh
        .update_listed(&vms.into_iter().map(listed).collect::<Vec<_>>());
    let servers = state.platform.servers().await?;
    let infos: Vec<ServerInfo> = servers.into_iter().map(server_info).collect();
    let gone = state.policy.servers.borrow_mut().sync(infos.clone());
    for key in gone {
        state.policy.hints.borrow_mut().remove_server(key);
    }
    start_readers(state, readers, infos);
    front::set_capacities(state);
    state.listed.set(true);
    Ok(())
}

/// Starts a task for each server that is new or is another process now.
fn start_readers(
    state: &Rc<State>,
    readers: &mut HashMap<Name, ServerInfo>,
    infos: Vec<ServerInfo>,
) {
    readers.retain(|id, _| infos.iter().any(|info| info.id == *id));
    for info in infos {
        let known = readers.get(&info.id);
        if known.is_none_or(|known| known.address != info.address || known.pool != info.pool) {
            monoio::spawn(loads::run(Rc::clone(state), info.id.clone()));
        }
        readers.insert(info.id.clone(), info);
    }
}

fn listed(vm: Vm) -> ListedNode {
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
