//! A guard that counts something for as long as it lives.

use std::cell::Cell;
use std::rc::Rc;

/// One of the things that a count holds, until it is dropped.
#[derive(Debug)]
pub struct Counted(Rc<Cell<usize>>);

impl Counted {
    /// Counts one more.
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }

    /// Counts one more if fewer than `most` are counted.
    pub fn below(count: &Rc<Cell<usize>>, most: usize) -> Option<Self> {
        (count.get() < most).then(|| Self::new(count))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
