//! TCP settings of connections between instances and endpoints.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod keep_alive;
