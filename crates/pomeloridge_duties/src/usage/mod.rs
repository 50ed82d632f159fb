//! Usage accounting: merges the batches of all nodes, seals them as windows and reports the
//! windows to the platform.
//!
//! Nodes number their batches, and peers store copies. A window is an immutable object in the
//! object service that also records which batches have been counted so far, so that the next
//! lease holder resumes exactly where the last one stopped.

mod batch;
mod draft;
mod gaps;
mod gather;
mod included;
mod ledger;
mod pending;
mod ranges;
mod store;
mod task;

pub use batch::{Batch, BatchPage, Line, RequestHash, StoredRange, UsageSource};
pub use draft::{WindowDraft, draft_window};
pub use gaps::Gaps;
pub use gather::{BatchInventory, NodeClient, gather};
pub use included::{CountedBatches, Included};
pub use ledger::{Ledger, Retention};
pub use pending::PendingBatches;
pub use ranges::Ranges;
pub use store::{SealedWindow, read_sealed_windows, window_id};
pub use task::{UsageOptions, run_usage};
