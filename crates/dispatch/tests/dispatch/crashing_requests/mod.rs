//! A request on which endpoints crash is kept from them, whatever its kind, and no sound one is.

mod alone;
mod ended;
mod trials;
mod world;

use crate::replay::finished;
use googletest::prelude::*;
use lycheehub_dispatch::crashes::{CrashReport, Quarantine, RequestDigest, Suspect};
use lycheehub_dispatch::{Finished, Options, Outcome, UsageReport};
use world::*;

#[gtest]
fn a_crashing_request_of_any_kind_reaches_few_endpoints_after_the_third_crash() {
    for kind in [UNSAFE, SAFE, STREAM, LATE_STREAM, PROMPTLESS_STREAM] {
        for engines in [4, 18, 60] {
            for per_s in [0.5, 2.0, 20.0] {
                let mut world = World::new(engines, 1);
                for _ in 0..6_000 {
                    world.send_sound(60.0, Kind { attempts_max: 2, ..kind });
                    world.send_crashing(per_s, kind);
                    world.step();
                }
                let load = format!("{kind:?}, {engines} engines, {per_s} a second");
                expect_that!(world.further(), le(FURTHER_MAX), "{load}");
                expect_that!(world.answered, ge(3_200), "{load}");
            }
        }
    }
}

#[gtest]
fn a_crashing_request_is_kept_away_where_hardly_anything_else_is_sent() {
    for kind in [UNSAFE, SAFE] {
        for per_s in [0.0, 1.0] {
            let mut world = World::new(4, 1);
            for _ in 0..9_000 {
                world.send_sound(per_s, kind);
                world.send_crashing(2.0, kind);
                world.step();
            }
            expect_that!(world.further(), le(FURTHER_MAX), "{kind:?}, {per_s} sound a second");
        }
    }
}

#[gtest]
fn an_instance_that_decides_alone_places_a_new_request_no_more_after_its_own_first_crash() {
    for kind in [UNSAFE, SAFE, STREAM, LATE_STREAM] {
        let options: Vec<Options> =
            (0..5).map(|salt| Options::default().for_one_of(5, salt)).collect();
        let mut world = World::with_options(18, 1, &options);
        for _ in 0..3_000 {
            world.send_sound(60.0, Kind { attempts_max: 2, ..kind });
            world.send_crashing(5.0, kind);
            world.step();
        }
        expect_that!(world.first_crash_ms.len(), eq(5), "{kind:?}");
        expect_that!(world.placed_after_own_crash, eq(0), "{kind:?}");
    }
}

#[gtest]
fn neither_a_retry_nor_a_callers_own_repeat_takes_a_request_that_was_alone_to_a_second_endpoint() {
    for kind in [UNSAFE, SAFE, PROMPTLESS_EARLY_STREAM] {
        let mut world = World::new(6, 1);
        // Another instance is known, so one lost connection alone proves no crash.
        for _ in 0..200 {
            world.send_sound(80.0, kind);
            world.step();
        }
        for _ in 0..100 {
            world.step();
        }
        world.send(CRASHING, kind);
        for _ in 0..200 {
            world.step();
        }
        world.send(CRASHING, kind);
        expect_that!(world.crashed_ms.len(), eq(1), "{kind:?}");
        expect_that!(world.refused_crashing, ge(1), "{kind:?}");
    }
}

#[gtest]
fn a_stream_that_a_reset_connection_broke_off_is_resumed() {
    let mut world = World::new(6, 1);
    for _ in 0..200 {
        world.send_sound(40.0, LATE_STREAM);
        world.step();
    }
    (0..200).for_each(|_| world.step());
    world.send(POPULAR, LATE_STREAM);
    while !world.running.values().any(|running| running.has_begun) {
        world.step();
    }
    let (key, running) = world.running.pop_first().unwrap();
    let broken = finished(key.1, Outcome::Broken);
    world.dispatchers[0].finish(world.now_ms, Finished { is_connection_lost: true, ..broken });
    world.submit(key.0, Attempt { sends: 1, ..running.attempt });
    expect_that!(world.refused_sound, eq(0));
    expect_that!(world.running.len(), eq(1));
}

#[gtest]
fn a_stream_that_crashes_an_idle_endpoint_is_resumed_at_one_further() {
    let mut world = World::new(6, 1);
    for _ in 0..200 {
        world.send_sound(40.0, LATE_STREAM);
        world.step();
    }
    (0..200).for_each(|_| world.step());
    for _ in 0..10 {
        world.send(CRASHING, LATE_STREAM);
        (0..50).for_each(|_| world.step());
    }
    expect_that!(world.crashed_ms.len(), eq(2));
}

