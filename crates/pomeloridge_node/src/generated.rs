//! The generated code of the calls.

// The generator's style is its own.
#![allow(clippy::pedantic, missing_docs)]

include!("generated/pomeloridge.node.rs");
