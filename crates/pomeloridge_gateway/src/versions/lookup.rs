//! The version of a stream that this node did not begin.

use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::id::Name;
use pomeloridge_platform::PlatformError;
use pomeloridge_policy::stream_versions::{
    MAX_STREAM_AGE, StreamId, StreamRecords, StreamVersion, UnknownVersion, version_by_records,
    version_by_table,
};

use super::{copies, read_table, table};
use crate::peers;
use crate::state::State;

/// Minimum interval between reads of the table for lookups.
pub(crate) const TABLE_READ_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a read of the table while a caller or a newer table waits for it.
pub(crate) const TABLE_READ_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum interval between reads of the nodes' records.
pub(crate) const RECORDS_READ_INTERVAL: Duration = Duration::from_millis(100);

/// What told the version of a stream.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
enum Source {
    /// This node began the stream or has continued it.
    #[display("memory")]
    Memory,
    /// No table exists, and all listed servers have the same version.
    #[display("sole")]
    Sole,
    /// The table of versions.
    #[display("table")]
    Table,
    /// The records of the nodes.
    #[display("records")]
    Records,
    /// A copy that the node that began the stream or has continued it sent to others.
    #[display("copy")]
    Copy,
}

/// Returns the version of the stream that `attempt` began and a caller continues.
pub(crate) async fn version_of_resumed(
    state: &Rc<State>,
    service: &Name,
    attempt: Option<&[u8]>,
) -> Result<Name, UnknownVersion> {
    let stream = attempt.map(StreamId::of);
    let found = resolve(state, service, stream).await;
    let stream_text = stream.map(|stream| stream.to_string()).unwrap_or_default();
    let table = state.versions.borrow().table().number;
    let (version, source) = found.inspect_err(|error| {
        log::warn!(
            "versions stream={stream_text} service={service} table={table} choice=refuse \
             reason=\"{error}\""
        );
    })?;
    log::info!(
        "versions stream={stream_text} service={service} table={table} known_by={source} \
         version={version}"
    );
    if let Some(stream) = stream {
        let known = StreamVersion {
            service: service.clone(),
            version: version.clone(),
        };
        let now = state.now();
        let mut versions = state.versions.borrow_mut();
        versions.record(stream, known, now + MAX_STREAM_AGE, now);
    }
    Ok(version)
}

async fn resolve(
    state: &Rc<State>,
    service: &Name,
    stream: Option<StreamId>,
) -> Result<(Name, Source), UnknownVersion> {
    if let Some(stream) = stream {
        let (versions, now) = (state.versions.borrow(), state.now());
        if let Some(version) = versions.remembered(service, stream, now) {
            return Ok((version.clone(), Source::Memory));
        }
        if let Some(version) = versions.copied(service, stream, now) {
            return Ok((version.clone(), Source::Copy));
        }
        if versions.is_elsewhere(service, stream, now) {
            return Err(UnknownVersion::OtherService);
        }
    }
    let found = resolve_shared(state, service, stream).await;
    let (Err(reason), Some(stream)) = (&found, stream) else {
        return found;
    };
    if !reason.is_lack_of_proof() {
        return found;
    }
    // What a node tells of the stream itself holds whatever this one lacks.
    match copies::ask(state, service, stream).await {
        Some(version) => Ok((version, Source::Copy)),
        None => found,
    }
}

/// Returns the version of a stream that this node does not know, by what all nodes share.
async fn resolve_shared(
    state: &Rc<State>,
    service: &Name,
    stream: Option<StreamId>,
) -> Result<(Name, Source), UnknownVersion> {
    // Without the object service, the own copy counts only if most nodes would have told a newer
    // number by now: in an outage of the service the table can't change.
    if !refresh_table(state).await && !state.hears_majority() {
        return Err(UnknownVersion::CutOff);
    }
    if let Some(found) = by_table(state, service, stream)? {
        return Ok(found);
    }
    let stream = stream.ok_or(UnknownVersion::NoAttempt)?;
    let records = match covering_records(state) {
        Some(records) => records,
        None => read_records(state).await?,
    };
    let versions = state.versions.borrow();
    if versions.newer().is_some() {
        return Err(UnknownVersion::Outdated);
    }
    let version = version_by_records(versions.table(), service, stream, &records)?;
    Ok((version, Source::Records))
}

/// Reads the table, so that none that was written before the lookup is missed. Returns whether it
/// was read.
async fn refresh_table(state: &Rc<State>) -> bool {
    let shared = Rc::clone(&state.table_reads);
    let read = || {
        let state = Rc::clone(state);
        async move {
            read_table(&state, TABLE_READ_TIMEOUT)
                .await
                .map_err(|error| error.to_string())
        }
    };
    match shared.get(&state.meter, read).await {
        Ok(()) => true,
        Err(error) => {
            log::debug!("versions choice=use_own_copy reason=\"{error}\"");
            false
        }
    }
}

/// Returns the version by the table alone; `None` if the records are needed.
fn by_table(
    state: &State,
    service: &Name,
    stream: Option<StreamId>,
) -> Result<Option<(Name, Source)>, UnknownVersion> {
    let versions = state.versions.borrow();
    if versions.newer().is_some() {
        return Err(UnknownVersion::Outdated);
    }
    if versions.number() == Some(0) {
        let sole = table::sole_listed_version(state, service)?;
        let sole = sole.ok_or(UnknownVersion::NoTable)?;
        return Ok(Some((sole, Source::Sole)));
    }
    let now = state.now();
    let slot_age = |slot| versions.slot_age(service, slot, now);
    let version = version_by_table(versions.table(), service, stream, slot_age)?;
    Ok(version.map(|version| (version, Source::Table)))
}

fn covering_records(state: &State) -> Option<StreamRecords> {
    let versions = state.versions.borrow();
    versions.covering_records().cloned()
}

/// Reads the records of all nodes that may have begun streams that can still be continued.
async fn read_records(state: &Rc<State>) -> Result<StreamRecords, UnknownVersion> {
    let shared = Rc::clone(&state.record_reads);
    let read = || {
        let state = Rc::clone(state);
        async move {
            let listed = peers::read_records(&state).await;
            listed.map(Rc::new).map_err(|error: PlatformError| {
                log::debug!("versions records not read: {error}");
                UnknownVersion::NoRecords
            })
        }
    };
    let listed = shared.get(&state.meter, read).await?;
    let records = peers::relevant_records(state, &listed);
    state.versions.borrow_mut().keep_records(&records);
    Ok(records)
}
