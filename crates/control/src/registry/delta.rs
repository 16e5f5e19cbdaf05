//! What one instance tells another: the records that changed since it last told it.

use super::{FORGET_MS, Registry};
use lycheehub_types::{EndpointRecord, InstanceRecord};

/// How far a peer has been told of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor(u64);

/// Changed records, each with its age in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Changed instances.
    pub instances: Vec<(InstanceRecord, u64)>,
    /// Changed endpoints.
    pub endpoints: Vec<(EndpointRecord, u64)>,
}

impl Registry {
    /// Returns the records that changed after `cursor`, and the cursor after them.
    pub fn delta_after(&self, now_ms: u64, cursor: Cursor) -> (Delta, Cursor) {
        let age_ms = |made_ms: u64| now_ms.saturating_sub(made_ms);
        let instances = self.instances.values().filter(|known| known.change > cursor.0);
        let endpoints = self.endpoints.values().filter(|known| known.change > cursor.0);
        let delta = Delta {
            instances: instances
                .map(|known| (known.record.clone(), age_ms(known.made_ms)))
                .collect(),
            endpoints: endpoints
                .map(|known| (known.record.clone(), age_ms(known.made_ms)))
                .collect(),
        };
        (delta, Cursor(self.changes))
    }

    /// Returns the cursor of a peer that knows all that is known here.
    pub fn cursor(&self) -> Cursor {
        Cursor(self.changes)
    }

    /// Takes a peer's delta; tells whether any record was news.
    pub fn take_delta(&mut self, now_ms: u64, delta: Delta) -> bool {
        let mut news = false;
        for (record, age_ms) in delta.instances {
            news |= age_ms < FORGET_MS && self.take_instance(now_ms, record, age_ms);
        }
        for (record, age_ms) in delta.endpoints {
            news |= age_ms < FORGET_MS && self.take_endpoint(now_ms, record, age_ms);
        }
        news
    }
}
