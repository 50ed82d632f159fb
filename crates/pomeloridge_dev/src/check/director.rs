//! Does to a running deployment what a plan says, and notes when.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_base::http::OutgoingRequest;
use serde_json::{Value, json};

use super::doors::{Doors, now_ms};
use super::record::{Event, Happening};
use super::scenario::{Act, Plan};
use crate::caller::{authorized, send};
use crate::launch::{Cluster, Node, RelayMode, Server, block_on, get_json, post_json};

/// Time for a node to end after SIGTERM.
const STOP_TIME: Duration = Duration::from_secs(30);
/// Time from a reclaim to the end of the servers, as the platform has it.
const RECLAIM_TIME: Duration = Duration::from_secs(1);
/// Time that an operator's call may take.
const CALL_TIME: Duration = Duration::from_secs(10);

/// Does the acts of one plan.
pub struct Director<'a> {
    /// Deployment.
    pub cluster: &'a mut Cluster,
    /// Nodes as callers see them.
    pub doors: Arc<Doors>,
    /// What was done.
    pub events: Vec<Event>,
    /// Nodes that are stopping.
    pub stopping: Vec<Node>,
    /// Starts what runs beside the director: a withdrawal or a poisoning caller.
    pub spawn: &'a dyn Fn(Act),
}

