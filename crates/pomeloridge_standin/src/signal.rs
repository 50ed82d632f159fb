//! Notification between tasks of one thread.

use std::cell::{Cell, RefCell};
use std::task::{Poll, Waker};

/// Counts notifications and wakes the tasks that wait for the next one.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Signal {
    /// Returns the number of notifications so far.
    ///
    /// A task reads it before the state it waits on, so that no change is missed.
    pub(crate) fn count(&self) -> u64 {
        self.count.get()
    }

    /// Wakes all waiting tasks.
    pub(crate) fn notify(&self) {
        self.count.set(self.count.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Waits until the number of notifications differs from `seen`.
    pub(crate) async fn wait(&self, seen: u64) {
        std::future::poll_fn(|context| {
            if self.count.get() != seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            let waker = context.waker();
            // A task that waits again after a timeout must not be registered twice.
            if !wakers.iter().any(|other| other.will_wake(waker)) {
                wakers.push(waker.clone());
            }
            Poll::Pending
        })
        .await;
    }
}
