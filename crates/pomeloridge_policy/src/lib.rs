//! Policies of the request path: admission, routing to a backend server, and the
//! handling of failures.
//!
//! All types are plain single-threaded data. Time and random numbers are passed in,
//! no method blocks or calls back into its caller. A task can therefore keep the
//! types in a `RefCell` and borrow them for each call.

pub mod account_quota;
pub mod admission;
pub mod candidate;
pub mod capacity;
pub mod crashes;
pub mod demand;
pub mod dispatch;
pub mod ejection;
pub mod estimate;
pub mod fleet_retry_budget;
pub mod freshness;
mod hash;
pub mod heartbeat_schedule;
pub mod hedging;
pub mod in_flight;
pub mod load;
pub mod part_crashes;
pub mod peer_usage;
pub mod prefix;
pub mod prompt_cache;
pub(crate) mod queue;
pub mod rate_limit;
pub mod relief;
pub mod retry;
pub mod routing;
pub mod rules;
pub mod scaling;
pub mod server;
pub mod server_table;
pub mod slot_share;
pub mod slow_readers;
pub mod stage_assignment;
pub mod stream_versions;
pub mod suspicion;
pub mod ticket;
pub mod timeouts;
pub mod token_counter;
pub mod watchers;
pub mod work_meter;
