//! A control instance's calls for operators that list, begin and end evacuations.
//!
//! The port has no key: only a caller on the same machine begins or ends one.

use super::ends::Ends;
use http_types::{Method, Request, Response};
use lycheehub_gateway::http::{json, refusal_response};
use lycheehub_peer::{ClusterStatus, Control, ProposeReply};
use lycheehub_platform::evacuation;
use lycheehub_types::{FailureDomain, Refusal, RefusalKind, Region};
use serde_json::json;
use smol_str::format_smolstr;
use std::collections::BTreeMap;

/// The path of the list; that of an evacuation ends with its failure domain.
const PATH: &str = "/v1/operators/evacuations";

/// Answers an operator's call about evacuations; returns `None` for any other request.
pub(super) async fn answer(
    control: &Control,
    domains: &BTreeMap<FailureDomain, Region>,
    request: &Request,
) -> Option<Response> {
    let rest = request.url().path().strip_prefix(PATH)?;
    let changed = match (request.method(), rest.strip_prefix('/')) {
        (Method::Get, None) if rest.is_empty() => Ok(()),
        (Method::Post, Some(domain)) => change(control, domains, domain, true, request).await,
        (Method::Delete, Some(domain)) => change(control, domains, domain, false, request).await,
        _ => return None,
    };
    Some(match changed {
        Ok(()) => list(control).await,
        Err(refusal) => refusal_response(&refusal),
    })
}

async fn change(
    control: &Control,
    domains: &BTreeMap<FailureDomain, Region>,
    domain: &str,
    begins: bool,
    request: &Request,
) -> Result<(), Refusal> {
    let ends = Ends::of(request);
    ends.require_same_machine()?;
    let order = evacuation::read(domain, begins, Some(&[]), domains);
    let mut order =
        order.map_err(|error| Refusal::new(RefusalKind::BadRequest, error.to_string()))?;
    order.by = format_smolstr!("lycheehub evacuations from {}", ends.caller_text());
    match control.evacuate(order).await {
        ProposeReply::Done(_) => Ok(()),
        _ => Err(Refusal::new(RefusalKind::NoQuorum, "the order may not be in force: repeat it")),
    }
}

async fn list(control: &Control) -> Response {
    let Ok(state) = control.read().await else {
        return refusal_response(&Refusal::new(RefusalKind::NoQuorum, "no quorum confirms it"));
    };
    let evacuations: Vec<_> = state
        .evacuations
        .iter()
        .map(|(domain, record)| {
            json!({ "domain": domain, "since_unix_ms": record.since_unix_ms, "by": record.by })
        })
        .collect();
    let status = control.cluster_status().await;
    let rooms = status.as_ref().map(ClusterStatus::room_by_service).unwrap_or_default();
    let services: Vec<_> = rooms
        .iter()
        .map(|(service, room)| {
            json!({ "service": service, "slots": room.slots, "slots_left": room.slots_left })
        })
        .collect();
    json(200, &json!({ "evacuations": evacuations, "services": services }))
}
