//! Connects the links between nodes to the node's state: the contents of heartbeats, and
//! configuration objects.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::clock::SharedClock;
use pomeloridge_base::config::ConfigView;
use pomeloridge_base::id::{Incarnation, Name, Revision};
use pomeloridge_base::settings::Settings;
use pomeloridge_caller::Policy;
use pomeloridge_node::heartbeat::{
    DemandLine, HeartbeatPayload, ServiceLine, ShareLine, Suspicion, SuspicionState,
};
use pomeloridge_node::member::{Member, MemberState};
use pomeloridge_node::mesh::{Hooks, Mesh, MeshOptions};
use pomeloridge_policy::demand;
use pomeloridge_policy::in_flight::ServerInFlight;
use pomeloridge_policy::peer_usage::ServedTotal;
use pomeloridge_policy::suspicion::{Fingerprint, SharedSuspicion, SuspectStatus};

use super::freshness::Freshness;
use super::state::adopt;

/// Silence of the platform after which a node reports that it does not reach it.
pub(crate) const MAX_PLATFORM_SILENCE: Duration = Duration::from_secs(2);
/// Maximum age of the service totals in heartbeats; the peers have older ones already.
const MAX_SERVICE_AGE: Duration = Duration::from_secs(30);

/// Parts of the state that the links use.
pub(crate) struct HookContext {
    pub(crate) clock: SharedClock,
    pub(crate) config: Rc<RefCell<ConfigView>>,
    pub(crate) policy: Rc<Policy>,
    pub(crate) freshness: Freshness,
    pub(crate) peers: Rc<RefCell<PeerReports>>,
}

/// Contents of the last heartbeat of each peer.
#[derive(Default)]
pub(crate) struct PeerReports(HashMap<Name, PeerReport>);

struct PeerReport {
    received_at: Instant,
    revisions: HashMap<String, Revision>,
    demand: Vec<DemandLine>,
}

impl PeerReports {
    /// Returns whether a peer has an object in force at this revision or a later one.
    pub(crate) fn has_revision(&self, peer: &Name, key: &str, revision: Revision) -> bool {
        let in_force = self
            .0
            .get(peer)
            .and_then(|report| report.revisions.get(key));
        in_force.is_some_and(|in_force| *in_force >= revision)
    }

    /// Returns the demand at a peer, and when its heartbeat was received.
    pub(crate) fn demand(&self, peer: &Name) -> Option<(Instant, &[DemandLine])> {
        let report = self.0.get(peer)?;
        Some((report.received_at, &report.demand))
    }
}

/// Creates the links of this node.
pub(crate) fn build(
    settings: &Settings,
    address: SocketAddr,
    incarnation: Incarnation,
    context: HookContext,
) -> Mesh {
    let own = Member {
        name: settings.name.clone(),
        address,
        data_centre: settings.data_centre.clone(),
        incarnation,
        state: MemberState::Live,
        counter: 0,
        reaches_platform: false,
    };
    let clock = Rc::clone(&context.clock);
    Mesh::new(
        own,
        MeshOptions::from(settings),
        clock,
        hooks(&Rc::new(context)),
    )
}

fn hooks(context: &Rc<HookContext>) -> Hooks {
    let [sender, receiver, lookup, adopter] = std::array::from_fn(|_| Rc::clone(context));
    Hooks {
        payload: Box::new(move || heartbeat_payload(&sender)),
        on_heartbeat: Box::new(move |sender, payload| apply_heartbeat(&receiver, sender, &payload)),
        config_objects: Box::new(move |keys| {
            let config = lookup.config.borrow();
            let is_requested = |key: &String| keys.is_empty() || keys.contains(key);
            let objects = config.objects().filter(|object| is_requested(&object.key));
            objects.cloned().collect()
        }),
        adopt_config: Box::new(move |object| adopt(&adopter.config, &adopter.policy, object)),
    }
}

