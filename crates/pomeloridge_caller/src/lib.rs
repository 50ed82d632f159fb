//! The callers' port: serves completions, chat completions and plain services.
//!
//! A request is checked by [`Frontend`], waits for admission, runs on a backend
//! server and gets a complete response. Every failure is answered with one of the
//! error kinds.

mod auth;
mod claim;
mod completion;
mod decisions;
mod delivery;
mod frontend;
mod generate;
mod generation_run;
mod in_flight;
mod permit;
mod recovery;
mod refusal;
mod request_id;
mod server_selection;
mod service;

pub use claim::{ClaimStore, CreateOutcome};
pub use decisions::{Decision, DecisionLog};
pub use frontend::{Frontend, LocalFuture, Policy, Usage};
pub use in_flight::RunningRequests;
pub use permit::Waiters;
pub use refusal::{Refusal, refusal_response, render_json};
pub use request_id::IdGenerator;
