//! Duties that one node at a time performs for the fleet, as the holder of the duty's lease.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::config::ConfigView;
use pomeloridge_base::count_guard::CountGuard;
use pomeloridge_base::id::Name;
use pomeloridge_base::settings::Settings;
use pomeloridge_duties::autoscaling_baseline::AutoscalingPolicy;
use pomeloridge_duties::demand::{Demand, DemandReport};
use pomeloridge_duties::fleet_snapshot::{FleetSnapshot, ServerLoad};
use pomeloridge_duties::placement_baseline::PlacementPolicy;
use pomeloridge_duties::pool_config::{pool_configs, server_exceptions};
use pomeloridge_duties::usage::{
    self, BatchInventory, BatchPage, Line, NodeClient, StoredRange, UsageOptions, UsageSource,
};
use pomeloridge_duties::{PlacementDutyOptions, run_placement};
use pomeloridge_node::heartbeat::DemandLine;
use pomeloridge_node::member::MemberState;
use pomeloridge_node::usage::{UsageBatch, UsagePage, UsageSpan};
use pomeloridge_platform::lease::LeaseConfig;
use pomeloridge_platform::{Authority, LeaseManager};
use pomeloridge_policy::server::Server;

use super::state::State;

/// Number of live nodes that try to take a lease.
const LEASE_CANDIDATES: usize = 2;
/// Steps per term of a lease's holder.
const HOLDER_STEPS: u32 = 9;
/// Steps per term of a candidate; each one reads the lease.
const CANDIDATE_STEPS: u32 = 3;
/// Interval between attempts to replicate usage that only this node stores.
const USAGE_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum age of the demand that a peer has reported.
const MAX_DEMAND_AGE: Duration = Duration::from_secs(3);
/// Time since a server's ejection after which it counts as unreachable for all nodes.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(30);

/// Starts the tasks of the duties and returns their authorities by name.
pub(crate) fn start(state: &Rc<State>) -> Vec<(Name, Authority)> {
    let usage_authority = maintain_lease(state, "usage");
    let placement_authority = maintain_lease(state, "placement");
    monoio::spawn(run_usage_duty(Rc::clone(state), usage_authority.clone()));
    monoio::spawn(run_placement_duty(
        Rc::clone(state),
        placement_authority.clone(),
    ));
    monoio::spawn(retry_usage(Rc::clone(state)));
    vec![
        (Name::from("usage"), usage_authority),
        (Name::from("placement"), placement_authority),
    ]
}

/// Starts a task that takes and renews the lease of a duty, and releases it when the node
/// leaves.
fn maintain_lease(state: &Rc<State>, duty: &str) -> Authority {
    let config = LeaseConfig {
        duty: Name::from(duty),
        holder: state.settings.name.clone(),
        incarnation: state.incarnation,
        term: state.settings.time("lease", "term_ms"),
        margin: state.settings.time("lease", "margin_ms"),
        when_missing: pomeloridge_platform::lease::MissingLease::Deleted,
    };
    let (term, duty) = (config.term, config.duty.clone());
    let mut lease = LeaseManager::new(&state.platform, config);
    let authority = lease.authority();
    let task_authority = authority.clone();
    let state = Rc::clone(state);
    let task_guard = CountGuard::new(&state.running_duties);
    monoio::spawn(async move {
        while !state.lifecycle.is_leaving() {
            let holds = task_authority.holds();
            let is_candidate = |membership: &pomeloridge_node::membership::Membership| {
                membership.is_candidate(&duty, LEASE_CANDIDATES)
            };
            if holds || state.mesh.view(is_candidate) {
                lease.step().await;
            }
            let steps = if task_authority.holds() {
                HOLDER_STEPS
            } else {
                CANDIDATE_STEPS
            };
            monoio::time::sleep(term / steps).await;
        }
        lease.release().await;
        drop(task_guard);
    });
    authority
}

