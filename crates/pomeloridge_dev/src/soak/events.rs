//! Times of a run: the clock of the fake platform's history, and what happened to the gateways.

use std::time::{Duration, Instant};

use derive_more::Display;
use serde_json::Value;

use super::callers::Route;
use crate::launch::{Fleet, get_json};

/// Time without trouble after which a gateway is in touch, according to the users' documentation.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Converts times of this process to times of the fake's history.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    /// Start of the fake.
    origin: Instant,
}

impl Clock {
    /// Reads the fake's clock.
    pub(super) fn read(fleet: &Fleet) -> Result<Self, String> {
        let before = Instant::now();
        let elapsed: Value = get_json(fleet.duties, "/-/clock")?;
        let elapsed = Duration::from_millis(elapsed.as_u64().unwrap_or_default());
        let middle = before + before.elapsed() / 2;
        let origin = middle.checked_sub(elapsed);
        let origin = origin.ok_or("the fake started before this machine")?;
        Ok(Self { origin })
    }

    /// Returns the time since the fake's start.
    pub(super) fn now(&self) -> Duration {
        self.origin.elapsed()
    }
}

/// What happened to a gateway.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EventKind {
    /// It was killed, and restarted at the end.
    Kill,
    /// It was paused.
    Pause,
    /// It was stopped by SIGTERM, and restarted at the end.
    Stop,
    /// It was told to reload its settings.
    Reload,
    /// A link to the platform was cut, silent or slow.
    Link,
    /// The configuration of all gateways changed.
    Config,
    /// The timeout of a route changed.
    #[display("Timeout")]
    Timeout(Route, Duration),
}

/// Something that happened to a gateway, from the fake's start.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Kind.
    pub kind: EventKind,
    /// Gateway; `None` for all of them.
    pub gateway: Option<usize>,
    /// Beginning.
    pub from: Duration,
    /// End.
    pub to: Duration,
}

impl Event {
    /// Returns whether it happened to a gateway at a time between `from` and `to`.
    pub(super) fn overlaps(&self, gateway: usize, from: Duration, to: Duration) -> bool {
        self.gateway.is_none_or(|own| own == gateway) && self.from <= to && self.to >= from
    }
}

/// Returns whether one of `kinds` happened to a gateway at a time between `from` and `to`.
pub(super) fn happened(
    events: &[Event],
    kinds: &[EventKind],
    gateway: usize,
    (from, to): (Duration, Duration),
) -> bool {
    let of_kind = events.iter().filter(|event| kinds.contains(&event.kind));
    let mut of_kind = of_kind.filter(|event| event.overlaps(gateway, from, to));
    of_kind.next().is_some()
}

/// Returns whether a gateway was in touch with the fleet at a time.
pub(super) fn is_in_touch(events: &[Event], gateway: usize, at: Duration) -> bool {
    let trouble = [
        EventKind::Kill,
        EventKind::Pause,
        EventKind::Stop,
        EventKind::Link,
    ];
    let from = at.saturating_sub(CONTACT_TIME);
    !happened(events, &trouble, gateway, (from, at))
}
