//! What the control thread of an entry instance shows to its traffic thread.

use lycheehub_control::State;
use lycheehub_control::directory::Directory;
use lycheehub_control::state::RolloutRecord;
use lycheehub_routes::RouteTable;
use lycheehub_types::{EndpointRecord, InstanceName, ServiceName};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::Arc;

/// An immutable view, replaced whole.
#[derive(Clone, Debug, Default)]
pub struct EntryView {
    /// The revision of the state that the view shows.
    pub revision: u64,
    /// The revision of the route document; 0 where there is none yet.
    pub document_revision: u64,
    /// The route document.
    pub table: Arc<RouteTable>,
    /// The endpoints that are there.
    pub endpoints: Vec<EndpointRecord>,
    /// The newest rollout of each service.
    pub rollouts: BTreeMap<ServiceName, RolloutRecord>,
    /// The leader, and where it listens for peers.
    pub leader: Option<(InstanceName, SmolStr)>,
    /// A quorum has confirmed the document since the start.
    pub confirmed: bool,
}

impl EntryView {
    pub(super) fn new(
        state: &State,
        directory: &Directory,
        leader: Option<(InstanceName, SmolStr)>,
        confirmed: bool,
        before: &Self,
    ) -> Self {
        let document_revision = state.document.revision;
        let table = if before.document_revision == document_revision {
            before.table.clone()
        } else {
            Arc::new(RouteTable::new(state.document.document.clone()))
        };
        Self {
            revision: state.revision,
            document_revision,
            table,
            endpoints: directory.live().cloned().collect(),
            rollouts: state.rollouts.clone(),
            leader,
            confirmed,
        }
    }

    /// Tells whether requests may be taken by this view.
    ///
    /// # Examples
    /// ```
    /// assert!(!lycheehub_peer::entry::EntryView::default().is_ready());
    /// ```
    pub fn is_ready(&self) -> bool {
        self.confirmed && self.document_revision > 0
    }
}
