//! What a node knows of the versions of streams.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::stream_versions::{
    BegunStream, MAX_STREAM_AGE, MAX_STREAMS, SETTLE_TIME, StreamId, StreamMemory, StreamRecord,
    StreamRecords, StreamVersion, VersionSlots, VersionTable,
};

/// Time for which a newer table that was heard of is waited for.
const NEWER_TABLE_TIME: Duration = Duration::from_secs(5);

/// Time for which callers may continue streams, unless one that may be continued for longer has
/// begun.
const MIN_LONGEST: Duration = Duration::from_secs(10);
/// Step in which the longest time is recorded, as each change of it is a write.
const LONGEST_STEP: Duration = Duration::from_secs(10);

/// The table of versions, the streams that this node remembers, and the state of its record.
#[derive(Debug)]
pub struct StreamVersions {
    started: Instant,
    table: VersionTable,
    /// When the table was adopted.
    adopted: Instant,
    /// Whether the table has been read, or is known not to exist.
    is_known: bool,
    /// Highest number that a peer has named, and when.
    heard: Option<(u64, Instant)>,
    /// When the slots of each service were seen to change, initially the start.
    changed: HashMap<Name, Vec<Instant>>,
    memory: StreamMemory,
    /// Streams that other nodes have begun or continued, as they told this node.
    copies: StreamMemory,
    /// Number of the table that the former process had acknowledged; none if there was no such
    /// process, or its streams can't be continued any more.
    inherited: Option<u64>,
    /// Until when its streams can be continued.
    inherited_until: Instant,
    /// Longest time for which callers may continue the streams that begin here.
    longest: Duration,
    /// Whether the former process's record has been taken over.
    has_inherited: bool,
    /// When the record must be written.
    record_due: Option<Instant>,
    /// Whether the node begins no more streams.
    has_ended: bool,
    /// The records of all nodes, if all cover the table with this number.
    records: Option<(u64, StreamRecords)>,
}

