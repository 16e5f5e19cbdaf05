//! Numbers of callers, documents and other instances that exceed all use: no calculation overflows, and
//! other requests are placed as before.

use crate::replay::{dispatcher, document, finished, job, record};
use googletest::prelude::*;
use lycheehub_dispatch::{
    Decision, Dispatcher, Finished, InFlight, Job, JobId, Options, Outcome, PrefixPart, RetryUsage,
    Usage, UsageReport,
};
use lycheehub_routes::{Document, EngineSpec, Quota};
use proptest::prelude::*;

fn placed(dispatcher: &mut Dispatcher) -> usize {
    let decisions = dispatcher.take_decisions();
    decisions.iter().filter(|decision| matches!(decision, Decision::Place { .. })).count()
}

fn dispatcher_with_memory(memory_tokens: u64, slots: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Options::default());
    let Document { mut services, .. } = document(None);
    services[0].engine = Some(EngineSpec { slots: 9, memory_tokens, tokens_per_event: u32::MAX });
    dispatcher.set_document(1, &Document { services, ..document(None) });
    dispatcher.set_endpoints(1, [record("a", slots)].iter());
    dispatcher
}

// A document that states no memory, or an endless one, left room for a single request.
#[gtest]
fn an_endless_memory_has_room_for_every_slot() {
    for memory_tokens in [u64::MAX, u64::MAX / 2 + 1, 1 << 62] {
        for slots in [2, 4, 8] {
            let mut dispatcher = dispatcher_with_memory(memory_tokens, slots);
            for number in 0..u64::from(slots) {
                dispatcher.submit(10, job(number));
            }
            expect_that!(placed(&mut dispatcher), eq(slots as usize), "{memory_tokens} {slots}");
        }
    }
}

#[gtest]
fn a_prompt_of_endless_parts_is_counted_as_the_longest() {
    let mut dispatcher = dispatcher(&[record("a", 4)]);
    let part = |id| PrefixPart { id, tokens: u32::MAX };
    for number in 1..4 {
        dispatcher.submit(10, Job { prefix: vec![part(1), part(2), part(3)], ..job(number) });
    }
    expect_that!(placed(&mut dispatcher), eq(3));
}

#[gtest]
fn an_endless_prompt_does_not_occupy_an_endpoint_for_others() {
    let mut dispatcher = dispatcher(&[record("a", 4)]);
    let endless = Job { prompt_tokens: u32::MAX, output_tokens: u32::MAX, ..job(1) };
    dispatcher.submit(10, endless);
    dispatcher.withdraw(11, JobId { instance: 1, number: 1 });
    dispatcher.take_decisions();
    for number in 2..5 {
        dispatcher.submit(20, job(number));
    }
    expect_that!(placed(&mut dispatcher), eq(3));
}

/// Returns values at the limits of their type.
fn odd_u64() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(1), Just(u64::MAX), Just(u64::MAX - 1), Just(1 << 63), any::<u64>()]
}

fn odd_u32() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(1), Just(u32::MAX), Just(1 << 31), any::<u32>()]
}

fn odd_f64() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0), Just(-0.0), Just(1e308), Just(-1e308), Just(f64::MAX), 0.0..1e6]
}

fn odd_job(number: u64) -> impl Strategy<Value = Job> {
    (odd_u64(), odd_u64(), odd_u64(), odd_u32(), odd_u32(), odd_u32(), odd_u64()).prop_map(
        move |(objective, patience, deadline, prompt, output, part, declared)| Job {
            objective_left_ms: objective,
            patience_left_ms: patience,
            deadline_left_ms: deadline,
            prompt_tokens: prompt,
            output_tokens: output,
            declared_tokens: Some(declared),
            account: Some("large".into()),
            prefix: vec![PrefixPart { id: 1, tokens: part }, PrefixPart { id: 2, tokens: part }],
            ..job(number)
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn any_job_and_result_overflow_nothing(
        first in odd_job(1),
        second in odd_job(2),
        slots in odd_u32(),
        memory_tokens in odd_u64(),
        (first_byte_ms, rest_ms, events) in (odd_u32(), odd_u32(), odd_u32()),
        step_ms in 1..20_000_u64,
    ) {
        let mut dispatcher = dispatcher_with_memory(memory_tokens, slots);
        dispatcher.submit(10, first);
        dispatcher.submit(11, second);
        dispatcher.take_decisions();
        for number in 1..3 {
            let job_id = JobId { instance: 1, number };
            let first_byte_ms = Some(first_byte_ms);
            let end = finished(job_id, Outcome::Answered);
            dispatcher.finish(10 + step_ms, Finished { first_byte_ms, rest_ms, events, ..end });
        }
        for number in 3..6 {
            dispatcher.submit(10 + 2 * step_ms, job(number));
        }
        dispatcher.tick(10 + 3 * step_ms);
    }

    #[test]
    fn any_report_of_an_instance_overflows_nothing(
        (ago_ms, age_ms, memory_tokens) in (odd_u64(), odd_u64(), odd_u64()),
        (requests, retries) in (odd_u32(), odd_u32()),
        (units, units_per_s, burst_units) in (odd_f64(), 0.001..1e15, 0.0..1e15),
    ) {
        let mut dispatcher = dispatcher(&[record("a", 4)]);
        let quota = Quota { in_tokens: true, untold_tokens: u32::MAX, units_per_s, burst_units };
        dispatcher.set_document(2, &document(Some(quota)));
        let report = UsageReport {
            quotas: vec![Usage { account: "large".into(), ago_ms, units }; 3],
            retries: vec![RetryUsage { service: "writer".into(), ago_ms, requests, retries }; 3],
            ..UsageReport::default()
        };
        dispatcher.restore_usage(1_000, 2, &report);
        dispatcher.restore_usage(1_000, 3, &report);
        let in_flight = |number| InFlight {
            number,
            endpoint: "a".into(),
            memory_tokens,
            is_stream: false,
            age_ms,
            content: Default::default(),
        };
        dispatcher.record_in_flight(1_000, 2, &[in_flight(1), in_flight(2)]);
        dispatcher.submit(1_001, Job { repeat: true, ..job(1) });
        dispatcher.submit(30_000, Job { account: Some("large".into()), ..job(2) });
        dispatcher.tick(31_000);
    }
}
