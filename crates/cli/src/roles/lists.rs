//! A control instance's lists of endpoints and instances, for operators.

use http_types::{Method, Request, Response, StatusCode};
use lycheehub_gateway::http::json;
use lycheehub_peer::{ClusterStatus, Control, EndpointStatus, InstanceStatus};
use lycheehub_types::instance::is_in_force_everywhere;
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

impl<'a> From<&'a EndpointStatus> for Endpoint<'a> {
    fn from(seen: &'a EndpointStatus) -> Self {
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

impl<'a> From<&'a InstanceStatus> for Instance<'a> {
    fn from(seen: &'a InstanceStatus) -> Self {
        Self {
            instance: &seen.instance,
            holds_replica: seen.holds_replica,
            revision_in_force: seen.revision_in_force,
            live: seen.is_live,
        }
    }
}

impl<'a> From<&'a ClusterStatus> for Instances<'a> {
    fn from(status: &'a ClusterStatus) -> Self {
        let live = status.instances.iter().filter(|seen| seen.is_live);
        let live = live.map(|seen| seen.revision_in_force);
        Self {
            revision: status.revision,
            in_force_everywhere: is_in_force_everywhere(status.revision, live),
            instances: status.instances.iter().map(Instance::from).collect(),
        }
    }
}

/// Answers an operator's request for a list; returns `None` for any other request.
pub(super) async fn answer(control: &Control, request: &Request) -> Option<Response> {
    let path = request.url().path().strip_prefix("/v1/operators/")?;
    if request.method() != Method::Get || !matches!(path, "endpoints" | "instances") {
        return None;
    }
    let Some(status) = control.cluster_status().await else {
        return Some(Response::new(StatusCode::ServiceUnavailable));
    };
    Some(match path {
        "endpoints" => {
            let endpoints = status.endpoints.iter().map(Endpoint::from).collect();
            json(200, &Endpoints { endpoints })
        }
        _ => json(200, &Instances::from(&status)),
    })
}
