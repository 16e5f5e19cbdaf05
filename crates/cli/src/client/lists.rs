//! Shows endpoints and instances.

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
    granted_slots: u32,
    leaving: bool,
    lease_left_ms: u64,
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
    failure_domain: String,
    http_address: String,
    replica_id: u64,
    revision_in_force: u64,
    live: bool,
    stopping: bool,
}

/// Shows the endpoints that one instance sees.
pub fn endpoints(options: &List) -> Result<(), Error> {
    let client = Client::new(options.to.as_deref(), options.key_file.as_deref())?;
    let reply = client.call(&Call::get("endpoints"))?;
    let found: Endpoints = reply.json()?;
    if options.json {
        println!("{}", String::from_utf8_lossy(&reply.body));
        return Ok(());
    }
    let head = ["ENDPOINT", "SERVICE", "VERSION", "DOMAIN", "ADDRESS", "SLOTS", "HERE", "STATE"];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    for entry in found.endpoints {
        let state = match (entry.lease_left_ms, entry.leaving) {
            (0, _) => "silent",
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
            entry.granted_slots.to_string(),
            state.to_owned(),
        ]);
    }
    table::print(&rows);
    Ok(())
}

/// Shows the instances that one instance knows, and what each has in force.
pub fn instances(options: &List) -> Result<(), Error> {
    let client = Client::new(options.to.as_deref(), options.key_file.as_deref())?;
    let reply = client.call(&Call::get("instances"))?;
    let found: Instances = reply.json()?;
    if options.json {
        println!("{}", String::from_utf8_lossy(&reply.body));
        return Ok(());
    }
    let head = ["INSTANCE", "DOMAIN", "HTTP", "REPLICA", "IN FORCE", "STATE"];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    for entry in found.instances {
        let state = match (entry.live, entry.stopping) {
            (false, _) => "silent",
            (_, true) => "stopping",
            _ => "live",
        };
        rows.push(vec![
            entry.instance,
            entry.failure_domain,
            entry.http_address,
            if entry.replica_id == 0 { "no" } else { "yes" }.to_owned(),
            entry.revision_in_force.to_string(),
            state.to_owned(),
        ]);
    }
    table::print(&rows);
    let everywhere = if found.in_force_everywhere { "" } else { "not " };
    println!("revision {} is {everywhere}in force on every live instance", found.revision);
    Ok(())
}
