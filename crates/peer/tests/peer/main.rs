//! Tests of the parts of this crate that need no connection.

mod departures;
mod pause;