#[gtest]
fn crashes_with_other_causes_accuse_no_popular_request_and_refuse_few_others() {
    for seed in 0..4 {
        for kind in [SAFE, PROMPTLESS_STREAM, STREAM] {
            let mut world = World::new(18, seed);
            for tick in 0..4_000_u64 {
                if world.is_due(20.0) {
                    world.send(POPULAR, kind);
                }
                world.send_sound(80.0, kind);
                if tick % 150 == 100 {
                    world.crash_random();
                }
                world.step();
            }
            let accused = world.dispatchers[0].quarantines(world.now_ms);
            expect_that!(accused, is_empty(), "seed {seed}, {kind:?}");
            // A request that was alone at a crash is not sent again.
            expect_that!(world.refused_sound, le(26), "seed {seed}, {kind:?}");
        }
    }
}

#[gtest]
fn reset_connections_of_endpoints_that_answer_on_accuse_no_request() {
    let mut world = World::new(4, 1);
    for _ in 0..4_000 {
        world.send_sound(60.0, UNSAFE);
        if world.is_due(5.0) {
            world.send(POPULAR, SAFE);
        }
        let unlucky = world.running.keys().next().copied();
        if let Some(key) = unlucky.filter(|_| world.is_due(5.0)) {
            world.running.remove(&key);
            let broken = finished(key.1, Outcome::Broken);
            let lost = Finished { first_byte_ms: None, is_connection_lost: true, ..broken };
            world.dispatchers[0].finish(world.now_ms, lost);
        }
        world.step();
    }
    expect_that!(world.dispatchers[0].quarantines(world.now_ms), is_empty());
}

#[gtest]
fn a_wrongly_accused_request_is_served_again_after_its_trial() {
    let mut world = World::new(12, 1);
    // It is sent only where endpoints happen to crash.
    for _ in 0..6 {
        for _ in 0..1_100 {
            world.send_sound(60.0, SAFE);
            world.step();
        }
        world.send(POPULAR, UNSAFE);
        let at = world.running.values().find(|running| running.attempt.digest == POPULAR);
        let Some(at) = at.map(|running| running.endpoint.clone()) else { continue };
        world.crash(&at);
    }
    for _ in 0..200 {
        world.send_sound(60.0, SAFE);
        world.step();
    }
    expect_that!(world.dispatchers[0].quarantines(world.now_ms).len(), eq(1));
    for _ in 0..5_000 {
        world.send_sound(60.0, SAFE);
        if world.is_due(2.0) {
            world.send(POPULAR, UNSAFE);
        }
        world.step();
    }
    expect_that!(world.dispatchers[0].quarantines(world.now_ms), is_empty());
}

#[gtest]
fn crashes_seen_by_three_instances_without_a_leader_are_known_to_the_next_one() {
    let mut reports: Vec<UsageReport> = Vec::new();
    for seed in 0..3 {
        let options = [Options::default().for_one_of(5, seed)];
        let mut world = World::with_options(18, seed, &options);
        for _ in 0..200 {
            world.send_sound(20.0, SAFE);
            world.step();
        }
        world.send(CRASHING, UNSAFE);
        for _ in 0..400 {
            world.send_sound(20.0, SAFE);
            world.step();
        }
        expect_that!(world.crashed_ms.len(), eq(1));
        let mut usage = world.dispatchers[0].usage(world.now_ms, 1);
        for crash in &mut usage.crashes.crashes {
            crash.start.endpoint = format!("{}-{seed}", crash.start.endpoint).into();
        }
        reports.push(usage);
    }
    let mut leader = World::new(18, 9);
    for (number, report) in (1..).zip(&reports) {
        leader.dispatchers[0].restore_usage(leader.now_ms, number, report);
    }
    leader.send(CRASHING, UNSAFE);
    expect_that!(leader.refused_crashing, eq(1), "at once");
    for _ in 0..200 {
        leader.send_sound(80.0, SAFE);
        leader.step();
    }
    let told = leader.dispatchers[0].quarantines(leader.now_ms);
    expect_that!(told.len(), eq(1));
    // An instance that is added, and the next leader that it tells.
    let options = [Options::default().for_one_of(5, 7)];
    let mut instance = World::with_options(18, 10, &options);
    instance.dispatchers[0].set_quarantines(instance.now_ms, &told);
    instance.send(CRASHING, UNSAFE);
    expect_that!(instance.refused_crashing, eq(1));
    let usage = instance.dispatchers[0].usage(instance.now_ms, 1);
    let mut next = World::new(18, 11);
    next.dispatchers[0].restore_usage(next.now_ms, 1, &usage);
    next.send(CRASHING, UNSAFE);
    expect_that!(next.refused_crashing, eq(1));
}

