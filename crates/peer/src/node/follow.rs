//! An instance without a replica learns the state from one that has it.

use super::Node;
use super::calls::CALL_TIMEOUT_MS;
use crate::feeds;
use lycheehub_control::state::Feed;
use lycheehub_types::{InstanceName, PeerError};
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// How long a replica holds a question for changes, in milliseconds.
const FOLLOW_WAIT_MS: u32 = 2_000;
/// How long to wait before the next source is tried, in milliseconds.
const NEXT_SOURCE_MS: u64 = 100;
/// How long an instance waits for another one's records before it serves, in milliseconds.
const HEAR_MS: u64 = 3_000;
/// How long to wait before the state is read again to be confirmed, in milliseconds.
const CONFIRM_AGAIN_MS: u64 = 200;

impl Node {
    /// Asks one source after another for changes.
    pub(super) async fn follow(self: Rc<Self>) {
        let mut turn = own_place(&self.settings.instance);
        loop {
            let sources = self.replica_instances();
            let Some(source) = sources.get(turn % sources.len().max(1)).cloned() else {
                Timer::after(Duration::from_millis(NEXT_SOURCE_MS)).await;
                continue;
            };
            if let Err(error) = self.follow_once(&source).await {
                spdlog::debug!("changes not received", kv: { error: });
                turn += 1;
                Timer::after(Duration::from_millis(NEXT_SOURCE_MS)).await;
            }
        }
    }

    async fn follow_once(&self, source: &InstanceName) -> Result<(), PeerError> {
        let revision = self.core.borrow().state.revision;
        let call = |peer| feeds::follow(peer, revision, FOLLOW_WAIT_MS);
        let timeout_ms = u64::from(FOLLOW_WAIT_MS) + CALL_TIMEOUT_MS;
        let feed = self.call("follow", source, timeout_ms, call).await?;
        self.take_feed(feed);
        Ok(())
    }

    pub(super) fn take_feed(&self, feed: Feed) {
        let news = {
            let mut core = self.core.borrow_mut();
            core.driver.is_none() && core.state.apply_feed(feed)
        };
        if news {
            self.note_revision();
        }
    }

    /// Returns the instances known to run a replica, this one left out.
    pub(super) fn replica_instances(&self) -> Vec<InstanceName> {
        let core = self.core.borrow();
        let own = &self.settings.instance;
        let live = core.registry.live_instances(self.clock.now_ms());
        let mut found: Vec<InstanceName> = live
            .filter(|known| known.record.replica_id != 0)
            .map(|known| known.record.instance.clone())
            .collect();
        for founder in self.settings.bootstrap_replicas() {
            if !found.contains(&founder) {
                found.push(founder);
            }
        }
        found.retain(|name| name != own);
        found
    }

    /// Waits until the state has changed after `revision`, or something else has, at most `wait_ms`.
    pub(crate) async fn changes_after(&self, revision: u64, wait_ms: u64) -> Feed {
        if self.core.borrow().state.revision <= revision {
            self.wait_for_news(wait_ms).await;
        }
        self.core.borrow().state.feed_after(revision)
    }

    /// Reads the state through a quorum once, so that a restarted instance serves nothing older
    /// than what was in force before.
    pub(super) async fn confirm(self: Rc<Self>) {
        loop {
            if self.read_anywhere().await {
                self.core.borrow_mut().confirmed = true;
                self.note_revision();
                break;
            }
            Timer::after(Duration::from_millis(CONFIRM_AGAIN_MS)).await;
        }
        // With nobody there to tell its records, the instance serves by what it hears itself.
        Timer::after(Duration::from_millis(HEAR_MS)).await;
        self.core.borrow_mut().heard = true;
        self.note_revision();
    }
}

/// Spreads instances over their sources.
fn own_place(name: &InstanceName) -> usize {
    name.as_str().bytes().fold(0, |place, byte| place * 31 + usize::from(byte)) % 1_000
}
