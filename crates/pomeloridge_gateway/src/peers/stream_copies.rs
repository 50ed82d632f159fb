//! Copies of the versions of streams: sent to a few peers as a stream begins, and asked for by a
//! node that is to continue one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_base::meter::Counter;
use pomeloridge_policy::stream_versions::{ASKED, BegunStream, COPIES, StreamId, StreamVersion};
use prost::Message;

use super::wire::PeerMessage;
use super::{base_message, send_to};
use crate::state::State;
use crate::versions;

/// Maximum number of streams in a message; further ones are ignored.
const MAX_STREAMS: usize = 64;

/// The version of a stream that the sender knows.
#[derive(Clone, PartialEq, Message)]
pub(super) struct StreamCopyWire {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    version: String,
    /// Time for which the caller may still continue the stream, in milliseconds.
    #[prost(uint64, tag = "4")]
    left_ms: u64,
}

impl StreamCopyWire {
    fn new(id: StreamId, stream: &BegunStream, now: Instant) -> Self {
        Self {
            id: id.0,
            service: stream.version.service.to_string(),
            version: stream.version.version.to_string(),
            left_ms: stream.expires.saturating_duration_since(now).as_millis() as u64,
        }
    }

    /// Returns the stream; `None` if its caller does not continue it any more, or if the time left
    /// can't be represented.
    fn decode(self, now: Instant) -> Option<(StreamId, BegunStream)> {
        let left = Duration::from_millis(self.left_ms);
        let stream = BegunStream {
            version: StreamVersion {
                service: Name::from(self.service),
                version: Name::from(self.version),
            },
            expires: now.checked_add(left).filter(|_| !left.is_zero())?,
        };
        Some((StreamId(self.id), stream))
    }
}

/// Sends a copy of a stream's version to the peers that keep it.
pub(crate) fn send_copies(state: &Rc<State>, id: StreamId, stream: &BegunStream) {
    let addresses = copy_addresses(state, id, COPIES);
    state
        .meter
        .add(Counter::StreamCopies, addresses.len() as u64);
    send_copy(state, id, stream, addresses);
}

fn send_copy(state: &Rc<State>, id: StreamId, stream: &BegunStream, to: Vec<SocketAddr>) {
    if to.is_empty() {
        return;
    }
    let message = PeerMessage {
        stream_copies: vec![StreamCopyWire::new(id, stream, state.now())],
        ..base_message(state)
    };
    send_to(state, message, to);
}

/// Asks the peers that may keep a copy of a stream's version for it.
pub(crate) fn ask_for_copy(state: &Rc<State>, id: StreamId) {
    let addresses = copy_addresses(state, id, ASKED);
    state
        .meter
        .add(Counter::StreamCopyAsks, addresses.len() as u64);
    let message = PeerMessage {
        wanted_streams: vec![id.0],
        ..base_message(state)
    };
    send_to(state, message, addresses);
}

/// Returns the addresses of the peers that keep copies of a stream's version, in order.
fn copy_addresses(state: &State, id: StreamId, count: usize) -> Vec<SocketAddr> {
    state.peers.borrow().copy_addresses(id, count, state.now())
}

/// Records the copies of a message, and answers what it asks for.
pub(super) fn handle(state: &Rc<State>, message: &mut PeerMessage, address: SocketAddr) {
    let now = state.now();
    let copies = std::mem::take(&mut message.stream_copies).into_iter();
    let copies = copies.filter_map(|copy| copy.decode(now));
    for (id, stream) in copies.take(MAX_STREAMS) {
        versions::handle_copy(state, id, stream);
    }
    let wanted = std::mem::take(&mut message.wanted_streams).into_iter();
    for id in wanted.map(StreamId).take(MAX_STREAMS) {
        if let Some(stream) = versions::known_stream(state, id) {
            send_copy(state, id, &stream, vec![address]);
        }
    }
}
