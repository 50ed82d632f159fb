//! Client of backend servers: model engines and plain services.
//!
//! The wire formats are private to this crate. Its interface consists of events, load
//! reports, engine orders and the error kinds of [`BackendError`].

mod engine;
mod error;
mod event_stream;
mod load;
mod order;
mod service;
mod wire;

pub use engine::{Event, Generation, GenerationRequest};
pub use error::BackendError;
pub use load::{Load, read_load};
pub use order::{EngineOrder, EngineState, OrderAction, OrderOutcome, read_state, send_order};
pub use pomeloridge_policy::server::Role;
pub use service::{Call, forward};
