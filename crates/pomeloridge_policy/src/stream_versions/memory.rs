//! The streams that a node has begun.

use std::collections::HashMap;
use std::time::Instant;

use pomeloridge_base::id::Name;

use super::{StreamId, StreamVersion, VersionTable};

/// Maximum number of streams; those closest to expiry are dropped first.
pub const MAX_STREAMS: usize = 16_384;

/// A stream that a node has begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BegunStream {
    /// Its service and version.
    pub version: StreamVersion,
    /// Until when its caller may continue it.
    pub expires: Instant,
}

#[derive(Clone, Debug)]
struct Entry {
    stream: BegunStream,
    /// Whether its first event has been forwarded.
    has_begun: bool,
}

/// The streams that this node has begun, is about to begin or has continued, as long as callers
/// may continue them.
#[derive(Debug, Default)]
pub struct StreamMemory {
    streams: HashMap<StreamId, Entry>,
}

impl StreamMemory {
    /// Remembers the version at which a stream is about to begin, unless one is known already.
    pub fn expect(&mut self, id: StreamId, stream: BegunStream, now: Instant) {
        if !self.streams.contains_key(&id) {
            self.insert(id, stream, false, now);
        }
    }

    /// Remembers the version of a stream whose first event is forwarded or that is continued. The
    /// version of one that had begun stays. Returns whether the known version has changed.
    pub fn record(&mut self, id: StreamId, stream: BegunStream, now: Instant) -> bool {
        match self.streams.get_mut(&id) {
            Some(known) if known.has_begun || known.stream.version == stream.version => {
                known.has_begun = true;
                known.stream.expires = known.stream.expires.max(stream.expires);
                false
            }
            _ => {
                self.insert(id, stream, true, now);
                true
            }
        }
    }

    fn insert(&mut self, id: StreamId, stream: BegunStream, has_begun: bool, now: Instant) {
        if self.streams.len() >= MAX_STREAMS && !self.streams.contains_key(&id) {
            self.evict(now);
        }
        self.streams.insert(id, Entry { stream, has_begun });
    }

    /// Returns a stream that its caller may still continue.
    pub fn get(&self, id: StreamId, now: Instant) -> Option<&BegunStream> {
        let stream = &self.streams.get(&id)?.stream;
        (now < stream.expires).then_some(stream)
    }

    /// Returns the version of a stream of a service.
    pub fn version(&self, service: &Name, id: StreamId, now: Instant) -> Option<&Name> {
        let stream = self.get(id, now)?;
        (stream.version.service == *service).then_some(&stream.version.version)
    }

    /// Returns whether a stream belongs to another service.
    pub fn is_elsewhere(&self, service: &Name, id: StreamId, now: Instant) -> bool {
        let stream = self.get(id, now);
        stream.is_some_and(|stream| stream.version.service != *service)
    }

    /// Returns the streams whose version a table does not give.
    pub fn unexplained(
        &self,
        table: &VersionTable,
        now: Instant,
    ) -> HashMap<StreamId, StreamVersion> {
        let streams = self.streams.iter().filter(|(id, entry)| {
            let StreamVersion { service, version } = &entry.stream.version;
            now < entry.stream.expires && table.version(service, **id) != Some(version)
        });
        let streams = streams.map(|(id, entry)| (*id, entry.stream.version.clone()));
        streams.collect()
    }

    /// Returns all streams that callers may still continue.
    pub fn all(&self, now: Instant) -> HashMap<StreamId, StreamVersion> {
        let streams = self.streams.iter();
        let streams = streams.filter(|(_, entry)| now < entry.stream.expires);
        let streams = streams.map(|(id, entry)| (*id, entry.stream.version.clone()));
        streams.collect()
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Drops the streams that can no longer be continued.
    pub fn sweep(&mut self, now: Instant) {
        self.streams.retain(|_, entry| now < entry.stream.expires);
    }

    /// Makes room for a stream.
    fn evict(&mut self, now: Instant) {
        self.sweep(now);
        if self.streams.len() < MAX_STREAMS {
            return;
        }
        let first = self
            .streams
            .iter()
            .min_by_key(|(_, entry)| entry.stream.expires);
        if let Some(id) = first.map(|(id, _)| *id) {
            self.streams.remove(&id);
        }
    }
}
