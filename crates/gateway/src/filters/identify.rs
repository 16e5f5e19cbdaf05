//! Identifies the client account by its key.

use super::exchange::Caller;
use super::{Exchange, Filter};
use crate::Gateway;
use crate::keys::digest;
use lycheehub_types::{Refusal, RefusalKind};
use subtle::ConstantTimeEq;

/// Identifies the client account by its key.
pub(super) struct Identify;

impl Filter for Identify {
    fn name(&self) -> &'static str {
        "identify"
    }

    fn apply(&self, gateway: &Gateway, exchange: &mut Exchange) -> Result<(), Refusal> {
        let unauthorized = || {
            Refusal::new(
                RefusalKind::Unauthorized,
                "expected the key of a client account as bearer",
            )
        };
        let key = exchange.api_key.as_deref().ok_or_else(unauthorized)?;
        let given_digest = hex::encode(digest(key));
        let view = gateway.views.latest();
        let mut matching = None;
        for (name, account) in &view.estate.accounts {
            if bool::from(account.key_sha256.as_bytes().ct_eq(given_digest.as_bytes())) {
                matching = Some((name, account));
            }
        }
        let (name, account) = matching.ok_or_else(unauthorized)?;
        exchange.caller =
            Caller { account: name.clone(), tier: Some(account.tier), weight: account.weight };
        Ok(())
    }
}
