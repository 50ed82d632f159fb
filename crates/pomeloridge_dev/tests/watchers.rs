//! Loss of the gateways that watch the object service for the others: a change that is accepted
//! just after it is in force at the others in time.
//!
//! Gateways run as separate processes on a fake of the fleet's platform.

use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_dev::launch::{Fleet, RelayMode, block_on, get_json, post_json, put_json};
use pomeloridge_fleet_standin::caller::{is_ready, request, send_request};
use pomeloridge_fleet_standin::operator::set_route;
use serde_json::{Value, json};
use yare::parameterized;

const GATEWAYS: usize = 7;
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Bound on acting on a change of the configuration or of the servers.
const BOUND: Duration = Duration::from_secs(2);
/// Time for which requests are sent after the bound.
const SENDING_TIME: Duration = Duration::from_millis(800);
const SEND_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the start in which the watching gateways settle.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time in which all gateways hear of a change, while some watch.
const SPREAD_TIME: Duration = Duration::from_millis(300);
/// Time from a loss to the changes.
const CHANGE_DELAY: Duration = Duration::from_millis(100);
/// Time from the loss of the watching gateways to that of those which step in.
const SECOND_LOSS: Duration = Duration::from_millis(1250);
/// Gateways that a test leaves, at least.
const MIN_LEFT: usize = 2;

fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn start(name: &str) -> Fleet {
    let args = ["--archive", "2"];
    let fleet = Fleet::start_with(&format!("watchers-{name}"), GATEWAYS, &args).unwrap();
    for gateway in &fleet.gateways {
        wait_until(|| block_on(is_ready(gateway.ready)));
    }
    std::thread::sleep(SETTLE_TIME);
    fleet
}

/// Returns whether a gateway watches the object service, by its log.
fn is_watcher(fleet: &Fleet, gateway: usize) -> bool {
    let log = fleet.folder.join(format!("front-{gateway}.out"));
    let log = std::fs::read_to_string(log).unwrap();
    let mut lines = log.lines().rev();
    let last = lines.find(|line| {
        line.contains("store choice=watch") || line.contains("store choice=rely_on_peers")
    });
    last.is_some_and(|line| line.contains("choice=watch"))
}

fn watchers(fleet: &Fleet) -> Vec<usize> {
    let all = 0..fleet.gateways.len();
    all.filter(|gateway| is_watcher(fleet, *gateway)).collect()
}

/// Waits until some gateways watch, at most `most` of them; returns those.
fn settled_watchers(fleet: &Fleet, most: usize) -> Vec<usize> {
    let mut found = Vec::new();
    wait_until(|| {
        found = watchers(fleet);
        !found.is_empty() && found.len() <= most
    });
    found
}

/// How a gateway is lost for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// It is killed.
    Kill,
    /// It stands still.
    Pause,
    /// It does not reach the object service, which nothing tells it, but reaches its peers.
    SilentStore,
    /// The object service refuses its connections.
    ClosedStore,
    /// Its open connections to the object service are silent; new ones are not.
    HungWatches,
    /// It stops as planned.
    Stop,
}

impl Loss {
    fn apply(self, fleet: &mut Fleet, gateway: usize) {
        let gateway = &mut fleet.gateways[gateway];
        match self {
            Self::Kill => gateway.process.kill(),
            Self::Pause => {
                gateway.process.signal(libc::SIGSTOP);
            }
            Self::SilentStore => gateway.store.set(RelayMode::Silent),
            Self::ClosedStore => gateway.store.set(RelayMode::Cut),
            Self::HungWatches => gateway.store.freeze(),
            Self::Stop => gateway.process.stop(),
        }
    }
}

/// Changes a field of a server's entry.
fn change_entry(fleet: &Fleet, server: &str, field: &str, value: &Value) {
    let key = format!("/-/objects/servers/{server}");
    let mut entry = get_json(fleet.store, &key).unwrap()["spec"].clone();
    entry[field] = value.clone();
    let body = json!({ "metadata": { "name": server }, "spec": entry });
    put_json(fleet.store, &key, &body).unwrap();
}

/// Changes what does not matter here, so that all watches have been answered just before a loss.
fn change_slightly(fleet: &Fleet) {
    let config = get_json(fleet.store, "/-/objects/config/main").unwrap()["spec"].clone();
    let config = set_route(&config, "lodge", "priority", &json!(2));
    post_json(fleet.duties, "/-/config", &config).unwrap();
    change_entry(fleet, "filings-1", "slots", &json!(7));
    std::thread::sleep(SPREAD_TIME);
}

