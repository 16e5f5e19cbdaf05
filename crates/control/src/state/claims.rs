//! Claims on idempotency keys: only the first claimant may dispatch the request.

use super::ClaimOutcome;
use lycheehub_types::{AccountName, InstanceName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::{BTreeMap, VecDeque};

/// How long a claim is retained after it was made, in milliseconds.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// The maximum number of claims.
pub const CLAIMS_MAX: usize = 500_000;

/// An idempotency key of one client account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The account.
    pub account: AccountName,
    /// The key, as the caller gave it.
    pub key: SmolStr,
}

/// The instance and request that claimed a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimant {
    /// The instance.
    pub instance: InstanceName,
    /// The instance's incarnation.
    pub incarnation: u64,
    /// The request's number on that instance.
    pub request: u64,
}

/// The state of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The request was claimed, and its outcome is not known yet.
    Open,
    /// The request ran and was answered.
    Answered,
    /// The request did not run; the key may be claimed again.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The claimant, which may dispatch the request.
    pub claimant: Claimant,
    /// A digest of the request.
    pub fingerprint: u64,
    /// The state of the request.
    pub state: ClaimState,
    /// When the claim was made, in milliseconds since the Unix epoch.
    pub made_unix_ms: u64,
}

/// All retained claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    by_key: BTreeMap<ClaimKey, Claim>,
    order: VecDeque<(u64, ClaimKey)>,
}

impl Claims {
    /// Returns the claim on `key`.
    pub fn get(&self, key: &ClaimKey) -> Option<&Claim> {
        self.by_key.get(key)
    }

    /// Returns the number of retained claims.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Tells whether there are no retained claims.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    pub(super) fn claim(
        &mut self,
        key: ClaimKey,
        claimant: Claimant,
        fingerprint: u64,
        now_unix_ms: u64,
    ) -> ClaimOutcome {
        self.expire(now_unix_ms);
        if let Some(claim) = self.by_key.get(&key) {
            return outcome_of(claim, &claimant, fingerprint);
        }
        if self.by_key.len() >= CLAIMS_MAX {
            return ClaimOutcome::Full;
        }
        let claim =
            Claim { claimant, fingerprint, state: ClaimState::Open, made_unix_ms: now_unix_ms };
        self.order.push_back((now_unix_ms, key.clone()));
        self.by_key.insert(key, claim);
        ClaimOutcome::Granted
    }

    pub(super) fn settle(&mut self, key: &ClaimKey, claimant: &Claimant, state: ClaimState) {
        let Some(claim) = self.by_key.get_mut(key) else { return };
        if claim.claimant != *claimant || claim.state != ClaimState::Open {
            return;
        }
        if state == ClaimState::NotRun {
            self.by_key.remove(key);
            return;
        }
        claim.state = state;
    }

    fn expire(&mut self, now_unix_ms: u64) {
        while let Some((made_unix_ms, _)) = self.order.front() {
            if made_unix_ms + CLAIM_RETENTION_MS > now_unix_ms {
                return;
            }
            let Some((made_unix_ms, key)) = self.order.pop_front() else { return };
            let is_expired_claim =
                self.by_key.get(&key).is_some_and(|claim| claim.made_unix_ms == made_unix_ms);
            if is_expired_claim {
                self.by_key.remove(&key);
            }
        }
    }
}

/// Returns the outcome of a claim on a key that is already claimed. A claimant that repeats its own
/// open claim, because the reply was lost, is granted it again.
fn outcome_of(claim: &Claim, claimant: &Claimant, fingerprint: u64) -> ClaimOutcome {
    if claim.fingerprint != fingerprint {
        return ClaimOutcome::OtherRequest;
    }
    if claim.claimant == *claimant && claim.state == ClaimState::Open {
        return ClaimOutcome::Granted;
    }
    ClaimOutcome::Taken { claimant: claim.claimant.clone(), state: claim.state }
}
