//! The idle time of a connection, as responses state it.

use crate::http1::Headers;
use lycheehub_routes::ClientLimits;

/// How long a connection may be idle after a response. A caller that knows it does not send a request while
/// the connection is being closed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IdleTime {
    /// Whole seconds; 0 is not stated.
    seconds: u64,
}

impl IdleTime {
    /// Returns the idle time that is stated under these limits, which is never longer than they allow.
    pub(crate) fn of(limits: &ClientLimits) -> Self {
        Self { seconds: limits.idle_timeout_ms / 1_000 }
    }

    /// Returns the idle time in milliseconds.
    pub(crate) fn ms(self) -> u64 {
        self.seconds * 1_000
    }

    /// Adds the fields of a response after which the connection stays open.
    pub(crate) fn push(self, headers: &mut Headers) {
        if self.seconds > 0 {
            headers.push("Connection", "keep-alive");
            headers.push("Keep-Alive", format!("timeout={}", self.seconds));
        }
    }
}
