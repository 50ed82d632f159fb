//! Bytes of messages that are being read, over all connections of the thread.
//!
//! A limit for each message is no limit for thousands of them. A message may therefore hold at
//! most half of what the others leave of the whole. The more large messages are read at once, the
//! less each of them may hold, and there is always room for a further one; small messages are
//! never refused.

use std::cell::Cell;

use super::Fault;

/// Bytes that all messages together may hold, besides small ones.
pub const MAX_HELD_BYTES: usize = 32 * 1024 * 1024;
/// Size from which a freed buffer is returned to the kernel at once.
#[cfg(target_env = "gnu")]
const LARGE_BUFFER_BYTES: libc::c_int = 128 * 1024;
/// Bytes that a message may hold in any case.
const SMALL_BYTES: usize = 32 * 1024;

thread_local! {
    static HELD: Cell<usize> = const { Cell::new(0) };
}

/// Makes the allocator return large buffers to the kernel as soon as they are freed, so that the
/// memory of the process follows what messages hold.
#[cfg(target_env = "gnu")]
pub fn return_freed_buffers() {
    // SAFETY: the call sets a parameter of the allocator and touches no memory of the caller.
    let is_set = unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES) } == 1;
    if !is_set {
        log::warn!("memory choice=keep_allocator reason=\"the allocator refused its parameter\"");
    }
}

/// Does nothing, as the allocator has no such parameter.
#[cfg(not(target_env = "gnu"))]
pub fn return_freed_buffers() {}

/// Returns the number of bytes that messages hold which this thread is reading.
pub fn held_bytes() -> usize {
    HELD.get()
}

/// The bytes that one message holds, until it is dropped.
#[derive(Debug, Default)]
pub(super) struct HeldBytes(usize);

impl HeldBytes {
    /// Sets the number of bytes; fails if the message may not hold as many.
    pub(super) fn set(&mut self, bytes: usize) -> Result<(), Fault> {
        let others = HELD.get() - self.0;
        HELD.set(others + bytes);
        let is_more = bytes > self.0;
        self.0 = bytes;
        let share = MAX_HELD_BYTES.saturating_sub(others) / 2;
        if is_more && bytes > SMALL_BYTES && bytes > share {
            return Err(Fault::OutOfMemory);
        }
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        HELD.set(HELD.get() - self.0);
    }
}
