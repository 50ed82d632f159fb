//! The operators' port.

use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use pomeloridge_base::http::{Fault, Limits, Request, Responder, Server};
use pomeloridge_operator::OperatorState;

use super::life::Phase;
use super::state::State;
use super::{reports, store};

/// Time that the answer to a change waits for all nodes.
const FORCE_WAIT: Duration = Duration::from_secs(3);

/// Serves operators for as long as the node lives.
pub(crate) async fn serve(state: Rc<State>, listener: TcpListener) {
    let life = state.life.clone();
    let operator = operator_state(&state);
    let server = Server {
        limits: Limits::default().into(),
        handler: async move |request: Result<Request, Fault>, responder: &mut Responder| {
            pomeloridge_operator::handle(&operator, request, responder).await;
        },
        stopping: move || life.phase() == Phase::Closing,
    };
    Rc::new(server).run(listener).await;
}

fn operator_state(state: &Rc<State>) -> OperatorState {
    let [ready, metrics, status, explain] = std::array::from_fn(|_| Rc::clone(state));
    let force = Rc::clone(state);
    let platform = state.platform.clone();
    OperatorState {
        tokens: state.settings.tokens.clone(),
        ready: Box::new(move || reports::ready(&ready)),
        metrics: Box::new(move || metrics.metrics.page()),
        status: Box::new(move || reports::status(&status)),
        explain: Box::new(move |id| reports::explain(&explain, id)),
        usage: Box::new(move || {
            let client = platform.clone();
            Box::pin(async move { reports::usage(&client).await })
        }),
        in_force: Box::new(move |key, revision| reports::in_force(&force, key, revision)),
        force_wait: FORCE_WAIT,
        store: store::operator_store(state),
        clock: Rc::clone(&state.clock),
    }
}
