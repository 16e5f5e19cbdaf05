//! Shares the slots of each endpoint out between instances, as leases that never sum to more than
//! the endpoint has.

use lycheehub_types::{EndpointName, InstanceName, Tier};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a grant holds, in milliseconds.
pub const GRANT_LEASE_MS: u64 = 2_000;

/// Returns a digest by which two instances tell whether they mean the same grants.
pub fn digest_of<'a>(grants: impl IntoIterator<Item = (&'a EndpointName, u32)>) -> u64 {
    grants.into_iter().fold(0, |digest, (endpoint, slots)| {
        xxh3_64_with_seed(endpoint.as_str().as_bytes(), digest ^ u64::from(slots))
    })
}

/// What an instance wants of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Slots that it uses now.
    pub in_use: u32,
    /// Slots that it could use, by tier rank.
    pub wanted: [u32; Tier::COUNT as usize],
}

impl Demand {
    /// Tells whether nothing is used or wanted.
    pub fn is_idle(&self) -> bool {
        self.in_use == 0 && self.total() == 0
    }

    fn total(&self) -> u32 {
        self.wanted.iter().sum()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Holder {
    demand: Demand,
    granted: u32,
    expires_ms: u64,
}

impl Holder {
    fn outstanding(&self, now_ms: u64) -> u32 {
        if now_ms < self.expires_ms { self.granted.max(self.demand.in_use) } else { 0 }
    }
}

/// The leader's book of grants.
///
/// # Examples
/// ```
/// use lycheehub_control::slots::{Demand, SlotBook};
///
/// let mut book = SlotBook::default();
/// let idle = Demand::default();
/// let first = book.grant(0, &"engine".into(), 8, &"a".into(), idle);
/// let second = book.grant(0, &"engine".into(), 8, &"b".into(), idle);
/// assert!(first + second <= 8);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlotBook {
    holders: BTreeMap<EndpointName, BTreeMap<InstanceName, Holder>>,
}

impl SlotBook {
    /// Takes an instance's demand on an endpoint and returns the slots granted to it.
    ///
    /// A grant is cut by what others still hold, so the sum of all grants stays within `slots`.
    pub fn grant(
        &mut self,
        now_ms: u64,
        endpoint: &EndpointName,
        slots: u32,
        instance: &InstanceName,
        demand: Demand,
    ) -> u32 {
        let holders = self.holders.entry(endpoint.clone()).or_default();
        holders.retain(|name, holder| name == instance || now_ms < holder.expires_ms);
        holders.entry(instance.clone()).or_default().demand = demand;
        let target = share_of(slots, holders, instance);
        let others = holders.iter().filter(|(name, _)| *name != instance);
        let held: u32 = others.map(|(_, holder)| holder.outstanding(now_ms)).sum();
        let granted = target.min(slots.saturating_sub(held));
        if let Some(holder) = holders.get_mut(instance) {
            holder.granted = granted;
            holder.expires_ms = now_ms + GRANT_LEASE_MS;
        }
        granted
    }

    /// Forgets endpoints that are not among `live`.
    pub fn retain(&mut self, live: impl Fn(&EndpointName) -> bool) {
        self.holders.retain(|endpoint, _| live(endpoint));
    }
}

/// Works out one instance's share: higher tiers' demand first, evenly within a tier, and what is
/// left over evenly.
fn share_of(slots: u32, holders: &BTreeMap<InstanceName, Holder>, instance: &InstanceName) -> u32 {
    let mut left = slots;
    let mut shares: BTreeMap<&InstanceName, u32> = holders.keys().map(|name| (name, 0)).collect();
    for rank in 0..usize::from(Tier::COUNT) {
        let wants = holders.iter().map(|(name, holder)| (name, holder.demand.wanted[rank]));
        left = fill(left, wants.collect(), &mut shares);
    }
    let idle =
        holders.iter().map(|(name, holder)| (name, slots.saturating_sub(holder.demand.total())));
    fill(left, idle.collect(), &mut shares);
    shares.get(instance).copied().unwrap_or(0)
}

/// Gives `left` slots out one by one in turn, to each up to what it wants; returns the rest.
fn fill<'a>(
    mut left: u32,
    mut wants: Vec<(&'a InstanceName, u32)>,
    shares: &mut BTreeMap<&'a InstanceName, u32>,
) -> u32 {
    while left > 0 {
        wants.retain(|(_, want)| *want > 0);
        if wants.is_empty() {
            return left;
        }
        let each = (left / wants.len() as u32).max(1);
        for (name, want) in &mut wants {
            let given = each.min(*want).min(left);
            *want -= given;
            left -= given;
            *shares.entry(*name).or_default() += given;
        }
    }
    left
}
