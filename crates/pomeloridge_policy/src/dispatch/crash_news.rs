//! Ejection of servers that have crashed according to other nodes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Dispatcher, TargetKey};
use crate::crashes::ServerIncarnation;

/// Age from which the news of a crash ejects no server. Peers repeat the news of quarantines for
/// as long as these last.
const NEWS_TTL: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Ejects servers of which a peer says that they have crashed, with the time since each crash.
    /// Returns those that were not ejected before.
    ///
    /// Only the named incarnation is ejected, and none that this node has heard from since the
    /// crash. Like after an own failure, a probe ends the ejection of a server that still runs.
    pub fn eject_crashed(
        &mut self,
        crashes: impl IntoIterator<Item = (ServerIncarnation, Duration)>,
        now: Instant,
    ) -> Vec<TargetKey> {
        if !self.read_time_left(now).is_zero() {
            return Vec::new();
        }
        let mut fresh: HashMap<ServerIncarnation, Duration> = HashMap::new();
        for (server, age) in crashes.into_iter().filter(|(_, age)| *age < NEWS_TTL) {
            let oldest = fresh.entry(server).or_default();
            *oldest = age.max(*oldest);
        }
        if fresh.is_empty() {
            return Vec::new();
        }
        let named = self.targets.iter().filter_map(|(key, target)| {
            let crashed_at = now.checked_sub(*fresh.get(&target.incarnation)?)?;
            self.is_silent_since(key, crashed_at).then_some(key)
        });
        let mut ejected: Vec<TargetKey> = named.collect();
        ejected.retain(|key| self.eject(*key, now));
        ejected
    }
}
