//! Turns of tasks that always find something to do, such as reads from a peer that never stops
//! sending. All tasks share one thread, and the timers run only once no task is ready, so that
//! such a task has to sleep now and then.
//!
//! What was read is counted by source, so that the log can tell what has held the thread up.

use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

/// Units of work, such as bytes read, that a task may do without waiting.
const MAX_TURN: usize = 64 * 1024;
/// Pause after which the task goes on.
const PAUSE: Duration = Duration::from_millis(1);

/// Most work from one source since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LargestSource {
    /// Kind of the work.
    pub kind: &'static str,
    /// Address that it came from, if it is known.
    pub source: Option<SocketAddr>,
    /// Units of work.
    pub work: usize,
}

thread_local! {
    static LARGEST: RefCell<Option<LargestSource>> = const { RefCell::new(None) };
}

/// Returns the source of most work in a turn since the last call.
pub fn take_largest_source() -> Option<LargestSource> {
    LARGEST.take()
}

/// The turn of a task.
#[derive(Debug)]
pub struct Turn {
    kind: &'static str,
    source: Option<SocketAddr>,
    /// Work that was done without waiting.
    work: usize,
    /// The same with the turns before, if the task has never had to wait.
    total: usize,
}

impl Turn {
    /// Creates the first turn of a task.
    pub fn new(kind: &'static str, source: Option<SocketAddr>) -> Self {
        Self {
            kind,
            source,
            work: 0,
            total: 0,
        }
    }

    /// Lets other tasks and the timers run if this task has done enough without waiting. Dropping
    /// the future loses nothing.
    pub async fn pause_if_due(&mut self) {
        if self.work >= MAX_TURN {
            self.work = 0;
            monoio::time::sleep(PAUSE).await;
        }
    }

    /// Runs a step of the task, whose work is `work` of its outcome.
    pub async fn step<F: Future>(
        &mut self,
        step: F,
        work: impl FnOnce(&F::Output) -> usize,
    ) -> F::Output {
        let mut step = pin!(step);
        let first = poll_fn(|context| match step.as_mut().poll(context) {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending => Poll::Ready(None),
        });
        let output = if let Some(output) = first.await {
            output
        } else {
            (self.work, self.total) = (0, 0);
            step.await
        };
        let done = work(&output);
        self.work += done;
        self.total += done;
        self.report();
        output
    }

    fn report(&self) {
        LARGEST.with_borrow_mut(|largest| {
            if largest.is_none_or(|known| known.work < self.total) {
                *largest = Some(LargestSource {
                    kind: self.kind,
                    source: self.source,
                    work: self.total,
                });
            }
        });
    }
}
