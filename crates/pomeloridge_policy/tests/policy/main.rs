//! Tests of admission, routing, dispatching and failure handling.

mod admission;
mod crashes;
mod demand;
mod dispatch;
mod engine_speed;
mod fairness;
mod fleet;
mod fleet_retry_budget;
mod heartbeat_schedule;
mod prefix;
mod retry;
mod routing;
mod rules;
mod scaling;
mod support;
mod suspicion;
mod watchers;
