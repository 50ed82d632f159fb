//! The request path on a platform whose requests are opaque: which route and
//! client account a request belongs to, which backend server runs it, and how its
//! answer comes back whole and once.
//!
//! What a platform's messages look like is given as [`ports`]: plain functions
//! that translate. Decisions, state and recovery are here and in the policy crate.

mod accept;
mod attempt;
mod call;
mod config;
mod config_register;
mod duties;
mod events;
mod exchange;
mod front;
mod internal;
mod life;
mod node;
mod pace;
mod packed;
mod peers;
mod pool;
pub mod ports;
mod prefill;
mod register;
mod request;
mod scale_duty;
mod server_end;
mod server_list;
mod settings;
mod stage_duty;
mod state;
mod stream;
mod true_time;
mod usage;
mod watch;

pub use config::{
    Account, RequestLimits, Route, RouteKind, ServerScaling, ServingConfig, ServingService, Share,
};
pub use config_register::{Adopted, ConfigRegister};
pub use events::{Event, EventSplitter};
pub use node::run;
pub use packed::{pack, unpack};
pub use register::Register;
pub use request::{Dispatch, Handle, Inbound, MemorySource, Notice, ReplyHead, SendStage};
pub use server_list::{Applied, ListChange, ServerList};
pub use settings::ReadAgain;
pub use state::Parts;
pub use true_time::TrueTime;
pub use usage::{EndedWindow, PeerTimes, Source, UsageBook};
