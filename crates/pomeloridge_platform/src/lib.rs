//! Client of the platform: stored objects, leases, intents, orders for backend
//! servers and usage reports.
//!
//! The wire formats are defined in one module; other crates use functions and domain types.

mod authority;
mod call_counts;
mod client;
mod codec;
mod confirmed_put;
mod error;
mod fleet;
pub mod intent;
pub mod json;
pub mod lease;
mod lease_manager;
mod object;
mod observation;
mod order;
mod records;
pub mod usage;
mod wire;

pub use authority::{Authority, Permit, time_left, unfenced_wait};
pub use call_counts::{CallCounts, CallKind};
pub use client::{CallObserver, Client, call_on_new_connection, write_options};
pub use codec::{ObjectCodec, Page, check_status, decode};
pub use confirmed_put::{PutFailure, PutOutcome, new_nonce, nonce_of, resolve_put};
pub use error::PlatformError;
pub use fleet::{BackendServer, ServerKind, ServerState, Vm};
pub use lease_manager::{LeaseManager, maintain_lease};
pub use object::{Changes, Event, Expect, Object};
pub use observation::Observation;
pub use order::{Order, OrderAction, OrderReceipt, OrderStatus};
pub use wire::{ListWire, ObjectWire};
