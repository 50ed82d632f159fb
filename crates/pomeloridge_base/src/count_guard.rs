//! A guard that counts something for as long as it lives.

use std::cell::Cell;
use std::rc::Rc;

/// One of the things that a count holds, until it is dropped.
#[derive(Debug)]
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    /// Counts one more.
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }

    /// Counts one more if fewer than `limit` are counted.
    pub fn try_new(count: &Rc<Cell<usize>>, limit: usize) -> Option<Self> {
        (count.get() < limit).then(|| Self::new(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
