//! Distribution of the configuration from the object service to this node and its peers.
//!
//! The relays of a data centre watch the object service. Another node reads it only if it has
//! received nothing from a relay for some seconds.

use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::config::{CONFIG_PREFIX, ConfigObject};
use pomeloridge_base::id::Revision;
use pomeloridge_platform::{Object, PlatformError};

use super::state::{State, adopt};

/// Delay after a failed call and before a direct read.
const READ_DELAY: Duration = Duration::from_millis(250);
/// Interval between checks whether this node must read the object service.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps the configuration current, until the process ends.
pub(crate) async fn follow(state: Rc<State>) {
    let mut position = None;
    let mut is_listed = false;
    loop {
        let is_listing = position.is_none();
        let result = match position {
            None => read_all(&state).await,
            Some(after)
                if state
                    .mesh
                    .view(pomeloridge_node::membership::Membership::is_relay) =>
            {
                watch(&state, after).await
            }
            Some(after) => follow_peers(&state, after).await,
        };
        match result {
            Ok(next) => position = Some(next),
            Err(PlatformError::TooOld) => {
                position = None;
                if is_listed {
                    log::warn!("no changes of the configuration since its last listing are kept");
                    monoio::time::sleep(READ_DELAY).await;
                }
            }
            Err(error) => {
                log::warn!("the configuration could not be read: {error}");
                monoio::time::sleep(READ_DELAY).await;
            }
        }
        is_listed = is_listing;
    }
}

/// Reads all configuration objects and returns the revision of the listing.
pub(crate) async fn read_all(state: &State) -> Result<Revision, PlatformError> {
    let sent_at = state.clock.stamp();
    let (revision, objects) = state.platform.list(CONFIG_PREFIX).await?;
    state.freshness.record_answer(sent_at);
    adopt_all(state, objects);
    Ok(revision)
}

async fn watch(state: &State, after: Revision) -> Result<Revision, PlatformError> {
    let wait = state.settings.time("platform", "watch_ms");
    let watched = state.platform.watch(CONFIG_PREFIX, after, wait).await?;
    let objects = watched.events.into_iter().filter_map(|event| {
        Some(Object {
            key: event.key,
            version: event.version,
            value: event.value?,
        })
    });
    adopt_all(state, objects.collect());
    Ok(watched.revision)
}

/// Waits for objects from the relays, or reads the object service if the relays are silent.
async fn follow_peers(state: &State, after: Revision) -> Result<Revision, PlatformError> {
    let must_read = pomeloridge_node::membership::Membership::must_read_directly;
    if state.mesh.view(must_read) {
        monoio::time::sleep(READ_DELAY).await;
        return read_all(state).await;
    }
    monoio::time::sleep(POLL_INTERVAL).await;
    Ok(after)
}

/// Adopts objects and sends those that were newer to the peers.
pub(crate) fn adopt_all(state: &State, objects: Vec<Object>) {
    let mut adopted = Vec::new();
    for object in objects {
        let object = ConfigObject {
            key: object.key,
            revision: object.version,
            value: object.value,
        };
        if adopt(&state.config, &state.policy, object.clone()) {
            adopted.push(object);
        }
    }
    if !adopted.is_empty() {
        state.mesh.push_config(&adopted);
    }
}
