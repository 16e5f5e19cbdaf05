//! Tests of the HTTP ends against stand-ins for callers, endpoints and the dispatcher.

mod answers;
mod callers;
mod framing;
mod requests;
mod streams;
mod support;