async fn run_usage_duty(state: Rc<State>, authority: Authority) {
    let options = UsageOptions {
        window: state.settings.time("usage", "window_ms"),
        ..UsageOptions::default()
    };
    let [list, fetch, discard, stop] = std::array::from_fn(|_| Rc::clone(&state));
    let peers = NodeClient {
        list: async move || list_batches(&list).await,
        fetch: async move |range: &StoredRange, from: u64| fetch_page(&fetch, range, from).await,
        discard: async move |source: &UsageSource, up_to: u64| {
            discard_sealed(&discard, source, up_to).await;
        },
    };
    let stopping = move || stop.lifecycle.is_leaving();
    usage::run_usage(state.platform.clone(), authority, peers, options, stopping).await;
}

/// Asks every node which usage batches it stores.
async fn list_batches(state: &State) -> BatchInventory {
    let mut inventory = BatchInventory {
        ranges: Vec::new(),
        complete: true,
    };
    for node in all_nodes(state) {
        match state.mesh.list_usage(&node).await {
            Ok(spans) => {
                let ranges = spans.into_iter().map(|span| stored_range(&node, span));
                inventory.ranges.extend(ranges);
            }
            Err(error) => {
                log::warn!("usage stored by node {node} cannot be listed: {error}");
                inventory.complete = false;
            }
        }
    }
    inventory
}

fn all_nodes(state: &State) -> Vec<Name> {
    let members = state.mesh.members().into_iter().map(|member| member.name);
    std::iter::once(state.settings.name.clone())
        .chain(members)
        .collect()
}

fn stored_range(node: &Name, span: UsageSpan) -> StoredRange {
    StoredRange {
        stored_on: node.clone(),
        source: UsageSource {
            node: span.node,
            incarnation: span.incarnation,
        },
        first: span.first,
        last: span.last,
    }
}

async fn fetch_page(state: &State, range: &StoredRange, from: u64) -> Option<BatchPage> {
    let source = &range.source;
    let page = state
        .mesh
        .get_usage(&range.stored_on, &source.node, source.incarnation, from)
        .await;
    match page {
        Ok(page) => Some(convert_page(page)),
        Err(error) => {
            log::warn!(
                "usage stored by node {} cannot be read: {error}",
                range.stored_on
            );
            None
        }
    }
}

fn convert_page(page: UsagePage) -> BatchPage {
    BatchPage {
        batches: page.batches.into_iter().map(convert_batch).collect(),
        has_more: page.has_more,
    }
}

fn convert_batch(batch: UsageBatch) -> usage::Batch {
    let lines = batch.lines.into_iter().map(|line| Line {
        request_id: line.request_id,
        account: line.account,
        prompt_tokens: line.prompt_tokens,
        output_tokens: line.output_tokens,
    });
    usage::Batch {
        source: UsageSource {
            node: batch.node,
            incarnation: batch.incarnation,
        },
        number: batch.number,
        lines: lines.collect(),
    }
}

async fn discard_sealed(state: &State, source: &UsageSource, up_to: u64) {
    for node in all_nodes(state) {
        let dropped = state
            .mesh
            .drop_usage(&node, &source.node, source.incarnation, up_to)
            .await;
        if let Err(error) = dropped {
            log::debug!("sealed usage is not discarded on node {node} yet: {error}");
        }
    }
}

/// Replicates usage that only this node stores, as soon as a peer can take it.
async fn retry_usage(state: Rc<State>) {
    loop {
        monoio::time::sleep(USAGE_RETRY_INTERVAL).await;
        if state.usage.unreplicated_lines() > 0 && state.usage.retry().await {
            log::info!("usage that only this node stored has been replicated");
        }
    }
}

async fn run_placement_duty(state: Rc<State>, authority: Authority) {
    let [snapshot, stop] = std::array::from_fn(|_| Rc::clone(&state));
    run_placement(
        state.platform.clone(),
        authority,
        state.metrics.meter.clone(),
        move || fleet_snapshot(&snapshot),
        placement_options(&state.settings),
        move || stop.lifecycle.is_leaving(),
    )
    .await;
}

