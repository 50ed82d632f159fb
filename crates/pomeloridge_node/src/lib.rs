//! Links between nodes: heartbeats, membership, replication of the
//! configuration and copies of usage batches. Both ends of a link prove the
//! fleet secret.

pub mod config_sync;
pub mod error;
pub mod heartbeat;
pub mod member;
pub mod membership;
pub mod mesh;
pub mod peer_link;
pub mod reach;
pub mod usage;
pub mod usage_sender;
pub mod usage_store;

mod channel;
mod fan_out;
mod generated;
mod mesh_usage;
mod peer;
mod proof;
mod record;
mod relay;
mod rendezvous;
mod served_link;
mod server;
mod service;
mod timeline;
mod wire;
