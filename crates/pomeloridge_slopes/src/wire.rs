//! Messages between nodes, included from the generated file, so that the measured
//! sizes are those on the wire.

// Generated code, of which only the messages are used.
#![allow(clippy::pedantic, missing_docs, dead_code)]

include!("../../pomeloridge_node/src/generated/pomeloridge.node.rs");
