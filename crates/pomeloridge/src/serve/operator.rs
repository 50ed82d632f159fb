//! Operators' port.

use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use pomeloridge_base::http::{Fault, Limits, Request, Responder, Server};
use pomeloridge_operator::OperatorState;

use super::lifecycle::Phase;
use super::state::State;
use super::{node_status, store};

/// Maximum time for which the response to a change waits until it is in force on all nodes.
const MAX_IN_FORCE_WAIT: Duration = Duration::from_secs(3);

/// Serves operators until the node is closing.
pub(crate) async fn serve(state: Rc<State>, listener: TcpListener) {
    let lifecycle = state.lifecycle.clone();
    let draining = state.lifecycle.clone();
    let operator = operator_state(&state);
    let server = Server {
        limits: Limits::default().into(),
        handler: async move |request: Result<Request, Fault>, responder: &mut Responder| {
            let lifecycle = draining.clone();
            responder.close_if(move || lifecycle.is_leaving());
            pomeloridge_operator::handle(&operator, request, responder).await;
        },
        stopping: move || lifecycle.phase() == Phase::Closing,
    };
    Rc::new(server).run(listener).await;
}

fn operator_state(state: &Rc<State>) -> OperatorState {
    let [ready, metrics, status, explain] = std::array::from_fn(|_| Rc::clone(state));
    let in_force = Rc::clone(state);
    let platform = state.platform.clone();
    OperatorState {
        tokens: state.settings.tokens.clone(),
        ready: Box::new(move || node_status::ready(&ready)),
        metrics: Box::new(move || metrics.metrics.render()),
        status: Box::new(move || node_status::status(&status)),
        explain: Box::new(move |id| node_status::explain(&explain, id)),
        usage: Box::new(move || {
            let client = platform.clone();
            Box::pin(async move { node_status::usage(&client).await })
        }),
        in_force: Box::new(move |key, revision| node_status::in_force(&in_force, key, revision)),
        in_force_wait: MAX_IN_FORCE_WAIT,
        store: store::operator_store(state),
        clock: Rc::clone(&state.clock),
    }
}
