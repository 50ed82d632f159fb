//! Tests of the experiment's plans, load generator, verdicts and reports.

mod fairness;
mod plan;
mod render;
mod report;
mod run;
mod stream;
mod support;
mod verdict;
