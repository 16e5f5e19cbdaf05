//! Tests of the proxy with simulated callers, endpoints and placement.

mod callers;
mod endless;
mod framing;
mod notices;
mod paths;
mod requests;
mod responses;
mod resumption;
mod strays;
mod streams;
mod support;
