//! The duties that one node has for the whole fleet, each by its lease.

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

/// Live nodes that look whether a lease may be taken.
const CANDIDATES: usize = 2;
/// Rounds of a holder in one term.
const HOLDER_ROUNDS: u32 = 9;
/// Rounds of a candidate in one term; each one reads the lease.
const CANDIDATE_ROUNDS: u32 = 3;
/// Pause between two tries to have usage kept elsewhere.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Age after which a peer's word of its demand says nothing any more.
const WORD_TTL: Duration = Duration::from_secs(3);
/// Time without contact after which a server counts as unreachable for all.
const UNREACHED: Duration = Duration::from_secs(30);

/// Starts the duties' tasks and gives the authorities, by duty.
pub(crate) fn start(state: &Rc<State>) -> Vec<(Name, Authority)> {
    let usage_authority = keep_lease(state, "usage");
    let placement_authority = keep_lease(state, "placement");
    monoio::spawn(usage_duty(Rc::clone(state), usage_authority.clone()));
    monoio::spawn(placement_duty(
        Rc::clone(state),
        placement_authority.clone(),
    ));
    monoio::spawn(retry_usage(Rc::clone(state)));
    vec![
        (Name::from("usage"), usage_authority),
        (Name::from("placement"), placement_authority),
    ]
}

/// Keeps the lease of one duty until the node leaves, then gives it up.
fn keep_lease(state: &Rc<State>, duty: &str) -> Authority {
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
    let held = authority.clone();
    let state = Rc::clone(state);
    let task = CountGuard::new(&state.duties);
    monoio::spawn(async move {
        while !state.life.is_leaving() {
            let holds = held.holds();
            let candidate = |membership: &pomeloridge_node::membership::Membership| {
                membership.is_candidate(&duty, CANDIDATES)
            };
            if holds || state.mesh.view(candidate) {
                lease.step().await;
            }
            let rounds = if held.holds() {
                HOLDER_ROUNDS
            } else {
                CANDIDATE_ROUNDS
            };
            monoio::time::sleep(term / rounds).await;
        }
        lease.release().await;
        drop(task);
    });
    authority
}

async fn usage_duty(state: Rc<State>, authority: Authority) {
    let options = UsageOptions {
        window: state.settings.time("usage", "window_ms"),
        ..UsageOptions::default()
    };
    let [spans, fetch, sealed, life] = std::array::from_fn(|_| Rc::clone(&state));
    let peers = NodeClient {
        list: async move || gather_spans(&spans).await,
        fetch: async move |holding: &StoredRange, from: u64| {
            fetch_part(&fetch, holding, from).await
        },
        discard: async move |start: &UsageSource, up_to: u64| {
            drop_sealed(&sealed, start, up_to).await;
        },
    };
    let stopping = move || life.life.is_leaving();
    usage::run_usage(state.platform.clone(), authority, peers, options, stopping).await;
}

/// Asks every node which batches it keeps.
async fn gather_spans(state: &State) -> BatchInventory {
    let mut gathered = BatchInventory {
        ranges: Vec::new(),
        complete: true,
    };
    for keeper in all_nodes(state) {
        match state.mesh.list_usage(&keeper).await {
            Ok(spans) => {
                let holdings = spans.into_iter().map(|span| holding(&keeper, span));
                gathered.ranges.extend(holdings);
            }
            Err(error) => {
                log::warn!("usage of node {keeper} cannot be listed: {error}");
                gathered.complete = false;
            }
        }
    }
    gathered
}

fn all_nodes(state: &State) -> Vec<Name> {
    let members = state.mesh.members().into_iter().map(|member| member.name);
    std::iter::once(state.settings.name.clone())
        .chain(members)
        .collect()
}

fn holding(keeper: &Name, span: UsageSpan) -> StoredRange {
    StoredRange {
        stored_on: keeper.clone(),
        source: UsageSource {
            node: span.node,
            incarnation: span.incarnation,
        },
        first: span.first,
        last: span.last,
    }
}

