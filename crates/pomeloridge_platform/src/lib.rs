//! Everything that a node says to the platform: objects, leases, intents,
//! orders for backend servers and usage reports.
//!
//! The forms on the wire stay in one module; other packages see plain
//! functions and domain types.

mod authority;
mod call;
mod client;
mod error;
mod fleet;
mod form;
pub mod intent;
mod keep;
pub mod lease;
mod object;
mod order;
mod put;
mod sighting;
mod stored;
pub mod usage;
mod wire;

pub use authority::{Authority, Permit, time_left, wait_out};
pub use call::{CallCounts, CallKind};
pub use client::{Client, Observe, call_fresh, write_options};
pub use error::PlatformError;
pub use fleet::{BackendServer, ServerKind, ServerState, Vm};
pub use form::{ObjectForm, Page, accept_status, decode};
pub use keep::{Keeper, keep};
pub use object::{Event, Expect, Object, Watched};
pub use order::{Order, OrderAction, OrderReceipt, OrderStatus};
pub use put::{PutAnswer, PutOutcome, judge, new_nonce, nonce_of};
pub use sighting::Sighting;
pub use wire::{ListWire, ObjectWire};
