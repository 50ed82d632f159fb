//! The backend servers as peers: model engines and plain services.
//!
//! Wire forms stay in this package. A decision never sees them: it is given
//! events, load reports and the closed list of [`BackendError`].

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
