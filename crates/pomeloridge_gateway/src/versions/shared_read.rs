//! Reads that several tasks share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::count_guard::CountGuard;
use pomeloridge_base::meter::Meter;
use pomeloridge_base::task::catch_panic;

/// Interval between checks whether a read has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A read that several tasks share. Each gets the outcome of a read that began after it had asked.
#[derive(Debug)]
pub(crate) struct SharedRead<T> {
    /// Minimum time from the start of one read to that of the next.
    interval: Duration,
    /// Number of reads that have begun.
    begun: Cell<u64>,
    last_begun: Cell<Option<Instant>>,
    /// Number of reads that are running or waiting to begin; at most 1.
    running: Rc<Cell<usize>>,
    /// Number of the read that ended last, with its outcome.
    ended: RefCell<Option<(u64, T)>>,
}

impl<T: Clone + 'static> SharedRead<T> {
    pub(crate) fn new(interval: Duration) -> Rc<Self> {
        Rc::new(Self {
            interval,
            begun: Cell::new(0),
            last_begun: Cell::new(None),
            running: Rc::default(),
            ended: RefCell::default(),
        })
    }

    /// Returns the outcome of a read that begins after this call. The read runs in a task of its
    /// own, as the task that starts it may be dropped.
    pub(crate) async fn get<F>(self: &Rc<Self>, meter: &Meter, read: impl Fn() -> F) -> T
    where
        F: Future<Output = T> + 'static,
    {
        let wanted = self.begun.get() + 1;
        loop {
            if let Some((number, outcome)) = &*self.ended.borrow()
                && *number >= wanted
            {
                return outcome.clone();
            }
            if let Some(guard) = CountGuard::try_new(&self.running, 1) {
                let (shared, meter, read) = (Rc::clone(self), meter.clone(), read());
                monoio::spawn(async move {
                    catch_panic("shared_read", &meter, shared.run(read)).await;
                    drop(guard);
                });
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn run(&self, read: impl Future<Output = T>) {
        if let Some(last) = self.last_begun.get() {
            monoio::time::sleep(self.interval.saturating_sub(last.elapsed())).await;
        }
        let number = self.begun.get() + 1;
        self.begun.set(number);
        self.last_begun.set(Some(Instant::now()));
        let outcome = read.await;
        *self.ended.borrow_mut() = Some((number, outcome));
    }
}
