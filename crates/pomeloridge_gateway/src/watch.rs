//! Keeps the configuration and the list of servers current from the object service.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::id::{Name, Revision};
use pomeloridge_platform::{Event, Object, PlatformError};
use pomeloridge_policy::dispatch::TargetInfo;

use crate::active_config::AdoptOutcome;
use crate::peers;
use crate::server_list::{ApplyOutcome, ServerListDelta};
use crate::state::State;

/// Pause between two looks for lapsed servers.
const EXPIRE_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two looks whether to watch, while peers do.
const FOLLOW_PAUSE: Duration = Duration::from_millis(200);
/// Pause after changes of the servers: they come and go by the dozen, and each change would
/// be a call of its own.
const GATHER_PAUSE: Duration = Duration::from_millis(200);
/// Silence of the object service that counts as an outage in which entries lapse.
const OUTAGE: Duration = Duration::from_millis(1500);

/// Whether a dependency answers; logs each change once.
#[derive(Debug)]
struct Dependency {
    name: &'static str,
    /// When it stopped answering.
    lost: Cell<Option<Instant>>,
}

impl Dependency {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            lost: Cell::new(None),
        }
    }

    fn failed(&self, error: &PlatformError, now: Instant) {
        if self.lost.get().is_none() {
            self.lost.set(Some(now));
            log::warn!(
                "dependency name={} state=lost reason=\"{error}\"",
                self.name
            );
        }
    }

    /// Notes that the dependency is not asked for the time being.
    fn left(&self) {
        self.lost.set(None);
    }

    /// Notes an answer; gives the time for which there was none.
    fn answered(&self, now: Instant) -> Option<Duration> {
        let lost = self.lost.take()?;
        let silence = now.saturating_duration_since(lost);
        let silence_ms = silence.as_millis();
        log::info!(
            "dependency name={} state=regained silence_ms={silence_ms}",
            self.name
        );
        Some(silence)
    }
}

/// Reads the configuration and follows its changes for as long as the node lives.
pub(crate) async fn follow_config(state: Rc<State>) {
    let store = state.ports.store;
    let dependency = Dependency::new("store/config");
    let mut after = None;
    let mut was_read = false;
    loop {
        if after.is_some() && !state.watches() {
            // Peers tell of newer versions; what they missed is read on return.
            after = None;
            state.config_answered.set(None);
            dependency.left();
        }
        if after.is_none() && was_read && !state.watches() {
            monoio::time::sleep(FOLLOW_PAUSE).await;
            continue;
        }
        let result = match after {
            None => read_config(&state).await.map(Some),
            Some(revision) => match watch(&state, store.config_prefix, revision).await {
                Ok((revision, events)) => {
                    let changes = events.iter().filter(|event| event.key == store.config_key);
                    for object in changes.filter_map(Event::object) {
                        adopt_config(&state, &object);
                    }
                    if !events.is_empty() && state.config().is_some() {
                        peers::announce_config(&state);
                    }
                    Ok(Some(revision))
                }
                Err(PlatformError::TooOld) => Ok(None),
                Err(error) => Err(error),
            },
        };
        match result {
            Ok(revision) => {
                dependency.answered(state.now());
                state.store_heard.set(state.clock.stamp());
                state.config_answered.set(Some(state.now()));
                was_read = true;
                after = revision;
            }
            Err(error) => {
                state.config_answered.set(None);
                dependency.failed(&error, state.now());
                monoio::time::sleep(state.retry_pause()).await;
            }
        }
    }
}

async fn watch(
    state: &State,
    prefix: &str,
    after: Revision,
) -> Result<(Revision, Vec<Event>), PlatformError> {
    let wait = state.settings().time("platform", "watch_ms");
    let watched = state.store.watch(prefix, after, wait).await?;
    Ok((watched.revision, watched.events))
}

/// Reads the configuration; gives the revision to watch from.
async fn read_config(state: &State) -> Result<Revision, PlatformError> {
    let store = state.ports.store;
    let (revision, objects) = state.store.list(store.config_prefix).await?;
    for object in objects
        .iter()
        .filter(|object| object.key == store.config_key)
    {
        adopt_config(state, object);
    }
    Ok(revision)
}

/// Puts a configuration in force if it is newer than the one that is.
pub(crate) fn adopt_config(state: &State, object: &Object) {
    let config = match (state.ports.store.config)(object) {
        Ok(config) => config,
        Err(fault) => {
            log::error!(
                "config revision={} choice=keep_old reason=\"{fault}\"",
                object.version
            );
            return;
        }
    };
    let (version, routes) = (config.version, config.routes.len());
    let accounts = config.accounts.as_ref().map_or(0, HashMap::len);
    let adopted = state.config.borrow_mut().adopt(config, object.clone());
    let AdoptOutcome::Adopted(before) = adopted else {
        return;
    };
    log::info!(
        "config version={version} revision={} choice=adopt before={before:?} routes={routes} \
         accounts={accounts}",
        object.version
    );
    state.sync_servers();
}

