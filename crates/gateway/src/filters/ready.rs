//! Refuses requests while the instance is not ready to serve.

use super::{Exchange, Filter};
use crate::Gateway;
use lycheehub_types::{Refusal, RefusalKind};

/// The `Retry-After` of a refusal, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Refuses requests while the instance is stopping or has not yet confirmed its configuration.
pub(super) struct Ready;

impl Filter for Ready {
    fn name(&self) -> &'static str {
        "ready"
    }

    fn apply(&self, gateway: &Gateway, _: &mut Exchange) -> Result<(), Refusal> {
        if gateway.is_stopping() {
            let message = "this instance is shutting down";
            return Err(Refusal::retry(RefusalKind::Stopping, message, RETRY_AFTER_MS));
        }
        if !gateway.views.latest().ready {
            let message = "this instance has not yet confirmed its configuration";
            return Err(Refusal::retry(RefusalKind::NoQuorum, message, RETRY_AFTER_MS));
        }
        Ok(())
    }
}