#[gtest]
fn a_crashing_request_waits_for_no_endpoint_once_it_is_suspect() {
    // All endpoints are down: what comes meanwhile waits for the first that is back.
    let mut world = World::new(2, 1);
    for _ in 0..200 {
        world.send_sound(40.0, UNSAFE);
        world.step();
    }
    for _ in 0..1_000 {
        world.send_crashing(20.0, UNSAFE);
        world.step();
    }
    expect_that!(world.crashed_ms.len(), le(COUNTED_CRASH + FURTHER_MAX));
}

#[gtest]
fn a_request_that_waited_is_told_the_same_time_as_one_that_comes_then() {
    let mut world = World::new(1, 1);
    (0..12).for_each(|_| world.send(CRASHING, UNSAFE));
    while world.crashed_ms.is_empty() {
        world.step();
    }
    let waited_ms = std::mem::take(&mut world.told_ms);
    world.send(CRASHING, UNSAFE);
    expect_that!(world.told_ms, len(eq(1)));
    expect_that!(waited_ms, not(is_empty()));
    expect_that!(waited_ms, each(ge(&world.told_ms[0])));
}

#[gtest]
fn a_request_that_was_answered_before_is_not_suspect_after_two_crashes_with_other_causes() {
    for sees_all_requests in [true, false] {
        let options = Options { sees_all_requests, ..Options::default() };
        let mut world = World::with_options(8, 1, &[options]);
        for _ in 0..5 {
            world.send(POPULAR, SAFE);
            (0..100).for_each(|_| world.step());
        }
        for _ in 0..2 {
            world.send(POPULAR, UNSAFE);
            let name = world.running.values().next().map(|running| running.endpoint.clone());
            world.crash(&name.unwrap());
            (0..40).for_each(|_| world.step());
        }
        world.send(POPULAR, SAFE);
        expect_that!(world.refused_sound, eq(0), "sees all requests: {sees_all_requests}");
    }
}

#[gtest]
fn a_request_met_by_two_quarantines_waits_for_the_later_trial() {
    let mut world = World::new(4, 1);
    let quarantine = |suspect, next_trial_ms| Quarantine {
        service: "writer".into(),
        suspects: vec![suspect],
        first_crash_ago_ms: 20_000,
        next_trial_ms,
        trials: 0,
    };
    let request = quarantine(Suspect::Request(RequestDigest::new(CRASHING)), 0);
    let part = quarantine(Suspect::Part(COMMON), 30_000);
    world.dispatchers[0].set_quarantines(world.now_ms, &[request, part]);
    world.send(CRASHING, STREAM);
    expect_that!(world.told_ms, elements_are![eq(&30_000)]);
}

#[gtest]
fn callers_that_come_back_together_after_a_suspicion_reach_one_endpoint() {
    let mut world = World::new(60, 1);
    world.send(CRASHING, UNSAFE);
    for tick in 0..3_000 {
        world.send_sound(60.0, SAFE);
        // All that were refused come back as soon as they may.
        if tick >= 100 {
            (0..5).for_each(|_| world.send(CRASHING, UNSAFE));
        }
        world.step();
    }
    let crashed_ms = &world.crashed_ms;
    let is_apart = crashed_ms.windows(2).all(|pair| pair[1] > pair[0] + 1_000);
    expect_that!(is_apart, eq(true), "{crashed_ms:?}");
    expect_that!(crashed_ms.len(), ge(2));
}

#[gtest]
fn what_is_remembered_is_bounded_under_endless_distinct_requests() {
    let mut world = World::new(18, 1);
    for tick in 0..20_000 {
        world.send_sound(100.0, LATE_STREAM);
        if tick % 40 == 0 {
            world.crash_random();
        }
        world.step();
    }
    let CrashReport { crashes, answers, quarantines } =
        world.dispatchers[0].usage(world.now_ms, 1).crashes;
    expect_that!(crashes.len(), le(1_200));
    expect_that!(answers.len(), le(512 + 128));
    expect_that!(quarantines, is_empty());
}
