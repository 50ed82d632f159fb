//! A node's own object in the object service: where peers reach it, and which requests
//! it has barred, so that a fleet that starts again as a whole still knows them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_platform::{Expect, Object, PlatformError, PutOutcome};
use pomeloridge_policy::crashes::{SharedCrashes, StartId};
use pomeloridge_policy::suspicion::Fingerprint;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::table::Listed;
use crate::state::State;

/// Prefix of the nodes' objects.
pub(super) const PREFIX: &str = "pomeloridge-nodes/";

/// A node's object.
#[derive(Deserialize, Serialize)]
struct NodeWire {
    address: SocketAddr,
    life: u64,
    /// Hash of the name of its data centre.
    #[serde(default)]
    centre: u32,
    #[serde(default)]
    barred: Vec<BarredWire>,
}

/// A request under which servers have ended.
#[derive(Deserialize, Serialize)]
struct BarredWire {
    /// Fingerprint in hexadecimal.
    print: String,
    ends: Vec<EndWire>,
}

#[derive(Deserialize, Serialize)]
struct EndWire {
    /// Start of the server in hexadecimal: not every JSON reader keeps whole numbers of
    /// 64 bits.
    start: String,
    /// Milliseconds since the Unix epoch.
    at: u64,
}

impl BarredWire {
    fn new(shared: &SharedCrashes, now_ms: u64) -> Self {
        let ends = shared.ends.iter().map(|(start, age)| EndWire {
            start: format!("{:x}", start.0),
            at: now_ms.saturating_sub(age.as_millis() as u64),
        });
        Self {
            print: hex::encode(shared.print.0),
            ends: ends.collect(),
        }
    }

    /// `None` if it cannot be read.
    fn shared(self, now_ms: u64) -> Option<SharedCrashes> {
        let mut print = Fingerprint([0; 32]);
        hex::decode_to_slice(self.print, &mut print.0).ok()?;
        let ends = self.ends.into_iter().map(|end| {
            let start = u64::from_str_radix(&end.start, 16).ok()?;
            let age = Duration::from_millis(now_ms.saturating_sub(end.at));
            Some((StartId(start), age))
        });
        Some(SharedCrashes {
            print,
            ends: ends.collect::<Option<_>>()?,
            cleared: None,
        })
    }
}

/// Writes this node's object, with what an earlier start of it had barred.
pub(super) async fn write(state: &State) -> Result<PutOutcome, PlatformError> {
    let key = format!("{PREFIX}{}", state.name);
    // Most starts are of a new node, which need not read before it writes.
    let created = state
        .store
        .put_confirmed(&key, value(state)?, Expect::Absent);
    match created.await? {
        PutOutcome::Conflict(Some(found)) => {
            read(state, &found);
            let expect = Expect::Version(found.version);
            state.store.put_confirmed(&key, value(state)?, expect).await
        }
        PutOutcome::Written(version) => {
            // No earlier start of this node can have spent any of the budget.
            state.fixed_from.set(state.now());
            Ok(PutOutcome::Written(version))
        }
        outcome => Ok(outcome),
    }
}

fn value(state: &State) -> Result<Value, PlatformError> {
    let now = state.now();
    let now_ms = state.time.borrow().unix_ms(now);
    let barred = state.crashes.borrow().all_barred(now);
    let wire = NodeWire {
        address: state.peer_address,
        life: state.life_id,
        centre: state.centre,
        barred: barred
            .iter()
            .map(|shared| BarredWire::new(shared, now_ms))
            .collect(),
    };
    let value = serde_json::to_value(wire);
    value.map_err(|error| PlatformError::Malformed(error.to_string()))
}

/// Takes in a node's object; gives what it says if it can be read.
pub(super) fn read(state: &State, object: &Object) -> Option<Listed> {
    let name = object.key.strip_prefix(PREFIX)?;
    let wire = match NodeWire::deserialize(&object.value) {
        Ok(wire) => wire,
        Err(error) => {
            log::warn!("node name={name} choice=ignore reason=\"{error}\"");
            return None;
        }
    };
    let now = state.now();
    let now_ms = state.time.borrow().unix_ms(now);
    let barred = wire.barred.into_iter();
    let barred: Vec<SharedCrashes> = barred.filter_map(|wire| wire.shared(now_ms)).collect();
    take_in_crashes(state, &barred, name, now);
    Some(Listed {
        name: Name::from(name),
        address: wire.address,
        centre: wire.centre,
    })
}

/// Takes in what another node knows of requests that ended servers.
pub(super) fn take_in_crashes(state: &State, told: &[SharedCrashes], by: &str, now: Instant) {
    for print in state.crashes.borrow_mut().merge(told, now) {
        log::info!("request print={print} choice=bar by={by}");
    }
}
