//! What client accounts may use.
//!
//! Load pattern: one account sends many times its usual. A bucket that refills at the quota's rate
//! lets through what the quota allows in any window and no more; what is over it is refused at
//! once, so that it takes nothing from the others.

use crate::Options;
use lycheehub_routes::Quota;
use lycheehub_types::AccountName;
use std::collections::BTreeMap;

/// The part of a bucket that is full where nothing is known of earlier use.
const FIRST_FILL: f64 = 0.5;
/// The part of the allowed overshoot that is used, so that refusals begin above the quota.
const OVERSHOOT_USED: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    quota: Quota,
    units: f64,
    filled_ms: u64,
}

/// The buckets of all accounts that were seen.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    buckets: BTreeMap<AccountName, Bucket>,
}

impl Quotas {
    /// Takes `units` of an account; otherwise returns after how many milliseconds there are as many.
    ///
    /// # Errors
    /// Fails where the account has used up its quota.
    pub fn take(
        &mut self,
        now_ms: u64,
        options: &Options,
        account: &AccountName,
        quota: &Quota,
        units: f64,
    ) -> Result<(), u64> {
        let rate = quota.units_per_s
            * options.budget_share
            * (1.0 + options.quota_overshoot * OVERSHOOT_USED);
        let slack = options.quota_slack_units * OVERSHOOT_USED;
        let capacity = (quota.burst_units + slack) * options.budget_share;
        let bucket = self.buckets.entry(account.clone()).or_insert(Bucket {
            quota: *quota,
            units: capacity * FIRST_FILL,
            filled_ms: now_ms,
        });
        if bucket.quota != *quota {
            bucket.quota = *quota;
            bucket.units = bucket.units.min(capacity);
        }
        let passed_s = now_ms.saturating_sub(bucket.filled_ms) as f64 / 1e3;
        bucket.units = (bucket.units + passed_s * rate).min(capacity);
        bucket.filled_ms = now_ms;
        // A request larger than the bucket passes when the bucket is full, and leaves a debt.
        if bucket.units < units.min(capacity) {
            let lacks = units.min(capacity) - bucket.units;
            return Err((lacks / rate.max(1.0) * 1e3).ceil() as u64);
        }
        bucket.units -= units;
        Ok(())
    }

    /// Gives back what a request took that was not sent anywhere.
    pub fn give_back(&mut self, account: &AccountName, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.units += units;
        }
    }
}