fn placement_options(settings: &Settings) -> PlacementDutyOptions {
    PlacementDutyOptions {
        placement_policy: match settings.text("placement", "roles") {
            "static" => PlacementPolicy::Static,
            "threshold" => PlacementPolicy::Threshold,
            _ => PlacementPolicy::Gain,
        },
        autoscaling_policy: match settings.text("placement", "orders") {
            "static" => AutoscalingPolicy::Static,
            "threshold" => AutoscalingPolicy::Threshold,
            _ => AutoscalingPolicy::Forecast,
        },
        ..PlacementDutyOptions::default()
    }
}

/// Returns this node's view of the fleet, for the placement duty.
fn fleet_snapshot(state: &State) -> FleetSnapshot {
    let config = state.config.borrow();
    FleetSnapshot {
        pools: pool_configs(config.fleet()),
        exceptions: server_exceptions(config.fleet()),
        demand: sum_demand(state, &config),
        loads: server_loads(state),
        data_centres: data_centres(state),
    }
}

/// Returns the sum of the demand at all nodes.
fn sum_demand(state: &State, config: &ConfigView) -> DemandReport {
    let now = state.clock.now();
    let mut pools: BTreeMap<Name, Demand> = BTreeMap::new();
    // A pool without requests has a demand of zero rather than an unknown one.
    for pool in config.fleet().models.keys() {
        pools.insert(pool.clone(), Demand::default());
    }
    let own = super::node_links::demand_lines(&state.policy, now);
    let peers = state.peers.borrow();
    let members = state.mesh.members();
    let live = members
        .iter()
        .filter(|member| member.state == MemberState::Live);
    let reports: Vec<_> = live
        .filter_map(|member| peers.demand(&member.name))
        .filter(|(at, _)| now.saturating_duration_since(*at) < MAX_DEMAND_AGE)
        .collect();
    let oldest = reports.iter().map(|(at, _)| *at).min().unwrap_or(now);
    let lines = reports.iter().flat_map(|(_, lines)| lines.iter());
    for line in own.iter().chain(lines) {
        add_demand(pools.entry(line.pool.clone()).or_default(), line);
    }
    DemandReport {
        measured_at: oldest,
        reporting_nodes: reports.len() + 1,
        known_nodes: members.len() + 1,
        pools,
    }
}

fn add_demand(sum: &mut Demand, line: &DemandLine) {
    sum.requests += line.requests;
    sum.prompt += line.prompt_tokens;
    sum.output += line.output_tokens;
    sum.queued += line.queued;
    sum.refused += line.refused;
}

fn server_loads(state: &State) -> BTreeMap<Name, ServerLoad> {
    let now = state.clock.now();
    let table = state.policy.servers.borrow();
    let known = table
        .servers()
        .filter_map(|(_, server)| Some((server.info.id.clone(), server_load(server, now)?)));
    known.collect()
}

fn server_load(server: &Server, now: Instant) -> Option<ServerLoad> {
    let report = server.report.as_ref()?;
    let ejected_at = server.ejection.since();
    let ejected_for = ejected_at.map(|ejected_at| now.saturating_duration_since(ejected_at));
    Some(ServerLoad {
        running: report.running,
        queued: report.queued,
        role: report.role,
        models: report.models.clone(),
        leaving: report.leaving,
        reachable: ejected_for.is_none_or(|time| time < UNREACHABLE_AFTER),
    })
}

fn data_centres(state: &State) -> BTreeSet<Name> {
    let table = state.policy.servers.borrow();
    let servers = table
        .servers()
        .map(|(_, server)| server.info.data_centre.clone());
    let own = std::iter::once(state.settings.data_centre.clone());
    let members = state
        .mesh
        .members()
        .into_iter()
        .map(|member| member.data_centre);
    servers.chain(own).chain(members).collect()
}
