//! Placement: which endpoints are ordered to load which version.
//!
//! Loads pass one token bucket, since the weight store is rate-limited; moves whose time is nearest
//! go first. Every order carries a fencing number. An endpoint has at most one order outstanding,
//! and one that ignores fencing numbers gets none until every order of an earlier leader has
//! timed out.

use crate::moves::next_share_permille;
use crate::state::{MoveRecord, State};
use lycheehub_types::{EndpointName, EndpointRecord, FailureDomain, ServiceName, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// How long an order may take on its way, in milliseconds; after that it is not sent.
pub const ORDER_TIMEOUT_MS: u64 = 2_000;
/// How long a new leader leaves endpoints alone that ignore fencing numbers, in milliseconds.
const SETTLE_MS: u64 = ORDER_TIMEOUT_MS + 1_000;
/// How long an endpoint may take to load before it is ordered again, in milliseconds.
const LOAD_TIMEOUT_MS: u64 = 120_000;
/// How many loads the weight store allows in a row.
const LOADS_BURST: f64 = 2.0;
/// How many loads the weight store allows in a minute.
const LOADS_PER_MINUTE: f64 = 12.0;

/// The number by which an endpoint tells an old leader's order from a new one's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// The leader's term.
    pub term: u64,
    /// Counts the leader's orders.
    pub counter: u64,
}

/// An order to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Where it listens, as `address:port`.
    pub address: SmolStr,
    /// The service.
    pub service: ServiceName,
    /// The version to load.
    pub version: Version,
    /// The fencing number.
    pub fence: Fence,
    /// When the order must not be sent any more, in milliseconds by the leader's clock.
    pub valid_until_ms: u64,
}

/// What the leader knows of its leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// The term.
    pub term: u64,
    /// Since when it leads, in milliseconds by its clock.
    pub since_ms: u64,
    /// When its lease ends, in milliseconds by its clock.
    pub lease_until_ms: u64,
}

/// Decides orders; what it keeps may be lost with the leader.
///
/// # Examples
/// ```
/// use lycheehub_control::placement::{Leadership, Placer};
///
/// let leadership = Leadership { term: 2, since_ms: 0, lease_until_ms: 9_000 };
/// let orders = Placer::default().tick(8_000, leadership, &Default::default(), &[]);
/// assert!(orders.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Placer {
    term: u64,
    counter: u64,
    loads: f64,
    refilled_ms: u64,
    outstanding: BTreeMap<EndpointName, (Version, u64)>,
}

impl Placer {
    /// Decides the orders that are due now, of the endpoints that are live.
    pub fn tick(
        &mut self,
        now_ms: u64,
        leadership: Leadership,
        state: &State,
        live: &[&EndpointRecord],
    ) -> Vec<Order> {
        if self.term != leadership.term {
            *self = Self {
                term: leadership.term,
                loads: LOADS_BURST,
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
        for (record, version) in self.wanted(state, live) {
            let may = record.fencing || now_ms >= leadership.since_ms + SETTLE_MS;
            if !may || self.loads < 1.0 || self.outstanding.contains_key(&record.endpoint) {
                continue;
            }
            self.loads -= 1.0;
            self.counter += 1;
            self.outstanding.insert(record.endpoint.clone(), (version.clone(), now_ms));
            orders.push(Order {
                endpoint: record.endpoint.clone(),
                address: record.address.clone(),
                service: record.service.clone(),
                version,
                fence: Fence { term: leadership.term, counter: self.counter },
                valid_until_ms: leadership.lease_until_ms.min(now_ms + ORDER_TIMEOUT_MS),
            });
        }
        orders
    }

    fn refill(&mut self, now_ms: u64) {
        const MINUTE_MS: f64 = 60_000.0;
        let passed_ms = now_ms.saturating_sub(self.refilled_ms) as f64;
        self.loads = (self.loads + passed_ms * LOADS_PER_MINUTE / MINUTE_MS).min(LOADS_BURST);
        self.refilled_ms = now_ms;
    }

    /// Returns the endpoints that should load another version, most urgent first.
    fn wanted<'a>(
        &self,
        state: &State,
        live: &[&'a EndpointRecord],
    ) -> Vec<(&'a EndpointRecord, Version)> {
        let mut moves: Vec<&MoveRecord> =
            state.moves.values().filter(|record| !record.phase.is_final()).collect();
        moves.sort_by_key(|record| record.spec.by_unix_ms);
        let mut wanted = Vec::new();
        for record in &moves {
            wanted.extend(self.wanted_by_move(record, live));
        }
        for endpoint in live.iter().filter(|endpoint| endpoint.takes_orders) {
            let Some(serving) = state.serving(&endpoint.service) else { continue };
            let in_move = moves.iter().any(|record| {
                let versions = [&record.from, &record.spec.to];
                record.spec.service == endpoint.service && versions.contains(&&endpoint.version)
            });
            if endpoint.version != serving && !in_move {
                wanted.push((*endpoint, serving));
            }
        }
        wanted
    }

    /// A move needs as many endpoints as its next share of traffic fills, taken from the failure
    /// domain that has the most of the old version, and leaves the old version one.
    fn wanted_by_move<'a>(
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
