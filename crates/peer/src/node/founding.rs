//! Takes part in making the very first configuration.

use super::Node;
use lycheehub_consensus::bootstrap::{self, Outcome, Status};
use lycheehub_types::InstanceName;
use smol::Timer;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long an empty replica waits before it asks the seeds again, in milliseconds.
const ASK_AGAIN_MS: u64 = 200;

impl Node {
    /// Asks the seeds until this replica has a configuration or a leader sends it the log.
    pub(super) async fn found(self: Rc<Self>) {
        let founders = self.settings.bootstrap_replicas();
        while !self.is_founded() {
            let answers = self.ask_founders(&founders).await;
            let own = self.replica_status().id;
            let name = &self.settings.instance;
            let outcome = bootstrap::decide(own, name, &founders, &answers);
            if let Outcome::Bootstrap(config) = outcome
                && (self.settings.may_found || answers.values().any(|a| a.config == config))
            {
                spdlog::info!("first configuration taken", kv: { voters = config.voters.len() as u64 });
                self.drive(|driver, _| driver.replica.bootstrap(config));
                return;
            }
            Timer::after(Duration::from_millis(ASK_AGAIN_MS)).await;
        }
    }

    fn is_founded(&self) -> bool {
        self.core.borrow().replica().is_none_or(|replica| replica.is_bootstrapped())
    }

    async fn ask_founders(&self, founders: &[InstanceName]) -> BTreeMap<InstanceName, Status> {
        let mut answers = BTreeMap::new();
        for founder in founders.iter().filter(|name| **name != self.settings.instance) {
            match self.ask_status(founder).await {
                Ok(status) => {
                    answers.insert(founder.clone(), status);
                }
                Err(error) => spdlog::debug!("seed does not answer", kv: { error: }),
            }
        }
        answers
    }
}
