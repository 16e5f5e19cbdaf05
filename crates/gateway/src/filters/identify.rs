//! Finds the client account by its key.

use super::exchange::Caller;
use super::{Exchange, Filter};
use crate::Gateway;
use crate::keys::digest;
use lycheehub_types::{Refusal, RefusalKind};
use subtle::ConstantTimeEq;

/// Finds the client account by its key.
pub(super) struct Identify;

impl Filter for Identify {
    fn name(&self) -> &'static str {
        "identify"
    }

    fn apply(&self, gateway: &Gateway, exchange: &mut Exchange) -> Result<(), Refusal> {
        let refused = || {
            Refusal::new(
                RefusalKind::Unauthorized,
                "expected the key of a client account as bearer",
            )
        };
        let key = exchange.key.as_deref().ok_or_else(refused)?;
        let given = hex::encode(digest(key));
        let view = gateway.views.latest();
        let mut found = None;
        for (name, account) in &view.estate.accounts {
            if bool::from(account.key_sha256.as_bytes().ct_eq(given.as_bytes())) {
                found = Some((name, account));
            }
        }
        let (name, account) = found.ok_or_else(refused)?;
        exchange.caller =
            Caller { account: name.clone(), tier: Some(account.tier), weight: account.weight };
        Ok(())
    }
}
