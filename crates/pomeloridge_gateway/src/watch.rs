//! Follows the configuration and the server list in the object service, by watches.
//!
//! Only a few nodes watch at a time; the others receive changes from their peers.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::id::{Name, Revision};
use pomeloridge_platform::{Event, Object, PlatformError};
use pomeloridge_policy::dispatch::TargetInfo;

use crate::account_quota;
use crate::active_config::AdoptOutcome;
use crate::peers;
use crate::server_list::{ApplyOutcome, ServerListDelta};
use crate::state::{State, WatchKind};

/// Interval between checks for expired server entries.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between checks whether this node has to watch, while peers watch.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The same once nothing has been heard of a watching node for too long.
const DOUBT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Wait of the first watch of a node that steps in, which is to be answered at once.
const FIRST_WAIT: Duration = Duration::from_millis(1);
/// Delay before the next watch after server changes. Servers come and go by the dozen, and each
/// change would otherwise cost a call of its own.
const BATCH_DELAY: Duration = Duration::from_millis(200);
/// Minimum silence of the object service that counts as an outage, in which entries may
/// expire.
const MIN_OUTAGE: Duration = Duration::from_millis(1500);

/// Tracks whether a dependency answers, and logs each change once.
#[derive(Debug)]
struct DependencyLog {
    name: &'static str,
    /// When it stopped answering; `None` while it answers.
    lost_at: Cell<Option<Instant>>,
}

impl DependencyLog {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_at: Cell::new(None),
        }
    }

    /// Records a failed call.
    fn record_failure(&self, error: &PlatformError, now: Instant) {
        if self.lost_at.get().is_none() {
            self.lost_at.set(Some(now));
            log::warn!(
                "dependency name={} state=lost reason=\"{error}\"",
                self.name
            );
        }
    }

    /// Records that the dependency is no longer called, so that its state is unknown.
    fn reset(&self) {
        self.lost_at.set(None);
    }

    /// Records an answer. Returns for how long the dependency did not answer before, if it did
    /// not.
    fn record_answer(&self, now: Instant) -> Option<Duration> {
        let lost_at = self.lost_at.take()?;
        let silence = now.saturating_duration_since(lost_at);
        let silence_ms = silence.as_millis();
        log::info!(
            "dependency name={} state=regained silence_ms={silence_ms}",
            self.name
        );
        Some(silence)
    }
}

/// Notices that the object service has not even the changes since the last listing.
#[derive(Debug, Default)]
struct HistoryCheck {
    /// Whether the last answer was a listing.
    is_listed: bool,
}

impl HistoryCheck {
    /// Records an answer: to a listing without `after`, else to a watch, which returned no
    /// revision if the changes since then are gone. Pauses if they were listed just before.
    async fn pause_if_missing(
        &mut self,
        state: &State,
        after: Option<Revision>,
        answered: Option<Revision>,
    ) {
        let is_missing = answered.is_none() && self.is_listed;
        self.is_listed = after.is_none();
        if is_missing {
            let delay = state.retry_delay();
            log::warn!(
                "store choice=wait delay_ms={} reason=\"no changes since the last listing are \
                 kept\"",
                delay.as_millis()
            );
            monoio::time::sleep(delay).await;
        }
    }
}

/// Reads the configuration and follows its changes, until the process ends.
pub(crate) async fn follow_config(state: Rc<State>) {
    let store = state.ports.store;
    let dependency = DependencyLog::new("store/config");
    let mut after = None;
    let mut was_read = false;
    let mut history = HistoryCheck::default();
    loop {
        if after.is_some() && !state.should_watch_store() {
            // Peers announce newer versions. A full read when this node watches again finds any
            // that they missed.
            after = None;
            state.config_watch_answered.set(None);
            dependency.reset();
        }
        if after.is_none() && was_read && !state.should_watch_store() {
            wait_for_role_check(&state).await;
            continue;
        }
        let result = match after {
            None => read_config(&state).await.map(Some),
            Some(revision) => match watch(&state, WatchKind::Config, revision).await {
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
                dependency.record_answer(state.now());
                state.store_last_heard.set(state.clock.stamp());
                record_watch_answer(&state, &state.config_watch_answered);
                was_read = true;
                history.pause_if_missing(&state, after, revision).await;
                after = revision;
            }
            Err(error) => {
                state.config_watch_answered.set(None);
                dependency.record_failure(&error, state.now());
                monoio::time::sleep(state.retry_delay()).await;
            }
        }
    }
}

/// Records an answer to one of this node's watches, and tells the peers once both are answered.
fn record_watch_answer(state: &Rc<State>, answered: &Cell<Option<Instant>>) {
    let was_watching = state.is_watching();
    answered.set(Some(state.now()));
    if !state.is_watching() {
        return;
    }
    state.peers.borrow_mut().freshness.record(state.now());
    if !was_watching && state.should_watch_store() {
        peers::announce(state);
    }
}

