//! Tests of the daemon and the command line, with instances as separate processes.

mod answers;
mod command_line;
mod control;
mod crashing_requests;
mod floors;
mod moves;
mod operators;
mod requests;
mod security;
mod stops;
mod summary;
mod support;
mod whole_path;
