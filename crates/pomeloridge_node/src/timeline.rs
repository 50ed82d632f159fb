//! Monotonic time that includes the VM's suspensions.

use std::cell::Cell;
use std::time::{Duration, Instant};

use pomeloridge_base::clock::{SharedClock, Stamp};

/// Monotonic time derived from clocks that cannot be set. It includes suspensions,
/// so that silence during a suspension counts as silence.
pub(crate) struct Timeline {
    clock: SharedClock,
    last: Cell<Stamp>,
    now: Cell<Instant>,
    start: Instant,
}

impl Timeline {
    pub(crate) fn new(clock: SharedClock) -> Self {
        let stamp = clock.stamp();
        Self {
            clock,
            last: Cell::new(stamp),
            now: Cell::new(stamp.monotonic),
            start: stamp.monotonic,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        let step = self.clock.elapsed(self.last.get());
        self.last.set(self.clock.stamp());
        self.now.set(self.now.get() + step);
        self.now.get()
    }

    pub(crate) fn since_start(&self) -> Duration {
        self.now().duration_since(self.start)
    }
}
