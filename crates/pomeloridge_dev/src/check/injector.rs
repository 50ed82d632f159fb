//! Does to a running deployment what a plan says, and notes when.

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

/// Time for a node to end after SIGTERM.
const STOP_TIME: Duration = Duration::from_secs(30);
/// Time from a reclaim to the end of the servers, as the platform has it.
const RECLAIM_TIME: Duration = Duration::from_secs(1);
/// Time that an operator's call may take.
const CALL_TIME: Duration = Duration::from_secs(10);

/// Does the actions of one plan.
pub struct Injector<'a> {
    /// Deployment.
    pub cluster: &'a mut Cluster,
    /// Nodes as callers see them.
    pub balancer: Arc<Balancer>,
    /// What was done.
    pub events: Vec<Event>,
    /// Nodes that are stopping.
    pub stopping: Vec<Node>,
    /// Starts what runs beside the injector: a withdrawal or a poisoning caller.
    pub spawn: &'a dyn Fn(Action),
}

impl Injector<'_> {
    /// Does every action at its time, and waits until the load is over.
    pub fn run(&mut self, plan: &Plan) -> Result<(), String> {
        let start = Instant::now();
        for step in &plan.steps {
            sleep_until(start + Duration::from_millis(step.after_ms));
            self.apply(&step.action)
                .map_err(|error| format!("{:?}: {error}", step.action))?;
            self.note(EventKind::Note(format!("{:?}", step.action)));
        }
        sleep_until(start + Duration::from_millis(plan.load_ms));
        Ok(())
    }

    fn note(&mut self, kind: EventKind) {
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
                self.note_leaving(*index);
            }
            Action::SayLeaving(index) => {
                control(&self.cluster.engines[*index], &json!({"leaving": true}))?;
                self.note_leaving(*index);
            }
            Action::Drain(index) => self.drain(*index),
            Action::Reclaim(centre) => self.reclaim(centre)?,
            Action::Except(id, kind, target, value) => {
                let body = json!({
                    "id": id, "kind": kind, "target": target, "value": value, "reason": "check",
                });
                self.except(&body);
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

    fn note_leaving(&mut self, index: usize) {
        let server = self.cluster.engines[index].id.clone();
        self.note(EventKind::Leaving { server });
    }

    /// Starts a node in a index; a node that was killed keeps its name.
    fn replace_node(&mut self, index: usize, again: bool) -> Result<(), String> {
        let mut name = self.cluster.nodes[index].name.clone();
        if !again {
            name.push('b');
        }
        let node = self.cluster.start_node(&name, index)?;
        let old = std::mem::replace(&mut self.cluster.nodes[index], node);
        if !again {
            self.stopping.push(old);
        }
        self.balancer.replace(index, &self.cluster.nodes[index]);
        // Until it says that it is ready, the balancer sends nobody there.
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
        self.except(&body);
        let kind = EventKind::Leaving { server };
        self.events.push(Event { at, kind });
    }

    /// Adds an exception, at any node; one that was confirmed by none is left.
    fn except(&mut self, body: &Value) {
        let mut seen = String::new();
        for endpoint in self.balancer.ready() {
            let request = OutgoingRequest::new(Method::POST, "/exceptions").json(body);
            let request = authorized(request, self.balancer.token());
            seen = match block_on(send(endpoint.operator, &request, CALL_TIME)) {
                Ok(answer) if answer.status.is_success() => return,
                Ok(answer) => String::from_utf8_lossy(&answer.body).into_owned(),
                Err(fault) => fault.to_string(),
            };
        }
        self.note(EventKind::Note(format!("{body} was not confirmed: {seen}")));
    }

    /// The index of the node that holds the lease for orders; the first if nobody does.
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

    /// Takes cheap servers away: they are listed as leaving, and end a little later.
    fn reclaim(&mut self, centre: &str) -> Result<(), String> {
        let answer = post_json(
            self.cluster.platform(),
            "/control",
            &json!({"reclaim": centre}),
        )?;
        let taken: Vec<String> = serde_json::from_value(answer["reclaimed"].clone())
            .map_err(|error| error.to_string())?;
        for server in &taken {
            self.note(EventKind::Leaving {
                server: server.clone(),
            });
        }
        std::thread::sleep(RECLAIM_TIME);
        let engines = self.cluster.engines.iter_mut();
        for server in engines.filter(|server| taken.contains(&server.id)) {
            server.process.kill();
        }
        Ok(())
    }

    /// Waits for the nodes that were asked to stop.
    pub fn wait_for_stops(&mut self) {
        for mut node in std::mem::take(&mut self.stopping) {
            let status = node.process.wait(STOP_TIME);
            let code = status.and_then(|status| status.code());
            self.note(EventKind::Stopped {
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
