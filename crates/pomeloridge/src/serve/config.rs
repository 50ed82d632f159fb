//! Brings the configuration from the object service to this node and its peers.
//!
//! The relays of a data centre hold watches; another node reads the service
//! itself only when nothing has come to it for some seconds.

use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::config::{CONFIG_PREFIX, ConfigObject};
use pomeloridge_base::id::Revision;
use pomeloridge_platform::{Object, PlatformError};

use super::state::{State, adopt};

/// Pause after a failed call.
const FAILED_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two looks at whether this node is to read the service.
const TURN_PAUSE: Duration = Duration::from_millis(100);

/// Follows the configuration for as long as the node lives.
pub(crate) async fn run(state: Rc<State>) {
    let mut position = None;
    loop {
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
            Err(PlatformError::TooOld) => position = None,
            Err(error) => {
                log::warn!("the configuration could not be read: {error}");
                monoio::time::sleep(FAILED_PAUSE).await;
            }
        }
    }
}

/// Reads every object of the configuration.
pub(crate) async fn read_all(state: &State) -> Result<Revision, PlatformError> {
    let sent = state.clock.stamp();
    let (revision, objects) = state.platform.list(CONFIG_PREFIX).await?;
    state.fresh.note_answer(sent);
    take(state, objects);
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
    take(state, objects.collect());
    Ok(watched.revision)
}

/// Waits a moment for what relays send, or reads the service if they are silent.
async fn follow_peers(state: &State, after: Revision) -> Result<Revision, PlatformError> {
    let silent = pomeloridge_node::membership::Membership::must_read_directly;
    if state.mesh.view(silent) {
        monoio::time::sleep(FAILED_PAUSE).await;
        return read_all(state).await;
    }
    monoio::time::sleep(TURN_PAUSE).await;
    Ok(after)
}

/// Adopts objects and sends those that were new to the peers.
pub(crate) fn take(state: &State, objects: Vec<Object>) {
    let mut fresh = Vec::new();
    for object in objects {
        let object = ConfigObject {
            key: object.key,
            revision: object.version,
            value: object.value,
        };
        if adopt(&state.config, &state.policy, object.clone()) {
            fresh.push(object);
        }
    }
    if !fresh.is_empty() {
        state.mesh.push_config(&fresh);
    }
}
