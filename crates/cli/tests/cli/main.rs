//! Tests of the daemon and the command line, with instances as separate processes.

mod control;
mod operators;
mod requests;
mod support;
mod whole_path;
