//! Code generated from `proto/node.proto`.

#![allow(clippy::pedantic, missing_docs)]

include!("generated/pomeloridge.node.rs");
