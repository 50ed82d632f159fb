//! A wake-up between tasks of one thread.

use std::cell::{Cell, RefCell};
use std::task::{Poll, Waker};

/// Counts notices and wakes the tasks that wait for the next one.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Signal {
    /// Notices given so far; to be read before the state that is waited on.
    pub(crate) fn count(&self) -> u64 {
        self.count.get()
    }

    /// Wakes every waiting task.
    pub(crate) fn notify(&self) {
        self.count.set(self.count.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Waits until more than `seen` notices were given.
    pub(crate) async fn wait(&self, seen: u64) {
        std::future::poll_fn(|context| {
            if self.count.get() != seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            let waker = context.waker();
            // A task that waits again after a timeout is kept only once.
            if !wakers.iter().any(|known| known.will_wake(waker)) {
                wakers.push(waker.clone());
            }
            Poll::Pending
        })
        .await;
    }
}
