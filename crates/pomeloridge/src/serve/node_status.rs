//! Status of the node, as reported to operators and the load balancer.

use std::time::Duration;

use pomeloridge_base::config::ConfigObject;
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::{Name, Revision};
use pomeloridge_duties::usage::{SealedWindow, read_sealed_windows};
use pomeloridge_node::member::{Member, MemberState};
use pomeloridge_platform::{Authority, Client};
use pomeloridge_policy::server::Server;
use serde_json::{Value, json};

use super::caller_port::check_connectivity;
use super::node_links::MAX_PLATFORM_SILENCE;
use super::state::State;

/// Maximum time that a new node waits for a link to another one before it accepts requests.
const MAX_JOIN_TIME: Duration = Duration::from_secs(5);
/// Number of usage windows in a report.
const REPORTED_WINDOWS: u64 = 60;

/// Returns whether the load balancer may send requests to this node, or why not.
pub(crate) fn ready(state: &State) -> Result<(), String> {
    if state.lifecycle.is_leaving() {
        return Err("the node is stopping".to_owned());
    }
    check_connectivity(state).map_err(|kind| kind.answer().text.to_owned())?;
    let loaded = state.config.borrow().objects().next().is_some();
    if !loaded {
        return Err("no configuration has arrived yet".to_owned());
    }
    if !state.servers_listed.get() {
        return Err("the list of backend servers has not arrived yet".to_owned());
    }
    if is_joining(state) {
        return Err("no link to another node is open yet".to_owned());
    }
    Ok(())
}

/// Returns whether the node has just started and no peer can store its usage yet.
///
/// After some time the node accepts requests regardless, as the other nodes may be down.
fn is_joining(state: &State) -> bool {
    let since = state.clock.unix_ms().saturating_sub(state.incarnation.0);
    let is_isolated = state.mesh.links().is_empty() && !state.mesh.members().is_empty();
    is_isolated && since < MAX_JOIN_TIME.as_millis() as u64
}

/// Returns the nodes, backend servers, pools, leases, revisions in force and exceptions.
pub(crate) fn status(state: &State) -> Value {
    let members = state.mesh.members();
    let own = state.mesh.view(|membership| membership.own().clone());
    let own = Member {
        reaches_platform: state.freshness.silence() < MAX_PLATFORM_SILENCE,
        ..own
    };
    let nodes: Vec<Value> = std::iter::once(&own).chain(&members).map(node).collect();
    let now = state.clock.now();
    let table = state.policy.servers.borrow();
    let mut servers: Vec<&Server> = table.servers().map(|(_, server)| server).collect();
    servers.sort_by(|a, b| a.info.id.cmp(&b.info.id));
    let config = state.config.borrow();
    let admission = state.policy.admission.borrow();
    let pools = config.fleet().models.keys().map(|name| {
        let pool = admission.state(name);
        let capacity = table.capacity(name, now);
        json!({
            "pool": name, "limit": pool.limit, "running": pool.running,
            "waiting": pool.waiting, "slots": capacity.slots,
        })
    });
    json!({
        "node": state.settings.name,
        "standing": state.mesh.connectivity(state.freshness.silence()).to_string(),
        "nodes": nodes,
        "servers": servers.into_iter().map(server).collect::<Vec<_>>(),
        "pools": pools.collect::<Vec<_>>(),
        "leases": leases(state),
        "config": config.objects().map(revision).collect::<Vec<_>>(),
        "exceptions": config.fleet().exceptions,
    })
}

/// Returns the leases of the duties as known to this node.
fn leases(state: &State) -> Vec<Value> {
    let authorities = state.authorities.borrow();
    let lease = |(duty, authority): &(Name, Authority)| {
        json!({
            "duty": duty, "held_here": authority.holds(), "epoch": authority.epoch(),
            "left_ms": authority.left().as_millis() as u64,
        })
    };
    authorities.iter().map(lease).collect()
}

fn node(member: &Member) -> Value {
    json!({
        "name": member.name, "data_centre": member.data_centre,
        "state": member.state.to_string(), "address": member.address.to_string(),
        "incarnation": member.incarnation, "platform": member.reaches_platform,
    })
}

fn server(server: &Server) -> Value {
    let report = server.report.as_ref();
    json!({
        "id": server.info.id, "pool": server.info.pool, "data_centre": server.info.data_centre,
        "cheap": server.info.preemptible, "state": server.info.state.to_string(),
        "role": report.map(|report| report.role.to_string()),
        "running": report.map(|report| report.running),
        "queued": report.map(|report| report.queued),
        "ejected": server.ejection.is_ejected(), "drained": server.drained,
    })
}

fn revision(object: &ConfigObject) -> Value {
    json!({"key": object.key, "revision": object.revision})
}

/// Returns the decisions for a request; `None` if the node knows of none.
pub(crate) fn explain(state: &State, id: &str) -> Option<Value> {
    let decisions = state.policy.decisions.borrow();
    let lines = decisions.get(id)?;
    let node: &Name = &state.settings.name;
    Some(json!({"request": id, "node": node, "decisions": lines}))
}

/// Returns the number of nodes on which a revision is in force, and of all nodes that are not
/// down.
pub(crate) fn in_force(state: &State, key: &str, revision: Revision) -> (usize, usize) {
    let members = state.mesh.members();
    let counted = members
        .iter()
        .filter(|member| member.state != MemberState::Down);
    let peers = state.peers.borrow();
    let own = usize::from(state.config.borrow().revision(key) >= revision);
    counted.fold((own, 1), |(in_force, total), member| {
        let is_in_force = peers.has_revision(&member.name, key, revision);
        (in_force + usize::from(is_in_force), total + 1)
    })
}

/// Reads the newest sealed usage windows.
pub(crate) async fn usage(client: &Client) -> Result<Value, ErrorKind> {
    let windows = read_sealed_windows(client, REPORTED_WINDOWS).await;
    let windows = windows.map_err(|_| ErrorKind::PlatformDown)?;
    Ok(json!({"windows": windows.iter().map(window).collect::<Vec<_>>()}))
}

fn window(sealed: &SealedWindow) -> Value {
    let state = if sealed.reported {
        "reported"
    } else {
        "sealed"
    };
    json!({
        "window": sealed.window, "state": state, "accounts": sealed.accounts,
        "from_ms": sealed.from_ms, "to_ms": sealed.to_ms,
    })
}
