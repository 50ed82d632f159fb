//! Counter of things in use, such as open connections.

use std::cell::Cell;
use std::rc::Rc;

/// Increments a shared counter until it is dropped.
#[derive(Debug)]
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    /// Increments `count`.
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }

    /// Increments `count` if it is below `limit`.
    pub fn try_new(count: &Rc<Cell<usize>>, limit: usize) -> Option<Self> {
        (count.get() < limit).then(|| Self::new(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
