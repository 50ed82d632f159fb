//! Tests of tasks that panic.

#[path = "support/runtime.rs"]
mod runtime;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use pomeloridge_base::meter::{Counter, Meter};
use pomeloridge_base::task::{catch_panic, keep_running};
use runtime::run;

fn meter(panics: &Rc<Cell<u64>>) -> Meter {
    let panics = Rc::clone(panics);
    let count = move |counter, number| {
        assert_eq!(counter, Counter::Panics);
        panics.set(panics.get() + number);
    };
    Meter::new(count, |_, _| {})
}

/// Guards against a panic in one task that ends the process, or leaves shared state borrowed.
#[test]
fn a_panic_ends_only_its_task() {
    run(async {
        let panics = Rc::default();
        let meter = meter(&panics);
        let shared = RefCell::new(1);
        let outcome = catch_panic("broken", &meter, async {
            let mut borrowed = shared.borrow_mut();
            *borrowed += 1;
            assert!(*borrowed == 1, "an odd value");
        });
        assert_eq!(outcome.await, None);
        assert_eq!(*shared.borrow_mut(), 2);
        assert_eq!(catch_panic("sound", &meter, async { 7 }).await, Some(7));
        assert_eq!(panics.get(), 1);
    });
}

#[test]
fn a_task_is_started_again_after_a_panic() {
    run(async {
        let panics = Rc::default();
        let starts = Cell::new(0);
        keep_running("loop", &meter(&panics), || {
            starts.set(starts.get() + 1);
            let is_first = starts.get() == 1;
            async move { assert!(!is_first, "the first start fails") }
        })
        .await;
        assert_eq!((starts.get(), panics.get()), (2, 1));
    });
}
