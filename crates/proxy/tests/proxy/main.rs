//! Tests of the proxy with simulated callers, endpoints and placement.

mod callers;
mod connections;
mod documents;
mod endless;
mod framing;
mod notices;
mod paths;
mod requests;
mod resets;
mod responses;
mod streams;
mod support;
