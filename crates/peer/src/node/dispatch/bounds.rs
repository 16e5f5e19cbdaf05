//! What is bounded for all instances together: which instances are absent, and the limits of endpoints.

use super::super::Node;
use super::{LeaderDispatch, Session};
use lycheehub_dispatch::{Limit, Options};
use lycheehub_types::InstanceName;
use std::collections::{BTreeMap, BTreeSet};

/// Time without a call after which an instance counts as absent, in milliseconds: it may place its
/// requests itself. Instances send heartbeats more than twice as often.
pub(super) const ABSENT_AFTER_MS: u64 = 1_500;

impl LeaderDispatch {
    /// Records that the process runs.
    pub(super) fn record_tick(&mut self, now_ms: u64) {
        if now_ms >= self.ticked_ms + ABSENT_AFTER_MS {
            self.started_ms = now_ms;
        }
        self.ticked_ms = now_ms;
    }

    /// Sets the number of instances, and leaves the shares of those that are absent to them. For a
    /// moment after the start, or a pause, instances that have not entered yet do not count as absent.
    fn set_instances(&mut self, now_ms: u64, instances: u32) {
        self.instances = instances;
        let is_present = |session: &&Session| now_ms < session.last_seen_ms + ABSENT_AFTER_MS;
        let present = self.sessions.values().filter(is_present).count() as f64;
        let absent_share = match now_ms < self.started_ms + ABSENT_AFTER_MS || instances == 0 {
            true => 0.0,
            false => (1.0 - present / f64::from(instances)).max(0.0),
        };
        let options = Options { absent_share, ..*self.dispatcher.options() };
        if options != *self.dispatcher.options() {
            spdlog::info!("absent instances", kv: { instances = u64::from(instances), absent_share });
            self.dispatcher.set_options(now_ms, options);
        }
    }

    /// Notes and logs changed limits of endpoints.
    pub(super) fn update_limits(&mut self, now_ms: u64) {
        let limits = self.dispatcher.limits(now_ms).into_iter();
        let limits: BTreeMap<_, _> =
            limits.map(|limit| ((limit.endpoint, limit.incarnation), limit.stated.per_s)).collect();
        if limits == self.limits {
            return;
        }
        for (key, limit_per_s) in &limits {
            if self.limits.get(key) != Some(limit_per_s) {
                spdlog::info!("endpoint limit stated", kv: {
                    endpoint: = key.0, limit_per_s = *limit_per_s,
                });
            }
        }
        for key in self.limits.keys().filter(|key| !limits.contains_key(key)) {
            spdlog::info!("endpoint limit ended", kv: { endpoint: = key.0 });
        }
        self.limits = limits;
        self.limits_revision += 1;
    }
}

impl Node {
    /// Counts the instances, and leaves the shares of those that are absent to them.
    pub(super) fn update_instances(&self, now_ms: u64, dispatch: &mut LeaderDispatch) {
        let instances = self.count_instances(now_ms, dispatch);
        dispatch.set_instances(now_ms, instances);
    }

    /// Returns the number of instances that have a session here or watched this one lately.
    fn count_instances(&self, now_ms: u64, dispatch: &LeaderDispatch) -> u32 {
        let entered: BTreeSet<&InstanceName> =
            dispatch.sessions.values().map(|session| &session.instance).collect();
        let polls = self.polls.borrow();
        let others = polls.recent(now_ms).filter(|instance| !entered.contains(instance)).count();
        u32::try_from(entered.len() + others).unwrap_or(u32::MAX)
    }

    /// Returns the revision of the limits of endpoints, and the limits if it is not `known_revision`.
    pub(crate) fn limits(&self, known_revision: u64) -> (u64, Vec<Limit>) {
        let now_ms = self.clock.now_ms();
        let dispatch = self.dispatch.borrow();
        match dispatch.as_ref() {
            Some(dispatch) if dispatch.limits_revision != known_revision => {
                (dispatch.limits_revision, dispatch.dispatcher.limits(now_ms))
            }
            _ => (known_revision, Vec::new()),
        }
    }
}
