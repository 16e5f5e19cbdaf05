//! Lists quarantines, or ends one.

use super::{Call, Client, table};
use crate::arguments::Quarantines;
use crate::exit::{Code, Error};
use http_types::Method;
use lycheehub_dispatch::crashes::QuarantineId;
use serde::Deserialize;

#[derive(Deserialize)]
struct QuarantineList {
    quarantines: Vec<Quarantine>,
}

#[derive(Deserialize)]
struct Quarantine {
    id: String,
    service: String,
    parts: String,
    digest: String,
    /// The endpoints whose crashes the leader remembers.
    endpoints: Vec<String>,
    next_trial_ms: u64,
    trials: u32,
}

#[derive(Deserialize)]
struct Ended {
    ended_before: bool,
}

/// Lists the quarantines in force, or ends one.
pub fn run(options: &Quarantines) -> Result<(), Error> {
    let client = Client::new(options.to.as_deref(), options.key_file.as_deref())?;
    match &options.end {
        Some(id) => end(&client, id.trim(), options.json),
        None => list(&client, options.json),
    }
}

fn list(client: &Client, json: bool) -> Result<(), Error> {
    let response = client.call(&Call::get("quarantines"))?;
    let list: QuarantineList = response.json()?;
    if json {
        println!("{}", String::from_utf8_lossy(&response.body));
        return Ok(());
    }
    let header = ["ID", "SERVICE", "DIGEST", "PARTS", "CRASHED", "NEXT TRIAL", "TRIALS"];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for entry in list.quarantines {
        rows.push(vec![
            entry.id,
            entry.service,
            entry.digest,
            entry.parts,
            entry.endpoints.join(","),
            format!("{} s", entry.next_trial_ms.div_ceil(1_000)),
            entry.trials.to_string(),
        ]);
    }
    table::print(&rows);
    Ok(())
}

fn end(client: &Client, id: &str, json: bool) -> Result<(), Error> {
    let Ok(id) = id.parse::<QuarantineId>() else {
        return Err(Error::new(Code::Invalid, format!("{id} is not the id of a quarantine")));
    };
    let call = Call { method: Method::Delete, ..Call::get(format!("quarantines/{id}")) };
    let repeat = format!("lycheehub quarantines --end {id}");
    let response = client.call(&call).map_err(|error| error.with_repeat(&repeat))?;
    let ended: Ended = response.json()?;
    if json {
        println!("{}", String::from_utf8_lossy(&response.body));
    } else if ended.ended_before {
        println!("quarantine {id} was ended before");
    } else {
        println!("quarantine {id} is ended");
    }
    Ok(())
}
