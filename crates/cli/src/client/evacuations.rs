//! Lists evacuations, begins one or ends one.

use super::{Call, Client, table};
use crate::arguments::Evacuations;
use crate::exit::{Code, Error};
use http_types::Method;
use serde::Deserialize;

#[derive(Deserialize)]
struct EvacuationList {
    evacuations: Vec<Evacuation>,
    services: Vec<Room>,
}

#[derive(Deserialize)]
struct Evacuation {
    domain: String,
    since_unix_ms: u64,
    by: String,
}

/// The slots of a service, and those that evacuations leave.
#[derive(Deserialize)]
struct Room {
    service: String,
    slots: u64,
    slots_left: u64,
}

/// Lists the evacuations in force, begins one or ends one.
pub fn run(options: &Evacuations) -> Result<(), Error> {
    let client = Client::new(options.to.as_deref(), options.key_file.as_deref())?;
    let (method, domain, option) = match (&options.begin, &options.end) {
        (None, None) => return list(&client, &Call::get("evacuations"), options.json),
        (Some(domain), None) => (Method::Post, domain, "begin"),
        (None, Some(domain)) => (Method::Delete, domain, "end"),
        (Some(_), Some(_)) => {
            let message = "--begin and --end exclude each other".to_owned();
            return Err(Error::new(Code::Invalid, message));
        }
    };
    let call = Call { method, ..Call::get(format!("evacuations/{}", domain.trim())) };
    let repeat = format!("lycheehub evacuations --{option} {domain}");
    list(&client, &call, options.json).map_err(|error| error.with_repeat(&repeat))
}

/// Makes a call, which is answered with the evacuations in force, and prints them.
fn list(client: &Client, call: &Call<'_>, json: bool) -> Result<(), Error> {
    let response = client.call(call)?;
    let list: EvacuationList = response.json()?;
    if json {
        println!("{}", String::from_utf8_lossy(&response.body));
        return Ok(());
    }
    let header = ["DOMAIN", "SINCE (UNIX MS)", "BY"];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for entry in list.evacuations {
        rows.push(vec![entry.domain, entry.since_unix_ms.to_string(), entry.by]);
    }
    table::print(&rows);
    let header = ["SERVICE", "SLOTS", "LEFT"];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for room in list.services {
        rows.push(vec![room.service, room.slots.to_string(), room.slots_left.to_string()]);
    }
    table::print(&rows);
    Ok(())
}
