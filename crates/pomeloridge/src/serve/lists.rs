//! Reads the platform's lists of VMs and backend servers.

use std::collections::HashMap;
use std::rc::Rc;

use pomeloridge_base::id::Name;
use pomeloridge_node::member::Listed;
use pomeloridge_platform::{BackendServer, PlatformError, ServerKind, ServerState, Vm};
use pomeloridge_policy::server::{self, ServerInfo};

use super::state::State;
use super::{front, loads};

/// Reads both lists for as long as the node lives.
pub(crate) async fn run(state: Rc<State>) {
    let pause = state.settings.time("platform", "poll_ms");
    let mut readers = HashMap::new();
    loop {
        if let Err(error) = read(&state, &mut readers).await {
            log::warn!(
                "the platform's lists could not be read; the last ones stay in use: {error}"
            );
        }
        monoio::time::sleep(pause).await;
    }
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
        .list(&vms.into_iter().map(listed).collect::<Vec<_>>());
    let servers = state.platform.servers().await?;
    let infos: Vec<ServerInfo> = servers.into_iter().map(server_info).collect();
    let gone = state.policy.fleet.borrow_mut().sync(infos.clone());
    for key in gone {
        state.policy.hints.borrow_mut().forget(key);
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

fn listed(vm: Vm) -> Listed {
    Listed {
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
        cheap: server.cheap,
        state: match server.state {
            ServerState::Starting => server::ServerState::Starting,
            ServerState::Ready => server::ServerState::Ready,
            ServerState::Leaving => server::ServerState::Leaving,
        },
    }
}
