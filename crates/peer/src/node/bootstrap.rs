//! Bootstraps the first configuration of a cluster.

use super::Node;
use lycheehub_consensus::bootstrap::{self, Outcome, Status};
use lycheehub_types::InstanceName;
use smol::Timer;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Delay before an empty replica queries the bootstrap replicas again, in milliseconds.
const RETRY_MS: u64 = 200;

impl Node {
    /// Queries the bootstrap replicas until this replica can bootstrap or a leader sends it the log.
    pub(super) async fn bootstrap(self: Rc<Self>) {
        let replicas = self.settings.bootstrap_replicas();
        while !self.is_bootstrapped() {
            let statuses = self.request_statuses(&replicas).await;
            let own = self.replica_status().id;
            let name = &self.settings.instance;
            let outcome = bootstrap::decide(own, name, &replicas, &statuses);
            if let Outcome::Bootstrap(config) = outcome
                && (self.settings.may_found
                    || statuses.values().any(|status| status.config == config))
            {
                spdlog::info!("cluster bootstrapped", kv: { voters = config.voters.len() as u64 });
                self.drive(|driver, _| driver.replica.bootstrap(config));
                return;
            }
            Timer::after(Duration::from_millis(RETRY_MS)).await;
        }
    }

    fn is_bootstrapped(&self) -> bool {
        self.core.borrow().replica().is_none_or(|replica| replica.is_bootstrapped())
    }

    async fn request_statuses(&self, replicas: &[InstanceName]) -> BTreeMap<InstanceName, Status> {
        let mut statuses = BTreeMap::new();
        for replica in replicas.iter().filter(|name| **name != self.settings.instance) {
            match self.request_status(replica).await {
                Ok(status) => {
                    statuses.insert(replica.clone(), status);
                }
                Err(error) => spdlog::debug!("bootstrap status request failed", kv: { error: }),
            }
        }
        statuses
    }
}