async fn fetch_part(state: &State, holding: &StoredRange, from: u64) -> Option<BatchPage> {
    let start = &holding.source;
    let part = state
        .mesh
        .get_usage(&holding.stored_on, &start.node, start.incarnation, from)
        .await;
    match part {
        Ok(part) => Some(convert_part(part)),
        Err(error) => {
            log::warn!(
                "usage kept by node {} cannot be read: {error}",
                holding.stored_on
            );
            None
        }
    }
}

fn convert_part(part: UsagePage) -> BatchPage {
    BatchPage {
        batches: part.batches.into_iter().map(convert_batch).collect(),
        has_more: part.has_more,
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

async fn drop_sealed(state: &State, start: &UsageSource, up_to: u64) {
    for keeper in all_nodes(state) {
        let dropped = state
            .mesh
            .drop_usage(&keeper, &start.node, start.incarnation, up_to)
            .await;
        if let Err(error) = dropped {
            log::debug!("node {keeper} keeps sealed usage for longer: {error}");
        }
    }
}

/// Has usage that only this node keeps, kept elsewhere as soon as that can be.
async fn retry_usage(state: Rc<State>) {
    loop {
        monoio::time::sleep(RETRY_PAUSE).await;
        if state.usage.unreplicated_lines() > 0 && state.usage.retry().await {
            log::info!("usage that only this node kept is kept elsewhere now");
        }
    }
}

async fn placement_duty(state: Rc<State>, authority: Authority) {
    let [facts, life] = std::array::from_fn(|_| Rc::clone(&state));
    run_placement(
        state.platform.clone(),
        authority,
        state.metrics.meter.clone(),
        move || fleet_facts(&facts),
        placement_options(&state.settings),
        move || life.life.is_leaving(),
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

/// What this node knows of the fleet, for the placement duty.
fn fleet_facts(state: &State) -> FleetSnapshot {
    let config = state.config.borrow();
    FleetSnapshot {
        pools: pool_configs(config.fleet()),
        exceptions: server_exceptions(config.fleet()),
        demand: demand(state, &config),
        loads: loads(state),
        data_centres: data_centres(state),
    }
}

/// Sums what all nodes were asked for.
fn demand(state: &State, config: &ConfigView) -> DemandReport {
    let now = state.clock.now();
    let mut pools: BTreeMap<Name, Demand> = BTreeMap::new();
    // A pool that nobody asked for has no demand, which is not the same as unknown.
    for pool in config.fleet().models.keys() {
        pools.insert(pool.clone(), Demand::default());
    }
    let own = super::mesh::demand_lines(&state.policy, now);
    let heard = state.peers.borrow();
    let members = state.mesh.members();
    let live = members
        .iter()
        .filter(|member| member.state == MemberState::Live);
    let reports: Vec<_> = live
        .filter_map(|member| heard.demand(&member.name))
        .filter(|(at, _)| now.saturating_duration_since(*at) < WORD_TTL)
        .collect();
    let oldest = reports.iter().map(|(at, _)| *at).min().unwrap_or(now);
    let lines = reports.iter().flat_map(|(_, lines)| lines.iter());
    for line in own.iter().chain(lines) {
        add(pools.entry(line.pool.clone()).or_default(), line);
    }
    DemandReport {
        measured_at: oldest,
        reporting_nodes: reports.len() + 1,
        known_nodes: members.len() + 1,
        pools,
    }
}

fn add(sum: &mut Demand, line: &DemandLine) {
    sum.requests += line.requests;
    sum.prompt += line.prompt_tokens;
    sum.output += line.output_tokens;
    sum.queued += line.queued;
    sum.refused += line.refused;
}

fn loads(state: &State) -> BTreeMap<Name, ServerLoad> {
    let now = state.clock.now();
    let table = state.policy.servers.borrow();
    let known = table
        .servers()
        .filter_map(|(_, server)| Some((server.info.id.clone(), load(server, now)?)));
    known.collect()
}

fn load(server: &Server, now: Instant) -> Option<ServerLoad> {
    let report = server.report.as_ref()?;
    let since = server.ejection.since();
    let away = since.map(|since| now.saturating_duration_since(since));
    Some(ServerLoad {
        running: report.running,
        queued: report.queued,
        role: report.role,
        models: report.models.clone(),
        leaving: report.leaving,
        reachable: away.is_none_or(|away| away < UNREACHED),
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
