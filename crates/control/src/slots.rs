//! Allocates the slots of each endpoint to instances as leases. The sum of the leases never exceeds
//! the endpoint's slots.

use lycheehub_types::{EndpointName, InstanceName, Tier};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The lease duration of a grant, in milliseconds.
pub const GRANT_LEASE_MS: u64 = 2_000;

/// Returns a digest by which two instances check that they hold the same set of grants.
pub fn grants_digest<'a>(grants: impl IntoIterator<Item = (&'a EndpointName, u32)>) -> u64 {
    grants.into_iter().fold(0, |digest, (endpoint, slots)| {
        xxh3_64_with_seed(endpoint.as_str().as_bytes(), digest ^ u64::from(slots))
    })
}

/// The demand of an instance on one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Slots in use now.
    pub in_use: u32,
    /// Slots that the instance could use, by tier rank.
    pub wanted: [u32; Tier::COUNT as usize],
}

impl Demand {
    /// Tells whether no slots are in use or wanted.
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

/// Tracks and allocates slot grants on the leader.
///
/// # Examples
/// ```
/// use lycheehub_control::slots::{Demand, SlotAllocator};
///
/// let mut allocator = SlotAllocator::default();
/// let idle = Demand::default();
/// let first = allocator.grant(0, &"engine".into(), 8, &"a".into(), idle);
/// let second = allocator.grant(0, &"engine".into(), 8, &"b".into(), idle);
/// assert!(first + second <= 8);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlotAllocator {
    holders: BTreeMap<EndpointName, BTreeMap<InstanceName, Holder>>,
}

impl SlotAllocator {
    /// Records an instance's demand on an endpoint and returns the number of slots granted to it.
    ///
    /// A grant is limited by the unexpired grants of other instances, so the sum of all grants
    /// never exceeds `slots`.
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
        let target = fair_share(slots, holders, instance);
        let others = holders.iter().filter(|(name, _)| *name != instance);
        let held: u32 = others.map(|(_, holder)| holder.outstanding(now_ms)).sum();
        let granted = target.min(slots.saturating_sub(held));
        if let Some(holder) = holders.get_mut(instance) {
            holder.granted = granted;
            holder.expires_ms = now_ms + GRANT_LEASE_MS;
        }
        granted
    }

    /// Removes endpoints for which `live` returns false.
    pub fn retain(&mut self, live: impl Fn(&EndpointName) -> bool) {
        self.holders.retain(|endpoint, _| live(endpoint));
    }
}

/// Computes one instance's share: demand of higher tiers first, evenly within a tier. Slots beyond
/// the total demand are split evenly.
fn fair_share(
    slots: u32,
    holders: &BTreeMap<InstanceName, Holder>,
    instance: &InstanceName,
) -> u32 {
    let mut remaining = slots;
    let mut shares: BTreeMap<&InstanceName, u32> = holders.keys().map(|name| (name, 0)).collect();
    for rank in 0..usize::from(Tier::COUNT) {
        let wants = holders.iter().map(|(name, holder)| (name, holder.demand.wanted[rank]));
        remaining = distribute(remaining, wants.collect(), &mut shares);
    }
    let idle =
        holders.iter().map(|(name, holder)| (name, slots.saturating_sub(holder.demand.total())));
    distribute(remaining, idle.collect(), &mut shares);
    shares.get(instance).copied().unwrap_or(0)
}

/// Distributes `remaining` slots evenly, to each instance at most the number it wants, and returns
/// the slots that no instance wants.
fn distribute<'a>(
    mut remaining: u32,
    mut wants: Vec<(&'a InstanceName, u32)>,
    shares: &mut BTreeMap<&'a InstanceName, u32>,
) -> u32 {
    while remaining > 0 {
        wants.retain(|(_, want)| *want > 0);
        if wants.is_empty() {
            return remaining;
        }
        let each = (remaining / wants.len() as u32).max(1);
        for (name, want) in &mut wants {
            let given = each.min(*want).min(remaining);
            *want -= given;
            remaining -= given;
            *shares.entry(*name).or_default() += given;
        }
    }
    remaining
}
