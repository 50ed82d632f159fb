//! Task of one peer: maintains the link, sends heartbeats and reconciles the
//! configuration of both ends.

use std::net::SocketAddr;
use std::time::Duration;

use crate::config_sync::newer_keys;
use crate::error::LinkError;
use crate::mesh::Mesh;
use crate::peer_link::PeerLink;

/// Maximum pause between two attempts to open a link.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Removes the peer when its task ends.
struct PeerGuard {
    mesh: Mesh,
    address: SocketAddr,
}

impl Drop for PeerGuard {
    fn drop(&mut self) {
        self.mesh.remove_peer(self.address);
    }
}

/// Maintains a link to an address while it is a target.
pub(crate) async fn maintain(mesh: Mesh, address: SocketAddr) {
    let _guard = PeerGuard {
        mesh: mesh.clone(),
        address,
    };
    let first = mesh.options().link.heartbeat.min(MAX_RETRY_PAUSE);
    let mut pause = first;
    while mesh.is_target(address) {
        match mesh.open(address).await {
            Ok(link) => {
                pause = first;
                log::info!("link peer={} address={address} state=open", link.name);
                mesh.set_link(address, Some(link.clone()));
                let result = send_heartbeats(&mesh, address, &link).await;
                mesh.set_link(address, None);
                match result {
                    Ok(()) => log::info!("link peer={} state=closed reason=unwanted", link.name),
                    Err(error) => log::info!("link peer={} state=closed reason={error}", link.name),
                }
            }
            Err(error) => log::debug!("link address={address} state=not_open reason={error}"),
        }
        monoio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
}

/// Sends heartbeats until the link fails or its address is no longer a target.
async fn send_heartbeats(
    mesh: &Mesh,
    address: SocketAddr,
    link: &PeerLink,
) -> Result<(), LinkError> {
    while mesh.is_target(address) {
        exchange(mesh, link).await?;
        monoio::time::sleep(mesh.options().link.heartbeat).await;
    }
    Ok(())
}

/// Exchanges one pair of heartbeats and the configuration objects that either end lacks.
pub(crate) async fn exchange(mesh: &Mesh, link: &PeerLink) -> Result<(), LinkError> {
    let own = mesh.next_heartbeat();
    let digests = own.payload.digests.clone();
    let reply = link.heartbeat(own).await?;
    if reply.sender.name != link.name {
        return Err(LinkError::Unknown);
    }
    let peer_digests = reply.payload.digests.clone();
    if !mesh.receive_heartbeat(reply) {
        return Err(LinkError::Unknown);
    }
    let requested = newer_keys(&digests, &peer_digests);
    if !requested.is_empty() {
        let objects = link.get_config(requested).await?;
        mesh.receive_config(objects, &link.name);
    }
    let offered = newer_keys(&peer_digests, &digests);
    if !offered.is_empty() {
        link.push_config(mesh.config_objects(&offered)).await?;
    }
    Ok(())
}
