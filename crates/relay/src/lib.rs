//! Connections to endpoints through another instance.
//!
//! An instance that has lost its path to endpoints asks another one to connect to an endpoint and to
//! pass bytes on, in both directions and unchanged. All decisions stay with the instance that has the
//! request: for the endpoint, its connection only comes from elsewhere.
//!
//! The instance that opens a connection proves that it holds the peer key and names an endpoint; the
//! other one connects only to endpoints of its own directory, so there is one hop and no loop. What the
//! endpoint sends is passed on in frames, so that the end of its connection can be told from the loss
//! of the relay.
//!
//! * [`client`] opens connections.
//! * [`server`] accepts them.
//! * [`frames`] marks the end of what an endpoint sends.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod client;
pub mod frames;
mod handshake;
pub mod server;

pub use client::{Error, connect};
pub use frames::FrameDecoder;
pub use server::{Endpoints, Server};
