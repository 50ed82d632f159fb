//! Fake engine that carries out orders immediately and records them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use pomeloridge_base::http::{Limits, Request, Responder, Response, Server};
use serde_json::{Value, json};

/// HTTP server that implements an engine's load, state and order endpoints.
pub(crate) struct FakeEngine {
    pub(crate) address: SocketAddr,
    /// Orders in the sequence of their arrival, including repeats.
    pub(crate) orders: RefCell<Vec<Value>>,
    pub(crate) models: RefCell<Vec<String>>,
    /// Number of running requests.
    pub(crate) running: Cell<u32>,
    pub(crate) role: RefCell<String>,
    drained: Cell<bool>,
}

impl FakeEngine {
    pub(crate) fn start() -> Rc<Self> {
        let listener = pomeloridge_base::net::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let engine = Rc::new(Self {
            address: listener.local_addr().unwrap(),
            orders: RefCell::default(),
            models: RefCell::new(vec!["chat".to_owned()]),
            running: Cell::new(0),
            role: RefCell::new("mixed".to_owned()),
            drained: Cell::new(false),
        });
        let shared = Rc::clone(&engine);
        let server = Rc::new(Server {
            limits: Limits::default().into(),
            handler: async move |request, responder: &mut Responder| {
                let Ok(request) = request else { return };
                let _ = responder.send(shared.respond(&request)).await;
            },
            stopping: || false,
        });
        monoio::spawn(server.run(listener));
        engine
    }

    /// Returns the id, action and fencing token of each order, in sequence.
    pub(crate) fn history(&self) -> Vec<(String, String, u64)> {
        let orders = self.orders.borrow();
        let text = |order: &Value, field: &str| order[field].as_str().unwrap().to_owned();
        let entry = |order: &Value| {
            let fence = order["fence"].as_u64().unwrap();
            (text(order, "order_id"), text(order, "action"), fence)
        };
        orders.iter().map(entry).collect()
    }

    fn respond(&self, request: &Request) -> Response {
        match request.path() {
            "/load" => Response::json(
                200,
                &json!({
                    "at": 0, "role": *self.role.borrow(), "models": *self.models.borrow(),
                    "running": self.running.get(), "queued": 0, "slots": 8,
                    "leaving": self.drained.get(),
                }),
            ),
            "/state" => {
                let role = self.role.borrow();
                let models = self.models.borrow();
                Response::json(200, &json!({"role": *role, "models": *models}))
            }
            _ => self.accept_order(&serde_json::from_slice(&request.body).unwrap()),
        }
    }

    fn accept_order(&self, order: &Value) -> Response {
        let same = |other: &Value| other["order_id"] == order["order_id"];
        let repeated = self.orders.borrow().iter().any(same);
        self.orders.borrow_mut().push(order.clone());
        let text = |field: &str| order[field].as_str().unwrap_or_default().to_owned();
        match order["action"].as_str().unwrap() {
            _ if repeated => {}
            "drain" => self.drained.set(true),
            "role" => *self.role.borrow_mut() = text("role"),
            "load" => self.models.borrow_mut().push(text("model")),
            _ => self.drained.set(false),
        }
        let state = json!({"order_id": order["order_id"], "repeated": repeated, "state": "done"});
        Response::json(200, &state)
    }
}
