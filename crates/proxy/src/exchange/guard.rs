//! Ends a piece of work when the caller leaves or the time is over.

use crate::entry::Entry;
use crate::http1::Connection;
use lycheehub_dispatch::JobId;
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// How many bytes of a further request are received while one is answered.
const AHEAD_MAX_BYTES: usize = 64 * 1024;

/// Why work was ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Interrupted {
    CallerLeft,
    TimedOut,
}

/// Does `work` until the caller closes `connection`, or until `deadline_ms`.
pub(super) async fn guard<T>(
    entry: &Entry,
    connection: &mut Connection,
    deadline_ms: u64,
    work: impl Future<Output = T>,
) -> Result<T, Interrupted> {
    let left_ms = deadline_ms.saturating_sub(entry.clock.now_ms());
    let done = async { Ok(work.await) };
    let left = async {
        connection.closed(AHEAD_MAX_BYTES).await;
        Err(Interrupted::CallerLeft)
    };
    let late = async {
        Timer::after(Duration::from_millis(left_ms)).await;
        Err(Interrupted::TimedOut)
    };
    smol::future::or(done, smol::future::or(left, late)).await
}

/// A request that waits for its endpoint, and is withdrawn where it stops waiting.
pub(super) struct Asked {
    entry: Rc<Entry>,
    job_id: JobId,
    decided: Cell<bool>,
}

impl Asked {
    pub(super) fn new(entry: &Rc<Entry>, job_id: JobId) -> Self {
        Self { entry: entry.clone(), job_id, decided: Cell::new(false) }
    }

    pub(super) fn is_decided(&self) {
        self.decided.set(true);
    }
}

impl Drop for Asked {
    fn drop(&mut self) {
        if !self.decided.get() {
            self.entry.placement.withdraw(self.job_id);
        }
    }
}
