//! Cancels work when the caller disconnects, the deadline passes or the instance exits.

use crate::entry::Entry;
use crate::http1::Connection;
use lycheehub_dispatch::JobId;
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of bytes of pipelined requests that are received while one is in progress.
const PIPELINED_MAX_BYTES: usize = 64 * 1024;

/// Why work was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Interrupted {
    CallerDisconnected,
    TimedOut,
    /// The instance is shutting down and ends its requests.
    Stopped,
}

impl Interrupted {
    /// Returns how a response ends that was interrupted after a part of it was relayed.
    pub(super) fn end_of_response(self) -> &'static str {
        match self {
            Self::CallerDisconnected => "caller left",
            Self::TimedOut => "timed out in its stream",
            Self::Stopped => "stopped in its stream",
        }
    }
}

/// Runs `work` until the caller closes `connection`, until `deadline_ms`, or until the instance ends its
/// requests.
pub(super) async fn run_interruptible<T>(
    entry: &Entry,
    connection: &mut Connection,
    deadline_ms: u64,
    work: impl Future<Output = T>,
) -> Result<T, Interrupted> {
    let left_ms = deadline_ms.saturating_sub(entry.clock.now_ms());
    let done = async { Ok(work.await) };
    let disconnected = async {
        connection.wait_closed(PIPELINED_MAX_BYTES).await;
        Err(Interrupted::CallerDisconnected)
    };
    let timed_out = async {
        Timer::after(Duration::from_millis(left_ms)).await;
        Err(Interrupted::TimedOut)
    };
    let stopped = async {
        entry.shutdown.ending.wait().await;
        Err(Interrupted::Stopped)
    };
    let cancelled = smol::future::or(disconnected, smol::future::or(timed_out, stopped));
    smol::future::or(done, cancelled).await
}

/// A pending placement; the job is withdrawn if this is dropped before the decision.
pub(super) struct PendingDecision {
    entry: Rc<Entry>,
    job_id: JobId,
    is_decided: Cell<bool>,
}

impl PendingDecision {
    pub(super) fn new(entry: &Rc<Entry>, job_id: JobId) -> Self {
        Self { entry: entry.clone(), job_id, is_decided: Cell::new(false) }
    }

    pub(super) fn mark_decided(&self) {
        self.is_decided.set(true);
    }
}

impl Drop for PendingDecision {
    fn drop(&mut self) {
        if !self.is_decided.get() {
            self.entry.placement.withdraw(self.job_id);
        }
    }
}
