//! The clock interface. Decisions read time through it, so that tests can set it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of monotonic and wall-clock time.
pub trait Clock {
    /// Monotonic time.
    fn now(&self) -> Instant;
    /// Wall-clock time.
    fn wall(&self) -> SystemTime;

    /// One reading of both clocks.
    fn stamp(&self) -> Stamp {
        Stamp {
            mono: self.now(),
            wall: self.wall(),
        }
    }

    /// Time passed since `since`: the greater of what the two clocks say.
    ///
    /// The monotonic clock stands still while a VM is suspended and the wall
    /// clock may be set back; authority must end by whichever says more.
    fn elapsed(&self, since: Stamp) -> Duration {
        let mono = self.now().saturating_duration_since(since.mono);
        let wall = self.wall().duration_since(since.wall).unwrap_or_default();
        mono.max(wall)
    }

    /// Wall-clock time in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64 {
        let since = self.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        since.as_millis() as u64
    }
}

/// A reading of the monotonic and the wall clock at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Stamp {
    /// Monotonic reading.
    pub mono: Instant,
    /// Wall-clock reading.
    pub wall: SystemTime,
}

/// The clock handed to every task.
pub type SharedClock = Rc<dyn Clock>;

/// The operating system's clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when told to.
#[derive(Debug)]
pub struct ManualClock {
    mono: Cell<Instant>,
    wall: Cell<SystemTime>,
}

impl ManualClock {
    /// Starts at the current time of the machine.
    pub fn new() -> Self {
        Self {
            mono: Cell::new(Instant::now()),
            wall: Cell::new(SystemTime::now()),
        }
    }

    /// Moves both clocks forward.
    pub fn advance(&self, by: Duration) {
        self.mono.set(self.mono.get() + by);
        self.wall.set(self.wall.get() + by);
    }

    /// Moves only the wall clock, as after the suspension of a VM.
    pub fn advance_wall(&self, by: Duration) {
        self.wall.set(self.wall.get() + by);
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.mono.get()
    }

    fn wall(&self) -> SystemTime {
        self.wall.get()
    }
}
