//! Tests of the proxy with simulated callers, endpoints and placement.

mod callers;
mod connections;
mod documents;
mod early_resets;
mod endless;
mod framing;
mod heads;
mod lost_hosts;
mod notices;
mod odd_deadlines;
mod odd_numbers;
mod paths;
mod requests;
mod resets;
mod responses;
mod resumption;
mod silence;
mod statuses;
mod stops;
mod strays;
mod streams;
mod support;
