//! Tests of what other tests stand on.

mod addresses;
mod proxy;
