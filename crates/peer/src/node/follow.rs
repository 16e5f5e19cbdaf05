//! Copies the state from a replica to an instance without one, and confirms it after a start.

use super::Node;
use super::calls::CALL_TIMEOUT_MS;
use crate::feeds;
use lycheehub_control::state::Feed;
use lycheehub_types::{InstanceName, PeerError};
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// How long a replica may hold a long poll for changes, in milliseconds.
const FOLLOW_WAIT_MS: u32 = 2_000;
/// Delay before the next source is tried, in milliseconds.
const SOURCE_RETRY_MS: u64 = 100;
/// How long an instance waits for a peer's records before it serves, in milliseconds.
const RECORDS_WAIT_MS: u64 = 3_000;
/// Delay before another attempt to confirm the state, in milliseconds.
const CONFIRM_RETRY_MS: u64 = 200;

impl Node {
    /// Polls a replica for changes, and moves on to the next replica after a failure.
    pub(super) async fn follow(self: Rc<Self>) {
        let mut source_index = initial_source_index(&self.settings.instance);
        loop {
            let sources = self.replica_instances();
            let Some(source) = sources.get(source_index % sources.len().max(1)).cloned() else {
                Timer::after(Duration::from_millis(SOURCE_RETRY_MS)).await;
                continue;
            };
            if let Err(error) = self.follow_once(&source).await {
                spdlog::debug!("failed to fetch state changes", kv: { error: });
                source_index += 1;
                Timer::after(Duration::from_millis(SOURCE_RETRY_MS)).await;
            }
        }
    }

    async fn follow_once(&self, source: &InstanceName) -> Result<(), PeerError> {
        let revision = self.core.borrow().state.revision;
        let call = |peer| feeds::follow(peer, revision, FOLLOW_WAIT_MS);
        let timeout_ms = u64::from(FOLLOW_WAIT_MS) + CALL_TIMEOUT_MS;
        let feed = self.call("follow", source, timeout_ms, call).await?;
        self.apply_feed(feed);
        Ok(())
    }

    pub(super) fn apply_feed(&self, feed: Feed) {
        let changed = {
            let mut core = self.core.borrow_mut();
            core.driver.is_none() && core.state.apply_feed(feed)
        };
        if changed {
            self.notify_revision_changed();
        }
    }

    /// Returns the other instances known to run a replica.
    pub(super) fn replica_instances(&self) -> Vec<InstanceName> {
        let core = self.core.borrow();
        let own = &self.settings.instance;
        let live = core.registry.live_instances(self.clock.now_ms());
        let mut replicas: Vec<InstanceName> = live
            .filter(|known| known.record.replica_id != 0)
            .map(|known| known.record.instance.clone())
            .collect();
        for replica in self.settings.bootstrap_replicas() {
            if !replicas.contains(&replica) {
                replicas.push(replica);
            }
        }
        replicas.retain(|name| name != own);
        replicas
    }

    /// Returns the changes after `revision`; without any, first waits up to `wait_ms` for a change
    /// of the state or the directory.
    pub(crate) async fn changes_after(&self, revision: u64, wait_ms: u64) -> Feed {
        if self.core.borrow().state.revision <= revision {
            self.wait_for_change(wait_ms).await;
        }
        self.core.borrow().state.feed_after(revision)
    }

    /// Reads the state through a quorum once, so that a restarted instance does not serve a state
    /// older than the one in force before the restart.
    pub(super) async fn confirm_state(self: Rc<Self>) {
        loop {
            if self.refresh_state().await {
                self.core.borrow_mut().state_confirmed = true;
                self.notify_revision_changed();
                break;
            }
            Timer::after(Duration::from_millis(CONFIRM_RETRY_MS)).await;
        }
        // If no peer sends its records in time, the instance serves with the records it has.
        Timer::after(Duration::from_millis(RECORDS_WAIT_MS)).await;
        self.core.borrow_mut().records_received = true;
        self.notify_revision_changed();
    }
}

/// Hashes the instance name, so that instances start with different sources.
fn initial_source_index(name: &InstanceName) -> usize {
    name.as_str().bytes().fold(0, |hash, byte| hash * 31 + usize::from(byte)) % 1_000
}
