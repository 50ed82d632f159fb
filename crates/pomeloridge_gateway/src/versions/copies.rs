//! Versions of streams that other nodes have begun, of which they told this node or tell it when
//! asked.

use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::count_guard::CountGuard;
use pomeloridge_base::id::Name;
use pomeloridge_policy::stream_versions::{BegunStream, MAX_STREAM_AGE, StreamId};

use crate::peers;
use crate::state::State;

/// Time for which the answers of other nodes are waited for.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Interval at which the nodes are asked, as a datagram may be lost.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks whether an answer has come.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of streams that are asked for at a time.
const MAX_LOOKUPS: usize = 256;

/// Asks the nodes that may have been told of a stream for its version; `None` if none answers in
/// time.
pub(super) async fn ask(state: &Rc<State>, service: &Name, id: StreamId) -> Option<Name> {
    let Some(_guard) = CountGuard::try_new(&state.copy_lookups, MAX_LOOKUPS) else {
        log::warn!("versions stream={id} choice=not_ask reason=\"too many streams are asked for\"");
        return None;
    };
    let start = state.now();
    let mut next_ask = start;
    loop {
        let now = state.now();
        if let Some(version) = state.versions.borrow().copied(service, id, now) {
            return Some(version.clone());
        }
        if now >= start + ANSWER_TIME {
            return None;
        }
        if now >= next_ask {
            next_ask = now + ASK_INTERVAL;
            peers::ask_for_copy(state, id);
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns a stream of which another node asks, if this one knows it.
pub(crate) fn known_stream(state: &State, id: StreamId) -> Option<BegunStream> {
    let versions = state.versions.borrow();
    versions.known_stream(id, state.now()).cloned()
}

/// Records a stream of which another node has told.
pub(crate) fn handle_copy(state: &State, id: StreamId, mut stream: BegunStream) {
    let now = state.now();
    stream.expires = stream.expires.min(now + MAX_STREAM_AGE);
    state.versions.borrow_mut().record_copy(id, stream, now);
}
