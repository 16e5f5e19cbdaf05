//! Grants never sum to more than the endpoint's slots, whatever instances demand and whichever of
//! them fail.

use crate::fixtures::config;
use lycheehub_control::slots::{Demand, GRANT_LEASE_MS, SlotAllocator};
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::BTreeMap;

proptest! {
    #![proptest_config(config(1_000))]

    #[test]
    fn grants_never_sum_to_more_than_the_slots(
        slots in 1..40_u32,
        reports in vec((0..8_u8, proptest::array::uniform5(0..9_u32), 0..1_200_u64), 1..150),
    ) {
        let mut allocator = SlotAllocator::default();
        let mut held: BTreeMap<u8, (u32, u64)> = BTreeMap::new();
        let mut now_ms = 0;
        for (instance, wanted, pause_ms) in reports {
            now_ms += pause_ms;
            held.retain(|_, (_, until_ms)| now_ms < *until_ms);
            let in_use = held.get(&instance).map_or(0, |(granted, _)| *granted);
            let demand = Demand { in_use, wanted };
            let name = format!("entry-{instance}").into();
            let granted = allocator.grant(now_ms, &"engine".into(), slots, &name, demand);
            held.insert(instance, (granted, now_ms + GRANT_LEASE_MS));
            let sum: u32 = held.values().map(|(granted, _)| granted).sum();
            prop_assert!(sum <= slots, "{sum} granted of {slots}");
        }
    }
}

#[test]
fn slots_go_to_the_instance_with_the_higher_tier_first() {
    let mut allocator = SlotAllocator::default();
    let (a, b) = ("a".into(), "b".into());
    let low = Demand { in_use: 0, wanted: [0, 0, 0, 0, 8] };
    let high = Demand { in_use: 0, wanted: [6, 0, 0, 0, 0] };
    let mut granted = (0, 0);
    for turn in 0..4 {
        granted.0 = allocator.grant(turn * 250, &"engine".into(), 8, &a, low);
        granted.1 = allocator.grant(turn * 250 + 1, &"engine".into(), 8, &b, high);
    }
    assert_eq!(granted, (2, 6));
}

#[test]
fn slots_of_a_dead_instance_are_released() {
    let mut allocator = SlotAllocator::default();
    let want = Demand { in_use: 0, wanted: [8, 0, 0, 0, 0] };
    assert_eq!(allocator.grant(0, &"engine".into(), 8, &"dead".into(), want), 8);
    assert_eq!(allocator.grant(1, &"engine".into(), 8, &"alive".into(), want), 0);
    assert_eq!(allocator.grant(GRANT_LEASE_MS, &"engine".into(), 8, &"alive".into(), want), 8);
}