/// Waits until this node is to check again whether it has to watch: at once after the other nodes
/// that watch have been silent for too long.
async fn wait_for_role_check(state: &State) {
    let due = state.now() + ROLE_CHECK_INTERVAL;
    while state.now() < due {
        monoio::time::sleep(DOUBT_CHECK_INTERVAL).await;
        if state.check_freshness() {
            return;
        }
    }
}

/// Waits for changes of the objects with a prefix. Returns them with their revision.
async fn watch(
    state: &State,
    kind: WatchKind,
    after: Revision,
) -> Result<(Revision, Vec<Event>), PlatformError> {
    let store = state.ports.store;
    let (prefix, answered) = match kind {
        WatchKind::Config => (store.config_prefix, &state.config_watch_answered),
        WatchKind::Servers => (store.servers_prefix, &state.servers_watch_answered),
    };
    let wait = match answered.get() {
        Some(_) => state.watch_wait(kind),
        None => FIRST_WAIT,
    };
    let watched = state.store.watch(prefix, after, wait).await?;
    Ok((watched.revision, watched.events))
}

/// Reads the configuration. Returns the revision to watch from.
async fn read_config(state: &Rc<State>) -> Result<Revision, PlatformError> {
    let store = state.ports.store;
    let (revision, objects) = state.store.list(store.config_prefix).await?;
    let before = state.config().map(|config| config.version);
    for object in objects
        .iter()
        .filter(|object| object.key == store.config_key)
    {
        adopt_config(state, object);
    }
    if before.is_some() && state.config().map(|config| config.version) != before {
        peers::announce_config(state);
    }
    Ok(revision)
}

