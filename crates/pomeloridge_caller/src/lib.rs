//! The callers as peers: completions, chat completions and plain services.
//!
//! A request passes the checks in [`Frontend`], waits for its turn, runs on a
//! backend server and is answered whole; whatever else happens is an answer
//! from the closed list of error kinds.

mod auth;
mod choice;
mod claim;
mod completion;
mod decisions;
mod delivery;
mod frontend;
mod generate;
mod generation_run;
mod in_flight;
mod recovery;
mod refusal;
mod request_id;
mod service;
mod turn;

pub use claim::{ClaimStore, CreateOutcome};
pub use decisions::{Decision, DecisionLog};
pub use frontend::{Frontend, LocalFuture, Policy, Usage};
pub use in_flight::RunningRequests;
pub use refusal::{Refusal, refusal_response, render_json};
pub use request_id::IdGenerator;
pub use turn::Waiters;