/// Returns the contents of this node's next heartbeat.
fn heartbeat_payload(context: &HookContext) -> HeartbeatPayload {
    let now = context.clock.now();
    let policy = &context.policy;
    let config = context.config.borrow();
    let digests = config
        .objects()
        .map(|object| (object.key.clone(), object.revision));
    let totals = policy.admission.borrow().export(MAX_SERVICE_AGE, now);
    let shared = policy.suspicions.borrow().export(now);
    HeartbeatPayload {
        reaches_platform: context.freshness.silence() < MAX_PLATFORM_SILENCE,
        digests: digests.collect(),
        service: totals.into_iter().map(service_line).collect(),
        shares: policy
            .servers
            .borrow()
            .own_in_flight()
            .into_iter()
            .map(share_line)
            .collect(),
        suspicions: shared.into_iter().map(suspicion).collect(),
        demand: demand_lines(policy, now),
    }
}

/// Applies the heartbeat of another node.
fn apply_heartbeat(context: &HookContext, sender: &Member, payload: &HeartbeatPayload) {
    let now = context.clock.now();
    let report = PeerReport {
        received_at: now,
        revisions: payload.digests.iter().cloned().collect(),
        demand: payload.demand.clone(),
    };
    context
        .peers
        .borrow_mut()
        .0
        .insert(sender.name.clone(), report);
    let policy = &context.policy;
    let totals: Vec<_> = payload.service.iter().map(service_total).collect();
    policy
        .admission
        .borrow_mut()
        .merge(&sender.name, sender.incarnation, &totals);
    let shares: Vec<_> = payload.shares.iter().map(server_in_flight).collect();
    let mut servers = policy.servers.borrow_mut();
    servers.set_peer_in_flight(&sender.name, &shares, now);
    let suspicions: Vec<_> = payload.suspicions.iter().map(shared_suspicion).collect();
    policy.suspicions.borrow_mut().merge(&suspicions, now);
}

/// Returns the recent demand at this node, by pool.
pub(crate) fn demand_lines(policy: &Policy, now: Instant) -> Vec<DemandLine> {
    let rates = policy.demand.borrow_mut().rates(now);
    let admission = policy.admission.borrow();
    let line = |(pool, demand): (Name, demand::Demand)| DemandLine {
        queued: admission.state(&pool).waiting as u32,
        requests: demand.requests,
        prompt_tokens: demand.prompt,
        output_tokens: demand.output,
        refused: demand.refused,
        pool,
    };
    rates.into_iter().map(line).collect()
}

fn suspicion(shared: SharedSuspicion) -> Suspicion {
    Suspicion {
        engine: shared.engine,
        fingerprint: shared.fingerprint.0,
        age: shared.age,
        state: match shared.status {
            SuspectStatus::Cleared => SuspicionState::Cleared,
            SuspectStatus::Suspect => SuspicionState::Suspect,
            SuspectStatus::Quarantined => SuspicionState::Quarantined,
        },
    }
}

fn shared_suspicion(suspicion: &Suspicion) -> SharedSuspicion {
    SharedSuspicion {
        engine: suspicion.engine.clone(),
        fingerprint: Fingerprint(suspicion.fingerprint),
        age: suspicion.age,
        status: match suspicion.state {
            SuspicionState::Cleared => SuspectStatus::Cleared,
            SuspicionState::Suspect => SuspectStatus::Suspect,
            SuspicionState::Quarantined => SuspectStatus::Quarantined,
        },
    }
}

fn service_line(total: ServedTotal) -> ServiceLine {
    ServiceLine {
        account: total.account,
        pool: total.pool,
        amount: total.total,
    }
}

fn service_total(line: &ServiceLine) -> ServedTotal {
    ServedTotal {
        pool: line.pool.clone(),
        account: line.account.clone(),
        total: line.amount,
    }
}

fn share_line(share: ServerInFlight) -> ShareLine {
    ShareLine {
        server: share.id,
        requests: share.running,
        prompt_tokens: share.prefill_tokens,
        reserved_for_suspect: share.reserved_for_suspect,
    }
}

fn server_in_flight(line: &ShareLine) -> ServerInFlight {
    ServerInFlight {
        id: line.server.clone(),
        running: line.requests,
        prefill_tokens: line.prompt_tokens,
        reserved_for_suspect: line.reserved_for_suspect,
    }
}
