//! Refuses requests while the instance may not serve.

use super::{Exchange, Filter};
use crate::Gateway;
use lycheehub_types::{Refusal, RefusalKind};

/// The time after which a caller is asked to come back, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Refuses requests of a stopping instance, and of one whose configuration is not confirmed yet.
pub(super) struct Ready;

impl Filter for Ready {
    fn name(&self) -> &'static str {
        "ready"
    }

    fn apply(&self, gateway: &Gateway, _: &mut Exchange) -> Result<(), Refusal> {
        if gateway.is_stopping() {
            let message = "this instance is shutting down";
            return Err(Refusal::retry(RefusalKind::Stopping, message, RETRY_MS));
        }
        if !gateway.views.latest().ready {
            let message = "this instance has not yet confirmed its configuration";
            return Err(Refusal::retry(RefusalKind::NoQuorum, message, RETRY_MS));
        }
        Ok(())
    }
}
