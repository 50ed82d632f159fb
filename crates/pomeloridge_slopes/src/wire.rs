//! The messages between nodes, from the generated file itself, so that the
//! sizes are those of the real form.

// The generator's style is its own, and only the messages are used here.
#![allow(clippy::pedantic, missing_docs, dead_code)]

include!("../../pomeloridge_node/src/generated/pomeloridge.node.rs");
