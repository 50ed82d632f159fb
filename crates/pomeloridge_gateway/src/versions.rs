//! Software versions of the streams that callers may continue.

use std::rc::Rc;
use std::time::Instant;

use pomeloridge_base::id::Name;
use pomeloridge_policy::stream_versions::{BegunStream, StreamId, UnknownVersion};

use crate::state::State;

/// Returns the version at which a new stream of a service must begin, if it is bound to one.
pub(crate) fn version_of_new(
    _state: &State,
    _service: &Name,
    _attempt: &[u8],
) -> Result<Option<Name>, UnknownVersion> {
    Ok(None)
}

/// Remembers the version of a stream.
pub(crate) fn record_begun(
    state: &State,
    service: &Name,
    attempt: &[u8],
    version: &Name,
    expires: Instant,
) {
    let stream = BegunStream {
        service: service.clone(),
        version: version.clone(),
        expires,
    };
    let mut streams = state.streams.borrow_mut();
    streams.record(StreamId::of(attempt), stream, state.now());
}

/// Returns the version of a stream that a caller continues.
pub(crate) async fn version_of_resumed(
    state: &Rc<State>,
    service: &Name,
    attempt: Option<&[u8]>,
) -> Result<Name, UnknownVersion> {
    let streams = state.streams.borrow();
    let known = attempt.and_then(|id| streams.version(service, StreamId::of(id), state.now()));
    if let Some(version) = known {
        return Ok(version.clone());
    }
    let dispatcher = state.dispatcher.borrow();
    let listed = dispatcher.targets().map(|(_, target)| &target.info);
    let mut versions = listed.filter(|info| info.service == *service);
    let first = versions.next().ok_or(UnknownVersion::NoTable)?;
    if versions.any(|info| info.version != first.version) {
        return Err(UnknownVersion::NoTable);
    }
    Ok(first.version.clone())
}
