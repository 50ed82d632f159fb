//! Tests of the experiment's plan, rules and rendering.

mod fairness;
mod plan;
mod render;
mod report;
mod run;
mod stream;
mod support;
mod verdict;
