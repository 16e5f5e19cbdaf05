//! Tests of the HTTP ends against stand-ins for callers, endpoints and the dispatcher.

mod answers;
mod callers;
mod endless;
mod framing;
mod notices;
mod requests;
mod streams;
mod support;
