//! Keeps requests in the regions to which their route or client account binds them.

use super::Dispatcher;
use crate::endpoints::Endpoint;
use crate::job::Job;
use lycheehub_types::{FailureDomain, Region};
use std::collections::BTreeMap;

impl Dispatcher {
    /// Sets the regions of the failure domains.
    pub fn set_regions(&mut self, regions: BTreeMap<FailureDomain, Region>) {
        self.regions = regions;
    }

    /// Returns whether `job` may run on an endpoint. One in an unknown failure domain runs no job that is
    /// bound to regions.
    pub(super) fn is_in_region(&self, endpoint: &Endpoint, job: &Job) -> bool {
        let Some(bound_to) = &job.regions else { return true };
        let region = self.regions.get(&endpoint.record.failure_domain);
        region.is_some_and(|region| bound_to.contains(region))
    }
}
