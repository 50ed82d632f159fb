//! Code generated from `proto/node.proto`.

// Generated code does not follow the workspace lints.
#![allow(clippy::pedantic, missing_docs)]

include!("generated/pomeloridge.node.rs");
