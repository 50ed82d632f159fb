//! The request path on a platform whose requests are opaque: which route and
//! client account a request belongs to, which backend server runs it, and how its
//! answer comes back whole and once.
//!
//! What a platform's messages look like is given as [`ports`]: plain functions
//! that translate. Decisions, state and recovery are here and in the policy crate.

mod accept;
mod active_config;
mod attempt;
mod call;
mod compression;
mod config;
mod duties;
mod events;
mod exchange;
mod fleet_clock;
mod front;
mod internal;
mod life;
mod node;
mod pace;
mod peers;
mod pool;
pub mod ports;
mod prefill;
mod request;
mod scale_duty;
mod server_end;
mod server_list;
mod server_registry;
mod settings;
mod stage_duty;
mod state;
mod stream;
mod usage;
mod watch;

pub use active_config::{ActiveConfig, AdoptOutcome};
pub use compression::{compress, decompress};
pub use config::{
    Account, RequestLimits, Route, RouteKind, ServerScaling, ServingConfig, ServingService, Share,
};
pub use events::{Event, EventSplitter};
pub use fleet_clock::FleetClock;
pub use node::run;
pub use request::{Dispatch, Inbound, KvHandle, KvSource, Notice, ResponseHead, SendStage};
pub use server_list::{ApplyOutcome, ServerList, ServerListDelta};
pub use server_registry::ServerRegistry;
pub use settings::ReloadSettings;
pub use state::GatewayParts;
pub use usage::{EndedWindow, PeerTimes, UsageLedger, UsageSource};
