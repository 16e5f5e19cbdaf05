//! Waits for the next request of a connection.

use crate::caller::Caller;
use crate::entry::Entry;
use crate::http1::{Connection, Error};
use crate::idle_time::IdleTime;
use lycheehub_clock::within;
use std::collections::VecDeque;

/// Time in milliseconds for which an idle connection stays open beyond the limit, so that a request sent
/// just within the limit does not arrive at a closed connection.
const IDLE_GRACE_MS: u64 = 1_000;
/// The number of replaced limits that are remembered.
const REPLACED_MAX: usize = 64;

/// Why the wait for a request ended.
#[derive(Debug)]
pub(super) enum WaitEnd {
    /// Bytes of a request have arrived.
    Received,
    /// The caller closed the connection, or it failed.
    CallerClosed(Option<Error>),
    /// The connection was idle for longer than any limit allows.
    IdleLimit,
    /// The instance is shutting down.
    Stopping,
}

/// Waits for the first byte of a request; `stated` is the idle time that the response before it stated.
pub(super) async fn wait_for_request(
    entry: &Entry,
    connection: &mut Connection,
    stated: IdleTime,
    caller: Caller,
) -> WaitEnd {
    if !connection.buffered().is_empty() {
        return WaitEnd::Received;
    }
    let since_ms = entry.clock.now_ms();
    let idle = entry.shutdown.idle.add(since_ms, caller.connection);
    loop {
        let open_ms = entry.idle_limit_ms(since_ms).max(stated.ms()).saturating_add(IDLE_GRACE_MS);
        let until_ms = since_ms.saturating_add(open_ms);
        let left_ms = until_ms.saturating_sub(entry.clock.now_ms());
        if left_ms == 0 {
            return WaitEnd::IdleLimit;
        }
        let received = async {
            match connection.fill().await {
                Ok(1..) => WaitEnd::Received,
                Ok(0) => WaitEnd::CallerClosed(None),
                Err(error) => WaitEnd::CallerClosed(Some(error)),
            }
        };
        let closing = async {
            idle.close_requested().await;
            WaitEnd::Stopping
        };
        // Bytes that have arrived are seen first. After the limit of one document, that of another one may
        // still hold.
        if let Some(end) = within(left_ms, smol::future::or(received, closing)).await {
            return end;
        }
    }
}

/// The limits on the idle time of callers' connections, as documents replaced each other. A caller may
/// rely on any of those that held since its connection became idle.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdleLimits {
    /// The latest limit, in milliseconds.
    latest_ms: u64,
    /// Each earlier limit, with the time at which it was seen to be replaced, both in milliseconds.
    replaced: VecDeque<(u64, u64)>,
}

impl IdleLimits {
    /// Records the limit in force.
    pub(crate) fn record(&mut self, now_ms: u64, limit_ms: u64) {
        if limit_ms == self.latest_ms {
            return;
        }
        if self.replaced.len() == REPLACED_MAX {
            self.replaced.pop_front();
        }
        self.replaced.push_back((self.latest_ms, now_ms));
        self.latest_ms = limit_ms;
    }

    /// Returns the longest limit that held at some time from `since_ms` on, in milliseconds.
    pub(crate) fn longest_ms(&self, since_ms: u64) -> u64 {
        let replaced = self.replaced.iter().filter(|(_, until_ms)| *until_ms >= since_ms);
        let longest_ms = replaced.map(|(limit_ms, _)| *limit_ms).max();
        longest_ms.map_or(self.latest_ms, |longest_ms| longest_ms.max(self.latest_ms))
    }
}
