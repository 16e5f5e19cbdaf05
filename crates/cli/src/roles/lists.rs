//! A control instance's lists of endpoints and instances, for operators.

use http_types::{Method, Request, Response, StatusCode};
use lycheehub_gateway::http::json;
use lycheehub_peer::{Census, Control, SeenEndpoint, SeenInstance};
use lycheehub_types::{EndpointRecord, InstanceName};
use serde::Serialize;

#[derive(Serialize)]
struct Endpoints<'a> {
    endpoints: Vec<Endpoint<'a>>,
}

#[derive(Serialize)]
struct Endpoint<'a> {
    #[serde(flatten)]
    record: &'a EndpointRecord,
    heard_by: &'a InstanceName,
}

impl<'a> From<&'a SeenEndpoint> for Endpoint<'a> {
    fn from(seen: &'a SeenEndpoint) -> Self {
        Self { record: &seen.record, heard_by: &seen.heard_by }
    }
}

#[derive(Serialize)]
struct Instances<'a> {
    revision: u64,
    /// Whether every live instance has the revision in force.
    in_force_everywhere: bool,
    instances: Vec<Instance<'a>>,
}

#[derive(Serialize)]
struct Instance<'a> {
    instance: &'a InstanceName,
    holds_replica: bool,
    revision_in_force: u64,
    live: bool,
}

impl<'a> From<&'a SeenInstance> for Instance<'a> {
    fn from(seen: &'a SeenInstance) -> Self {
        Self {
            instance: &seen.instance,
            holds_replica: seen.holds_replica,
            revision_in_force: seen.revision_in_force,
            live: seen.is_live,
        }
    }
}

impl<'a> From<&'a Census> for Instances<'a> {
    fn from(census: &'a Census) -> Self {
        let is_behind =
            |seen: &SeenInstance| seen.is_live && seen.revision_in_force < census.revision;
        Self {
            revision: census.revision,
            in_force_everywhere: !census.instances.iter().any(is_behind),
            instances: census.instances.iter().map(Instance::from).collect(),
        }
    }
}

/// Answers an operator's request for a list; returns `None` for any other request.
pub(super) async fn answer(control: &Control, request: &Request) -> Option<Response> {
    let path = request.url().path().strip_prefix("/v1/operators/")?;
    if request.method() != Method::Get || !matches!(path, "endpoints" | "instances") {
        return None;
    }
    let Some(census) = control.census().await else {
        return Some(Response::new(StatusCode::ServiceUnavailable));
    };
    Some(match path {
        "endpoints" => {
            let endpoints = census.endpoints.iter().map(Endpoint::from).collect();
            json(200, &Endpoints { endpoints })
        }
        _ => json(200, &Instances::from(&census)),
    })
}
