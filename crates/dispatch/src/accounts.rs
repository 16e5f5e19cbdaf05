//! What client accounts have used of a service lately, for equal shares in overload.
//!
//! Load pattern: one client account sends many times as much as the others, and together they want more than
//! there is. If all are served in the same proportion, the small ones are refused for the large one. Each
//! account is therefore charged the time for which its requests hold slots, and who was charged least goes
//! first: an account that wants less than an equal share gets all of it.
//!
//! An account is charged by how much it got, not by how much it asked for. What was used long ago is
//! forgotten, so that an account that was alone for a while does not wait for that later.

use crate::decay::Decay;
use lycheehub_types::AccountName;
use std::collections::BTreeMap;

/// The time in which half of what was used is forgotten, in milliseconds.
const HALF_LIFE_MS: f64 = 5_000.0;
/// What is left of the use of an account when it is forgotten, in milliseconds of a slot.
const FORGOTTEN_MS: f64 = 1.0;

/// The slot time that client accounts have used lately.
///
/// # Examples
/// ```
/// use lycheehub_dispatch::accounts::AccountUsage;
///
/// let large = Some("packhouse".into());
/// let mut usage = AccountUsage::default();
/// usage.record(1_000, &large, 800.0);
/// assert!(usage.used_ms(&large) > usage.used_ms(&None));
/// usage.record(6_000, &None, 500.0);
/// assert!(usage.used_ms(&large) < usage.used_ms(&None));
/// ```
#[derive(Clone, Debug, Default)]
pub struct AccountUsage {
    used_ms: BTreeMap<Option<AccountName>, f64>,
    decay: Decay,
}

impl AccountUsage {
    /// Records that a request of an account will hold a slot for `slot_ms`.
    pub fn record(&mut self, now_ms: u64, account: &Option<AccountName>, slot_ms: f64) {
        self.decay(now_ms);
        *self.used_ms.entry(account.clone()).or_default() += slot_ms;
    }

    /// Returns what an account has used lately, in milliseconds of a slot.
    pub fn used_ms(&self, account: &Option<AccountName>) -> f64 {
        self.used_ms.get(account).copied().unwrap_or_default()
    }

    /// Forgets what was used long ago, and the accounts of which nothing is left.
    fn decay(&mut self, now_ms: u64) {
        let Some(left) = self.decay.part_left(now_ms, HALF_LIFE_MS) else { return };
        self.used_ms.values_mut().for_each(|used_ms| *used_ms *= left);
        self.used_ms.retain(|_, used_ms| *used_ms >= FORGOTTEN_MS);
    }
}
