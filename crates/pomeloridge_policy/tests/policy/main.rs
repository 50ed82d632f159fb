//! Tests of the request path's decisions.

mod admission;
mod demand;
mod fairness;
mod fleet;
mod prefix;
mod retry;
mod routing;
mod rules;
mod support;
mod suspicion;
