//! A control instance's calls for operators that list quarantines and end them.
//!
//! The port has no key, and a quarantine protects endpoints: only a caller on the same machine ends one.

use super::ends::Ends;
use http_types::{Method, Request, Response};
use lycheehub_dispatch::crashes::{Ending, ListedQuarantine, QuarantineId};
use lycheehub_gateway::http::{json, refusal_response};
use lycheehub_peer::{Control, LeaderReply, suspect_texts};
use lycheehub_types::{EndpointName, InstanceName, Refusal, RefusalKind, ServiceName};
use serde::Serialize;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

/// The path of the list; that of a quarantine ends with its identity.
const PATH: &str = "/v1/operators/quarantines";

#[derive(Serialize)]
struct Quarantines<'a> {
    quarantines: Vec<Quarantine<'a>>,
}

#[derive(Serialize)]
struct Quarantine<'a> {
    id: String,
    service: &'a ServiceName,
    /// The suspects as log lines write them.
    parts: String,
    digest: String,
    endpoints: &'a [EndpointName],
    next_trial_ms: u64,
    trials: u32,
}

impl<'a> From<&'a ListedQuarantine> for Quarantine<'a> {
    fn from(listed: &'a ListedQuarantine) -> Self {
        let (parts, digest) = suspect_texts(&listed.quarantine.suspects);
        Self {
            id: listed.id.to_string(),
            service: &listed.quarantine.service,
            parts,
            digest,
            endpoints: &listed.endpoints,
            next_trial_ms: listed.quarantine.next_trial_ms,
            trials: listed.quarantine.trials,
        }
    }
}

/// Answers an operator's call about quarantines; returns `None` for any other request.
pub(super) async fn answer(control: &Control, request: &Request) -> Option<Response> {
    let rest = request.url().path().strip_prefix(PATH)?;
    match (request.method(), rest.strip_prefix('/')) {
        (Method::Get, None) if rest.is_empty() => Some(list(control).await),
        (Method::Delete, Some(id)) => Some(end(control, id, Ends::of(request)).await),
        _ => None,
    }
}

async fn list(control: &Control) -> Response {
    match control.quarantines().await {
        LeaderReply::Leads(listed) => {
            let quarantines = listed.iter().map(Quarantine::from).collect();
            json(200, &Quarantines { quarantines })
        }
        LeaderReply::Elsewhere(leader) => elsewhere(leader),
    }
}

async fn end(control: &Control, id: &str, ends: Ends) -> Response {
    if let Err(refusal) = ends.require_same_machine() {
        return refusal_response(&refusal);
    }
    let Ok(id) = id.parse::<QuarantineId>() else {
        return refuse(RefusalKind::BadRequest, "expected the identity of a quarantine");
    };
    match control.end_quarantine(id, call_of(id, ends)).await {
        LeaderReply::Leads(Ending::Unknown) => {
            refuse(RefusalKind::NotFound, &format!("no quarantine in force has the id {id}"))
        }
        LeaderReply::Leads(ending) => {
            let ended_before = ending == Ending::EndedBefore;
            json(200, &json!({ "id": id.to_string(), "ended_before": ended_before }))
        }
        LeaderReply::Elsewhere(leader) => elsewhere(leader),
    }
}

/// Returns the text by which the log names an operator's call.
fn call_of(id: QuarantineId, ends: Ends) -> SmolStr {
    format_smolstr!("quarantines --end {id} from {}", ends.caller_text())
}

fn elsewhere(leader: Option<InstanceName>) -> Response {
    let message = match leader {
        Some(leader) => format!("this instance does not lead, {leader} does: call it there"),
        None => "this instance does not lead, and it knows no leader".to_owned(),
    };
    refuse(RefusalKind::NotReady, &message)
}

fn refuse(kind: RefusalKind, message: &str) -> Response {
    refusal_response(&Refusal::new(kind, message))
}
