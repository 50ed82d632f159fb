//! Gateway for a platform whose requests are opaque: finds a request's route and client
//! account, chooses the backend server that runs it, and delivers the response completely
//! and only once.
//!
//! The platform's message formats are provided as [`ports`], plain conversion functions.
//! Decisions, state and recovery are implemented here and in the policy crate.

mod accept;
mod account_quota;
mod active_config;
mod attempt;
mod compression;
mod config;
mod crash_detection;
mod duties;
mod events;
mod exchange;
mod fleet_clock;
mod hedge;
mod ingress;
mod internal;
mod lifecycle;
mod node;
mod part_quarantine;
mod peers;
mod pool;
pub mod ports;
mod prefill;
mod relief;
mod request;
mod route_explain;
mod scale_duty;
mod server_limits;
mod server_list;
mod server_registry;
mod settings;
mod silence;
mod slow_readers;
mod stage_duty;
mod state;
mod stop_schedule;
mod stream;
mod token_rate;
mod unary;
mod usage;
mod versions;
mod watch;

pub use active_config::{ActiveConfig, AdoptOutcome};
pub use compression::{compress, decompress};
pub use config::{
    Account, RequestLimits, Route, RouteKind, ServerScaling, ServingConfig, ServingService, Share,
};
pub use events::{Event, EventSplitter};
pub use fleet_clock::FleetClock;
pub use node::run;
pub use request::{
    Dispatch, Inbound, KvHandle, KvSource, Notice, ResponseHead, SendStage, ServerLoad,
};
pub use server_list::{ApplyOutcome, ServerList, ServerListDelta};
pub use server_registry::ServerRegistry;
pub use settings::ReloadSettings;
pub use state::GatewayParts;
pub use stop_schedule::{SignalTime, StopSchedule};
pub use usage::{EndedWindow, PeerTimes, UsageLedger, UsageSource};
pub use versions::{InvalidStreamIds, RecordWire, SlotsWire, StreamVersions, TableWire};
