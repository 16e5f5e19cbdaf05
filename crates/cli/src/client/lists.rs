//! Lists endpoints and instances.

use super::{Call, Client, table};
use crate::arguments::List;
use crate::exit::Error;
use serde::Deserialize;

#[derive(Deserialize)]
struct Endpoints {
    endpoints: Vec<Endpoint>,
}

#[derive(Deserialize)]
struct Endpoint {
    endpoint: String,
    service: String,
    version: String,
    failure_domain: String,
    address: String,
    slots: u32,
    leaving: bool,
    /// Present if the responding instance holds slots of the endpoint.
    granted_slots: Option<u32>,
    /// Present if the responding instance monitors the endpoint's lease.
    lease_left_ms: Option<u64>,
    /// Present if the responding instance is a control instance on the deployment platform.
    heard_by: Option<String>,
}

#[derive(Deserialize)]
struct Instances {
    revision: u64,
    in_force_everywhere: bool,
    instances: Vec<Instance>,
}

#[derive(Deserialize)]
struct Instance {
    instance: String,
    revision_in_force: u64,
    live: bool,
    /// A control instance on the deployment platform omits this field and all that follow, except
    /// `holds_replica`.
    #[serde(default)]
    failure_domain: String,
    #[serde(default)]
    http_address: String,
    #[serde(default)]
    replica_id: u64,
    #[serde(default)]
    holds_replica: bool,
    #[serde(default)]
    stopping: bool,
}

/// Lists the endpoints that the called instance knows.
pub fn endpoints(options: &List) -> Result<(), Error> {
    let client = Client::new(options.to.as_deref(), options.key_file.as_deref())?;
    let response = client.call(&Call::get("endpoints"))?;
    let list: Endpoints = response.json()?;
    if options.json {
        println!("{}", String::from_utf8_lossy(&response.body));
        return Ok(());
    }
    let header = [
        "ENDPOINT", "SERVICE", "VERSION", "DOMAIN", "ADDRESS", "SLOTS", "HERE", "HEARD BY", "STATE",
    ];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for entry in list.endpoints {
        let state = match (entry.lease_left_ms, entry.leaving) {
            (Some(0), _) => "silent",
            (_, true) => "leaving",
            _ => "live",
        };
        rows.push(vec![
            entry.endpoint,
            entry.service,
            entry.version,
            entry.failure_domain,
            entry.address,
            entry.slots.to_string(),
            entry.granted_slots.map(|slots| slots.to_string()).unwrap_or_default(),
            entry.heard_by.unwrap_or_default(),
            state.to_owned(),
        ]);
    }
    table::print(&rows);
    Ok(())
}

/// Lists the instances that the called instance knows, with the revision in force on each.
pub fn instances(options: &List) -> Result<(), Error> {
    let client = Client::new(options.to.as_deref(), options.key_file.as_deref())?;
    let response = client.call(&Call::get("instances"))?;
    let list: Instances = response.json()?;
    if options.json {
        println!("{}", String::from_utf8_lossy(&response.body));
        return Ok(());
    }
    let header = ["INSTANCE", "DOMAIN", "HTTP", "REPLICA", "IN FORCE", "STATE"];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for entry in list.instances {
        let state = match (entry.live, entry.stopping) {
            (false, _) => "silent",
            (_, true) => "stopping",
            _ => "live",
        };
        rows.push(vec![
            entry.instance,
            entry.failure_domain,
            entry.http_address,
            if entry.holds_replica || entry.replica_id != 0 { "yes" } else { "no" }.to_owned(),
            entry.revision_in_force.to_string(),
            state.to_owned(),
        ]);
    }
    table::print(&rows);
    let everywhere = if list.in_force_everywhere { "" } else { "not " };
    println!("revision {} is {everywhere}in force on every live instance", list.revision);
    Ok(())
}
