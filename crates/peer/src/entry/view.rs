//! The view that the control thread of an entry instance publishes to its traffic thread.

use lycheehub_control::State;
use lycheehub_control::directory::Directory;
use lycheehub_control::state::RolloutRecord;
use lycheehub_routes::RouteTable;
use lycheehub_types::{EndpointRecord, FailureDomain, InstanceName, ServiceName};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An immutable snapshot; each update publishes a new one.
#[derive(Clone, Debug, Default)]
pub struct EntryView {
    /// The revision of the state in this view.
    pub revision: u64,
    /// The revision of the route document; 0 if there is none yet.
    pub document_revision: u64,
    /// The routes of the route document.
    pub table: Arc<RouteTable>,
    /// The live endpoints.
    pub endpoints: Vec<EndpointRecord>,
    /// The newest rollout of each service.
    pub rollouts: BTreeMap<ServiceName, RolloutRecord>,
    /// The evacuated failure domains.
    pub evacuated: BTreeSet<FailureDomain>,
    /// The leader and its peer address.
    pub leader: Option<(InstanceName, SmolStr)>,
    /// Whether a quorum has confirmed the state since this process started.
    pub confirmed: bool,
}

impl EntryView {
    pub(super) fn new(
        state: &State,
        directory: &Directory,
        leader: Option<(InstanceName, SmolStr)>,
        confirmed: bool,
        previous: &Self,
    ) -> Self {
        let document_revision = state.document.revision;
        let table = if previous.document_revision == document_revision {
            previous.table.clone()
        } else {
            Arc::new(RouteTable::new(state.document.document.clone()))
        };
        Self {
            revision: state.revision,
            document_revision,
            table,
            endpoints: directory.live().cloned().collect(),
            rollouts: state.rollouts.clone(),
            evacuated: state.evacuations.keys().cloned().collect(),
            leader,
            confirmed,
        }
    }

    /// Returns whether the instance may accept requests with this view.
    ///
    /// # Examples
    /// ```
    /// assert!(!lycheehub_peer::entry::EntryView::default().is_ready());
    /// ```
    pub fn is_ready(&self) -> bool {
        self.confirmed && self.document_revision > 0
    }
}
