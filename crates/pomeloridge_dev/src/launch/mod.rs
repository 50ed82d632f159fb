//! Deployments of separate processes on loopback.

mod client;
mod cluster;
mod fleet;
mod ini;
mod process;
mod ready;
mod relay;
mod spec;

pub use client::{block_on, get_json, post_json, put_json, request, try_request};
pub(crate) use cluster::history_file;
pub use cluster::{Cluster, Node, Server};
pub use fleet::{Fleet, Gateway};
pub use process::{Process, build_binaries};
pub use ready::wait_until_ready;
pub use relay::{Relay, RelayMode};
pub use spec::{EngineSpec, ServiceSpec, Spec, altiplano, annex_b, demo as spec_demo};
