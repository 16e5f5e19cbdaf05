//! The caller of a connection, as log lines name it.

use crate::entry::Entry;
use std::net::SocketAddr;

/// The caller of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    /// The address from which the connection came.
    pub(crate) address: SocketAddr,
    /// The number of the connection since this instance started.
    pub(crate) connection: u64,
}

impl Caller {
    /// Gives a new connection its number.
    pub(crate) fn new(entry: &Entry, address: SocketAddr) -> Self {
        let connection = entry.accepted.get() + 1;
        entry.accepted.set(connection);
        Self { address, connection }
    }
}
