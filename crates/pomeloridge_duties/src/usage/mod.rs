//! Usage: batches of all nodes are merged, sealed as windows and reported.
//!
//! Nodes number their batches and peers keep copies. A window is an immutable
//! object in the service that also says which batches have been counted so far,
//! so that the next holder of the duty goes on exactly where the last one ended.

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
pub use included::{Counted, Included};
pub use ledger::{Ledger, Memory};
pub use pending::Pending;
pub use ranges::Ranges;
pub use store::{SealedWindow, sealed_windows, window_id};
pub use task::{UsageOptions, run_usage};
