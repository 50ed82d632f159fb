//! Node settings, read from an INI file and checked as a whole.
//!
//! Every setting is a row of [`SETTINGS`]: its section, key, default and what it
//! does. The reference in `docs/SETTINGS.md` is made from the same rows.

mod check;
mod reader;
mod table;

pub use check::{Problem, SettingValues, Settings, Update, load, load_table, parse, parse_table};
pub use table::{GATEWAY_SETTINGS, SETTINGS, Setting, SettingKind};
