//! The callers as peers: completions, chat completions and plain services.
//!
//! A request passes the checks in [`Front`], waits for its turn, runs on a
//! backend server and is answered whole; whatever else happens is an answer
//! from the closed list of error kinds.

mod answer;
mod auth;
mod choice;
mod claim;
mod completion;
mod decisions;
mod delivery;
mod front;
mod generate;
mod generation_run;
mod in_flight;
mod recovery;
mod request_id;
mod service;
mod turn;

pub use answer::{Refusal, render, response};
pub use claim::{ClaimStore, Created};
pub use decisions::{DecisionLog, Line};
pub use front::{Front, LocalFuture, Policy, Usage};
pub use in_flight::Running;
pub use request_id::IdMaker;
pub use turn::Waiting;
