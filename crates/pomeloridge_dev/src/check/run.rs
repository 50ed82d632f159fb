//! One run of a scenario: deployment, load, faults, and evaluation.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::checkers::usage::UNCOUNTED_ACCOUNT;
use super::checkers::{check_all, timings};
use super::injector::Injector;
use super::record::{Event, History, Timing, Violation};
use super::scenario::{Action, DATA_CENTRES, ENGINES, NODES, Plan, Scenario};
use super::workload::{Recorder, Workload, take};
use super::{checkers, histories, operators};
use crate::launch::{Cluster, Spec, get_json, spec_demo, wait_until_ready};

/// Delay after the load, for usage reports and outstanding outcomes.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Scenario.
    pub scenario: Scenario,
    /// Seed.
    pub seed: u64,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of complete, successful responses.
    pub answered: usize,
    /// Number of refusals by error code.
    pub refused: BTreeMap<String, usize>,
    /// Number of interrupted or unanswered requests, without those abandoned by the caller.
    pub interrupted: usize,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
    /// Measured durations.
    pub timings: Vec<Timing>,
    /// Requests and output tokens delivered, and those reported as usage.
    pub usage: ((u64, u64), (u64, u64)),
    /// Number of orders that took effect, at engines and at the platform.
    pub orders: usize,
    /// Folder with logs and histories; removed if there are no violations and no usage is missing.
    pub folder: String,
}

/// Runs a scenario with a seed.
pub fn run(scenario: Scenario, seed: u64) -> Result<Outcome, String> {
    let plan = scenario.plan(seed);
    let mut cluster = Cluster::start(spec(&plan))?;
    wait_until_ready(&cluster)?;
    cluster.start_spares(plan.spares)?;
    let history = record(&mut cluster, &plan, seed)?;
    let answered = history
        .exchanges
        .iter()
        .filter(|exchange| exchange.is_answered())
        .count();
    let mut refused = BTreeMap::new();
    for exchange in history
        .exchanges
        .iter()
        .filter(|exchange| exchange.status >= 400)
    {
        *refused.entry(exchange.code.clone()).or_default() += 1;
    }
    let abandoned = history
        .exchanges
        .iter()
        .filter(|exchange| exchange.abandoned)
        .count();
    let interrupted =
        history.exchanges.len() - answered - abandoned - refused.values().sum::<usize>();
    let outcome = Outcome {
        scenario,
        seed,
        requests: history.exchanges.len(),
        answered,
        refused,
        interrupted,
        violations: check_all(&history),
        timings: timings(&history),
        usage: checkers::usage::totals(&history),
        orders: checkers::orders::count(&history),
        folder: cluster.folder.display().to_string(),
    };
    drop(cluster);
    let ((delivered, _), (reported, _)) = outcome.usage;
    if outcome.violations.is_empty() && reported >= delivered {
        // Only the files of a failed run are needed later.
        let _ = std::fs::remove_dir_all(&outcome.folder);
    }
    Ok(outcome)
}

/// Returns a small deployment over three data centres, with short timeouts.
fn spec(plan: &Plan) -> Spec {
    let mut spec = spec_demo();
    spec.histories = true;
    spec.relayed = true;
    spec.relayed_servers = plan.relayed;
    for (index, centre) in spec.nodes.iter_mut().enumerate() {
        DATA_CENTRES[index % NODES].clone_into(centre);
    }
    for (index, engine) in spec.engines.iter_mut().enumerate() {
        DATA_CENTRES[index % ENGINES].clone_into(&mut engine.data_centre);
        engine
            .args
            .extend(["--stream-rate".to_owned(), "80".to_owned()]);
    }
    for service in &mut spec.services {
        service
            .args
            .extend(["--delay-ms".to_owned(), "30".to_owned()]);
    }
    if plan.few_slots {
        let limit = |args: &mut Vec<String>, slots: &str| {
            let more = ["--slots", slots, "--queue", "1"];
            args.extend(more.map(str::to_owned));
        };
        for engine in &mut spec.engines {
            limit(&mut engine.args, "2");
        }
        for service in &mut spec.services {
            limit(&mut service.args, "1");
        }
    }
    spec.accounts.push((UNCOUNTED_ACCOUNT.to_owned(), 1.0));
    for route in &mut spec.fleet.routes {
        route.deadline_ms = 8000;
        route.first_byte_ms = 1500;
        route.gap_ms = 1000;
    }
    spec.set("caller", "stop_delay_ms", "600")
        .set("usage", "window_ms", "1000")
        .set("lease", "term_ms", "1200")
        .set("lease", "margin_ms", "300")
        .set("platform", "timeout_ms", "500")
        .set("platform", "watch_ms", "2000")
        .set("platform", "poll_ms", "300")
        .set("backend", "load_ms", "100")
        .set("backend", "probe_ms", "300")
}

/// Runs a plan under load; returns the injected faults.
fn execute(
    cluster: &mut Cluster,
    workload: &Workload,
    plan: &Plan,
    recorder: &Recorder,
) -> Result<Vec<Event>, String> {
    std::thread::scope(|scope| {
        workload.start_probes(scope, recorder);
        let threads = workload.start_load(scope, recorder, plan.operators);
        let spawn = |action: Action| {
            scope.spawn(move || workload.run_background(&action, recorder));
        };
        let mut injector = Injector {
            cluster,
            balancer: Arc::clone(&workload.balancer),
            events: Vec::new(),
            stopping: Vec::new(),
            spawn: &spawn,
        };
        let result = injector.run(plan);
        workload.balancer.end_load();
        let panicked = threads.into_iter().any(|thread| thread.join().is_err());
        injector.wait_for_stops();
        std::thread::sleep(SETTLE_TIME);
        workload.balancer.end_run();
        result?;
        if panicked {
            return Err("a caller panicked".to_owned());
        }
        Ok(injector.events)
    })
}

/// Runs a plan and collects the history.
fn record(cluster: &mut Cluster, plan: &Plan, seed: u64) -> Result<History, String> {
    let fleet = get_json(cluster.platform(), "/objects/config/fleet")?;
    let workload = Workload::prepare(cluster, plan, seed)?;
    let recorder = Recorder::default();
    let mut events = execute(cluster, &workload, plan, &recorder)?;
    std::thread::sleep(SETTLE_TIME);
    let lines = histories::read_all(cluster)?;
    events.extend(take(&recorder.events));
    events.sort_by_key(|event| event.at);
    let mut exchanges = take(&recorder.exchanges);
    exchanges.sort_by_key(|exchange| exchange.sent_at);
    let mut key_probes = take(&recorder.key_probes);
    key_probes.sort_by_key(|probe| probe.sent_at);
    Ok(History {
        config_calls: histories::resolve_unknown(take(&recorder.config_calls), &lines),
        exchanges,
        lines,
        events,
        key_probes,
        config_probes: workload.balancer.take_config_probes(),
        initial: (
            fleet["version"].as_u64().unwrap_or_default(),
            operators::value_of(&fleet["value"]),
        ),
        expect: plan.expect,
    })
}
