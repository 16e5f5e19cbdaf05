//! The processor time that the dispatcher takes for a request, by the number of endpoints.

use crate::{Arguments, Failed};
use lycheehub_dispatch::{
    Decision, Dispatcher, Finished, Job, JobId, Options, Outcome, PrefixPart,
};
use lycheehub_routes::{Document, EngineSpec, ServiceSpec};
use lycheehub_types::{EndpointKind, EndpointLoad, EndpointRecord};
use std::collections::VecDeque;
use std::time::Instant;

const REQUESTS: u64 = 100_000;
const SLOTS: u32 = 7;
/// The part of the slots that is in use.
const LOAD: f64 = 0.6;
const DOMAINS: [&str; 4] = ["canelones", "montevideo", "salto", "san-jose"];

/// Places requests one after the other at `--count` endpoints.
pub(crate) fn place(arguments: &Arguments) -> Result<(), Failed> {
    let mut dispatcher = dispatcher(arguments.count);
    let most = (arguments.count as f64 * f64::from(SLOTS) * LOAD) as usize;
    let mut running = VecDeque::new();
    let started = Instant::now();
    for number in 0..REQUESTS {
        let now_ms = 1_000 + number / 2;
        dispatcher.submit(now_ms, job(number));
        take_placed(&mut dispatcher, &mut running);
        while running.len() > most {
            let Some(job_id) = running.pop_front() else { break };
            dispatcher.finish(now_ms, finished(job_id));
            take_placed(&mut dispatcher, &mut running);
        }
    }
    let each_us = started.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64;
    println!("{} endpoints: {each_us:.1} us a request", arguments.count);
    Ok(())
}

fn dispatcher(endpoints: usize) -> Dispatcher {
    let engine = EngineSpec { slots: SLOTS, memory_tokens: 400_000, tokens_per_event: 7 };
    let service = ServiceSpec {
        cold_start: None,
        name: "writer".into(),
        health_path: "/health".into(),
        connections_max: None,
        engine: Some(engine),
    };
    let document = Document { version: 1, services: vec![service], ..Document::default() };
    let records: Vec<EndpointRecord> = (0..endpoints).map(record).collect();
    let mut dispatcher = Dispatcher::new(Options::default());
    dispatcher.set_document(1, &document);
    dispatcher.set_endpoints(1, records.iter());
    dispatcher
}

fn record(number: usize) -> EndpointRecord {
    EndpointRecord {
        endpoint: format!("i-{number}").into(),
        address: format!("i-{number}:1").into(),
        service: "writer".into(),
        version: "v1".into(),
        kind: EndpointKind::Engine,
        hardware: "".into(),
        failure_domain: DOMAINS[number % DOMAINS.len()].into(),
        slots: SLOTS,
        fencing: false,
        takes_orders: false,
        incarnation: 1,
        sequence: 1,
        leaving: false,
        load: EndpointLoad::default(),
        cold_ms: 0,
    }
}

/// Returns a request of a size that differs from one to the next.
fn job(number: u64) -> Job {
    let spread = |prime: u64, below: u64| (number.wrapping_mul(prime) % below) as u32;
    Job {
        job_id: JobId { instance: spread(7, 60), number },
        service: "writer".into(),
        tier: 1,
        rank: (number % 3) as u8,
        account: None,
        declared_tokens: Some(3_000),
        prompt_tokens: 600 + spread(7_919, 9_000),
        output_tokens: 100 + spread(104_729, 900),
        prefix: vec![
            PrefixPart { id: number % 40, tokens: 60 },
            PrefixPart { id: number, tokens: 600 },
        ],
        digest: None,
        objective_left_ms: 300,
        patience_left_ms: 2_000,
        deadline_left_ms: 15_000,
        returning: false,
        resumes_stream: false,
        is_last_attempt: false,
        failure_domain: DOMAINS[number as usize % DOMAINS.len()].into(),
        tried: vec![],
        regions: None,
        repeat: false,
    }
}

fn take_placed(dispatcher: &mut Dispatcher, running: &mut VecDeque<JobId>) {
    for decision in dispatcher.take_decisions() {
        if let Decision::Place { job_id, .. } = decision {
            running.push_back(job_id);
        }
    }
}

fn finished(job_id: JobId) -> Finished {
    let outcome = Outcome::Answered;
    Finished {
        job_id,
        outcome,
        first_byte_ms: Some(50),
        rest_ms: 600,
        events: 40,
        is_connection_lost: false,
        is_confirmed: false,
    }
}
