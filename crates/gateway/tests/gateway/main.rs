//! Tests of the HTTP side with real sockets and without a control thread.

mod connections;
mod endpoints;
mod heads;
mod support;
