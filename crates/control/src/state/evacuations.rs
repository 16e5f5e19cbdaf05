//! Evacuations: operators' orders that nothing more is sent to the endpoints of a failure domain.

use super::State;
use lycheehub_types::FailureDomain;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// An operator's order to evacuate a failure domain, or to take it back into use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Whether the evacuation begins; otherwise it ends.
    pub begins: bool,
    /// Where the order came from, for the log and the list.
    pub by: SmolStr,
    /// The leader's time, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
}

/// An evacuation in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationRecord {
    /// The index of the command that began it.
    pub revision: u64,
    /// When it began, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
    /// Where the order came from.
    pub by: SmolStr,
}

impl State {
    /// Begins or ends an evacuation. An order that asks for what is in force changes nothing.
    pub(super) fn evacuate(&mut self, index: u64, order: EvacuationOrder) {
        let evacuations = &mut self.evacuations;
        let is_changed = match order.begins {
            true if evacuations.contains_key(&order.domain) => false,
            true => {
                let EvacuationOrder { by, now_unix_ms: since_unix_ms, .. } = order;
                let record = EvacuationRecord { revision: index, since_unix_ms, by };
                evacuations.insert(order.domain, record);
                true
            }
            false => evacuations.remove(&order.domain).is_some(),
        };
        if is_changed {
            self.revision = index;
        }
    }
}
