//! Placement: decides which endpoints load which version.
//!
//! The weight store is rate-limited, so all loads share one token bucket, and moves with the
//! nearest deadline go first. Every order carries a fencing token. An endpoint has at most one
//! outstanding order. An endpoint that ignores fencing tokens receives no order until every order
//! of an earlier leader has timed out.

use crate::moves::next_share_permille;
use crate::state::{MoveRecord, State};
use lycheehub_types::{EndpointName, EndpointRecord, FailureDomain, ServiceName, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// How long an order may take to deliver, in milliseconds; it is not sent after that.
pub const ORDER_TIMEOUT_MS: u64 = 2_000;
/// How long a new leader waits before it sends orders to endpoints that ignore fencing tokens, in
/// milliseconds.
const NEW_LEADER_DELAY_MS: u64 = ORDER_TIMEOUT_MS + 1_000;
/// How long an endpoint may take to load a version before the order is repeated, in milliseconds.
const LOAD_TIMEOUT_MS: u64 = 120_000;
/// The burst of loads that the weight store allows.
const LOADS_BURST: f64 = 2.0;
/// The sustained number of loads per minute that the weight store allows.
const LOADS_PER_MINUTE: f64 = 12.0;

/// A fencing token by which an endpoint rejects orders of an earlier leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FencingToken {
    /// The leader's term.
    pub term: u64,
    /// The number of this order within the term.
    pub counter: u64,
}

/// An order to an endpoint to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The endpoint's listen address, as `address:port`.
    pub address: SmolStr,
    /// The service.
    pub service: ServiceName,
    /// The version to load.
    pub version: Version,
    /// The fencing token.
    pub fence: FencingToken,
    /// The time after which the order must not be sent, in milliseconds by the leader's clock.
    pub valid_until_ms: u64,
}

/// The leader's current term and lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// The term.
    pub term: u64,
    /// When leadership began, in milliseconds by the leader's clock.
    pub since_ms: u64,
    /// When the leader's lease ends, in milliseconds by its clock.
    pub lease_until_ms: u64,
}

/// Decides load orders. Its state need not survive a leader change.
///
/// # Examples
/// ```
/// use lycheehub_control::placement::{Leadership, PlacementController};
///
/// let leadership = Leadership { term: 2, since_ms: 0, lease_until_ms: 9_000 };
/// let orders = PlacementController::default().tick(8_000, leadership, &Default::default(), &[]);
/// assert!(orders.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct PlacementController {
    term: u64,
    counter: u64,
    load_tokens: f64,
    refilled_ms: u64,
    outstanding: BTreeMap<EndpointName, (Version, u64)>,
}

impl PlacementController {
    /// Returns the orders that are due now for the live endpoints.
    pub fn tick(
        &mut self,
        now_ms: u64,
        leadership: Leadership,
        state: &State,
        live: &[&EndpointRecord],
    ) -> Vec<LoadOrder> {
        if self.term != leadership.term {
            *self = Self {
                term: leadership.term,
                load_tokens: LOADS_BURST,
                refilled_ms: now_ms,
                ..Self::default()
            };
        }
        self.refill(now_ms);
        self.outstanding.retain(|name, (version, since_ms)| {
            let loaded =
                live.iter().any(|record| record.endpoint == *name && record.version == *version);
            !loaded && now_ms < *since_ms + LOAD_TIMEOUT_MS
        });
        let mut orders = Vec::new();
        for (record, version) in self.pending_loads(state, live) {
            let may_order = record.fencing || now_ms >= leadership.since_ms + NEW_LEADER_DELAY_MS;
            if !may_order
                || self.load_tokens < 1.0
                || self.outstanding.contains_key(&record.endpoint)
            {
                continue;
            }
            self.load_tokens -= 1.0;
            self.counter += 1;
            self.outstanding.insert(record.endpoint.clone(), (version.clone(), now_ms));
            orders.push(LoadOrder {
                endpoint: record.endpoint.clone(),
                address: record.address.clone(),
                service: record.service.clone(),
                version,
                fence: FencingToken { term: leadership.term, counter: self.counter },
                valid_until_ms: leadership.lease_until_ms.min(now_ms + ORDER_TIMEOUT_MS),
            });
        }
        orders
    }

    fn refill(&mut self, now_ms: u64) {
        const MINUTE_MS: f64 = 60_000.0;
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms) as f64;
        self.load_tokens =
            (self.load_tokens + elapsed_ms * LOADS_PER_MINUTE / MINUTE_MS).min(LOADS_BURST);
        self.refilled_ms = now_ms;
    }

    /// Returns the endpoints that should load another version, most urgent first.
    fn pending_loads<'a>(
        &self,
        state: &State,
        live: &[&'a EndpointRecord],
    ) -> Vec<(&'a EndpointRecord, Version)> {
        let mut moves: Vec<&MoveRecord> =
            state.moves.values().filter(|record| !record.phase.is_final()).collect();
        moves.sort_by_key(|record| record.spec.by_unix_ms);
        let mut pending = Vec::new();
        for record in &moves {
            pending.extend(self.next_load_of_move(record, live));
        }
        for endpoint in live.iter().filter(|endpoint| endpoint.takes_orders) {
            let Some(serving) = state.serving(&endpoint.service) else { continue };
            let in_move = moves.iter().any(|record| {
                let versions = [&record.from, &record.spec.to];
                record.spec.service == endpoint.service && versions.contains(&&endpoint.version)
            });
            if endpoint.version != serving && !in_move {
                pending.push((*endpoint, serving));
            }
        }
        pending
    }

    /// Returns the next endpoint to load the version of a move, if one is needed. The move needs
    /// enough endpoints to carry its next share of traffic. They are taken from the failure domain
    /// with the most endpoints of the old version, and at least one endpoint keeps the old version.
    fn next_load_of_move<'a>(
        &self,
        record: &MoveRecord,
        live: &[&'a EndpointRecord],
    ) -> Option<(&'a EndpointRecord, Version)> {
        let of_service = |endpoint: &&&EndpointRecord| endpoint.service == record.spec.service;
        let serving: Vec<&'a EndpointRecord> = live.iter().filter(of_service).copied().collect();
        let to = &record.spec.to;
        let ordered = |endpoint: &EndpointRecord| {
            self.outstanding.get(&endpoint.endpoint).is_some_and(|(version, _)| version == to)
        };
        let new =
            serving.iter().filter(|endpoint| endpoint.version == *to || ordered(endpoint)).count();
        let share = next_share_permille(record) as usize;
        let target = (serving.len() * share).div_ceil(1_000).min(serving.len().saturating_sub(1));
        if new >= target.max(1) {
            return None;
        }
        let mut old_in: BTreeMap<&FailureDomain, Vec<&'a EndpointRecord>> = BTreeMap::new();
        for endpoint in serving.into_iter().filter(|endpoint| endpoint.version == record.from) {
            old_in.entry(&endpoint.failure_domain).or_default().push(endpoint);
        }
        if old_in.values().map(Vec::len).sum::<usize>() <= 1 {
            return None;
        }
        let fullest = old_in.into_values().max_by_key(Vec::len)?;
        let free = |endpoint: &&EndpointRecord| endpoint.takes_orders && !ordered(endpoint);
        Some((fullest.into_iter().find(free)?, to.clone()))
    }
}
