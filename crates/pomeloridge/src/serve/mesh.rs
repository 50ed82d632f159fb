//! Joins the links between nodes to the node's state.

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

/// Silence of the object service after which a node says that it does not reach it.
pub(crate) const PLATFORM_SILENCE: Duration = Duration::from_secs(2);
/// Age up to which totals of service are told; older ones are known to all.
const SERVICE_AGE: Duration = Duration::from_secs(30);

/// The parts of the state that the links need.
pub(crate) struct Parts {
    pub(crate) clock: SharedClock,
    pub(crate) config: Rc<RefCell<ConfigView>>,
    pub(crate) policy: Rc<Policy>,
    pub(crate) fresh: Freshness,
    pub(crate) peers: Rc<RefCell<PeerWords>>,
}

/// What each peer said in its last heartbeat.
#[derive(Default)]
pub(crate) struct PeerWords(HashMap<Name, PeerWord>);

struct PeerWord {
    at: Instant,
    revisions: HashMap<String, Revision>,
    demand: Vec<DemandLine>,
}

impl PeerWords {
    /// Whether a peer has an object in force at a revision or a later one.
    pub(crate) fn has(&self, peer: &Name, key: &str, revision: Revision) -> bool {
        let own = self.0.get(peer).and_then(|word| word.revisions.get(key));
        own.is_some_and(|own| *own >= revision)
    }

    /// What a peer was asked for, and when it said so.
    pub(crate) fn demand(&self, peer: &Name) -> Option<(Instant, &[DemandLine])> {
        let word = self.0.get(peer)?;
        Some((word.at, &word.demand))
    }
}

/// Builds the links of this node.
pub(crate) fn build(
    settings: &Settings,
    address: SocketAddr,
    incarnation: Incarnation,
    parts: Parts,
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
    let clock = Rc::clone(&parts.clock);
    Mesh::new(
        own,
        MeshOptions::from(settings),
        clock,
        hooks(&Rc::new(parts)),
    )
}

fn hooks(parts: &Rc<Parts>) -> Hooks {
    let [told, heard, asked, given] = std::array::from_fn(|_| Rc::clone(parts));
    Hooks {
        payload: Box::new(move || snapshot(&told)),
        on_heartbeat: Box::new(move |sender, payload| absorb(&heard, sender, &payload)),
        config_objects: Box::new(move |keys| {
            let config = asked.config.borrow();
            let wanted = |key: &String| keys.is_empty() || keys.contains(key);
            let objects = config.objects().filter(|object| wanted(&object.key));
            objects.cloned().collect()
        }),
        adopt_config: Box::new(move |object| adopt(&given.config, &given.policy, object)),
    }
}

/// What this node says in a heartbeat.
fn snapshot(parts: &Parts) -> HeartbeatPayload {
    let now = parts.clock.now();
    let policy = &parts.policy;
    let config = parts.config.borrow();
    let digests = config
        .objects()
        .map(|object| (object.key.clone(), object.revision));
    let totals = policy.admission.borrow().export(SERVICE_AGE, now);
    let shared = policy.suspicions.borrow().export(now);
    HeartbeatPayload {
        reaches_platform: parts.fresh.silence() < PLATFORM_SILENCE,
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

/// Takes in what another node said.
fn absorb(parts: &Parts, sender: &Member, payload: &HeartbeatPayload) {
    let now = parts.clock.now();
    let word = PeerWord {
        at: now,
        revisions: payload.digests.iter().cloned().collect(),
        demand: payload.demand.clone(),
    };
    parts.peers.borrow_mut().0.insert(sender.name.clone(), word);
    let policy = &parts.policy;
    let totals: Vec<_> = payload.service.iter().map(service_total).collect();
    policy
        .admission
        .borrow_mut()
        .merge(&sender.name, sender.incarnation, &totals);
    let shares: Vec<_> = payload.shares.iter().map(own_share).collect();
    let mut servers = policy.servers.borrow_mut();
    servers.set_peer_in_flight(&sender.name, &shares, now);
    let suspicions: Vec<_> = payload.suspicions.iter().map(shared_suspicion).collect();
    policy.suspicions.borrow_mut().merge(&suspicions, now);
}

/// What this node was asked for of late.
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

fn own_share(line: &ShareLine) -> ServerInFlight {
    ServerInFlight {
        id: line.server.clone(),
        running: line.requests,
        prefill_tokens: line.prompt_tokens,
        reserved_for_suspect: line.reserved_for_suspect,
    }
}
