//! Tests of the operator port over loopback, of the checks and of the command line.

mod accounts;
mod changes;
mod check;
mod command;
mod port;
mod render;
mod support;
