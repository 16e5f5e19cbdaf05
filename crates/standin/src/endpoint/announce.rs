//! Announcements: to one instance after another, as a balancer would pick them.

use super::server::Shared;
use crate::caller::{Call, send};
use lycheehub_types::{EndpointLoad, EndpointRecord};
use smol::Timer;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// One in this many cache events is lost.
const LOST_EVENTS: u64 = 8;

pub(super) async fn run(shared: Arc<Shared>) {
    let mut turn = shared.options.seed as usize;
    let mut number = 0;
    let mut sequence = 0;
    let mut lagging = EndpointLoad::default();
    loop {
        let faults = shared.faults();
        sequence += 1;
        let record = record(&shared, sequence, lagging, faults.leaving);
        lagging = EndpointLoad { running: shared.running.load(Ordering::Relaxed), waiting: 0 };
        if !faults.silent && !faults.frozen {
            announce(&shared, &record, &mut turn).await;
            publish_events(&shared, &mut number, turn).await;
        }
        Timer::after(Duration::from_millis(shared.options.announce_ms)).await;
    }
}

async fn announce(shared: &Shared, record: &EndpointRecord, turn: &mut usize) {
    let to = &shared.options.announce_to;
    for _ in 0..to.len() {
        *turn += 1;
        let address = &to[*turn % to.len()];
        let call = Call::post("/v1/endpoints/announce")
            .key(&shared.options.key)
            .body(serde_json::to_vec(record).unwrap_or_default());
        if send(address, &call).await.is_ok_and(|reply| reply.status == 200) {
            return;
        }
    }
}

/// Publishes cache events late, with gaps, and to one instance only.
async fn publish_events(shared: &Shared, number: &mut u64, turn: usize) {
    let to = &shared.options.announce_to;
    for event in shared.take_events() {
        *number += 1;
        if to.is_empty() || number.is_multiple_of(LOST_EVENTS) {
            continue;
        }
        let body = serde_json::json!({
            "endpoint": shared.options.name,
            "number": *number,
            "stored": event.stored,
            "dropped": event.dropped,
        });
        let call = Call::post("/v1/endpoints/cache-events")
            .key(&shared.options.key)
            .body(body.to_string().into_bytes());
        // A lost event is one more gap.
        let _ = send(&to[turn % to.len()], &call).await;
    }
}

fn record(shared: &Shared, sequence: u64, load: EndpointLoad, leaving: bool) -> EndpointRecord {
    let options = &shared.options;
    EndpointRecord {
        endpoint: options.name.as_str().into(),
        address: shared.address.to_string().into(),
        service: options.service.as_str().into(),
        version: shared.version().as_str().into(),
        kind: options.kind,
        hardware: options.hardware.as_str().into(),
        failure_domain: options.failure_domain.as_str().into(),
        slots: options.slots,
        fencing: options.fencing,
        takes_orders: options.takes_orders,
        incarnation: shared.incarnation,
        sequence,
        leaving,
        load,
        cold_ms: 0,
    }
}