impl StreamVersions {
    /// Creates the state of a node that has just started.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            table: VersionTable::default(),
            adopted: now,
            is_known: false,
            heard: None,
            changed: HashMap::new(),
            memory: StreamMemory::default(),
            copies: StreamMemory::default(),
            inherited: None,
            inherited_until: now,
            longest: MIN_LONGEST,
            has_inherited: false,
            record_due: None,
            has_ended: false,
            records: None,
        }
    }

    /// Returns the table; its number is 0 if there is none.
    pub fn table(&self) -> &VersionTable {
        &self.table
    }

    /// Returns the number of the table, 0 if there is none; `None` until that is known.
    pub fn number(&self) -> Option<u64> {
        self.is_known.then_some(self.table.number)
    }

    /// Records that the table has been read, or is known not to exist.
    pub fn set_known(&mut self) {
        self.is_known = true;
    }

    /// Records a number that a peer has named. Returns whether that table is newer.
    pub fn hear(&mut self, number: u64, now: Instant) -> bool {
        let is_newer = number > self.table.number;
        if is_newer {
            let highest = self.heard.map_or(number, |(heard, _)| heard.max(number));
            let since = self.heard.filter(|(heard, _)| *heard == highest);
            self.heard = Some((highest, since.map_or(now, |(_, since)| since)));
        }
        is_newer
    }

    /// Returns the highest number of a newer table that a peer has named.
    pub fn newer(&self) -> Option<u64> {
        let heard = self.heard.map(|(number, _)| number);
        heard.filter(|number| *number > self.table.number)
    }

    /// Returns whether a newer table that a peer has named may still be read.
    pub fn awaits_newer(&self, now: Instant) -> bool {
        let since = self.heard.filter(|(number, _)| *number > self.table.number);
        since.is_some_and(|(_, at)| now.saturating_duration_since(at) < NEWER_TABLE_TIME)
    }

    /// Adopts a table if it is newer. Returns whether it was.
    pub fn adopt(&mut self, table: VersionTable, now: Instant) -> bool {
        self.is_known = true;
        if table.number <= self.table.number {
            return false;
        }
        for (service, slots) in &table.services {
            let before = self.table.services.get(service).map(VersionSlots::slots);
            let times = self.changed.entry(service.clone());
            let times = times.or_insert_with(|| vec![self.started; slots.slots().len()]);
            for (index, slot) in slots.slots().iter().enumerate() {
                let known = before.map_or(0, |before| before[index].changed);
                if slot.changed != known {
                    times[index] = now;
                }
            }
        }
        self.table = table;
        self.adopted = now;
        self.records = None;
        true
    }

    /// Returns the time since a slot changed, at least.
    pub fn slot_age(&self, service: &Name, slot: usize, now: Instant) -> Duration {
        let times = self.changed.get(service);
        let since = times.and_then(|times| times.get(slot));
        now.saturating_duration_since(*since.unwrap_or(&now))
    }

    /// Returns the time since the table was adopted.
    pub fn table_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.adopted)
    }

    /// Returns the next table if versions without slots may be dropped.
    pub fn settled(&self, now: Instant) -> Option<VersionTable> {
        (self.table_age(now) >= SETTLE_TIME)
            .then(|| self.table.settled())
            .flatten()
    }

    /// Returns the version of a stream that this node has begun or continued.
    pub fn remembered(&self, service: &Name, id: StreamId, now: Instant) -> Option<&Name> {
        self.memory.version(service, id, now)
    }

    /// Returns whether a stream was begun or continued at another service, by this node or by one
    /// that told it.
    pub fn is_elsewhere(&self, service: &Name, id: StreamId, now: Instant) -> bool {
        let known = [&self.memory, &self.copies];
        known
            .iter()
            .any(|memory| memory.is_elsewhere(service, id, now))
    }

    /// Returns whether other nodes must be told of the streams of a service that begin now: the
    /// table may not tell their version to a node that continues them.
    pub fn needs_copies(&self, service: &Name, now: Instant) -> bool {
        let slots = self.table.services.get(service);
        let changed = self.changed.get(service).into_iter().flatten();
        let last = changed.max();
        slots.is_some_and(|slots| slots.sole_version().is_none())
            && last.is_some_and(|at| now.saturating_duration_since(*at) < SETTLE_TIME)
    }

    /// Records the version of a stream that another node has begun or continued. The first one that
    /// was told stays.
    pub fn record_copy(&mut self, id: StreamId, stream: BegunStream, now: Instant) {
        self.copies.record(id, stream, now);
    }

    /// Returns the version of a stream of which another node has told this one.
    pub fn copied(&self, service: &Name, id: StreamId, now: Instant) -> Option<&Name> {
        self.copies.version(service, id, now)
    }

    /// Returns a stream that this node knows, from its own memory or from another node.
    pub fn known_stream(&self, id: StreamId, now: Instant) -> Option<&BegunStream> {
        let own = self.memory.get(id, now);
        own.or_else(|| self.copies.get(id, now))
    }

    /// Remembers the version at which a stream is about to begin. A table that is adopted before
    /// its first event does not change it.
    pub fn expect(&mut self, id: StreamId, version: StreamVersion, now: Instant) {
        let expires = now + MAX_STREAM_AGE;
        self.memory
            .expect(id, BegunStream { version, expires }, now);
    }

    /// Remembers the version of a stream that has begun or is continued here.
    pub fn record(&mut self, id: StreamId, version: StreamVersion, expires: Instant, now: Instant) {
        let is_explained = self.table.version(&version.service, id) == Some(&version.version);
        let is_new = self
            .memory
            .record(id, BegunStream { version, expires }, now);
        if is_new && !is_explained {
            self.set_record_due(now);
        }
    }

    /// Records for how long a caller may continue a stream that begins now.
    pub fn extend_longest(&mut self, time: Duration, now: Instant) {
        if time > self.longest {
            let steps = time.as_nanos().div_ceil(LONGEST_STEP.as_nanos());
            self.longest = LONGEST_STEP * u32::try_from(steps).unwrap_or(u32::MAX);
            self.set_record_due(now);
        }
    }

    /// Requires this node's record to be written at a time, or earlier if it is due before.
    pub fn set_record_due(&mut self, at: Instant) {
        self.record_due = Some(self.record_due.map_or(at, |due| due.min(at)));
    }

    /// Returns whether this node's record must be written now, and expects that to be done.
    pub fn take_due_record(&mut self, now: Instant) -> bool {
        self.record_due.take_if(|due| *due <= now).is_some()
    }

    /// Takes over the record of the former process, which has acknowledged `acknowledged`.
    pub fn inherit(&mut self, former: Option<&StreamRecord>, acknowledged: u64, now: Instant) {
        if self.has_inherited {
            return;
        }
        self.has_inherited = true;
        // A final record leaves nothing open.
        self.inherited =
            Some(acknowledged).filter(|_| !former.is_some_and(|former| former.is_final));
        // The former process has ended before this one started.
        let longest = former.map_or(MAX_STREAM_AGE, |former| former.longest.max(MIN_LONGEST));
        self.inherited_until = self.started + longest;
        for (id, version) in former.iter().flat_map(|former| &former.streams) {
            let version = version.clone();
            let expires = now + MAX_STREAM_AGE;
            self.memory
                .record(*id, BegunStream { version, expires }, now);
        }
    }

    /// Records that the node has no former process.
    pub fn set_first(&mut self) {
        self.has_inherited = true;
    }

    /// Returns whether the record of the former process, if any, has been taken over.
    pub fn has_inherited(&self) -> bool {
        self.has_inherited
    }

    /// Records that the node begins no more streams, so that its last record holds all that it
    /// began.
    pub fn set_ended(&mut self, now: Instant) {
        self.has_ended = true;
        self.set_record_due(now);
    }

    /// Returns whether the node begins no more streams.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Returns this node's record; `None` until it knows the table.
    pub fn own_record(&self, now: Instant) -> Option<StreamRecord> {
        self.is_known.then(|| StreamRecord {
            acknowledged: self.table.number,
            inherited: self.inherited.filter(|_| now < self.inherited_until),
            longest: self.longest,
            streams: if self.has_ended {
                self.memory.all(now)
            } else {
                self.memory.unexplained(&self.table, now)
            },
            // The memory may have dropped streams once it is full.
            is_final: self.has_ended && self.memory.len() < MAX_STREAMS,
        })
    }

    /// Returns the records of all nodes if all cover the table.
    pub fn covering_records(&self) -> Option<&StreamRecords> {
        let (number, records) = self.records.as_ref()?;
        (*number == self.table.number).then_some(records)
    }

    /// Keeps the records of all nodes if all cover the table.
    pub fn keep_records(&mut self, records: &StreamRecords) {
        let number = self.table.number;
        let covers = |record: &Option<StreamRecord>| {
            record.as_ref().is_some_and(|record| {
                record.acknowledged == number
                    && record.inherited.is_none_or(|inherited| inherited >= number)
            })
        };
        if records.values().all(covers) {
            self.records = Some((number, records.clone()));
        }
    }

    /// Drops streams that can't be continued any more.
    pub fn sweep(&mut self, now: Instant) {
        self.memory.sweep(now);
        self.copies.sweep(now);
        if now >= self.inherited_until
            && let Some(inherited) = self.inherited.take()
            && inherited < self.table.number
        {
            self.set_record_due(now);
        }
    }
}
