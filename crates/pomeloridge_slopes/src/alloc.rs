//! An allocator that counts the bytes in use.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicIsize, Ordering};

/// Bytes that are allocated now.
static LIVE: AtomicIsize = AtomicIsize::new(0);

/// The system's allocator, with a count of the bytes that were asked for.
pub struct Counting;

/// Bytes allocated now; 0 where [`Counting`] is not the program's allocator.
pub fn live_bytes() -> isize {
    LIVE.load(Ordering::Relaxed)
}

fn add(bytes: isize) {
    LIVE.fetch_add(bytes, Ordering::Relaxed);
}

// SAFETY: every call is handed to the system's allocator with its arguments as
// they came; only a counter is kept besides.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        add(layout.size().cast_signed());
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        add(-layout.size().cast_signed());
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}