/// Reads the list of servers and follows its changes for as long as the node lives.
pub(crate) async fn follow_server_list(state: Rc<State>) {
    let dependency = Dependency::new("store/servers");
    // Whether the history behind the known revision is gone.
    let mut lost = false;
    loop {
        let known = state.server_list.borrow().revision().filter(|_| !lost);
        if known.is_some() && !state.watches() {
            state.store_answered.set(None);
            dependency.left();
            monoio::time::sleep(FOLLOW_PAUSE).await;
            continue;
        }
        let result = match known {
            None => read_servers(&state, &dependency).await.map(Some),
            Some(revision) => watch_servers(&state, &dependency, revision).await,
        };
        match result {
            Ok(revision) => {
                lost = revision.is_none();
                let before = state.store_answered.replace(Some(state.now()));
                if before.is_none() && state.watches() {
                    peers::announce(&state);
                }
                state.store_heard.set(state.clock.stamp());
            }
            Err(error) => {
                // Others need not wait until the last answer is old.
                state.store_answered.set(None);
                dependency.failed(&error, state.now());
                monoio::time::sleep(state.retry_pause()).await;
            }
        }
    }
}

/// Drops lapsed servers as soon as their time has passed, however long a watch waits.
pub(crate) async fn expire_servers(state: Rc<State>) {
    loop {
        monoio::time::sleep(EXPIRE_PAUSE).await;
        expire(&state);
    }
}

async fn read_servers(state: &State, dependency: &Dependency) -> Result<Revision, PlatformError> {
    let (revision, objects) = state.store.list(state.ports.store.servers_prefix).await?;
    note_answer(state, dependency);
    replace_server_list(state, revision, &objects);
    Ok(revision)
}

/// Takes a whole list of servers, from the object service or a peer.
pub(crate) fn replace_server_list(state: &State, revision: Revision, objects: &[Object]) {
    if !state.server_list.borrow_mut().replace(revision, objects) {
        return;
    }
    if !state.listed.get() {
        // A node that starts can't tell whether entries have lapsed before.
        state.register.borrow_mut().store_recovered(state.now());
    }
    let list = objects
        .iter()
        .filter_map(|object| entry(state, object))
        .collect();
    let changed = state.register.borrow_mut().replace(list, state.now());
    state.listed.set(true);
    if changed {
        sync(state, revision);
    }
}

async fn watch_servers(
    state: &Rc<State>,
    dependency: &Dependency,
    after: Revision,
) -> Result<Option<Revision>, PlatformError> {
    let watched = watch(state, state.ports.store.servers_prefix, after).await;
    let (revision, events) = match watched {
        Err(PlatformError::TooOld) => {
            note_answer(state, dependency);
            return Ok(None);
        }
        other => other?,
    };
    note_answer(state, dependency);
    let change = ServerListDelta {
        from: after,
        to: revision,
        events,
    };
    let news = !change.events.is_empty();
    if news {
        peers::announce_server_changes(state, &change);
    }
    apply_server_delta(state, &change);
    if news {
        monoio::time::sleep(GATHER_PAUSE).await;
    }
    Ok(Some(revision))
}

/// Takes changes of the list of servers, from the object service or a peer.
pub(crate) fn apply_server_delta(state: &State, change: &ServerListDelta) -> ApplyOutcome {
    let (applied, new) = state.server_list.borrow_mut().apply(change);
    let mut changed = false;
    for event in &new {
        changed |= apply(state, event);
    }
    if changed {
        sync(state, change.to);
    }
    applied
}

fn note_answer(state: &State, dependency: &Dependency) {
    let now = state.now();
    if dependency
        .answered(now)
        .is_some_and(|silence| silence >= OUTAGE)
    {
        state.register.borrow_mut().store_recovered(now);
    }
}

fn entry(state: &State, object: &Object) -> Option<(Name, TargetInfo)> {
    match (state.ports.store.server)(object) {
        Ok(info) => Some((info.id.clone(), info)),
        Err(fault) => {
            log::debug!(
                "server entry={} choice=ignore reason=\"{fault}\"",
                object.key
            );
            None
        }
    }
}

fn apply(state: &State, event: &Event) -> bool {
    let name = (state.ports.store.server_name)(event);
    let listed = event.object().and_then(|object| entry(state, &object));
    let mut register = state.register.borrow_mut();
    let Some((name, info)) = listed else {
        let gone = register.remove(&name, state.now());
        if gone {
            log::info!("server id={name} choice=remove revision={}", event.version);
        }
        return gone;
    };
    let (leaving, role, born) = (info.leaving, info.stage, info.born);
    let changed = register.upsert(name.clone(), info);
    if changed {
        log::info!(
            "server id={name} choice=update born={born} leaving={leaving} stage={role} \
             revision={}",
            event.version
        );
    }
    changed
}

/// Drops what is missing if this node alone had lost the object service.
pub(crate) fn end_removal_grace(state: &State) {
    if state.register.borrow().in_grace() && state.server_list.borrow().revision().is_some() {
        state.register.borrow_mut().end_grace(state.now());
        expire(state);
    }
}

fn expire(state: &State) {
    let gone = state.register.borrow_mut().expire(state.now());
    if !gone.is_empty() {
        log::info!("servers choice=remove lapsed={gone:?}");
        state.sync_servers();
    }
}

fn sync(state: &State, revision: Revision) {
    state.sync_servers();
    let servers = state.register.borrow().servers().count();
    log::debug!("servers revision={revision} count={servers}");
}
