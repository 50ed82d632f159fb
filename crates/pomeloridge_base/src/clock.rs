//! The clock interface. Decisions read time through it, so that tests can set it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// A source of time: monotonic, since the machine's start, and of the day.
pub trait Clock {
    /// Monotonic time; it stands still while a VM is suspended.
    fn now(&self) -> Instant;
    /// Wall-clock time; it may be set.
    fn wall(&self) -> SystemTime;
    /// Time since the machine's start, its suspensions among it; it can't be set.
    fn boot(&self) -> Duration;

    /// One reading of the clocks that can't be set.
    fn stamp(&self) -> Stamp {
        Stamp {
            monotonic: self.now(),
            boot: self.boot(),
        }
    }

    /// Time passed since `since`, suspensions of the VM among it.
    ///
    /// The wall clock takes no part: set back, it would hide a suspension, and set
    /// ahead, it would end authority for nothing.
    fn elapsed(&self, since: Stamp) -> Duration {
        let mono = self.now().saturating_duration_since(since.monotonic);
        let boot = self.boot().saturating_sub(since.boot);
        mono.max(boot)
    }

    /// Wall-clock time in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64 {
        let since = self.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        since.as_millis() as u64
    }
}

/// A reading of the clocks that can't be set, at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Stamp {
    /// Monotonic reading.
    pub monotonic: Instant,
    /// Reading of the time since the machine's start.
    pub boot: Duration,
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

    fn boot(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
    }
}

/// A clock that moves only when told to.
#[derive(Debug)]
pub struct ManualClock {
    mono: Cell<Instant>,
    wall: Cell<SystemTime>,
    boot: Cell<Duration>,
}

impl ManualClock {
    /// Starts at the current time of the machine.
    pub fn new() -> Self {
        Self {
            mono: Cell::new(Instant::now()),
            wall: Cell::new(SystemTime::now()),
            boot: Cell::default(),
        }
    }

    /// Moves all clocks forward.
    pub fn advance(&self, by: Duration) {
        self.mono.set(self.mono.get() + by);
        self.suspend(by);
    }

    /// Moves the clocks as a suspension of the VM does.
    pub fn suspend(&self, by: Duration) {
        self.wall.set(self.wall.get() + by);
        self.boot.set(self.boot.get() + by);
    }

    /// Sets the wall clock ahead.
    pub fn set_ahead(&self, by: Duration) {
        self.wall.set(self.wall.get() + by);
    }

    /// Sets the wall clock back.
    pub fn set_back(&self, by: Duration) {
        self.wall.set(self.wall.get() - by);
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

    fn boot(&self) -> Duration {
        self.boot.get()
    }
}
