//! Submits a new text of a configuration section.

use crate::Gateway;
use crate::http::{ReceivedBody, header, json, read_body};
use http_types::{Request, Response};
use lycheehub_control::Command;
use lycheehub_control::state::{ApplyOutcome, Reply, Submission};
use lycheehub_peer::ProposeReply;
use lycheehub_types::{Refusal, RefusalKind, SectionName, name};
use serde::Serialize;
use smol_str::SmolStr;

#[derive(Serialize)]
struct ApplyResponse<'a> {
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    operator: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<&'a str>,
}

const EMPTY: ApplyResponse<'static> =
    ApplyResponse { outcome: "", revision: None, operator: None, request_id: None, message: None };

pub(super) async fn apply(
    gateway: &Gateway,
    mut request: Request,
    operator: &SmolStr,
    section: &str,
) -> Result<Response, Refusal> {
    let bad_request = |message: &str| Refusal::new(RefusalKind::BadRequest, message);
    if !name::is_valid(section) {
        return Err(bad_request("the section's name is no name"));
    }
    let base_revision = header(&request, "x-base-revision").and_then(|text| text.parse().ok());
    let base_revision = base_revision
        .ok_or_else(|| bad_request("expected x-base-revision, 0 for a new section"))?;
    let request_id =
        header(&request, "x-request-id").filter(|id| name::is_valid(id)).map(SmolStr::new);
    let request_id = request_id
        .ok_or_else(|| bad_request("expected x-request-id, a name that a resend repeats"))?;
    let body = read_body(gateway, &mut request).await?;
    let ReceivedBody { bytes, room: _room } = body;
    let text = String::from_utf8(bytes).map_err(|_| bad_request("the section is not UTF-8"))?;
    let submission = Submission {
        section: SectionName::from(section),
        base_revision,
        request_id,
        operator: operator.clone(),
        text,
    };
    let reply = gateway.control.propose(Command::Submit(submission)).await;
    spdlog::info!("section submitted", kv: { section, operator: = operator, reply:? });
    Ok(respond(reply))
}

fn respond(reply: ProposeReply) -> Response {
    match reply {
        ProposeReply::Done(Reply::Apply(ApplyOutcome::Accepted { revision })) => {
            json(200, &ApplyResponse { outcome: "accepted", revision: Some(revision), ..EMPTY })
        }
        ProposeReply::Done(Reply::Apply(ApplyOutcome::Conflict {
            revision,
            operator,
            request_id,
        })) => {
            let conflict = ApplyResponse {
                outcome: "conflict",
                revision: Some(revision),
                operator: Some(&operator),
                request_id: Some(&request_id),
                message: Some("another submission came first; get the section and submit again"),
            };
            json(409, &conflict)
        }
        ProposeReply::Done(Reply::Apply(ApplyOutcome::Invalid { message })) => {
            json(422, &ApplyResponse { outcome: "invalid", message: Some(&message), ..EMPTY })
        }
        ProposeReply::NotLeader => {
            let message = "no quorum of control replicas can be reached; nothing was changed";
            json(503, &ApplyResponse { outcome: "not_applied", message: Some(message), ..EMPTY })
        }
        _ => {
            let message = "it is not known whether the section was changed; submit again with the \
                           same x-request-id to learn the first answer";
            json(504, &ApplyResponse { outcome: "unknown", message: Some(message), ..EMPTY })
        }
    }
}
