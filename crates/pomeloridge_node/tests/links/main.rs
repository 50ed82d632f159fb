//! Links over loopback, with all nodes of a test on one thread.

mod mesh;
mod node;
mod proof;
mod relay;
