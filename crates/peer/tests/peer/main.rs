//! Tests of the parts of this crate that decide without a connection.

mod pause;
