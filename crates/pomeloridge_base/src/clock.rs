//! Clock interface. Decisions read the time through it, so that tests can set it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Source of monotonic time, time since boot and wall-clock time.
pub trait Clock {
    /// Returns the monotonic time, which does not advance while the VM is suspended.
    fn now(&self) -> Instant;
    /// Returns the wall-clock time, which may be adjusted.
    fn wall(&self) -> SystemTime;
    /// Returns the time since boot, including suspensions; it can't be adjusted.
    fn boot(&self) -> Duration;

    /// Reads both clocks that can't be adjusted.
    fn stamp(&self) -> Stamp {
        Stamp {
            monotonic: self.now(),
            boot: self.boot(),
        }
    }

    /// Returns the time passed since `since`, including suspensions of the VM.
    ///
    /// The wall clock is not used: set back, it would hide a suspension; set ahead, it would
    /// make a lease expire too early.
    fn elapsed(&self, since: Stamp) -> Duration {
        let monotonic = self.now().saturating_duration_since(since.monotonic);
        let boot = self.boot().saturating_sub(since.boot);
        monotonic.max(boot)
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64 {
        let since = self.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        since.as_millis() as u64
    }
}

/// Simultaneous reading of the clocks that can't be adjusted.
#[derive(Clone, Copy, Debug)]
pub struct Stamp {
    /// Monotonic time.
    pub monotonic: Instant,
    /// Time since boot.
    pub boot: Duration,
}

/// Clock shared by all tasks of a node.
pub type SharedClock = Rc<dyn Clock>;

/// Clocks of the operating system.
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

/// Clock that only advances when its methods are called, for tests.
#[derive(Debug)]
pub struct ManualClock {
    monotonic: Cell<Instant>,
    wall: Cell<SystemTime>,
    boot: Cell<Duration>,
}

impl ManualClock {
    /// Creates a clock at the current time.
    pub fn new() -> Self {
        Self {
            monotonic: Cell::new(Instant::now()),
            wall: Cell::new(SystemTime::now()),
            boot: Cell::default(),
        }
    }

    /// Advances all clocks.
    pub fn advance(&self, by: Duration) {
        self.monotonic.set(self.monotonic.get() + by);
        self.suspend(by);
    }

    /// Advances the clocks that also run during a suspension of the VM.
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
        self.monotonic.get()
    }

    fn wall(&self) -> SystemTime {
        self.wall.get()
    }

    fn boot(&self) -> Duration {
        self.boot.get()
    }
}