impl Director<'_> {
    /// Does every act at its time, and waits until the load is over.
    pub fn run(&mut self, plan: &Plan) -> Result<(), String> {
        let start = Instant::now();
        for step in &plan.steps {
            sleep_until(start + Duration::from_millis(step.after));
            self.act(&step.act)
                .map_err(|error| format!("{:?}: {error}", step.act))?;
            self.note(Happening::Note(format!("{:?}", step.act)));
        }
        sleep_until(start + Duration::from_millis(plan.load));
        Ok(())
    }

    fn note(&mut self, what: Happening) {
        self.events.push(Event { at: now_ms(), what });
    }

    fn act(&mut self, act: &Act) -> Result<(), String> {
        match act {
            Act::KillNode(place) => {
                self.cluster.nodes[*place].process.kill();
                self.doors.close(*place);
            }
            Act::RestartNode(place) => self.replace_node(*place, true)?,
            Act::PauseNode(place) => self.cluster.nodes[*place].process.pause(),
            Act::ResumeNode(place) => self.cluster.nodes[*place].process.resume(),
            Act::StopNode(place) => {
                self.cluster.nodes[*place].process.stop();
                self.replace_node(*place, false)?;
            }
            Act::KillEngine(place) => self.cluster.engines[*place].process.kill(),
            Act::RestartEngine(place) => self.restart_engine(*place)?,
            Act::KillService(place) => self.cluster.services[*place].process.kill(),
            Act::RestartService(place) => self.restart_service(*place)?,
            Act::PauseEngine(place) => self.cluster.engines[*place].process.pause(),
            Act::ResumeEngine(place) => self.cluster.engines[*place].process.resume(),
            Act::PauseService(place) => self.cluster.services[*place].process.pause(),
            Act::ResumeService(place) => self.cluster.services[*place].process.resume(),
            Act::Engine(place, change) => control(&self.cluster.engines[*place], change)?,
            Act::Service(place, change) => control(&self.cluster.services[*place], change)?,
            Act::Platform(change) => self.cluster.control_platform(change)?,
            Act::Relay(place, mode) => self.cluster.relays[*place].set(*mode),
            Act::Freeze(place) => self.cluster.relays[*place].freeze(),
            Act::EngineLink(place, mode) => set_link(&self.cluster.engines[*place], *mode),
            Act::FreezeEngine(place) => freeze(&self.cluster.engines[*place]),
            Act::ServiceLink(place, mode) => set_link(&self.cluster.services[*place], *mode),
            Act::FreezeService(place) => freeze(&self.cluster.services[*place]),
            Act::ListLeaving(place) => {
                self.cluster.engines[*place].listed["state"] = json!("leaving");
                self.cluster.list_servers()?;
                self.note_leaving(*place);
            }
            Act::SayLeaving(place) => {
                control(&self.cluster.engines[*place], &json!({"leaving": true}))?;
                self.note_leaving(*place);
            }
            Act::Drain(place) => self.drain(*place),
            Act::Reclaim(centre) => self.reclaim(centre)?,
            Act::Except(id, kind, target, value) => {
                let body = json!({
                    "id": id, "kind": kind, "target": target, "value": value, "reason": "check",
                });
                self.except(&body);
            }
            Act::PauseHolder => {
                let place = self.holder();
                self.cluster.nodes[place].process.pause();
            }
            Act::RelayHolder(mode) => self.cluster.relays[self.holder()].set(*mode),
            Act::KillHolder => {
                let place = self.holder();
                self.cluster.nodes[place].process.kill();
                self.replace_node(place, true)?;
            }
            Act::ResumeAll => {
                for (node, relay) in self.cluster.nodes.iter().zip(&self.cluster.relays) {
                    node.process.resume();
                    relay.set(RelayMode::Pass);
                }
            }
            Act::Withdraw | Act::Poison => (self.spawn)(act.clone()),
        }
        Ok(())
    }

    fn note_leaving(&mut self, place: usize) {
        let server = self.cluster.engines[place].id.clone();
        self.note(Happening::Leaving { server });
    }

    /// Starts a node in a place; a node that was killed keeps its name.
    fn replace_node(&mut self, place: usize, again: bool) -> Result<(), String> {
        let mut name = self.cluster.nodes[place].name.clone();
        if !again {
            name.push('b');
        }
        let node = self.cluster.start_node(&name, place)?;
        let old = std::mem::replace(&mut self.cluster.nodes[place], node);
        if !again {
            self.stopping.push(old);
        }
        self.doors.replace(place, &self.cluster.nodes[place]);
        // Until it says that it is ready, the balancer sends nobody there.
        self.doors.close(place);
        self.cluster.list_vms()
    }

    fn restart_engine(&mut self, place: usize) -> Result<(), String> {
        let spec = self.cluster.spec().engines[place].clone();
        self.cluster.engines[place].process.kill();
        self.cluster.engines[place] = self.cluster.start_engine(&spec)?;
        self.cluster.list_servers()
    }

    fn restart_service(&mut self, place: usize) -> Result<(), String> {
        let spec = self.cluster.spec().services[place].clone();
        self.cluster.services[place].process.kill();
        self.cluster.services[place] = self.cluster.start_service(&spec)?;
        self.cluster.list_servers()
    }

    fn drain(&mut self, place: usize) {
        let server = self.cluster.engines[place].id.clone();
        let at = now_ms();
        let body = json!({"id": "check", "kind": "drain", "target": server, "reason": "check"});
        self.except(&body);
        let what = Happening::Leaving { server };
        self.events.push(Event { at, what });
    }

    /// Adds an exception, at any node; one that was confirmed by none is left.
    fn except(&mut self, body: &Value) {
        let mut seen = String::new();
        for door in self.doors.ready() {
            let request = OutgoingRequest::new(Method::POST, "/exceptions").json(body);
            let request = authorized(request, self.doors.token());
            seen = match block_on(send(door.operator, &request, CALL_TIME)) {
                Ok(answer) if answer.status.is_success() => return,
                Ok(answer) => String::from_utf8_lossy(&answer.body).into_owned(),
                Err(fault) => fault.to_string(),
            };
        }
        self.note(Happening::Note(format!("{body} was not confirmed: {seen}")));
    }

    /// The place of the node that holds the lease for orders; the first if nobody does.
    fn holder(&self) -> usize {
        let lease = get_json(self.cluster.platform(), "/objects/lease/placement");
        let holder = lease.map(|lease| {
            lease["value"]["holder"]
                .as_str()
                .unwrap_or_default()
                .to_owned()
        });
        let holder = holder.unwrap_or_default();
        let place = self
            .cluster
            .nodes
            .iter()
            .position(|node| node.name == holder);
        place.unwrap_or_default()
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
            self.note(Happening::Leaving {
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
            self.note(Happening::Stopped {
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
