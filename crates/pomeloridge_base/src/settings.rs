//! Settings of nodes and gateways, read from an INI file and checked as a whole.
//!
//! Every setting is a row of [`SETTINGS`] or [`GATEWAY_SETTINGS`], from which the reference pages
//! are also generated.

mod check;
mod reader;
mod table;

pub use check::{
    GivenSetting, Problem, SettingValues, Settings, Update, load, load_table, parse, parse_table,
};
pub use table::{GATEWAY_SETTINGS, SETTINGS, Setting, SettingKind};