/// Activates a configuration if it is newer than the active one.
pub(crate) fn adopt_config(state: &Rc<State>, object: &Object) {
    let config = match (state.ports.store.config)(object) {
        Ok(config) => config,
        Err(error) => {
            log::error!(
                "config revision={} choice=keep_old reason=\"{error}\"",
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
    forget_removed_routes(state);
    account_quota::sync_limits(state);
}

/// Forgets what was learnt of the answers of routes that are no longer configured.
fn forget_removed_routes(state: &State) {
    let Some(config) = state.config() else {
        return;
    };
    let names: HashSet<&Name> = config.routes.iter().map(|route| &route.name).collect();
    let mut dispatcher = state.dispatcher.borrow_mut();
    dispatcher.retain_routes(|name| names.contains(name));
}

/// Reads the server list and follows its changes, until the process ends. After a restart of the
/// task, the changes since the known revision may have been applied in part.
pub(crate) async fn follow_server_list(state: Rc<State>, is_restarted: bool) {
    let dependency = DependencyLog::new("store/servers");
    // The object service no longer has the changes since the known revision.
    let mut is_too_old = is_restarted;
    let mut history = HistoryCheck::default();
    loop {
        let known = state
            .server_list
            .borrow()
            .revision()
            .filter(|_| !is_too_old);
        if known.is_some() && !state.should_watch_store() {
            state.servers_watch_answered.set(None);
            dependency.reset();
            wait_for_role_check(&state).await;
            continue;
        }
        let result = match known {
            None => read_servers(&state, &dependency).await.map(Some),
            Some(revision) => watch_servers(&state, &dependency, revision).await,
        };
        match result {
            Ok(revision) => {
                is_too_old = revision.is_none();
                record_watch_answer(&state, &state.servers_watch_answered);
                state.store_last_heard.set(state.clock.stamp());
                history.pause_if_missing(&state, known, revision).await;
            }
            Err(error) => {
                // Lets other nodes take over before the last answer is out of date.
                state.servers_watch_answered.set(None);
                dependency.record_failure(&error, state.now());
                monoio::time::sleep(state.retry_delay()).await;
            }
        }
    }
}

/// Removes expired servers in time, independently of how long a watch waits.
pub(crate) async fn expire_servers(state: Rc<State>) {
    loop {
        monoio::time::sleep(EXPIRY_INTERVAL).await;
        remove_expired(&state);
    }
}

async fn read_servers(
    state: &Rc<State>,
    dependency: &DependencyLog,
) -> Result<Revision, PlatformError> {
    let (revision, objects) = state.store.list(state.ports.store.servers_prefix).await?;
    record_answer(state, dependency);
    replace_server_list(state, revision, &objects);
    Ok(revision)
}

/// Replaces the server list by one read from the object service or a peer.
pub(crate) fn replace_server_list(state: &Rc<State>, revision: Revision, objects: &[Object]) {
    let known = state.server_list.borrow().revision();
    if !state.server_list.borrow_mut().replace(revision, objects) {
        return;
    }
    // The list may come from a peer that has noticed the new era first.
    state.store.record_era(revision.era());
    if known.is_some_and(|known| known.era() < revision.era()) {
        log::warn!(
            "servers revision={revision} choice=keep_missing reason=\"the store is back from an \
             older copy\""
        );
        let mut registry = state.server_registry.borrow_mut();
        registry.store_restored(state.now());
    }
    if !state.server_list_loaded.get() {
        // A node that has just started cannot tell whether entries expired in an outage before.
        state
            .server_registry
            .borrow_mut()
            .store_recovered(state.now());
    }
    let list = objects
        .iter()
        .filter_map(|object| decode_entry(state, object))
        .collect();
    let changed = state
        .server_registry
        .borrow_mut()
        .replace(list, state.now());
    state.server_list_loaded.set(true);
    if state.first_list.get().is_none() {
        state.first_list.set(Some((revision.era(), state.now())));
        log::info!("servers revision={revision} choice=first_list");
    }
    if changed {
        sync_dispatcher(state, revision);
    }
}

/// Waits for changes of the server list, sends them to peers and applies them. Returns the new
/// revision, or `None` if the whole list has to be read again.
async fn watch_servers(
    state: &Rc<State>,
    dependency: &DependencyLog,
    after: Revision,
) -> Result<Option<Revision>, PlatformError> {
    let watched = watch(state, WatchKind::Servers, after).await;
    let (revision, events) = match watched {
        Err(PlatformError::TooOld) => {
            record_answer(state, dependency);
            return Ok(None);
        }
        other => other?,
    };
    record_answer(state, dependency);
    let change = ServerListDelta {
        from: after,
        to: revision,
        events,
    };
    let has_events = !change.events.is_empty();
    if has_events {
        peers::announce_server_changes(state, &change);
    }
    apply_server_delta(state, &change);
    if has_events {
        monoio::time::sleep(BATCH_DELAY).await;
    }
    Ok(Some(revision))
}

/// Applies changes of the server list that came from the object service or a peer.
pub(crate) fn apply_server_delta(state: &Rc<State>, change: &ServerListDelta) -> ApplyOutcome {
    let (applied, new) = state.server_list.borrow_mut().apply(change);
    let mut changed = false;
    for event in &new {
        changed |= apply_event(state, event);
    }
    if changed {
        sync_dispatcher(state, change.to);
    }
    applied
}

/// Records an answer of the object service. After an outage, starts the grace time for removed
/// entries.
fn record_answer(state: &State, dependency: &DependencyLog) {
    let now = state.now();
    if dependency
        .record_answer(now)
        .is_some_and(|silence| silence >= MIN_OUTAGE)
    {
        state.server_registry.borrow_mut().store_recovered(now);
    }
}

/// Decodes a server's entry. Returns `None` if it is malformed.
fn decode_entry(state: &State, object: &Object) -> Option<(Name, TargetInfo)> {
    match (state.ports.store.server)(object) {
        Ok(info) => Some((info.id.clone(), info)),
        Err(error) => {
            log::debug!(
                "server entry={} choice=ignore reason=\"{error}\"",
                object.key
            );
            None
        }
    }
}

/// Applies one change to the server registry. Returns whether the registry changed.
fn apply_event(state: &Rc<State>, event: &Event) -> bool {
    let name = (state.ports.store.server_name)(event);
    let listed = event
        .object()
        .and_then(|object| decode_entry(state, &object));
    let mut registry = state.server_registry.borrow_mut();
    let Some((name, info)) = listed else {
        let is_removed = registry.remove(&name, state.now());
        if is_removed {
            log::info!("server id={name} choice=remove revision={}", event.version);
        }
        return is_removed;
    };
    let (leaving, new_stage, born) = (info.leaving, info.stage, info.started_unix_ms);
    let version = info.version.clone();
    let changed = registry.upsert(name.clone(), info);
    if changed {
        log::info!(
            "server id={name} choice=update born={born} version={version} leaving={leaving} \
             stage={new_stage} revision={}",
            event.version
        );
    }
    changed
}

/// Ends the grace time for removed entries if only this node had lost the object service.
pub(crate) fn end_removal_grace(state: &Rc<State>) {
    if state.server_registry.borrow().in_grace() && state.server_list.borrow().revision().is_some()
    {
        state.server_registry.borrow_mut().end_grace(state.now());
        remove_expired(state);
    }
}

/// Removes servers whose entries are still missing after the grace time, and accepts those that
/// a restored service lists as they were.
fn remove_expired(state: &Rc<State>) {
    let mut registry = state.server_registry.borrow_mut();
    let accepted = registry.accept_withheld(state.now());
    let expired = registry.expire(state.now());
    drop(registry);
    if !accepted.is_empty() {
        log::info!("servers choice=update restored={accepted:?}");
    }
    if !expired.is_empty() {
        log::info!("servers choice=remove lapsed={expired:?}");
    }
    if !accepted.is_empty() || !expired.is_empty() {
        state.sync_servers();
    }
}

/// Passes the changed servers on to the dispatcher.
fn sync_dispatcher(state: &Rc<State>, revision: Revision) {
    state.sync_servers();
    let servers = state.server_registry.borrow().servers().count();
    log::debug!("servers revision={revision} count={servers}");
}
