//! The decisions of the request path: which request runs next, on which backend
//! server, and what happens after a failure.
//!
//! Everything here is plain data for one thread. Time and random numbers are
//! passed in, nothing waits, and no method calls back into its caller, so that a
//! task may keep the parts in a `RefCell` and borrow them for single calls.

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
