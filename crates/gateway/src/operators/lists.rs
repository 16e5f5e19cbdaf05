//! Lists sections, moves, endpoints and instances for operators.

use crate::Gateway;
use crate::http::json;
use http_types::Response;
use lycheehub_control::state::{MoveRecord, SectionRecord};
use lycheehub_peer::CommittedState;
use lycheehub_types::instance::is_in_force_everywhere;
use lycheehub_types::{EndpointRecord, InstanceRecord, Refusal, RefusalKind, SectionName};
use serde::Serialize;
use std::collections::BTreeMap;

#[derive(Serialize)]
struct Section<'a> {
    revision: u64,
    operator: &'a str,
    request_id: &'a str,
    text: &'a str,
}

#[derive(Serialize)]
struct Move<'a> {
    #[serde(flatten)]
    record: &'a MoveRecord,
    /// Whether the move can still finish on schedule.
    in_time: bool,
}

#[derive(Serialize)]
struct Endpoint<'a> {
    #[serde(flatten)]
    record: &'a EndpointRecord,
    granted_slots: u32,
    lease_left_ms: u64,
}

#[derive(Serialize)]
struct Instance<'a> {
    #[serde(flatten)]
    record: &'a InstanceRecord,
    live: bool,
}

#[derive(Serialize)]
struct Instances<'a> {
    revision: u64,
    /// Whether every live instance has the revision in force.
    in_force_everywhere: bool,
    instances: Vec<Instance<'a>>,
}

/// Reads the committed control state, confirmed by a quorum.
async fn read_committed(gateway: &Gateway) -> Result<CommittedState, Refusal> {
    const RETRY_AFTER_MS: u64 = 1_000;
    gateway.control.read().await.map_err(|kind| {
        Refusal::retry(
            kind,
            "no quorum of control replicas confirms what is committed",
            RETRY_AFTER_MS,
        )
    })
}

fn section_body(record: &SectionRecord) -> Section<'_> {
    Section {
        revision: record.revision,
        operator: &record.operator,
        request_id: &record.request_id,
        text: &record.text,
    }
}

pub(super) async fn sections(gateway: &Gateway) -> Result<Response, Refusal> {
    let statement = read_committed(gateway).await?;
    let sections: BTreeMap<_, _> =
        statement.sections.iter().map(|(name, record)| (name, section_body(record))).collect();
    Ok(json(200, &serde_json::json!({ "revision": statement.revision, "sections": sections })))
}

pub(super) async fn section(gateway: &Gateway, name: &str) -> Result<Response, Refusal> {
    let statement = read_committed(gateway).await?;
    let record = statement.sections.get(&SectionName::from(name));
    let record = record.ok_or_else(|| {
        Refusal::new(RefusalKind::NotFound, format!("no section is named {name:?}"))
    })?;
    Ok(json(200, &section_body(record)))
}

pub(super) async fn moves(gateway: &Gateway) -> Result<Response, Refusal> {
    let statement = read_committed(gateway).await?;
    let now_unix_ms = gateway.clock.now_unix_ms();
    let moves: BTreeMap<_, _> = statement
        .moves
        .iter()
        .map(|(id, record)| {
            let in_time = lycheehub_control::moves::is_on_schedule(now_unix_ms, record);
            (id, Move { record, in_time })
        })
        .collect();
    Ok(json(200, &serde_json::json!({ "revision": statement.revision, "moves": moves })))
}

pub(super) fn endpoints(gateway: &Gateway) -> Response {
    let now_ms = gateway.clock.now_ms();
    let view = gateway.views.latest();
    let endpoints: Vec<Endpoint<'_>> = view
        .endpoints
        .values()
        .map(|live| Endpoint {
            record: &live.record,
            granted_slots: live.granted_slots,
            lease_left_ms: live.lease_until_ms.saturating_sub(now_ms),
        })
        .collect();
    json(200, &serde_json::json!({ "endpoints": endpoints }))
}

pub(super) fn instances(gateway: &Gateway) -> Response {
    let view = gateway.views.latest();
    let instances: Vec<Instance<'_>> =
        view.instances.iter().map(|(record, live)| Instance { record, live: *live }).collect();
    let live = instances.iter().filter(|instance| instance.live);
    let live = live.map(|instance| instance.record.revision_in_force);
    let in_force_everywhere = is_in_force_everywhere(view.revision, live);
    json(200, &Instances { revision: view.revision, in_force_everywhere, instances })
}