/// Moves a route to another service and makes a server leave; returns when this was accepted, and
/// the server.
fn change(fleet: &Fleet) -> (Instant, String) {
    let config = get_json(fleet.store, "/-/objects/config/main").unwrap()["spec"].clone();
    let config = set_route(&config, "read", "service", &json!("archive"));
    post_json(fleet.duties, "/-/config", &config).unwrap();
    // Its answers don't say that it leaves, so that gateways learn it from the list only.
    let leaving = "filings-0";
    change_entry(fleet, leaving, "state", &json!("draining"));
    (Instant::now(), leaving.to_owned())
}

/// Sends requests to gateways after the bound; returns those that were handled as before the
/// changes, with the time since these.
fn late_requests(
    fleet: &Fleet,
    gateways: &[usize],
    changed: Instant,
    leaving: &str,
) -> Vec<String> {
    std::thread::sleep((changed + BOUND).saturating_duration_since(Instant::now()));
    let mut attempts = Vec::new();
    while changed.elapsed() < BOUND + SENDING_TIME {
        for gateway in gateways {
            for route in ["read", "lodge"] {
                let attempt = format!("{route}-{gateway}-{}", attempts.len());
                let method = if route == "read" {
                    Method::GET
                } else {
                    Method::POST
                };
                let message = request(method, route, &attempt);
                let age = changed.elapsed();
                let caller = fleet.gateways[*gateway].caller;
                let answer = block_on(send_request(caller, None, &message));
                let status = answer.map(|(answer, _)| answer.status.as_u16());
                attempts.push((attempt, route, age, status));
            }
        }
        std::thread::sleep(SEND_INTERVAL);
    }
    let history = get_json(fleet.duties, "/-/history").unwrap();
    let runs = history.as_array().unwrap();
    let ran_by = |attempt: &str| {
        let mut runs = runs.iter().filter(|run| run["attempt"] == attempt);
        let run = runs.find_map(|run| run["server"].as_str());
        run.unwrap_or_default().to_owned()
    };
    let late = attempts.iter().filter_map(|(attempt, route, age, status)| {
        let server = ran_by(attempt);
        let is_old = *route == "read" && !server.starts_with("archive");
        (is_old || server == leaving)
            .then(|| format!("{attempt} after {age:?}: {status:?} by {server:?}"))
    });
    late.collect()
}

// Guards against a moved route and a leaving server that are heard of too late, since all gateways
// that watch the object service were lost at once.
#[parameterized(
    killed = { Loss::Kill },
    paused = { Loss::Pause },
    silent_store = { Loss::SilentStore },
    closed_store = { Loss::ClosedStore },
    hung_watches = { Loss::HungWatches },
    planned_stop = { Loss::Stop },
)]
fn changes_are_in_force_in_time_after_a_loss_of_all_watchers(loss: Loss) {
    let mut fleet = start(&format!("{loss:?}"));
    change_slightly(&fleet);
    let lost = settled_watchers(&fleet, GATEWAYS - MIN_LEFT);
    for gateway in &lost {
        loss.apply(&mut fleet, *gateway);
    }
    std::thread::sleep(CHANGE_DELAY);
    let (changed, leaving) = change(&fleet);
    let left: Vec<usize> = (0..GATEWAYS)
        .filter(|index| !lost.contains(index))
        .collect();
    let late = late_requests(&fleet, &left, changed, &leaving);
    assert!(
        late.is_empty(),
        "{} late, first {:?}; watched: {lost:?}",
        late.len(),
        late[0]
    );
}

// Guards against gateways that rely on those which stepped in and were lost in turn.
#[test]
fn changes_are_in_force_in_time_after_a_loss_of_those_that_step_in() {
    let mut fleet = start("again");
    change_slightly(&fleet);
    let lost = settled_watchers(&fleet, GATEWAYS - MIN_LEFT - 1);
    for gateway in &lost {
        Loss::Kill.apply(&mut fleet, *gateway);
    }
    std::thread::sleep(SECOND_LOSS);
    let mut next = watchers(&fleet);
    next.retain(|gateway| !lost.contains(gateway));
    next.truncate(GATEWAYS - MIN_LEFT - lost.len());
    assert!(!next.is_empty(), "no gateway has stepped in");
    for gateway in &next {
        Loss::Kill.apply(&mut fleet, *gateway);
    }
    let (changed, leaving) = change(&fleet);
    let gone = [lost, next].concat();
    let left: Vec<usize> = (0..GATEWAYS)
        .filter(|index| !gone.contains(index))
        .collect();
    let late = late_requests(&fleet, &left, changed, &leaving);
    assert!(
        late.is_empty(),
        "{} late, first {:?}; lost: {gone:?}",
        late.len(),
        late[0]
    );
}
