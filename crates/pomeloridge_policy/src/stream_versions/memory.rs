//! The streams that a node has begun.

use std::collections::HashMap;
use std::time::Instant;

use pomeloridge_base::id::Name;

use super::{StreamId, VersionTable};

/// Maximum number of streams; those closest to expiry are dropped first.
const MAX_STREAMS: usize = 16_384;

/// A stream that a node has begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BegunStream {
    /// Service of its server.
    pub service: Name,
    /// Software version of its server.
    pub version: Name,
    /// Until when its caller may continue it.
    pub expires: Instant,
}

/// The streams that this node has begun or continued, as long as callers may continue them.
#[derive(Debug, Default)]
pub struct StreamMemory {
    streams: HashMap<StreamId, BegunStream>,
}

impl StreamMemory {
    /// Remembers the version of a stream, unless it is known already.
    pub fn record(&mut self, id: StreamId, stream: BegunStream, now: Instant) {
        if self.streams.len() >= MAX_STREAMS {
            self.evict(now);
        }
        self.streams.entry(id).or_insert(stream);
    }

    /// Returns the version of a stream of a service.
    pub fn version(&self, service: &Name, id: StreamId, now: Instant) -> Option<&Name> {
        let stream = self.streams.get(&id)?;
        (stream.service == *service && now < stream.expires).then_some(&stream.version)
    }

    /// Returns the streams whose version a table does not give.
    pub fn unexplained(&self, table: &VersionTable, now: Instant) -> Vec<(StreamId, BegunStream)> {
        let is_unexplained = |(id, stream): &(&StreamId, &BegunStream)| {
            now < stream.expires && table.version(&stream.service, **id) != Some(&stream.version)
        };
        let streams = self.streams.iter().filter(is_unexplained);
        let mut streams: Vec<_> = streams.map(|(id, stream)| (*id, stream.clone())).collect();
        streams.sort_unstable_by_key(|(id, _)| *id);
        streams
    }

    /// Drops the streams that can no longer be continued.
    pub fn sweep(&mut self, now: Instant) {
        self.streams.retain(|_, stream| now < stream.expires);
    }

    /// Makes room for a stream.
    fn evict(&mut self, now: Instant) {
        self.sweep(now);
        if self.streams.len() < MAX_STREAMS {
            return;
        }
        let first = self.streams.iter().min_by_key(|(_, stream)| stream.expires);
        if let Some(id) = first.map(|(id, _)| *id) {
            self.streams.remove(&id);
        }
    }
}
