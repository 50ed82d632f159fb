//! Tests of admission, routing, dispatching and failure handling.

mod account_quota;
mod admission;
mod crashes;
mod demand;
mod dispatch;
mod dispatch_versions;
mod engine_speed;
mod fairness;
mod fleet_retry_budget;
mod freshness;
mod heartbeat_schedule;
mod part_crashes;
mod prefix;
mod rate_limit;
mod retry;
mod routing;
mod rules;
mod scaling;
mod server_table;
mod stream_versions;
mod support;
mod suspicion;
mod watchers;
