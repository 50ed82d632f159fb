//! Generates load with a varying mix and evaluates the answers.
//!
//! A [`plan::Plan`] describes the load; [`run::run`] sends it to the nodes of a
//! launched deployment; a [`report::Report`] evaluates the answers. This crate
//! starts no process: the development tool launches the deployment (its engines
//! with the plan's time scale), stops a data centre's servers on request, and
//! passes in the services' histories.
//!
//! ```no_run
//! use pomeloridge_experiment::deployment::{Deployment, plan};
//! use pomeloridge_experiment::plot::write_svg;
//! use pomeloridge_experiment::report::Report;
//! use pomeloridge_experiment::run::{Endpoints, run};
//! use pomeloridge_experiment::table::table;
//! use pomeloridge_experiment::verdict::ServiceRuns;
//!
//! # fn kill_servers_of(_: &str) {}
//! # fn histories() -> Vec<String> { Vec::new() }
//! # fn measure(callers: Vec<std::net::SocketAddr>, keys: Vec<(String, String)>) -> std::io::Result<()> {
//! // Engines run with `--time-scale 10` at 4000 prompt and 400 output tokens a second.
//! let mut plan = plan(Deployment::AnnexB, 1397, 10.0, 4000.0, 400.0);
//! // Fair shares use the weights of the launched client accounts.
//! plan.accounts[0].weight = 4.0;
//! let endpoints = Endpoints { callers, keys, threads: 2 };
//! let outcome = run(&endpoints, &plan, |loss| kill_servers_of(&loss.data_centre))?;
//! let mut runs = ServiceRuns::default();
//! for history in histories() {
//!     runs.add_history(&history);
//! }
//! let report = Report::new("pomeloridge", &plan, &outcome, &runs).with("role changes", 3.0);
//! println!("{}", table(std::slice::from_ref(&report)));
//! write_svg(&[report], std::path::Path::new("experiment.svg"))?;
//! # Ok(())
//! # }
//! ```

pub mod arrivals;
pub mod balancer;
pub mod deployment;
mod exchange;
pub mod fairness;
pub mod latency;
pub mod loss;
mod message;
pub mod plan;
pub mod plot;
pub mod record;
pub mod report;
pub mod run;
pub mod stream;
pub mod table;
pub mod verdict;
