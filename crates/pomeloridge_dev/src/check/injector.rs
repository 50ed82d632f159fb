//! Applies the actions of a plan to a running deployment and records them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::OutgoingRequest;
use serde_json::{Value, json};

use super::balancer::{Balancer, now_ms};
use super::record::{Event, EventKind};
use super::scenario::{Action, Plan};
use crate::caller::{authorized, send};
use crate::launch::{Cluster, Node, RelayMode, Server, block_on, get_json, post_json};

/// Timeout for a node to end after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Time from a reclaim to the end of the servers, as in the platform stand-in.
const RECLAIM_NOTICE: Duration = Duration::from_secs(1);
/// Timeout of an operator's call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Applies one plan to a deployment.
pub struct Injector<'a> {
    /// Deployment.
    pub cluster: &'a mut Cluster,
    /// Balancer in front of the nodes.
    pub balancer: Arc<Balancer>,
    /// Recorded events.
    pub events: Vec<Event>,
    /// Nodes that are stopping.
    pub stopping: Vec<Node>,
    /// Runs a withdrawal or a poison caller in the background.
    pub spawn: &'a dyn Fn(Action),
}

impl Injector<'_> {
    /// Applies every action at its time, then waits for the end of the load.
    pub fn run(&mut self, plan: &Plan) -> Result<(), String> {
        let start = Instant::now();
        for step in &plan.steps {
            sleep_until(start + Duration::from_millis(step.after_ms));
            self.apply(&step.action)
                .map_err(|error| format!("{:?}: {error}", step.action))?;
            self.record(EventKind::Note(format!("{:?}", step.action)));
        }
        sleep_until(start + Duration::from_millis(plan.load_ms));
        Ok(())
    }

    fn record(&mut self, kind: EventKind) {
        self.events.push(Event { at: now_ms(), kind });
    }

    fn apply(&mut self, action: &Action) -> Result<(), String> {
        match action {
            Action::KillNode(index) => {
                self.cluster.nodes[*index].process.kill();
                self.balancer.mark_down(*index);
            }
            Action::RestartNode(index) => self.replace_node(*index, true)?,
            Action::PauseNode(index) => self.cluster.nodes[*index].process.pause(),
            Action::ResumeNode(index) => self.cluster.nodes[*index].process.resume(),
            Action::StopNode(index) => {
                self.cluster.nodes[*index].process.stop();
                self.replace_node(*index, false)?;
            }
            Action::KillEngine(index) => self.cluster.engines[*index].process.kill(),
            Action::RestartEngine(index) => self.restart_engine(*index)?,
            Action::KillService(index) => self.cluster.services[*index].process.kill(),
            Action::RestartService(index) => self.restart_service(*index)?,
            Action::PauseEngine(index) => self.cluster.engines[*index].process.pause(),
            Action::ResumeEngine(index) => self.cluster.engines[*index].process.resume(),
            Action::PauseService(index) => self.cluster.services[*index].process.pause(),
            Action::ResumeService(index) => self.cluster.services[*index].process.resume(),
            Action::Engine(index, change) => control(&self.cluster.engines[*index], change)?,
            Action::Service(index, change) => control(&self.cluster.services[*index], change)?,
            Action::Platform(change) => self.cluster.control_platform(change)?,
            Action::Relay(index, mode) => self.cluster.relays[*index].set(*mode),
            Action::Freeze(index) => self.cluster.relays[*index].freeze(),
            Action::EngineLink(index, mode) => set_link(&self.cluster.engines[*index], *mode),
            Action::FreezeEngine(index) => freeze(&self.cluster.engines[*index]),
            Action::ServiceLink(index, mode) => set_link(&self.cluster.services[*index], *mode),
            Action::FreezeService(index) => freeze(&self.cluster.services[*index]),
            Action::ListLeaving(index) => {
                self.cluster.engines[*index].listing["state"] = json!("leaving");
                self.cluster.list_servers()?;
                self.record_leaving(*index);
            }
            Action::SayLeaving(index) => {
                control(&self.cluster.engines[*index], &json!({"leaving": true}))?;
                self.record_leaving(*index);
            }
            Action::Drain(index) => self.drain(*index),
            Action::Reclaim(centre) => self.reclaim(centre)?,
            Action::Except(id, kind, target, value) => {
                let body = json!({
                    "id": id, "kind": kind, "target": target, "value": value, "reason": "check",
                });
                self.add_exception(&body);
            }
            Action::PauseHolder => {
                let index = self.holder();
                self.cluster.nodes[index].process.pause();
            }
            Action::RelayHolder(mode) => self.cluster.relays[self.holder()].set(*mode),
            Action::KillHolder => {
                let index = self.holder();
                self.cluster.nodes[index].process.kill();
                self.replace_node(index, true)?;
            }
            Action::ResumeAll => {
                for (node, relay) in self.cluster.nodes.iter().zip(&self.cluster.relays) {
                    node.process.resume();
                    relay.set(RelayMode::Pass);
                }
            }
            Action::Withdraw | Action::Poison => (self.spawn)(action.clone()),
        }
        Ok(())
    }

    fn record_leaving(&mut self, index: usize) {
        let server = self.cluster.engines[index].id.clone();
        self.record(EventKind::Leaving { server });
    }

    /// Replaces a node; a restarted one keeps its name, one that is stopping gets a
    /// successor with another name.
    fn replace_node(&mut self, index: usize, restart: bool) -> Result<(), String> {
        let mut name = self.cluster.nodes[index].name.clone();
        if !restart {
            name.push('b');
        }
        let node = self.cluster.start_node(&name, index)?;
        let old = std::mem::replace(&mut self.cluster.nodes[index], node);
        if !restart {
            self.stopping.push(old);
        }
        self.balancer.replace(index, &self.cluster.nodes[index]);
        // The balancer sends it no requests until it reports readiness.
        self.balancer.mark_down(index);
        self.cluster.list_vms()
    }

    fn restart_engine(&mut self, index: usize) -> Result<(), String> {
        let spec = self.cluster.spec().engines[index].clone();
        self.cluster.engines[index].process.kill();
        self.cluster.engines[index] = self.cluster.start_engine(&spec)?;
        self.cluster.list_servers()
    }

    fn restart_service(&mut self, index: usize) -> Result<(), String> {
        let spec = self.cluster.spec().services[index].clone();
        self.cluster.services[index].process.kill();
        self.cluster.services[index] = self.cluster.start_service(&spec)?;
        self.cluster.list_servers()
    }

    fn drain(&mut self, index: usize) {
        let server = self.cluster.engines[index].id.clone();
        let at = now_ms();
        let body = json!({"id": "check", "kind": "drain", "target": server, "reason": "check"});
        self.add_exception(&body);
        let kind = EventKind::Leaving { server };
        self.events.push(Event { at, kind });
    }

    /// Adds an exception at the first node that confirms it; records a failure if none
    /// does.
    fn add_exception(&mut self, body: &Value) {
        let mut error = String::new();
        for endpoint in self.balancer.ready() {
            let request = OutgoingRequest::new(Method::POST, "/exceptions").json(body);
            let request = authorized(request, self.balancer.token());
            error = match block_on(send(endpoint.operator, &request, CALL_TIMEOUT)) {
                Ok(response) if response.status.is_success() => return,
                Ok(response) => String::from_utf8_lossy(&response.body).into_owned(),
                Err(fault) => fault.to_string(),
            };
        }
        self.record(EventKind::Note(format!(
            "{body} was not confirmed: {error}"
        )));
    }

    /// Returns the index of the holder of the placement lease, or 0 if there is none.
    fn holder(&self) -> usize {
        let lease = get_json(self.cluster.platform(), "/objects/lease/placement");
        let holder = lease.map(|lease| {
            lease["value"]["holder"]
                .as_str()
                .unwrap_or_default()
                .to_owned()
        });
        let holder = holder.unwrap_or_default();
        let index = self
            .cluster
            .nodes
            .iter()
            .position(|node| node.name == holder);
        index.unwrap_or_default()
    }

    /// Reclaims preemptible servers: the platform lists them as leaving and ends them
    /// after the notice.
    fn reclaim(&mut self, centre: &str) -> Result<(), String> {
        let response = post_json(
            self.cluster.platform(),
            "/control",
            &json!({"reclaim": centre}),
        )?;
        let reclaimed: Vec<String> = serde_json::from_value(response["reclaimed"].clone())
            .map_err(|error| error.to_string())?;
        for server in &reclaimed {
            self.record(EventKind::Leaving {
                server: server.clone(),
            });
        }
        std::thread::sleep(RECLAIM_NOTICE);
        let engines = self.cluster.engines.iter_mut();
        for server in engines.filter(|server| reclaimed.contains(&server.id)) {
            server.process.kill();
        }
        Ok(())
    }

    /// Waits for the stopping nodes and records their exit codes.
    pub fn wait_for_stops(&mut self) {
        for mut node in std::mem::take(&mut self.stopping) {
            let status = node.process.wait(STOP_TIMEOUT);
            let code = status.and_then(|status| status.code());
            self.record(EventKind::Stopped {
                node: node.name.clone(),
                code,
            });
        }
    }
}

fn set_link(server: &Server, mode: RelayMode) {
    if let Some(relay) = &server.relay {
        relay.set(mode);
    }
}

fn freeze(server: &Server) {
    if let Some(relay) = &server.relay {
        relay.freeze();
    }
}

fn control(server: &Server, change: &Value) -> Result<(), String> {
    post_json(server.address, "/control", change).map(|_| ())
}

fn sleep_until(end: Instant) {
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
}
