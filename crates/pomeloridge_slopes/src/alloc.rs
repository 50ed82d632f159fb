//! Global allocator that counts the allocated bytes.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicIsize, Ordering};

/// Bytes currently allocated.
static LIVE: AtomicIsize = AtomicIsize::new(0);

/// The system's allocator, with a count of the requested bytes.
pub struct CountingAllocator;

/// Returns the bytes currently allocated; 0 unless [`CountingAllocator`] is the global allocator.
pub fn live_bytes() -> isize {
    LIVE.load(Ordering::Relaxed)
}

fn add(bytes: isize) {
    LIVE.fetch_add(bytes, Ordering::Relaxed);
}

// SAFETY: every call is forwarded to the system's allocator with unchanged
// arguments; besides, only a counter is updated.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        add(layout.size().cast_signed());
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        add(-layout.size().cast_signed());
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}
