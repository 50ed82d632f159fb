//! Policies of the request path: admission, routing to a backend server, and the
//! handling of failures.
//!
//! All types are plain single-threaded data. Time and random numbers are passed in,
//! no method blocks or calls back into its caller. A task can therefore keep the
//! types in a `RefCell` and borrow them for each call.

pub mod admission;
pub mod candidate;
pub mod capacity;
pub mod counter;
pub mod crashes;
pub mod demand;
pub mod dispatch;
pub mod eject;
pub mod estimate;
pub mod fleet;
pub mod in_flight;
pub mod ledger;
pub mod load;
pub mod prefix;
pub mod prompt_cache;
pub(crate) mod queue;
pub mod repeat_budget;
pub mod retry;
pub mod routing;
pub mod rules;
pub mod scaling;
pub mod server;
pub mod share;
pub mod stage_assignment;
pub mod suspicion;
pub mod telling;
pub mod ticket;
pub mod timeouts;
pub mod watchers;
pub mod work_meter;
